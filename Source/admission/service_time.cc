#include "admission/service_time.h"

#include <algorithm>
#include <chrono>

namespace vanillatiller {
namespace {

constexpr uint32_t kWarmSamples = 128;
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

void ServiceTime::Add(Duration hold, Duration latency) {
  m_samples = std::min(m_samples + 1, kWarmSamples);
  m_was_sampled = true;
  m_hold += (Seconds(hold) - m_hold) / m_samples;
  m_latency += (Seconds(latency) - m_latency) / m_samples;
  if (m_samples < kWarmSamples) return;
  const bool is_first = m_base_latency == 0;
  m_base_latency = is_first ? m_latency : std::min(m_base_latency, m_latency);
}

void ServiceTime::AddAtLeast(Duration hold) {
  m_was_sampled = true;
  if (Seconds(hold) <= m_hold) return;
  m_samples = std::min(m_samples + 1, kWarmSamples);
  m_hold += (Seconds(hold) - m_hold) / m_samples;
}

Duration ServiceTime::Hold() const {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(m_hold));
}

double ServiceTime::Slowdown(Duration latency) const {
  if (m_base_latency <= 0) return 1;
  return Seconds(latency) / m_base_latency;
}

void ServiceTime::OnWindow(bool was_reached) {
  if (m_was_refused && !m_was_sampled) m_hold *= kUnsampledDecay;
  const bool was_sampled = m_was_sampled;
  m_was_refused = false;
  m_was_sampled = false;
  if (!was_sampled || m_base_latency <= 0) return;
  const double rise = was_reached ? kLoadedRise : kIdleRise;
  m_base_latency += rise * std::max(0.0, m_latency - m_base_latency);
}

}  // namespace vanillatiller
