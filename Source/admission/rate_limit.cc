#include "admission/rate_limit.h"

#include <algorithm>

namespace vanillatiller {
namespace {

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

double RateLimit::Tokens(TimePoint now) const {
  const double capacity = 1 + m_paced_rate * Seconds(kBurstTime);
  const double refill =
      m_paced_rate * Seconds(std::max(now - m_refilled, Duration::zero()));
  return std::min(m_tokens + refill, capacity);
}

void RateLimit::Set(std::optional<double> rate, TimePoint now) {
  if (rate == m_rate) return;
  m_tokens = m_rate && rate ? Tokens(now) : 0;
  m_refilled = now;
  m_rate = rate;
  m_paced_rate = std::clamp(rate.value_or(0), kMinRate, kMaxRate);
}

bool RateLimit::Allows(TimePoint now) const {
  return !m_rate || Tokens(now) >= 1;
}

void RateLimit::OnSent(TimePoint now) {
  if (!m_rate) return;
  m_tokens = Tokens(now) - 1;
  m_refilled = std::max(now, m_refilled);
}

Duration RateLimit::TimeFor(uint32_t calls, TimePoint now) const {
  if (!m_rate) return Duration::zero();
  const double missing = std::max(0.0, calls - Tokens(now));
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(missing / m_paced_rate));
}

std::optional<uint32_t> RateLimit::CallsIn(Duration time) const {
  if (!m_rate) return std::nullopt;
  return std::max(1U, static_cast<uint32_t>(m_paced_rate * Seconds(time)));
}

}  // namespace vanillatiller
