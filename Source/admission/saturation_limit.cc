#include "admission/saturation_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace vanillatiller {
namespace {

// Backend servers may slow down when at least this fraction of the slots is in
// use.
constexpr double kNearlyFullUtilization = 0.95;
// With fewer slots, a trial would cost too much: one slot is more than a tenth
// of the capacity.
constexpr uint32_t kMinSlotsForTrial = 10;
// Minimum time over which throughput is measured for a comparison.
constexpr Duration kMinBlockDuration = std::chrono::milliseconds(400);
// Time under saturation between comparisons. It starts at the minimum and
// doubles up to the maximum while comparisons confirm the current limit.
constexpr Duration kMinTrialPeriod = std::chrono::seconds(2);
constexpr Duration kMaxTrialPeriod = std::chrono::seconds(8);
// Weight of a new measurement in the smoothed rate.
constexpr double kRateSmoothingFactor = 0.6;
// Minimum throughput ratio for choosing fewer slots; smaller differences
// between blocks are treated as noise.
constexpr double kMinRateGain = 1.04;

uint32_t ReducedSlots(uint32_t slots) {
  if (slots < kMinSlotsForTrial) return slots;
  return static_cast<uint32_t>(std::ceil(slots * kNearlyFullUtilization)) - 1;
}

}  // namespace

SaturationLimit::SaturationLimit(uint32_t slots)
    : m_trial_period(kMinTrialPeriod) {
  SetSlots(slots);
}

void SaturationLimit::SetSlots(uint32_t slots) {
  if (slots == m_limits[0]) return;
  m_limits = {slots, ReducedSlots(slots)};
  m_rates = {};
  m_best = 0;
  m_trial_period = kMinTrialPeriod;
  BeginBlock(0, Duration::zero());
}

void SaturationLimit::BeginBlock(size_t candidate, Duration mean_hold_time) {
  m_settling_time = candidate == m_current ? Duration::zero() : mean_hold_time;
  m_current = candidate;
  m_block_duration = Duration::zero();
  m_block_calls = 0;
}

void SaturationLimit::OnWindow(bool was_saturated, uint32_t finished,
                               Duration length, Duration mean_hold_time) {
  if (!was_saturated) {
    BeginBlock(m_best, mean_hold_time);
    return;
  }
  if (m_settling_time > Duration::zero()) {
    m_settling_time -= length;
    return;
  }
  m_time_until_trial -= length;
  m_block_duration += length;
  m_block_calls += finished;
  if (m_block_duration < std::max(kMinBlockDuration, 2 * mean_hold_time)) {
    return;
  }
  EndBlock();
  const bool is_trial_due = m_rates[0] == 0 || m_rates[1] == 0 ||
                            m_time_until_trial <= Duration::zero();
  const size_t other = 1 - m_best;
  if (is_trial_due) m_time_until_trial = m_trial_period;
  BeginBlock(is_trial_due && m_current != other ? other : m_best,
             mean_hold_time);
}

void SaturationLimit::EndBlock() {
  const double rate =
      m_block_calls / std::chrono::duration<double>(m_block_duration).count();
  double& smoothed = m_rates[m_current];
  smoothed = smoothed == 0
                 ? rate
                 : smoothed + kRateSmoothingFactor * (rate - smoothed);
  if (m_rates[0] == 0 || m_rates[1] == 0) return;
  const size_t best = m_rates[1] > kMinRateGain * m_rates[0] ? 1 : 0;
  if (m_current != m_best) {
    m_trial_period = best == m_best
                         ? std::min(2 * m_trial_period, kMaxTrialPeriod)
                         : kMinTrialPeriod;
  }
  m_best = best;
}

}  // namespace vanillatiller
