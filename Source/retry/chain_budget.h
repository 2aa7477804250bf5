#ifndef VANILLATILLER_SOURCE_RETRY_CHAIN_BUDGET_H_
#define VANILLATILLER_SOURCE_RETRY_CHAIN_BUDGET_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>

namespace vanillatiller {

class ChainBudget;

// The part of a ChainBudget that is delegated to one downstream attempt. It can
// be refunded once, with the unspent count from the answer. Destroying a share
// without a refund, as after a lost answer, forfeits its attempts.
class AttemptShare {
 public:
  AttemptShare(AttemptShare&& other) noexcept;
  AttemptShare& operator=(AttemptShare&& other) noexcept;
  AttemptShare(const AttemptShare&) = delete;
  AttemptShare& operator=(const AttemptShare&) = delete;
  ~AttemptShare() = default;

  // Extra attempts that the callee may spend; sent as
  // CallContext::extra_attempts.
  uint32_t Count() const { return m_count; }

  // Returns `unspent` attempts to the budget after an answer, capped at the
  // size of the share. Further calls have no effect.
  void Refund(uint32_t unspent);

  // Returns the whole share, once it is proved that the attempt never runs.
  void RefundAll() { Refund(m_count); }

 private:
  friend class ChainBudget;
  AttemptShare(std::shared_ptr<ChainBudget> budget, uint32_t count);

  std::shared_ptr<ChainBudget> m_budget;
  uint32_t m_count = 0;
};

// Whether the called method makes calls of its own.
enum class CalleeKind : uint8_t {
  // Calls no other method, so it gets no share.
  kLeaf,
  // Calls other methods.
  kNonLeaf,
};

// Extra attempts available to one active call. All concurrent downstream calls
// of the active call draw from the same pool. Thread-safe.
//
// Invariant: pool + outstanding shares + spent attempts <= grant. A request
// therefore never makes more extra attempts than its entry node granted, even
// if answers are lost.
class ChainBudget : public std::enable_shared_from_this<ChainBudget> {
 public:
  static std::shared_ptr<ChainBudget> Create(uint32_t grant);

  // Allocates the share for the first attempt of a downstream call: half of the
  // pool, rounded up. The other half stays here for retries in case the share
  // is lost. The share may be empty, and always is after Close().
  AttemptShare TakeFirst(CalleeKind callee);

  // Spends one extra attempt and allocates a share of the remainder. Returns
  // nullopt if the pool is empty or closed.
  std::optional<AttemptShare> TakeRetry(CalleeKind callee);

  // Number of attempts currently in the pool.
  uint32_t Available() const;

  // Closes the pool at the end of the active call and returns the unspent
  // count for its answer. Outstanding shares are forfeited. A second call
  // returns 0.
  uint32_t Close();

 private:
  friend class AttemptShare;
  explicit ChainBudget(uint32_t grant) : m_pool(grant) {}

  // Deducts `cost` attempts and a share from the pool. Returns false if the
  // pool holds less than `cost` or is closed.
  bool Take(uint32_t cost, CalleeKind callee, uint32_t* share);
  void Return(uint32_t count);

  // Number of attempts in the pool; kClosed after Close().
  std::atomic<uint32_t> m_pool;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RETRY_CHAIN_BUDGET_H_
