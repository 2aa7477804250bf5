#ifndef VANILLATILLER_SOURCE_RELAY_EVENT_LOG_H_
#define VANILLATILLER_SOURCE_RELAY_EVENT_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "base/base.h"

namespace vanillatiller {

// What a log line is about; each kind has its own bound on lines a second, so
// that many lines on requests do not push out what the process believes.
enum class LogTopic : uint8_t {
  // Decisions on one request.
  kRequest = 0,
  // What the process believes of servers, peers, the platform and itself.
  kFleetState = 1,
};

// Structured log on one file descriptor: one line an event, bounded, and never
// waiting for the reader. Lines that do not fit are counted, and the next line
// says how many were lost.
class EventLog {
 public:
  // Makes `fd` non-blocking.
  EventLog(int fd, std::string vm);

  void Write(LogTopic topic, std::string_view event,
             std::initializer_list<LogField> fields, TimePoint now);
  // Hands buffered lines to the system.
  void Flush();

  uint64_t lost() const { return m_lost_total; }

 private:
  struct Allowance {
    double lines = 0;
    TimePoint filled;
  };

  bool Take(LogTopic topic, TimePoint now);

  // Lines a second and topic, and lines that a burst may add.
  static constexpr double kLinesPerSecond = 150;
  static constexpr double kBurstLines = 300;
  // Lines that wait for the reader; then lines are lost.
  static constexpr size_t kMaxBufferBytes = size_t{64} << 10;

  const int m_fd;
  const std::string m_vm;
  Allowance m_allowances[2];
  std::string m_buffer;
  uint64_t m_lost = 0;
  uint64_t m_lost_total = 0;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_EVENT_LOG_H_
