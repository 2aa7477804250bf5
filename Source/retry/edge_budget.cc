#include "retry/edge_budget.h"

#include <algorithm>
#include <chrono>

namespace vanillatiller {

EdgeBudget::EdgeBudget(const EdgeBudgetSettings& settings, TimePoint now)
    : m_settings(settings), m_tokens(settings.capacity), m_refilled_at(now) {}

void EdgeBudget::RecordSuccess(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  Refill(now);
  Add(m_settings.ratio);
}

bool EdgeBudget::TrySpend(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  Refill(now);
  if (m_tokens < 1.0) return false;
  m_tokens -= 1.0;
  return true;
}

void EdgeBudget::Refund(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  Refill(now);
  Add(1.0);
}

double EdgeBudget::Balance(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  Refill(now);
  return m_tokens;
}

void EdgeBudget::Add(double tokens) {
  m_tokens = std::min(m_tokens + tokens, m_settings.capacity);
}

void EdgeBudget::Refill(TimePoint now) {
  if (now <= m_refilled_at) return;
  const std::chrono::duration<double> elapsed = now - m_refilled_at;
  m_refilled_at = now;
  Add(elapsed.count() * m_settings.retries_per_second);
}

}  // namespace vanillatiller
