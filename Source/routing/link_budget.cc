#include "routing/link_budget.h"

#include <algorithm>

namespace vanillatiller {
namespace {

// Capacity of the bucket, in seconds at the configured rate.
constexpr double kBurstSeconds = 1.0;

}  // namespace

LinkBudget::LinkBudget(uint64_t bytes_per_second, TimePoint now)
    : m_bytes_per_second(bytes_per_second),
      m_tokens(static_cast<double>(bytes_per_second) * kBurstSeconds),
      m_refilled_at(now) {}

bool LinkBudget::TryTake(uint64_t bytes, TimePoint now) {
  const std::lock_guard lock(m_mutex);
  Refill(now);
  if (m_tokens <= 0) return false;
  m_tokens -= static_cast<double>(bytes);
  return true;
}

void LinkBudget::Charge(uint64_t bytes, TimePoint now) {
  const std::lock_guard lock(m_mutex);
  Refill(now);
  m_tokens -= static_cast<double>(bytes);
}

void LinkBudget::Refill(TimePoint now) {
  if (now <= m_refilled_at) return;
  const double seconds =
      std::chrono::duration<double>(now - m_refilled_at).count();
  const double rate = static_cast<double>(m_bytes_per_second);
  m_tokens = std::min(m_tokens + seconds * rate, rate * kBurstSeconds);
  m_refilled_at = now;
}

}  // namespace vanillatiller
