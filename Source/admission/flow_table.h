#ifndef VANILLATILLER_SOURCE_ADMISSION_FLOW_TABLE_H_
#define VANILLATILLER_SOURCE_ADMISSION_FLOW_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "admission/service_time.h"
#include "base/base.h"

namespace vanillatiller {

using FlowIndex = uint32_t;

// Calls with the same priority class (rank, and nested or new), tenant and
// method. Flows of one class share the slots fairly.
struct Flow {
  // Twice the rank, plus 1 for new requests; lower values have priority.
  uint32_t priority_class = 0;
  uint32_t tenant = 0;
  uint32_t method = 0;
  // Fraction of the hashes that the threshold admits, in (0, 1].
  double share = 1.0;
  // Calls in this window whose hash is within `share`.
  uint32_t arrivals = 0;
  // Smoothed calls per second, including those that other nodes refused by the
  // threshold.
  double demand = 0;
  // Minimum number of calls of this and all higher-priority classes that were
  // queued at any tick of this window.
  uint32_t standing_queue = UINT32_MAX;
  // Consecutive windows without a call.
  uint32_t idle_windows = 0;
};

uint32_t PriorityClass(uint32_t rank, bool is_nested);
uint32_t RankOf(uint32_t priority_class);
bool IsNested(uint32_t priority_class);

// Flows, tenant weights and service time estimates, interned by name.
class FlowTable {
 public:
  // Limit on the flows of all classes together. Calls beyond it share one flow
  // per class, so that forged tenant names cannot exhaust memory.
  static constexpr size_t kMaxFlows = 2048;

  FlowIndex Intern(uint32_t priority_class, std::string_view tenant,
                   std::string_view method);
  // Returns nullptr for an unknown flow.
  const Flow* Find(uint32_t priority_class, std::string_view tenant,
                   std::string_view method) const;

  Flow& At(FlowIndex index) { return m_flows[index]; }
  const Flow& At(FlowIndex index) const { return m_flows[index]; }
  std::vector<Flow>& All() { return m_flows; }
  const std::vector<Flow>& All() const { return m_flows; }

  ServiceTimeEstimator& ServiceTimeOf(const Flow& flow) {
    return m_service_times[flow.method];
  }
  const ServiceTimeEstimator& ServiceTimeOf(const Flow& flow) const {
    return m_service_times[flow.method];
  }
  std::vector<ServiceTimeEstimator>& ServiceTimes() { return m_service_times; }

  void SetTenantWeight(std::string_view tenant, uint32_t weight);
  double TenantWeight(uint32_t tenant) const;

 private:
  struct TenantEntry {
    uint64_t name_hash = 0;
    double weight = 1;
  };

  uint32_t InternTenant(uint64_t name_hash);
  uint32_t InternMethod(uint64_t name_hash);

  std::vector<Flow> m_flows;
  absl::flat_hash_map<uint64_t, FlowIndex> m_flow_indices;
  std::vector<TenantEntry> m_tenants;
  absl::flat_hash_map<uint64_t, uint32_t> m_tenant_indices;
  std::vector<ServiceTimeEstimator> m_service_times;
  absl::flat_hash_map<uint64_t, uint32_t> m_method_indices;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ADMISSION_FLOW_TABLE_H_
