#ifndef VANILLATILLER_SOURCE_FLEETCONFIG_FLEET_CONFIG_H_
#define VANILLATILLER_SOURCE_FLEETCONFIG_FLEET_CONFIG_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"

namespace vanillatiller {

struct ChainConfig {
  // Extra attempts for one request over its whole call chain.
  uint32_t extra_attempts = 3;
  uint32_t max_depth = 12;

  bool operator==(const ChainConfig&) const = default;
};

struct RankConfig {
  std::string name;
  // 0 is the most important.
  uint32_t order = 0;
  bool is_protected = false;

  bool operator==(const RankConfig&) const = default;
};

struct TenantConfig {
  std::string name;
  // Share of the slots relative to other tenants of the same rank.
  uint32_t weight = 1;

  bool operator==(const TenantConfig&) const = default;
};

struct RegionConfig {
  std::string name;

  bool operator==(const RegionConfig&) const = default;
};

struct FailureDomainConfig {
  std::string name;
  std::string region;

  bool operator==(const FailureDomainConfig&) const = default;
};

// A link between two regions, in one direction.
struct LinkConfig {
  std::string from;
  std::string to;
  uint64_t bytes_per_second = 0;

  bool operator==(const LinkConfig&) const = default;
};

struct MethodConfig {
  std::string name;
  std::string rank;
  bool idempotent = false;
  std::chrono::milliseconds timeout{1000};
  // Methods that this one calls, as "service.method".
  std::vector<std::string> calls;

  bool operator==(const MethodConfig&) const = default;
};

struct ServiceConfig {
  std::string name;
  // Concurrent calls that one backend server takes.
  uint32_t slots = 1;
  // Connections that one backend server takes.
  uint32_t connections = 1;
  std::vector<MethodConfig> methods;

  const MethodConfig* FindMethod(std::string_view method_name) const;

  bool operator==(const ServiceConfig&) const = default;
};

// The configuration value: everything that operators declare.
struct FleetConfig {
  uint64_t version = 0;
  ChainConfig chain;
  std::vector<RankConfig> ranks;
  std::vector<TenantConfig> tenants;
  std::vector<RegionConfig> regions;
  std::vector<FailureDomainConfig> failure_domains;
  std::vector<LinkConfig> links;
  std::vector<ServiceConfig> services;

  const ServiceConfig* FindService(std::string_view service_name) const;
  const RankConfig* FindRank(std::string_view rank_name) const;
  const TenantConfig* FindTenant(std::string_view tenant_name) const;

  bool operator==(const FleetConfig&) const = default;
};

// Largest value, in bytes, that the configuration service holds.
inline constexpr size_t kMaxValueBytes = 1'000'000;

// Parses a TOML value. `source` names it in findings. Returns nullopt if there
// is any finding; all findings are reported, not only the first. The result is
// in canonical order. Checks fields and types only; see LoadFleetConfig.
std::optional<FleetConfig> ParseFleetConfig(std::string_view text,
                                            std::string_view source,
                                            Findings* findings);

// Parses a TOML value and checks its meaning. A value that a node accepts has
// passed this function. Findings of both kinds are reported together.
std::optional<FleetConfig> LoadFleetConfig(std::string_view text,
                                           std::string_view source,
                                           Findings* findings);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_FLEETCONFIG_FLEET_CONFIG_H_
