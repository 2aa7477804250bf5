#ifndef VANILLATILLER_SOURCE_ROUTING_LINK_BUDGET_H_
#define VANILLATILLER_SOURCE_ROUTING_LINK_BUDGET_H_

#include <cstdint>
#include <mutex>

#include "base/base.h"

namespace vanillatiller {

// Token bucket for one node's share of the bandwidth of a link to another
// region. Thread-safe.
class LinkBudget {
 public:
  // `bytes_per_second` is this node's share, not the whole link.
  LinkBudget(uint64_t bytes_per_second, TimePoint now);

  // Takes `bytes` if the balance is positive. The balance may become negative,
  // so that requests larger than the bucket are not starved.
  bool TryTake(uint64_t bytes, TimePoint now);

  uint64_t bytes_per_second() const { return m_bytes_per_second; }

  // Takes bytes unconditionally, for traffic whose size is known only
  // afterwards, such as answers.
  void Charge(uint64_t bytes, TimePoint now);

 private:
  void Refill(TimePoint now);

  const uint64_t m_bytes_per_second;
  std::mutex m_mutex;
  double m_tokens;
  TimePoint m_refilled_at;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ROUTING_LINK_BUDGET_H_
