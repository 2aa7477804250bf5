#include "fleetconfig/fleet_config.h"

namespace vanillatiller {
namespace {

template <typename T>
const T* FindByName(const std::vector<T>& items, std::string_view name) {
  for (const T& item : items) {
    if (item.name == name) return &item;
  }
  return nullptr;
}

}  // namespace

const MethodConfig* ServiceConfig::FindMethod(
    std::string_view method_name) const {
  return FindByName(methods, method_name);
}

const ServiceConfig* FleetConfig::FindService(
    std::string_view service_name) const {
  return FindByName(services, service_name);
}

const RankConfig* FleetConfig::FindRank(std::string_view rank_name) const {
  return FindByName(ranks, rank_name);
}

const TenantConfig* FleetConfig::FindTenant(
    std::string_view tenant_name) const {
  return FindByName(tenants, tenant_name);
}

}  // namespace vanillatiller
