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
  // Maximum number of additional attempts per request, over its whole call
  // chain.
  uint32_t extra_attempts = 3;
  uint32_t max_depth = 12;

  bool operator==(const ChainConfig&) const = default;
};

struct RankConfig {
  std::string name;
  // 0 is the highest rank.
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

// A unidirectional network link between two regions.
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
  // Methods called by this one, as "service.method".
  std::vector<std::string> calls;

  bool operator==(const MethodConfig&) const = default;
};

struct ServiceConfig {
  std::string name;
  // Maximum number of concurrent calls per backend server.
  uint32_t slots = 1;
  // Maximum number of connections per backend server.
  uint32_t connections = 1;
  std::vector<MethodConfig> methods;

  const MethodConfig* FindMethod(std::string_view method_name) const;

  bool operator==(const ServiceConfig&) const = default;
};

// The fleet configuration that operators declare.
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

// Size limit of the configuration service, in bytes.
inline constexpr size_t kMaxValueBytes = 1'000'000;

// Parses a configuration in TOML. `source` is the file name used in findings.
// Returns nullopt on any finding; all findings are reported, not only the
// first. The result is in canonical order. Validates fields and types only; see
// LoadFleetConfig.
std::optional<FleetConfig> ParseFleetConfig(std::string_view text,
                                            std::string_view source,
                                            Findings* findings);

// Parses a configuration in TOML and validates its semantics. Nodes accept only
// configurations that pass this function. Findings of the parser and of the
// semantic checks are reported together.
std::optional<FleetConfig> LoadFleetConfig(std::string_view text,
                                           std::string_view source,
                                           Findings* findings);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_FLEETCONFIG_FLEET_CONFIG_H_
