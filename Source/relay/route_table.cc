#include "relay/route_table.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "absl/strings/ascii.h"

namespace vanillatiller {

ActiveRoute::ActiveRoute(RelayRoute route)
    : m_route(std::move(route)), m_credit(m_route.shares.size(), 0) {}

const std::string& ActiveRoute::NextService() {
  const auto& shares = m_route.shares;
  int64_t total = 0;
  size_t best = 0;
  for (size_t i = 0; i < shares.size(); ++i) {
    m_credit[i] += shares[i].weight;
    total += shares[i].weight;
    if (m_credit[i] > m_credit[best]) best = i;
  }
  m_credit[best] -= total;
  return shares[best].service;
}

RouteTable::RouteTable(const RelayConfig& config) : m_version(config.version) {
  for (const RelayRoute& route : config.routes) {
    if (route.shares.empty()) continue;
    m_routes[absl::AsciiStrToLower(route.authority)].push_back(
        std::make_shared<ActiveRoute>(route));
  }
  for (auto& [authority, routes] : m_routes) {
    std::stable_sort(
        routes.begin(), routes.end(), [](const auto& a, const auto& b) {
          return a->route().prefix.size() > b->route().prefix.size();
        });
  }
}

std::shared_ptr<ActiveRoute> RouteTable::Find(std::string_view authority,
                                              std::string_view path) const {
  // The authority of a route has no port.
  std::string name(authority.substr(0, authority.find(':')));
  absl::AsciiStrToLower(&name);
  const auto found = m_routes.find(name);
  if (found == m_routes.end()) return nullptr;
  path = path.substr(0, path.find('?'));
  for (const auto& route : found->second) {
    if (path.starts_with(route->route().prefix)) return route;
  }
  return nullptr;
}

}  // namespace vanillatiller
