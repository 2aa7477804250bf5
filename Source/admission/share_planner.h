#ifndef VANILLATILLER_SOURCE_ADMISSION_SHARE_PLANNER_H_
#define VANILLATILLER_SOURCE_ADMISSION_SHARE_PLANNER_H_

#include <cstdint>
#include <span>
#include <vector>

namespace vanillatiller {

// Demand of one flow, and the slots allocated to it.
struct ShareDemand {
  uint32_t priority_class = 0;
  uint32_t tenant = 0;
  double tenant_weight = 1;
  // Slots needed to serve the demand.
  double slots = 0;
  // Output: slots allocated, at most `slots`.
  double granted = 0;
};

// Allocates `capacity` slots: lower class values first; within a class by
// weighted max-min fairness between tenants, then by max-min fairness between
// the flows of each tenant. See Bertsekas and Gallager, "Data Networks",
// section 6.5. `demands` must be sorted by class, then tenant.
void AllocateShares(double capacity, std::span<ShareDemand> demands);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ADMISSION_SHARE_PLANNER_H_
