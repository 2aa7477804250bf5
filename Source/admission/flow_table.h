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

// Calls of one class (rank, and nested or new), tenant and method. Within a
// class, flows share the slots fairly.
struct Flow {
  // Twice the rank, plus 1 for new requests: lower classes go first.
  uint32_t priority_class = 0;
  uint32_t tenant = 0;
  uint32_t method = 0;
  // Share of the hashes that the threshold admits, in (0, 1].
  double share = 1.0;
  // Calls of this window whose hash is within `share`.
  uint32_t arrivals = 0;
  // Smoothed calls per second, those refused elsewhere by the threshold
  // included.
  double demand = 0;
  // Fewest calls of this class and more important ones that waited at a tick of
  // this window.
  uint32_t standing_queue = UINT32_MAX;
  // Windows without a call.
  uint32_t idle_windows = 0;
};

uint32_t PriorityClass(uint32_t rank, bool is_nested);
uint32_t RankOf(uint32_t priority_class);
bool IsNested(uint32_t priority_class);

// Names of tenants and methods, their flows, weights and service times.
class FlowTable {
 public:
  // Flows beyond this number of all classes together share one flow for each
  // class, so that made-up tenant names cannot exhaust memory.
  static constexpr size_t kMaxFlows = 2048;

  FlowIndex Intern(uint32_t priority_class, std::string_view tenant,
                   std::string_view method);
  // Nullptr for flows never seen.
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
