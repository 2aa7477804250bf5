#ifndef VANILLATILLER_SOURCE_NODE_EDGE_BUDGETS_H_
#define VANILLATILLER_SOURCE_NODE_EDGE_BUDGETS_H_

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include "base/base.h"
#include "retry/retry.h"

namespace vanillatiller {

// Retry budgets of the outgoing call edges of this node, indexed by callee
// service. Thread-safe. Entries are never removed; their number is bounded
// because only declared services can be called.
class EdgeBudgets {
 public:
  EdgeBudget& Get(const std::string& service, TimePoint now);

 private:
  std::mutex m_mutex;
  std::unordered_map<std::string, std::unique_ptr<EdgeBudget>> m_budgets;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_EDGE_BUDGETS_H_
