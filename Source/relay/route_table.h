#ifndef VANILLATILLER_SOURCE_RELAY_ROUTE_TABLE_H_
#define VANILLATILLER_SOURCE_RELAY_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "relay/relay_config.h"

namespace vanillatiller {

// A route with the state of its traffic split.
class ActiveRoute {
 public:
  explicit ActiveRoute(RelayRoute route);

  const RelayRoute& route() const { return m_route; }

  // Returns the service for the next request by smooth weighted round-robin, as
  // in nginx: shares follow the weights even over few requests, regardless of
  // the load of the services.
  const std::string& NextService();

 private:
  RelayRoute m_route;
  std::vector<int64_t> m_credit;
};

// Finds the route of a request by the longest matching path prefix of its
// authority.
class RouteTable {
 public:
  explicit RouteTable(const RelayConfig& config);

  // Nullptr if no route matches.
  std::shared_ptr<ActiveRoute> Find(std::string_view authority,
                                    std::string_view path) const;
  uint64_t version() const { return m_version; }

 private:
  uint64_t m_version;
  // Routes of each authority, longest prefix first.
  std::map<std::string, std::vector<std::shared_ptr<ActiveRoute>>, std::less<>>
      m_routes;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_ROUTE_TABLE_H_
