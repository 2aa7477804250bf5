#ifndef VANILLATILLER_SOURCE_RELAY_SERVER_RATE_TRACKER_H_
#define VANILLATILLER_SOURCE_RELAY_SERVER_RATE_TRACKER_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"

namespace vanillatiller {

// The rate limit that a backend server names in its answers, as known to the
// node on its VM.
//
// Answers to overlapping requests may be read in another order than they were
// written. A lower limit counts at once. A higher one, or none, counts only if
// its request was sent after the limit in force had been read, which shows that
// it is newer.
//
// A process that has just started has no answer. Until it reads one, the limit
// that another node has read counts.
class ServerRateTracker {
 public:
  // The server has named `rate`, or no limit, in its answer to a request that
  // was sent at `sent`. Returns true if the limit in force changed.
  bool OnAnswer(std::optional<double> rate, std::string_view request_id,
                TimePoint sent, TimePoint now);
  // Another node knows of a limit of the server. Returns true if the limit in
  // force changed.
  bool OnReport(double rate, std::string_view request_id, TimePoint now);
  // Another server runs on the VM now.
  void Reset() { *this = {}; }

  // Calls a second; nullopt if there is no limit.
  const std::optional<double>& rate() const { return m_rate; }
  // Whether any limit has been known, from the server or another node.
  bool has_known_limit() const { return m_has_known_limit; }
  // The request whose answer named the limit in force, and when that was read.
  const std::string& request_id() const { return m_request_id; }
  TimePoint read_at() const { return m_read_at; }

 private:
  bool Set(std::optional<double> rate, std::string_view request_id,
           TimePoint now);

  std::optional<double> m_rate;
  std::string m_request_id;
  TimePoint m_read_at;
  bool m_was_answered = false;
  bool m_has_known_limit = false;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_SERVER_RATE_TRACKER_H_
