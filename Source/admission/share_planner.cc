#include "admission/share_planner.h"

#include <algorithm>

namespace vanillatiller {
namespace {

struct Claim {
  double weight = 1;
  double demand = 0;
  double granted = 0;
};

// Weighted max-min division: raises a common level per weight until the
// capacity is used; claims that need less keep only what they need.
void Divide(double capacity, std::vector<Claim>* claims) {
  std::vector<Claim*> open;
  for (Claim& claim : *claims) open.push_back(&claim);
  std::sort(open.begin(), open.end(), [](const Claim* a, const Claim* b) {
    return a->demand * b->weight < b->demand * a->weight;
  });
  double weight_left = 0;
  for (const Claim* claim : open) weight_left += claim->weight;
  for (Claim* claim : open) {
    const double fair = capacity * claim->weight / weight_left;
    claim->granted = std::min(claim->demand, fair);
    capacity = std::max(0.0, capacity - claim->granted);
    weight_left -= claim->weight;
  }
}

size_t EndOfTenant(std::span<const ShareDemand> demands, size_t begin) {
  size_t end = begin;
  while (end < demands.size() && demands[end].tenant == demands[begin].tenant) {
    ++end;
  }
  return end;
}

size_t EndOfClass(std::span<const ShareDemand> demands, size_t begin) {
  size_t end = begin;
  while (end < demands.size() &&
         demands[end].order_class == demands[begin].order_class) {
    ++end;
  }
  return end;
}

double TotalSlots(std::span<const ShareDemand> demands) {
  double total = 0;
  for (const ShareDemand& demand : demands) total += demand.slots;
  return total;
}

// Divides `capacity` between the flows of one tenant.
void DivideTenant(double capacity, std::span<ShareDemand> flows) {
  std::vector<Claim> claims;
  for (const ShareDemand& flow : flows) claims.push_back({1, flow.slots, 0});
  Divide(capacity, &claims);
  for (size_t i = 0; i < flows.size(); ++i) {
    flows[i].granted = claims[i].granted;
  }
}

// Divides `capacity` between the tenants of one class.
void DivideClass(double capacity, std::span<ShareDemand> flows) {
  std::vector<Claim> claims;
  std::vector<std::span<ShareDemand>> tenants;
  for (size_t begin = 0; begin < flows.size();) {
    const size_t end = EndOfTenant(flows, begin);
    tenants.push_back(flows.subspan(begin, end - begin));
    claims.push_back(
        {flows[begin].tenant_weight, TotalSlots(tenants.back()), 0});
    begin = end;
  }
  Divide(capacity, &claims);
  for (size_t i = 0; i < tenants.size(); ++i) {
    DivideTenant(claims[i].granted, tenants[i]);
  }
}

}  // namespace

void PlanShares(double capacity, std::span<ShareDemand> demands) {
  for (size_t begin = 0; begin < demands.size();) {
    const size_t end = EndOfClass(demands, begin);
    const auto flows = demands.subspan(begin, end - begin);
    DivideClass(capacity, flows);
    for (const ShareDemand& flow : flows) capacity -= flow.granted;
    capacity = std::max(0.0, capacity);
    begin = end;
  }
}

}  // namespace vanillatiller
