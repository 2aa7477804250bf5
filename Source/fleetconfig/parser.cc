#include "fleetconfig/fleet_config.h"
#include "toml/toml.h"

namespace vanillatiller {
namespace {

constexpr int64_t kMaxCount = 1'000'000;
constexpr int64_t kMaxTimeoutMs = 600'000;

void ReadMethod(TomlReader& reader, const toml::table& table,
                ServiceConfig* service) {
  reader.CheckFields(table,
                     {"name", "rank", "idempotent", "timeout_ms", "calls"});
  MethodConfig method;
  int64_t timeout_ms = method.timeout.count();
  reader.ReadString(table, "name", &method.name);
  reader.ReadString(table, "rank", &method.rank);
  reader.ReadBool(table, "idempotent", &method.idempotent);
  reader.ReadInteger(table, "timeout_ms", 1, kMaxTimeoutMs, &timeout_ms);
  reader.ReadStrings(table, "calls", &method.calls);
  method.timeout = std::chrono::milliseconds(timeout_ms);
  service->methods.push_back(std::move(method));
}

void ReadService(TomlReader& reader, const toml::table& table,
                 FleetConfig* config) {
  reader.CheckFields(table, {"name", "slots", "connections", "method"});
  ServiceConfig service;
  reader.ReadString(table, "name", &service.name);
  reader.ReadInteger(table, "slots", 1, kMaxCount, &service.slots);
  reader.ReadInteger(table, "connections", 1, kMaxCount, &service.connections);
  reader.ForEach(table, "method", [&](const toml::table& method) {
    ReadMethod(reader, method, &service);
  });
  config->services.push_back(std::move(service));
}

void ReadTopology(TomlReader& reader, const toml::table& root,
                  FleetConfig* config) {
  reader.ForEach(root, "region", [&](const toml::table& table) {
    reader.CheckFields(table, {"name"});
    reader.ReadString(table, "name", &config->regions.emplace_back().name);
  });
  reader.ForEach(root, "failure_domain", [&](const toml::table& table) {
    reader.CheckFields(table, {"name", "region"});
    FailureDomainConfig& domain = config->failure_domains.emplace_back();
    reader.ReadString(table, "name", &domain.name);
    reader.ReadString(table, "region", &domain.region);
  });
  reader.ForEach(root, "link", [&](const toml::table& table) {
    reader.CheckFields(table, {"from", "to", "bytes_per_second"});
    LinkConfig& link = config->links.emplace_back();
    reader.ReadString(table, "from", &link.from);
    reader.ReadString(table, "to", &link.to);
    reader.ReadInteger(table, "bytes_per_second", 1, INT64_MAX,
                       &link.bytes_per_second);
  });
}

void ReadClasses(TomlReader& reader, const toml::table& root,
                 FleetConfig* config) {
  reader.ForEach(root, "rank", [&](const toml::table& table) {
    reader.CheckFields(table, {"name", "order", "protected"});
    RankConfig& rank = config->ranks.emplace_back();
    reader.ReadString(table, "name", &rank.name);
    reader.ReadInteger(table, "order", 0, 255, &rank.order);
    reader.ReadBool(table, "protected", &rank.is_protected);
  });
  reader.ForEach(root, "tenant", [&](const toml::table& table) {
    reader.CheckFields(table, {"name", "weight"});
    TenantConfig& tenant = config->tenants.emplace_back();
    reader.ReadString(table, "name", &tenant.name);
    reader.ReadInteger(table, "weight", 1, kMaxCount, &tenant.weight);
  });
}

void ReadRoot(TomlReader& reader, const toml::table& root,
              FleetConfig* config) {
  reader.CheckFields(root, {"version", "chain", "rank", "tenant", "region",
                            "failure_domain", "link", "service"});
  if (reader.Require(root, "version") != nullptr) {
    reader.ReadInteger(root, "version", 1, INT64_MAX, &config->version);
  }
  if (const toml::table* chain = root["chain"].as_table()) {
    reader.CheckFields(*chain, {"extra_attempts", "max_depth"});
    reader.ReadInteger(*chain, "extra_attempts", 0, 1000,
                       &config->chain.extra_attempts);
    reader.ReadInteger(*chain, "max_depth", 1, 64, &config->chain.max_depth);
  }
  ReadClasses(reader, root, config);
  ReadTopology(reader, root, config);
  reader.ForEach(root, "service", [&](const toml::table& table) {
    ReadService(reader, table, config);
  });
}

}  // namespace

std::optional<FleetConfig> ParseFleetConfig(std::string_view text,
                                            std::string_view source,
                                            Findings* findings) {
  const size_t findings_before = findings->size();
  TomlReader reader(source, findings);
  FleetConfig config;
  try {
    const toml::table root = toml::parse(text, source);
    ReadRoot(reader, root, &config);
  } catch (const toml::parse_error& error) {
    reader.Report(error.source(), std::string(error.description()));
  }
  if (findings->size() != findings_before) return std::nullopt;
  return config;
}

}  // namespace vanillatiller
