#ifndef VANILLATILLER_SOURCE_ADMISSION_SHARE_PLANNER_H_
#define VANILLATILLER_SOURCE_ADMISSION_SHARE_PLANNER_H_

#include <cstdint>
#include <span>
#include <vector>

namespace vanillatiller {

// One participant in a division of capacity.
struct ShareDemand {
  uint32_t priority_class = 0;
  uint32_t tenant = 0;
  double tenant_weight = 1;
  // Slots that the demand would occupy.
  double slots = 0;
  // Result: slots granted, at most `slots`.
  double granted = 0;
};

// Divides `capacity` slots: lower classes first; within a class by weighted
// max-min fairness between tenants, then by max-min fairness between the flows
// of one tenant. Max-min fairness as in Bertsekas and Gallager, "Data
// Networks", section 6.5. `demands` must be sorted by class, then tenant.
void AllocateShares(double capacity, std::span<ShareDemand> demands);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ADMISSION_SHARE_PLANNER_H_
