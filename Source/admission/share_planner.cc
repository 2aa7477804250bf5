#include "admission/share_planner.h"

#include <algorithm>

namespace vanillatiller {
namespace {

struct Allocation {
  double weight = 1;
  double demand = 0;
  double granted = 0;
};

// Weighted max-min fair allocation: no participant gets more than its demand,
// and unused capacity is divided among the others by weight.
void AllocateMaxMin(double capacity, std::vector<Allocation>* allocations) {
  std::vector<Allocation*> ascending;
  for (Allocation& allocation : *allocations) ascending.push_back(&allocation);
  std::sort(ascending.begin(), ascending.end(),
            [](const Allocation* a, const Allocation* b) {
              return a->demand * b->weight < b->demand * a->weight;
            });
  double remaining_weight = 0;
  for (const Allocation* allocation : ascending) {
    remaining_weight += allocation->weight;
  }
  for (Allocation* allocation : ascending) {
    const double fair_share = capacity * allocation->weight / remaining_weight;
    allocation->granted = std::min(allocation->demand, fair_share);
    capacity = std::max(0.0, capacity - allocation->granted);
    remaining_weight -= allocation->weight;
  }
}

size_t TenantEnd(std::span<const ShareDemand> demands, size_t begin) {
  size_t end = begin;
  while (end < demands.size() && demands[end].tenant == demands[begin].tenant) {
    ++end;
  }
  return end;
}

size_t PriorityClassEnd(std::span<const ShareDemand> demands, size_t begin) {
  size_t end = begin;
  while (end < demands.size() &&
         demands[end].priority_class == demands[begin].priority_class) {
    ++end;
  }
  return end;
}

double TotalSlots(std::span<const ShareDemand> demands) {
  double total = 0;
  for (const ShareDemand& demand : demands) total += demand.slots;
  return total;
}

// Allocates `capacity` to the flows of one tenant.
void AllocateToFlows(double capacity, std::span<ShareDemand> flows) {
  std::vector<Allocation> allocations;
  for (const ShareDemand& flow : flows) {
    allocations.push_back({1, flow.slots, 0});
  }
  AllocateMaxMin(capacity, &allocations);
  for (size_t i = 0; i < flows.size(); ++i) {
    flows[i].granted = allocations[i].granted;
  }
}

// Allocates `capacity` to the tenants of one class.
void AllocateToTenants(double capacity, std::span<ShareDemand> flows) {
  std::vector<Allocation> allocations;
  std::vector<std::span<ShareDemand>> tenants;
  for (size_t begin = 0; begin < flows.size();) {
    const size_t end = TenantEnd(flows, begin);
    tenants.push_back(flows.subspan(begin, end - begin));
    allocations.push_back(
        {flows[begin].tenant_weight, TotalSlots(tenants.back()), 0});
    begin = end;
  }
  AllocateMaxMin(capacity, &allocations);
  for (size_t i = 0; i < tenants.size(); ++i) {
    AllocateToFlows(allocations[i].granted, tenants[i]);
  }
}

}  // namespace

void AllocateShares(double capacity, std::span<ShareDemand> demands) {
  for (size_t begin = 0; begin < demands.size();) {
    const size_t end = PriorityClassEnd(demands, begin);
    const auto flows = demands.subspan(begin, end - begin);
    AllocateToTenants(capacity, flows);
    for (const ShareDemand& flow : flows) capacity -= flow.granted;
    capacity = std::max(0.0, capacity);
    begin = end;
  }
}

}  // namespace vanillatiller
