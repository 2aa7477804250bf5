#ifndef VANILLATILLER_SOURCE_ADMISSION_SATURATION_LIMIT_H_
#define VANILLATILLER_SOURCE_ADMISSION_SATURATION_LIMIT_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/base.h"

namespace vanillatiller {

// Bound on the concurrent calls of a backend server that never takes more than
// its declared slots.
//
// Load pattern: calls wait for a slot for seconds, and the backend server slows
// down when nearly all of its slots are taken, so that a few free slots let
// more calls end. While calls wait, windows with all slots and windows with a
// few less take turns, and the bound by which more calls end is kept until the
// next comparison. Without waiting calls there is nothing to compare.
class SaturationLimit {
 public:
  explicit SaturationLimit(uint32_t slots);

  uint32_t Current() const { return m_limits[m_current]; }
  void SetSlots(uint32_t slots);
  // A measurement window ended, in which `finished` calls ended that took
  // `hold` on average. `was_saturated` tells whether calls waited all through
  // it.
  void OnWindow(bool was_saturated, uint32_t finished, Duration length,
                Duration mean_hold_time);

 private:
  // All slots, and fewer.
  static constexpr size_t kCandidateCount = 2;

  void BeginBlock(size_t candidate, Duration mean_hold_time);
  void EndBlock();

  std::array<uint32_t, kCandidateCount> m_limits{};
  // Calls that ended in a second with each bound; 0 if it was not measured.
  std::array<double, kCandidateCount> m_rates{};
  size_t m_current = 0;
  // The bound by which more calls ended.
  size_t m_best = 0;
  // Calls that began before the bound changed still run.
  Duration m_settling_time{};
  // What was measured of the present block.
  Duration m_block_duration{};
  uint32_t m_block_calls = 0;
  // Time under saturation until the other bound is tried again.
  Duration m_time_until_trial{};
  Duration m_trial_period;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ADMISSION_SATURATION_LIMIT_H_
