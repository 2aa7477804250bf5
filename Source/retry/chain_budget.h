#ifndef VANILLATILLER_SOURCE_RETRY_CHAIN_BUDGET_H_
#define VANILLATILLER_SOURCE_RETRY_CHAIN_BUDGET_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>

namespace vanillatiller {

class ChainBudget;

// Extra attempts that one downstream attempt carries. The share belongs to one
// attempt only: it is settled once, with the count that the answer returns.
// Destroying an unsettled share forfeits it, as after a lost answer.
class AttemptShare {
 public:
  AttemptShare(AttemptShare&& other) noexcept;
  AttemptShare& operator=(AttemptShare&& other) noexcept;
  AttemptShare(const AttemptShare&) = delete;
  AttemptShare& operator=(const AttemptShare&) = delete;
  ~AttemptShare() = default;

  // What the attempt may spend; travels as CallContext::extra_attempts.
  uint32_t Count() const { return m_count; }

  // The answer arrived: gives `unspent` back to the active call, at most what
  // the share holds. Further calls have no effect.
  void Refund(uint32_t unspent);

  // The callee proved that the attempt never runs: all of it comes back.
  void RefundAll() { Refund(m_count); }

 private:
  friend class ChainBudget;
  AttemptShare(std::shared_ptr<ChainBudget> budget, uint32_t count);

  std::shared_ptr<ChainBudget> m_budget;
  uint32_t m_count = 0;
};

// What the callee of an attempt may do with a share.
enum class CalleeKind : uint8_t {
  // The method calls no other method, so it gets no share.
  kLeaf,
  // The method makes calls of its own.
  kNonLeaf,
};

// Extra attempts of one active call. All concurrent downstream calls of the
// active call draw from the same pool. Thread-safe.
//
// The sum of the pool, the shares that are out and the attempts that were spent
// never exceeds the grant, so that a request never has more extra attempts than
// its entry node granted, whatever is lost.
class ChainBudget : public std::enable_shared_from_this<ChainBudget> {
 public:
  static std::shared_ptr<ChainBudget> Create(uint32_t grant);

  // Share for the first attempt of a downstream call: half of the pool, rounded
  // up, because this call site needs the rest if that share is lost. It may be
  // empty. After Close() it is always empty.
  AttemptShare TakeFirst(CalleeKind callee);

  // Spends one extra attempt and takes a share of what is left. Gives nullopt
  // if nothing is left or the call is closed.
  std::optional<AttemptShare> TakeRetry(CalleeKind callee);

  // What is in the pool now.
  uint32_t Available() const;

  // Ends the active call and gives what is unspent, for its answer. Shares that
  // are still out are forfeited. A second call gives 0.
  uint32_t Close();

 private:
  friend class AttemptShare;
  explicit ChainBudget(uint32_t grant) : m_pool(grant) {}

  // Takes `cost` attempts and a share; false if the pool holds less than
  // `cost` or is closed.
  bool Take(uint32_t cost, CalleeKind callee, uint32_t* share);
  void Return(uint32_t count);

  // Attempts in the pool; kClosed after Close().
  std::atomic<uint32_t> m_pool;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RETRY_CHAIN_BUDGET_H_
