#ifndef VANILLATILLER_SOURCE_ROUTING_LINK_BUDGET_H_
#define VANILLATILLER_SOURCE_ROUTING_LINK_BUDGET_H_

#include <cstdint>
#include <mutex>

#include "base/base.h"

namespace vanillatiller {

// One node's share of the bytes that may cross a link to another region: a
// token bucket. Safe to use from several threads.
class LinkBudget {
 public:
  // `bytes_per_second` is this node's share, not the whole link.
  LinkBudget(uint64_t bytes_per_second, TimePoint now);

  // Takes `bytes` if the bucket holds any; it may then go below zero, so that
  // a large request is not starved for ever.
  bool TryTake(uint64_t bytes, TimePoint now);

  uint64_t bytes_per_second() const { return m_bytes_per_second; }

  // Takes bytes whose size is known only afterwards, such as answers.
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
