#include "admission/service_time.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace vanillatiller {
namespace {

constexpr uint32_t kWarmUpSamples = 128;
constexpr uint32_t kFastSamples = 16;
// Relative difference between the means that indicates a change of the service
// time, not noise.
constexpr double kResetThreshold = 0.8;
// Rate at which the baseline approaches the current latency per window. Slow
// under load, where latency includes waiting.
constexpr double kIdleBaselineRise = 0.05;
constexpr double kLoadedBaselineRise = 0.0005;
// Decay of the estimate per window in which calls were refused because of it
// and none finished. Otherwise, an estimate that causes every call to be
// refused would never be corrected.
constexpr double kUnsampledDecay = 0.9;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void ServiceTimeEstimator::Mean::Add(double value, uint32_t sample_count) {
  slow += (value - slow) / sample_count;
  fast += (value - fast) / std::min(sample_count, kFastSamples);
  if (std::abs(fast - slow) > kResetThreshold * slow) slow = fast;
}

void ServiceTimeEstimator::Add(Duration hold_time, Duration latency) {
  m_sample_count = std::min(m_sample_count + 1, kWarmUpSamples);
  m_was_sampled = true;
  m_hold_time.Add(Seconds(hold_time), m_sample_count);
  m_latency.Add(Seconds(latency), m_sample_count);
  if (m_sample_count < kWarmUpSamples) return;
  const bool is_first = m_baseline_latency == 0;
  m_baseline_latency =
      is_first ? m_latency.slow : std::min(m_baseline_latency, m_latency.slow);
}

void ServiceTimeEstimator::AddLowerBound(Duration hold_time) {
  m_was_sampled = true;
  if (Seconds(hold_time) <= m_hold_time.slow) return;
  m_sample_count = std::min(m_sample_count + 1, kWarmUpSamples);
  m_hold_time.Add(Seconds(hold_time), m_sample_count);
}

Duration ServiceTimeEstimator::MeanHoldTime() const {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(m_hold_time.slow));
}

double ServiceTimeEstimator::Slowdown(Duration latency) const {
  if (m_baseline_latency <= 0) return 1;
  return Seconds(latency) / m_baseline_latency;
}

void ServiceTimeEstimator::OnWindow(bool was_limit_reached) {
  if (m_was_refused && !m_was_sampled) {
    m_hold_time.slow *= kUnsampledDecay;
    m_hold_time.fast *= kUnsampledDecay;
  }
  const bool was_sampled = m_was_sampled;
  m_was_refused = false;
  m_was_sampled = false;
  if (!was_sampled || m_baseline_latency <= 0) return;
  const double rise =
      was_limit_reached ? kLoadedBaselineRise : kIdleBaselineRise;
  m_baseline_latency +=
      rise * std::max(0.0, m_latency.slow - m_baseline_latency);
}

}  // namespace vanillatiller
