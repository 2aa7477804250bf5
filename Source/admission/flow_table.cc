#include "admission/flow_table.h"

#include <algorithm>

namespace vanillatiller {
namespace {

uint64_t FlowKey(uint32_t priority_class, uint64_t tenant, uint64_t method) {
  return MixHash(MixHash(tenant, method), priority_class);
}

}  // namespace

uint32_t PriorityClass(uint32_t rank, bool is_nested) {
  return 2 * rank + (is_nested ? 0 : 1);
}

uint32_t RankOf(uint32_t priority_class) { return priority_class / 2; }

bool IsNested(uint32_t priority_class) { return priority_class % 2 == 0; }

FlowIndex FlowTable::Intern(uint32_t priority_class, std::string_view tenant,
                            std::string_view method) {
  uint64_t tenant_hash = HashBytes(tenant);
  uint64_t method_hash = HashBytes(method);
  uint64_t key = FlowKey(priority_class, tenant_hash, method_hash);
  auto found = m_flow_indices.find(key);
  if (found != m_flow_indices.end()) return found->second;
  if (m_flows.size() >= kMaxFlows) {
    tenant_hash = 0;
    method_hash = 0;
    key = FlowKey(priority_class, tenant_hash, method_hash);
    found = m_flow_indices.find(key);
    if (found != m_flow_indices.end()) return found->second;
  }
  Flow flow;
  flow.priority_class = priority_class;
  flow.tenant = InternTenant(tenant_hash);
  flow.method = InternMethod(method_hash);
  const auto index = static_cast<FlowIndex>(m_flows.size());
  m_flows.push_back(flow);
  m_flow_indices[key] = index;
  return index;
}

const Flow* FlowTable::Find(uint32_t priority_class, std::string_view tenant,
                            std::string_view method) const {
  auto found = m_flow_indices.find(
      FlowKey(priority_class, HashBytes(tenant), HashBytes(method)));
  if (found == m_flow_indices.end()) {
    found = m_flow_indices.find(FlowKey(priority_class, 0, 0));
  }
  if (found == m_flow_indices.end()) return nullptr;
  return &m_flows[found->second];
}

uint32_t FlowTable::InternTenant(uint64_t name_hash) {
  const auto next = static_cast<uint32_t>(m_tenants.size());
  const auto inserted = m_tenant_indices.emplace(name_hash, next);
  if (inserted.second) m_tenants.push_back({name_hash, 1});
  return inserted.first->second;
}

uint32_t FlowTable::InternMethod(uint64_t name_hash) {
  const auto next = static_cast<uint32_t>(m_service_times.size());
  const auto inserted = m_method_indices.emplace(name_hash, next);
  if (inserted.second) m_service_times.emplace_back();
  return inserted.first->second;
}

void FlowTable::SetTenantWeight(std::string_view tenant, uint32_t weight) {
  m_tenants[InternTenant(HashBytes(tenant))].weight = std::max(weight, 1U);
}

double FlowTable::TenantWeight(uint32_t tenant) const {
  return m_tenants[tenant].weight;
}

}  // namespace vanillatiller
