#ifndef VANILLATILLER_SOURCE_ADMISSION_RATE_LIMIT_H_
#define VANILLATILLER_SOURCE_ADMISSION_RATE_LIMIT_H_

#include <cstdint>
#include <optional>

#include "base/base.h"

namespace vanillatiller {

// Paces the calls to a backend server that has named how many it takes (token
// bucket).
//
// Within any time t at most rate * (t + kBurstTime) + 1 calls are let through.
// The bucket is empty when a limit begins, also in a process that has just
// started, so restarts add nothing.
class RateLimit {
 public:
  // Lowest rate that is applied. A server that gets no calls gives no answers,
  // so that the end of its limit would never be noticed.
  static constexpr double kMinRate = 0.5;

  // Calls a second; nullopt ends the limit. Must not be negative or infinite.
  void Set(std::optional<double> rate, TimePoint now);
  // The rate that was set.
  const std::optional<double>& rate() const { return m_rate; }

  // Whether a call may be sent at `now`.
  bool Allows(TimePoint now) const;
  // Counts a call that is sent.
  void OnSent(TimePoint now);
  // Time until `calls` calls may have been sent; zero without a limit.
  Duration TimeFor(uint32_t calls, TimePoint now) const;
  // Number of calls that may be sent in `time`, at least 1; nullopt without a
  // limit.
  std::optional<uint32_t> CallsIn(Duration time) const;

 private:
  // Calls that have not been used for this long may be sent at once.
  static constexpr Duration kBurstTime = std::chrono::milliseconds(250);
  // Higher rates do not limit anything.
  static constexpr double kMaxRate = 1e6;

  double Tokens(TimePoint now) const;

  std::optional<double> m_rate;
  // The rate that is applied.
  double m_paced_rate = 0;
  double m_tokens = 0;
  TimePoint m_refilled;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ADMISSION_RATE_LIMIT_H_
