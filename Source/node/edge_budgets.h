#ifndef VANILLATILLER_SOURCE_NODE_EDGE_BUDGETS_H_
#define VANILLATILLER_SOURCE_NODE_EDGE_BUDGETS_H_

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include "base/base.h"
#include "retry/retry.h"

namespace vanillatiller {

// Retry budgets of the edges from this node, by called service. Safe to use
// from several threads. Called services are declared ones, so that their number
// is bounded.
class EdgeBudgets {
 public:
  EdgeBudget& Get(const std::string& service, TimePoint now);

 private:
  std::mutex m_mutex;
  std::unordered_map<std::string, std::unique_ptr<EdgeBudget>> m_budgets;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_EDGE_BUDGETS_H_
