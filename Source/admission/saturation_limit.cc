#include "admission/saturation_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace vanillatiller {
namespace {

// Part of the slots below which backend servers are not nearly full.
constexpr double kNearlyFull = 0.95;
// With fewer slots than this, one slot is more than can be spared for a trial.
constexpr uint32_t kFewestSlots = 10;
// Shortest time over which calls are counted for one comparison.
constexpr Duration kBlock = std::chrono::milliseconds(400);
// Time under saturation between comparisons: the first, and the longest after
// comparisons that agreed.
constexpr Duration kFirstPeriod = std::chrono::seconds(2);
constexpr Duration kLastPeriod = std::chrono::seconds(8);
// Weight of a new count against earlier ones.
constexpr double kNewWeight = 0.6;
// More calls that fewer slots must end: counts of one block differ by chance.
constexpr double kLeastGain = 1.04;

uint32_t BelowNearlyFull(uint32_t slots) {
  if (slots < kFewestSlots) return slots;
  return static_cast<uint32_t>(std::ceil(slots * kNearlyFull)) - 1;
}

}  // namespace

SaturationLimit::SaturationLimit(uint32_t slots)
    : m_trial_period(kFirstPeriod) {
  SetSlots(slots);
}

void SaturationLimit::SetSlots(uint32_t slots) {
  if (slots == m_bounds[0]) return;
  m_bounds = {slots, BelowNearlyFull(slots)};
  m_rates = {};
  m_best = 0;
  m_trial_period = kFirstPeriod;
  Begin(0, Duration::zero());
}

void SaturationLimit::Begin(size_t arm, Duration hold) {
  m_settling = arm == m_arm ? Duration::zero() : hold;
  m_arm = arm;
  m_measured = Duration::zero();
  m_measured_calls = 0;
}

void SaturationLimit::OnWindow(bool was_saturated, uint32_t finished,
                               Duration length, Duration hold) {
  if (!was_saturated) {
    Begin(m_best, hold);
    return;
  }
  if (m_settling > Duration::zero()) {
    m_settling -= length;
    return;
  }
  m_until_trial -= length;
  m_measured += length;
  m_measured_calls += finished;
  if (m_measured < std::max(kBlock, 2 * hold)) return;
  EndBlock();
  const bool is_trial_due =
      m_rates[0] == 0 || m_rates[1] == 0 || m_until_trial <= Duration::zero();
  const size_t other = 1 - m_best;
  if (is_trial_due) m_until_trial = m_trial_period;
  Begin(is_trial_due && m_arm != other ? other : m_best, hold);
}

void SaturationLimit::EndBlock() {
  const double rate =
      m_measured_calls / std::chrono::duration<double>(m_measured).count();
  double& known = m_rates[m_arm];
  known = known == 0 ? rate : known + kNewWeight * (rate - known);
  if (m_rates[0] == 0 || m_rates[1] == 0) return;
  const size_t best = m_rates[1] > kLeastGain * m_rates[0] ? 1 : 0;
  if (m_arm != m_best) {
    m_trial_period = best == m_best ? std::min(2 * m_trial_period, kLastPeriod)
                                    : kFirstPeriod;
  }
  m_best = best;
}

}  // namespace vanillatiller
