#ifndef VANILLATILLER_SOURCE_RELAY_EVENT_LOG_H_
#define VANILLATILLER_SOURCE_RELAY_EVENT_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "base/base.h"

namespace vanillatiller {

// Category of a log line. Each topic has its own rate limit, so that a flood of
// request lines does not suppress lines about the state of the fleet.
enum class LogTopic : uint8_t {
  // Decisions about a single request.
  kRequest = 0,
  // State of servers, peers, the platform and this process, as seen here.
  kFleetState = 1,
  // Requests that were served although the configuration may be outdated.
  kServed = 2,
};

// Milliseconds from `since` to `now`; "never" for TimePoint{}.
std::string FormatAge(TimePoint since, TimePoint now);

// Structured, rate-limited log with one line per event, written to a file
// descriptor without blocking. Dropped lines are counted, and the next line
// written reports their number.
class EventLog {
 public:
  // Sets `fd` to non-blocking mode.
  EventLog(int fd, std::string vm);

  void Write(LogTopic topic, std::string_view event,
             std::initializer_list<LogField> fields, TimePoint now);
  // Writes buffered lines to the file descriptor.
  void Flush();

  uint64_t lost() const { return m_lost_total; }

 private:
  struct TokenBucket {
    double tokens = 0;
    TimePoint refilled;
  };

  bool TakeToken(LogTopic topic, TimePoint now);

  // Rate limit per topic, and the size of its burst.
  static constexpr double kLinesPerSecond = 150;
  static constexpr double kBurstLines = 300;
  // Lines are dropped while the buffer is at least this large.
  static constexpr size_t kMaxBufferBytes = size_t{64} << 10;

  const int m_fd;
  const std::string m_vm;
  TokenBucket m_buckets[3];
  std::string m_buffer;
  uint64_t m_unreported_lost = 0;
  uint64_t m_lost_total = 0;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_EVENT_LOG_H_
