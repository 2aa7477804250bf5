#include "admission/concurrency_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace vanillatiller {
namespace {

// Minimum samples for an estimate of the mean latency.
constexpr double kMinSamples = 128;
// A lower limit is kept only if latency falls by this many standard errors.
constexpr double kSignificance = 2.0;
// Ratio of mean latency to accepted latency that starts a trial.
constexpr double kSlowdownTrigger = 2.0;
// Factor by which a trial lowers the limit.
constexpr double kTrialFactor = 0.7;
// Minimum d(log latency) / d(log limit) for keeping a lower limit: at 1 the
// removed calls were only waiting, at 0 they were doing useful work.
constexpr double kMinElasticity = 0.5;
// A longer trial could mistake the end of a temporary slowdown for an effect of
// the lower limit. A backend server with too few calls per second to complete a
// trial keeps its limit.
constexpr Duration kMaxTrialDuration = std::chrono::seconds(1);
// Time until the next trial after a lower limit did not reduce a slowdown.
constexpr Duration kAcceptedSlowdownLifetime = std::chrono::seconds(10);
// Growth per window. Below the overload limit: a fraction of the limit, with a
// minimum in calls. Above it: a fraction of the slots, smaller if the overload
// limit came from refusals, because exceeding it causes refused calls and not
// just latency.
constexpr double kFastGrowthFraction = 0.05;
constexpr double kMinFastGrowth = 1.0;
constexpr double kSlowGrowthAfterTrial = 0.02;
constexpr double kSlowGrowthAfterShed = 0.002;
// Factors applied to the calls in flight when the backend server refuses a
// call, for the new limit and for the overload limit.
constexpr double kShedDecreaseFactor = 0.9;
constexpr double kShedOverloadLimitFactor = 0.97;
constexpr double kColdStartFraction = 0.25;
constexpr double kRampUpFactor = 1.5;
constexpr double kSlowRampUpFactor = 1.1;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(uint32_t slots)
    : m_slots(std::max(slots, 1U)),
      m_limit(m_slots),
      m_overload_limit(m_slots) {}

uint32_t ConcurrencyLimit::Current() const {
  return static_cast<uint32_t>(std::clamp(m_limit, 1.0, m_slots));
}

void ConcurrencyLimit::OnLatency(double slowdown, TimePoint dispatched,
                                 TimePoint now) {
  if (dispatched < m_samples_valid_from) return;
  if (m_phase == Phase::kTrialSettling) {
    // This call queued behind calls from before the decrease. Measure only
    // calls dispatched from now on.
    m_samples_valid_from = now;
    m_phase = Phase::kTrialMeasuring;
    return;
  }
  m_slowdown_sum += slowdown;
  m_slowdown_square_sum += slowdown * slowdown;
  ++m_sample_count;
}

void ConcurrencyLimit::OnShed(uint32_t in_flight, TimePoint dispatched,
                              TimePoint now) {
  if (dispatched < m_last_shed) return;
  const double held_calls = std::min(m_limit, static_cast<double>(in_flight));
  m_last_shed = now;
  m_overload_limit = std::max(1.0, held_calls * kShedOverloadLimitFactor);
  m_limit = std::max(1.0, held_calls * kShedDecreaseFactor);
  m_slow_growth = kSlowGrowthAfterShed;
  m_phase = Phase::kSteady;
  ResetSamples();
}

void ConcurrencyLimit::OnWindow(bool was_limit_reached, TimePoint now) {
  const bool is_trial =
      m_phase == Phase::kTrialSettling || m_phase == Phase::kTrialMeasuring;
  if (is_trial && now - m_trial_start > kMaxTrialDuration) {
    m_accepted_slowdown = m_slowdown_before_trial;
    m_accepted_until = now + kAcceptedSlowdownLifetime;
    return EndTrial(now);
  }
  if (now >= m_accepted_until) m_accepted_slowdown = 1;
  // The ramp-up advances once every slot has been used about once.
  const bool is_ramping_up = m_phase == Phase::kRampUp;
  const double required_samples =
      is_ramping_up ? std::min(m_limit, kMinSamples) : kMinSamples;
  if (m_sample_count < required_samples) {
    if (was_limit_reached && m_phase == Phase::kSteady) Grow();
    return;
  }
  const double slowdown = m_slowdown_sum / m_sample_count;
  const double variance =
      m_slowdown_square_sum / m_sample_count - slowdown * slowdown;
  // Standard error of the logarithm of the mean.
  const double error = std::sqrt(variance / m_sample_count) / slowdown;
  ResetSamples();
  if (m_phase == Phase::kTrialMeasuring) {
    return EvaluateTrial(slowdown, error, now);
  }
  if (!was_limit_reached) return;
  if (m_phase == Phase::kRampUp) return RampUp(slowdown);
  if (slowdown > kSlowdownTrigger * m_accepted_slowdown && m_limit >= 2) {
    return StartTrial(slowdown, error, now);
  }
  Grow();
}

void ConcurrencyLimit::Grow() {
  const double fast = std::max(kMinFastGrowth, kFastGrowthFraction * m_limit);
  const double slow = m_slow_growth * m_slots;
  if (m_limit + fast <= m_overload_limit) {
    m_limit += fast;
  } else {
    m_limit =
        std::max(m_limit, std::min(m_overload_limit, m_limit + fast)) + slow;
    m_overload_limit = std::max(m_overload_limit, m_limit);
  }
  m_limit = std::min(m_limit, m_slots);
  m_overload_limit = std::min(m_overload_limit, m_slots);
}

void ConcurrencyLimit::RampUp(double slowdown) {
  const bool is_slow = slowdown > kSlowdownTrigger;
  m_limit = std::min(
      m_slots, m_limit * (is_slow ? kSlowRampUpFactor : kRampUpFactor) + 1);
  if (m_limit >= m_slots) m_phase = Phase::kSteady;
}

void ConcurrencyLimit::StartTrial(double slowdown, double error,
                                  TimePoint now) {
  m_error_before_trial = error;
  m_limit_before_trial = m_limit;
  m_slowdown_before_trial = slowdown;
  m_limit = std::max(1.0, m_limit * kTrialFactor);
  m_trial_start = now;
  m_samples_valid_from = now;
  m_phase = Phase::kTrialSettling;
}

void ConcurrencyLimit::EvaluateTrial(double slowdown, double error,
                                     TimePoint now) {
  const double latency_change = std::log(m_slowdown_before_trial / slowdown);
  const double limit_change = std::log(m_limit_before_trial / m_limit);
  const double noise = std::hypot(error, m_error_before_trial);
  if (latency_change < kMinElasticity * limit_change ||
      latency_change < kSignificance * noise) {
    m_accepted_slowdown = std::max(slowdown, m_slowdown_before_trial);
    m_accepted_until = now + kAcceptedSlowdownLifetime;
    return EndTrial(now);
  }
  m_overload_limit = m_limit;
  m_slow_growth = kSlowGrowthAfterTrial;
  m_phase = Phase::kSteady;
}

void ConcurrencyLimit::EndTrial(TimePoint now) {
  m_limit = std::min(m_limit_before_trial, m_slots);
  m_samples_valid_from = now;
  m_phase = Phase::kSteady;
  ResetSamples();
}

void ConcurrencyLimit::ResetSamples() {
  m_slowdown_sum = 0;
  m_slowdown_square_sum = 0;
  m_sample_count = 0;
}

void ConcurrencyLimit::BeginColdStart(TimePoint now) {
  m_limit = std::max(1.0, m_slots * kColdStartFraction);
  m_overload_limit = m_slots;
  m_accepted_slowdown = 1;
  m_samples_valid_from = now;
  m_phase = Phase::kRampUp;
  ResetSamples();
}

void ConcurrencyLimit::SetSlots(uint32_t slots) {
  const double new_slots = std::max(slots, 1U);
  if (new_slots == m_slots) return;
  const double scale = new_slots / m_slots;
  m_slots = new_slots;
  m_limit = std::clamp(m_limit * scale, 1.0, m_slots);
  m_limit_before_trial = std::min(m_limit_before_trial * scale, m_slots);
  m_overload_limit = std::clamp(m_overload_limit * scale, 1.0, m_slots);
}

}  // namespace vanillatiller
