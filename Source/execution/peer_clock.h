#ifndef VANILLATILLER_SOURCE_EXECUTION_PEER_CLOCK_H_
#define VANILLATILLER_SOURCE_EXECUTION_PEER_CLOCK_H_

#include <optional>

#include "base/base.h"

namespace vanillatiller {

// Estimates a lower bound of a callee's clock from the clock readings in its
// answers. A caller expresses the deadline of a call on the callee's clock, so
// that the callee recognizes an expired call even if it was delayed in the
// network or in the socket buffers of a paused process.
//
// The error of the bound is the transit time of the best reading. The bound is
// lowered by kMaxDriftPpm as that reading ages, so that it holds although the
// clocks run at different rates.
class PeerClock {
 public:
  // Maximum difference in rate between two clocks, in parts per million.
  static constexpr int64_t kMaxDriftPpm = 200;

  // Processes a reading received at `now`. Readings of an older incarnation are
  // ignored; a newer incarnation resets the estimate.
  void Observe(Incarnation incarnation, TimePoint reading, TimePoint now);

  // 0 before the first reading.
  Incarnation CurrentIncarnation() const { return m_incarnation; }

  // Returns the lower bound of the callee's time at the caller's time `when`;
  // nullopt before the first reading.
  std::optional<TimePoint> ToPeerTime(TimePoint when) const;

 private:
  Incarnation m_incarnation = 0;
  // Lower bound of peer time minus own time for the caller's time `when`.
  Duration OffsetAt(TimePoint when) const;

  // Difference between the best reading and the time it was received.
  Duration m_offset{};
  TimePoint m_observed;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_EXECUTION_PEER_CLOCK_H_
