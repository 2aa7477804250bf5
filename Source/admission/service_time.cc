#include "admission/service_time.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace vanillatiller {
namespace {

constexpr uint32_t kWarmSamples = 128;
constexpr uint32_t kFastSamples = 16;
// Difference between both means, as a part, that chance does not explain.
constexpr double kJump = 0.8;
// Rise of the base towards the present latency for each window: fast without
// load, and slow under load, where latency also contains waiting.
constexpr double kIdleRise = 0.05;
constexpr double kLoadedRise = 0.0005;
// Part of the estimate that stays after a window in which it refused calls and
// no call finished. Nothing else would correct an estimate that refuses all.
constexpr double kUnsampledDecay = 0.9;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void ServiceTime::Mean::Add(double value, uint32_t samples) {
  slow += (value - slow) / samples;
  fast += (value - fast) / std::min(samples, kFastSamples);
  if (std::abs(fast - slow) > kJump * slow) slow = fast;
}

void ServiceTime::Add(Duration hold, Duration latency) {
  m_samples = std::min(m_samples + 1, kWarmSamples);
  m_was_sampled = true;
  m_hold.Add(Seconds(hold), m_samples);
  m_latency.Add(Seconds(latency), m_samples);
  if (m_samples < kWarmSamples) return;
  const bool is_first = m_base_latency == 0;
  m_base_latency =
      is_first ? m_latency.slow : std::min(m_base_latency, m_latency.slow);
}

void ServiceTime::AddAtLeast(Duration hold) {
  m_was_sampled = true;
  if (Seconds(hold) <= m_hold.slow) return;
  m_samples = std::min(m_samples + 1, kWarmSamples);
  m_hold.Add(Seconds(hold), m_samples);
}

Duration ServiceTime::Hold() const {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(m_hold.slow));
}

double ServiceTime::Slowdown(Duration latency) const {
  if (m_base_latency <= 0) return 1;
  return Seconds(latency) / m_base_latency;
}

void ServiceTime::OnWindow(bool was_reached) {
  if (m_was_refused && !m_was_sampled) {
    m_hold.slow *= kUnsampledDecay;
    m_hold.fast *= kUnsampledDecay;
  }
  const bool was_sampled = m_was_sampled;
  m_was_refused = false;
  m_was_sampled = false;
  if (!was_sampled || m_base_latency <= 0) return;
  const double rise = was_reached ? kLoadedRise : kIdleRise;
  m_base_latency += rise * std::max(0.0, m_latency.slow - m_base_latency);
}

}  // namespace vanillatiller
