#ifndef VANILLATILLER_SOURCE_ADMISSION_SATURATION_LIMIT_H_
#define VANILLATILLER_SOURCE_ADMISSION_SATURATION_LIMIT_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/base.h"

namespace vanillatiller {

// Concurrency limit for a backend server that never accepts more calls than its
// declared slots.
//
// Handles backend servers that slow down when nearly all slots are in use, so
// that leaving a few slots free increases throughput, under load that keeps
// calls queued for seconds. While calls are queued, the throughput with all
// slots is periodically compared with that of slightly fewer, and the better
// limit is kept until the next comparison. Without queued calls, throughput
// does not depend on the limit, and nothing is compared.
class SaturationLimit {
 public:
  explicit SaturationLimit(uint32_t slots);

  uint32_t Current() const { return m_limits[m_current]; }
  void SetSlots(uint32_t slots);
  // Reports the end of a measurement window in which `finished` calls ended.
  // `mean_hold_time` is their mean slot occupancy; `was_saturated` tells
  // whether calls were queued throughout the window.
  void OnWindow(bool was_saturated, uint32_t finished, Duration length,
                Duration mean_hold_time);

 private:
  // All slots, and slightly fewer.
  static constexpr size_t kCandidateCount = 2;

  void BeginBlock(size_t candidate, Duration mean_hold_time);
  void EndBlock();

  std::array<uint32_t, kCandidateCount> m_limits{};
  // Throughput with each limit, in calls per second; 0 if not yet measured.
  std::array<double, kCandidateCount> m_rates{};
  size_t m_current = 0;
  // Index of the limit with the higher throughput.
  size_t m_best = 0;
  // Remaining time to wait for calls dispatched under the previous limit.
  Duration m_settling_time{};
  // Duration and finished calls of the current measurement block.
  Duration m_block_duration{};
  uint32_t m_block_calls = 0;
  // Time under saturation until the other limit is tried again.
  Duration m_time_until_trial{};
  Duration m_trial_period;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ADMISSION_SATURATION_LIMIT_H_
