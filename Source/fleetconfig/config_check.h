#ifndef VANILLATILLER_SOURCE_FLEETCONFIG_CONFIG_CHECK_H_
#define VANILLATILLER_SOURCE_FLEETCONFIG_CONFIG_CHECK_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "fleetconfig/fleet_config.h"

namespace vanillatiller {

// 1-based position in a configuration file or note; 0 means unknown.
struct SourceLocation {
  uint32_t line = 0;
  uint32_t column = 0;
};

struct MethodLocations {
  SourceLocation method;
  // Parallel to MethodConfig::calls.
  std::vector<SourceLocation> calls;
};

struct ServiceLocations {
  SourceLocation service;
  // Parallel to ServiceConfig::methods.
  std::vector<MethodLocations> methods;
};

// Source locations of the items of a FleetConfig. Each vector is parallel to
// the one of the same name in FleetConfig.
struct ConfigLocations {
  std::vector<SourceLocation> ranks;
  std::vector<SourceLocation> tenants;
  std::vector<SourceLocation> regions;
  std::vector<SourceLocation> failure_domains;
  std::vector<SourceLocation> links;
  std::vector<ServiceLocations> services;
};

// Validates the semantics of `config` and reports every error: malformed or
// duplicate names, unknown ranks, regions and methods, two ranks with the same
// order, calls that form a cycle or a chain of more than max_depth calls, an
// idempotent method that calls a non-idempotent one, a canonical form larger
// than kMaxValueBytes. `locations` may be null if `config` was not parsed from
// a text.
Findings CheckFleetConfig(const FleetConfig& config, std::string_view source,
                          const ConfigLocations* locations);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_FLEETCONFIG_CONFIG_CHECK_H_
