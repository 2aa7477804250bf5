#include "retry/chain_budget.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace vanillatiller {
namespace {

// Sentinel value of the pool after Close().
constexpr uint32_t kClosed = std::numeric_limits<uint32_t>::max();

uint32_t ShareOf(uint32_t pool, CalleeKind callee) {
  if (callee == CalleeKind::kLeaf) return 0;
  return pool - pool / 2;
}

}  // namespace

AttemptShare::AttemptShare(std::shared_ptr<ChainBudget> budget, uint32_t count)
    : m_budget(std::move(budget)), m_count(count) {}

AttemptShare::AttemptShare(AttemptShare&& other) noexcept
    : m_budget(std::move(other.m_budget)),
      m_count(std::exchange(other.m_count, 0)) {}

AttemptShare& AttemptShare::operator=(AttemptShare&& other) noexcept {
  m_budget = std::move(other.m_budget);
  m_count = std::exchange(other.m_count, 0);
  return *this;
}

void AttemptShare::Refund(uint32_t unspent) {
  const std::shared_ptr<ChainBudget> budget = std::move(m_budget);
  const uint32_t returned = std::min(unspent, std::exchange(m_count, 0));
  if (budget && returned > 0) budget->Return(returned);
}

std::shared_ptr<ChainBudget> ChainBudget::Create(uint32_t grant) {
  const uint32_t pool = std::min(grant, kClosed - 1);
  return std::shared_ptr<ChainBudget>(new ChainBudget(pool));
}

AttemptShare ChainBudget::TakeFirst(CalleeKind callee) {
  uint32_t share = 0;
  Take(0, callee, &share);
  return AttemptShare(shared_from_this(), share);
}

std::optional<AttemptShare> ChainBudget::TakeRetry(CalleeKind callee) {
  uint32_t share = 0;
  if (!Take(1, callee, &share)) return std::nullopt;
  return AttemptShare(shared_from_this(), share);
}

uint32_t ChainBudget::Available() const {
  const uint32_t pool = m_pool.load();
  return pool == kClosed ? 0 : pool;
}

uint32_t ChainBudget::Close() {
  const uint32_t pool = m_pool.exchange(kClosed);
  return pool == kClosed ? 0 : pool;
}

bool ChainBudget::Take(uint32_t cost, CalleeKind callee, uint32_t* share) {
  uint32_t pool = m_pool.load();
  for (;;) {
    if (pool == kClosed || pool < cost) return false;
    *share = ShareOf(pool - cost, callee);
    if (m_pool.compare_exchange_weak(pool, pool - cost - *share)) return true;
  }
}

void ChainBudget::Return(uint32_t count) {
  uint32_t pool = m_pool.load();
  while (pool != kClosed && !m_pool.compare_exchange_weak(pool, pool + count)) {
  }
}

}  // namespace vanillatiller
