#ifndef VANILLATILLER_SOURCE_RELAY_READ_BACKOFF_H_
#define VANILLATILLER_SOURCE_RELAY_READ_BACKOFF_H_

#include <cstdint>

#include "base/base.h"
#include "relay/fleet_state_store.h"

namespace vanillatiller {

// Decides when a node asks the platform again after a call that failed.
//
// A node counts as undisturbed 4 s after the platform serves it again. Whatever
// the mode, the next call and its answer must come before that, so all pauses
// stay below kBackupPeriod after the failed call was sent.
class ReadBackoff {
 public:
  // Longest idle time of a connection to the platform that is used again. One
  // that went dark costs a call its time-out, and must not do so after the node
  // counts as undisturbed.
  static constexpr Duration kMaxIdleConnection =
      std::chrono::milliseconds(1000);

  // Returns the pause after the failure of a call that was sent at `sent`.
  // `is_refusal`: the platform has answered that it does not serve the call.
  Duration OnFailure(ReadMode mode, bool is_refusal, TimePoint sent,
                     TimePoint now);
  void OnSuccess() { m_failures = 0; }
  // Failures since the last success.
  uint32_t failures() const { return m_failures; }

 private:
  // Exponential backoff: initial and maximum delay.
  static constexpr Duration kInitialDelay = std::chrono::milliseconds(200);
  static constexpr Duration kMaxDelay = std::chrono::milliseconds(800);
  // Time from call to call while readers ask the platform, too.
  static constexpr Duration kBackupPeriod = std::chrono::seconds(3);

  uint32_t m_failures = 0;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_READ_BACKOFF_H_
