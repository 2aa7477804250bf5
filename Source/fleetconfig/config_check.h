#ifndef VANILLATILLER_SOURCE_FLEETCONFIG_CONFIG_CHECK_H_
#define VANILLATILLER_SOURCE_FLEETCONFIG_CONFIG_CHECK_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "fleetconfig/fleet_config.h"

namespace vanillatiller {

// Position in a text, counted from 1; 0 means that it is not known.
struct SourceLocation {
  uint32_t line = 0;
  uint32_t column = 0;
};

struct MethodLocations {
  SourceLocation method;
  // One for each element of MethodConfig::calls.
  std::vector<SourceLocation> calls;
};

struct ServiceLocations {
  SourceLocation service;
  // One for each element of ServiceConfig::methods.
  std::vector<MethodLocations> methods;
};

// Where the items of a FleetConfig stand in its text; the vectors run parallel
// to those of FleetConfig.
struct ConfigLocations {
  std::vector<SourceLocation> ranks;
  std::vector<SourceLocation> tenants;
  std::vector<SourceLocation> regions;
  std::vector<SourceLocation> failure_domains;
  std::vector<SourceLocation> links;
  std::vector<ServiceLocations> services;
};

// Checks the meaning of `config` and reports every fault: malformed or
// duplicate names, unknown ranks, regions and methods, two ranks of one order,
// calls that form a cycle or a chain of more than max_depth calls, an
// idempotent method that calls a non-idempotent one, a canonical form of more
// than kMaxValueBytes. `locations` may be null, as for a value without a text.
Findings CheckFleetConfig(const FleetConfig& config, std::string_view source,
                          const ConfigLocations* locations);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_FLEETCONFIG_CONFIG_CHECK_H_
