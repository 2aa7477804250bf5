#include "node/edge_budgets.h"

namespace vanillatiller {

EdgeBudget& EdgeBudgets::Get(const std::string& service, TimePoint now) {
  const std::lock_guard lock(m_mutex);
  auto& budget = m_budgets[service];
  if (!budget) budget = std::make_unique<EdgeBudget>(EdgeBudgetSettings{}, now);
  return *budget;
}

}  // namespace vanillatiller
