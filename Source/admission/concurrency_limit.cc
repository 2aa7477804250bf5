#include "admission/concurrency_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace vanillatiller {
namespace {

// Fewer samples than this say too little of the mean latency.
constexpr double kMinSamples = 128;
// Standard errors by which latency must fall for a lower limit to be kept.
constexpr double kSignificance = 2.0;
// Mean latency over the accepted one that starts a trial.
constexpr double kSlowdownTrigger = 2.0;
// A trial lowers the limit to this part.
constexpr double kTrialFactor = 0.7;
// Smallest d(log latency) / d(log limit) at which a lower limit is kept: 1
// means that the lost concurrency was only waiting, 0 that it was useful.
constexpr double kKeptElasticity = 0.5;
// Longer trials would take the end of a slow spell for their own success. A
// backend server with fewer calls a second than a trial needs keeps its limit.
constexpr Duration kMaxTrial = std::chrono::seconds(1);
// How long an uncured slowdown is accepted before the next trial.
constexpr Duration kAcceptance = std::chrono::seconds(10);
// Growth for each window: below the known bound by a part of the limit, in
// calls at least; beyond it by a part of the slots. Growth beyond a bound known
// from latency costs only latency, beyond one known from refusals it costs
// refused calls.
constexpr double kFastGrowth = 0.05;
constexpr double kFastGrowthCalls = 1.0;
constexpr double kGrowthAfterTrial = 0.02;
constexpr double kGrowthAfterShed = 0.002;
// A refusal by the backend server lowers the limit to this part of what it
// held, and marks a bound a little below what it held.
constexpr double kShedFactor = 0.9;
constexpr double kShedBoundFactor = 0.97;
constexpr double kColdStartPart = 0.25;
constexpr double kRampFactor = 1.5;
constexpr double kSlowRampFactor = 1.1;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(uint32_t slots)
    : m_slots(std::max(slots, 1U)), m_limit(m_slots), m_known_bound(m_slots) {}

uint32_t ConcurrencyLimit::Current() const {
  return static_cast<uint32_t>(std::clamp(m_limit, 1.0, m_slots));
}

void ConcurrencyLimit::OnLatency(double slowdown, TimePoint dispatched,
                                 TimePoint now) {
  if (dispatched < m_samples_from) return;
  if (m_phase == Phase::kTrialSettling) {
    // This call waited behind calls from before the decrease; the ones
    // dispatched from now on do not.
    m_samples_from = now;
    m_phase = Phase::kTrialMeasuring;
    return;
  }
  m_slowdown_sum += slowdown;
  m_slowdown_squares += slowdown * slowdown;
  ++m_samples;
}

void ConcurrencyLimit::OnShed(uint32_t in_flight, TimePoint dispatched,
                              TimePoint now) {
  if (dispatched < m_last_shed) return;
  const double held = std::min(m_limit, static_cast<double>(in_flight));
  m_last_shed = now;
  m_known_bound = std::max(1.0, held * kShedBoundFactor);
  m_limit = std::max(1.0, held * kShedFactor);
  m_growth_beyond_bound = kGrowthAfterShed;
  m_phase = Phase::kSteady;
  ResetSamples();
}

void ConcurrencyLimit::OnWindow(bool was_reached, TimePoint now) {
  const bool is_trial =
      m_phase == Phase::kTrialSettling || m_phase == Phase::kTrialMeasuring;
  if (is_trial && now - m_trial_started > kMaxTrial) {
    m_accepted_slowdown = m_slowdown_before_trial;
    m_accepted_until = now + kAcceptance;
    return EndTrial(now);
  }
  if (now >= m_accepted_until) m_accepted_slowdown = 1;
  // A ramp goes on once every slot was used about once.
  const bool is_ramp = m_phase == Phase::kRamp;
  const double wanted = is_ramp ? std::min(m_limit, kMinSamples) : kMinSamples;
  if (m_samples < wanted) {
    if (was_reached && m_phase == Phase::kSteady) Grow();
    return;
  }
  const double slowdown = m_slowdown_sum / m_samples;
  const double variance = m_slowdown_squares / m_samples - slowdown * slowdown;
  // Of the logarithm of the mean.
  const double error = std::sqrt(variance / m_samples) / slowdown;
  ResetSamples();
  if (m_phase == Phase::kTrialMeasuring) {
    return JudgeTrial(slowdown, error, now);
  }
  if (!was_reached) return;
  if (m_phase == Phase::kRamp) return Ramp(slowdown);
  if (slowdown > kSlowdownTrigger * m_accepted_slowdown && m_limit >= 2) {
    return StartTrial(slowdown, error, now);
  }
  Grow();
}

void ConcurrencyLimit::Grow() {
  const double fast = std::max(kFastGrowthCalls, kFastGrowth * m_limit);
  const double slow = m_growth_beyond_bound * m_slots;
  if (m_limit + fast <= m_known_bound) {
    m_limit += fast;
  } else {
    m_limit = std::max(m_limit, std::min(m_known_bound, m_limit + fast)) + slow;
    m_known_bound = std::max(m_known_bound, m_limit);
  }
  m_limit = std::min(m_limit, m_slots);
  m_known_bound = std::min(m_known_bound, m_slots);
}

void ConcurrencyLimit::Ramp(double slowdown) {
  const bool is_slow = slowdown > kSlowdownTrigger;
  m_limit = std::min(m_slots,
                     m_limit * (is_slow ? kSlowRampFactor : kRampFactor) + 1);
  if (m_limit >= m_slots) m_phase = Phase::kSteady;
}

void ConcurrencyLimit::StartTrial(double slowdown, double error,
                                  TimePoint now) {
  m_error_before_trial = error;
  m_limit_before_trial = m_limit;
  m_slowdown_before_trial = slowdown;
  m_limit = std::max(1.0, m_limit * kTrialFactor);
  m_trial_started = now;
  m_samples_from = now;
  m_phase = Phase::kTrialSettling;
}

void ConcurrencyLimit::JudgeTrial(double slowdown, double error,
                                  TimePoint now) {
  const double latency_change = std::log(m_slowdown_before_trial / slowdown);
  const double limit_change = std::log(m_limit_before_trial / m_limit);
  const double noise = std::hypot(error, m_error_before_trial);
  if (latency_change < kKeptElasticity * limit_change ||
      latency_change < kSignificance * noise) {
    m_accepted_slowdown = std::max(slowdown, m_slowdown_before_trial);
    m_accepted_until = now + kAcceptance;
    return EndTrial(now);
  }
  m_known_bound = m_limit;
  m_growth_beyond_bound = kGrowthAfterTrial;
  m_phase = Phase::kSteady;
}

void ConcurrencyLimit::EndTrial(TimePoint now) {
  m_limit = std::min(m_limit_before_trial, m_slots);
  m_samples_from = now;
  m_phase = Phase::kSteady;
  ResetSamples();
}

void ConcurrencyLimit::ResetSamples() {
  m_slowdown_sum = 0;
  m_slowdown_squares = 0;
  m_samples = 0;
}

void ConcurrencyLimit::StartCold(TimePoint now) {
  m_limit = std::max(1.0, m_slots * kColdStartPart);
  m_known_bound = m_slots;
  m_accepted_slowdown = 1;
  m_samples_from = now;
  m_phase = Phase::kRamp;
  ResetSamples();
}

void ConcurrencyLimit::SetSlots(uint32_t slots) {
  const double new_slots = std::max(slots, 1U);
  if (new_slots == m_slots) return;
  const double scale = new_slots / m_slots;
  m_slots = new_slots;
  m_limit = std::clamp(m_limit * scale, 1.0, m_slots);
  m_limit_before_trial = std::min(m_limit_before_trial * scale, m_slots);
  m_known_bound = std::clamp(m_known_bound * scale, 1.0, m_slots);
}

}  // namespace vanillatiller
