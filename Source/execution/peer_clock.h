#ifndef VANILLATILLER_SOURCE_EXECUTION_PEER_CLOCK_H_
#define VANILLATILLER_SOURCE_EXECUTION_PEER_CLOCK_H_

#include <optional>

#include "base/base.h"

namespace vanillatiller {

// Lower bound of a callee's clock, learnt from the readings that its answers
// carry. A caller states the deadline of a call in the callee's clock, so that
// a call that is delayed on its way, or sits in the buffers of a paused
// process, is seen to be old when it is finally read.
//
// The bound is low by the travel time of the best reading. It is lowered by
// kMaxDriftPpm as that reading ages, so that it stays a bound although the
// clocks run at different rates.
class PeerClock {
 public:
  // Largest difference in rate between two clocks, in parts per million.
  static constexpr int64_t kMaxDriftPpm = 200;

  // Takes a reading that arrived at `now`. Readings of an older incarnation are
  // ignored; a newer incarnation starts afresh.
  void Observe(Incarnation incarnation, TimePoint reading, TimePoint now);

  // 0 if nothing is known.
  Incarnation CurrentIncarnation() const { return m_incarnation; }

  // The callee's time at the caller's time `when`; nullopt if nothing is known.
  std::optional<TimePoint> ToPeerTime(TimePoint when) const;

 private:
  Incarnation m_incarnation = 0;
  // Lower bound of peer time minus own time for the caller's time `when`.
  Duration OffsetAt(TimePoint when) const;

  // Difference between the best reading and the time of its arrival.
  Duration m_offset{};
  TimePoint m_observed;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_EXECUTION_PEER_CLOCK_H_
