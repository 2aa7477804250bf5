#include "fleetconfig/canonical.h"
#include "fleetconfig/config_check.h"
#include "fleetconfig/fleet_config.h"
#include "fleetconfig/item_fields.h"

namespace vanillatiller {
namespace {

// A configuration in the order of its text, with the locations of its items.
struct ParsedConfig {
  FleetConfig config;
  ConfigLocations locations;
};

// Reads items that consist only of a name and scalar fields.
template <typename T>
void ReadItems(TomlReader& reader, const toml::table& root, ItemKind kind,
               std::vector<T>* items, std::vector<SourceLocation>* locations) {
  reader.ForEach(root, ItemKindName(kind), [&](const toml::table& table) {
    reader.CheckFields(table, {"name"}, FieldNames(kind));
    T& item = items->emplace_back();
    reader.ReadString(table, "name", &item.name);
    ReadFields(reader, table, &item);
    locations->push_back(LocationOf(table));
  });
}

void ReadLinks(TomlReader& reader, const toml::table& root,
               ParsedConfig* value) {
  reader.ForEach(root, "link", [&](const toml::table& table) {
    reader.CheckFields(table, {"from", "to"}, FieldNames(ItemKind::kLink));
    LinkConfig& link = value->config.links.emplace_back();
    reader.ReadString(table, "from", &link.from);
    reader.ReadString(table, "to", &link.to);
    ReadFields(reader, table, &link);
    value->locations.links.push_back(LocationOf(table));
  });
}

void ReadMethod(TomlReader& reader, const toml::table& table,
                ServiceConfig* service, ServiceLocations* locations) {
  reader.CheckFields(table, {"name"}, FieldNames(ItemKind::kMethod));
  MethodConfig& method = service->methods.emplace_back();
  MethodLocations& method_locations = locations->methods.emplace_back();
  reader.ReadString(table, "name", &method.name);
  ReadFields(reader, table, &method, &method_locations.calls);
  method_locations.method = LocationOf(table);
}

void ReadServices(TomlReader& reader, const toml::table& root,
                  ParsedConfig* value) {
  reader.ForEach(root, "service", [&](const toml::table& table) {
    reader.CheckFields(table, {"name", "method"},
                       FieldNames(ItemKind::kService));
    ServiceConfig& service = value->config.services.emplace_back();
    ServiceLocations& locations = value->locations.services.emplace_back();
    ServiceFields fields;
    reader.ReadString(table, "name", &service.name);
    ReadFields(reader, table, &fields);
    service.slots = fields.slots;
    service.connections = fields.connections;
    locations.service = LocationOf(table);
    reader.ForEach(table, "method", [&](const toml::table& method) {
      ReadMethod(reader, method, &service, &locations);
    });
  });
}

void ReadChain(TomlReader& reader, const toml::table& root,
               FleetConfig* config) {
  const toml::node* node = root.get("chain");
  if (node == nullptr) return;
  const toml::table* table = node->as_table();
  if (table == nullptr) {
    reader.Report(node->source(), "field \"chain\": expected a table");
    return;
  }
  reader.CheckFields(*table, {}, FieldNames(ItemKind::kChain));
  ReadFields(reader, *table, &config->chain);
}

void ReadRoot(TomlReader& reader, const toml::table& root,
              ParsedConfig* value) {
  FleetConfig& config = value->config;
  ConfigLocations& locations = value->locations;
  reader.CheckFields(root, {"version", "chain", "rank", "tenant", "region",
                            "failure_domain", "link", "service"});
  if (reader.Require(root, "version") != nullptr) {
    reader.ReadInteger(root, "version", 1, INT64_MAX, &config.version);
  }
  ReadChain(reader, root, &config);
  ReadItems(reader, root, ItemKind::kRank, &config.ranks, &locations.ranks);
  ReadItems(reader, root, ItemKind::kTenant, &config.tenants,
            &locations.tenants);
  ReadItems(reader, root, ItemKind::kRegion, &config.regions,
            &locations.regions);
  ReadItems(reader, root, ItemKind::kFailureDomain, &config.failure_domains,
            &locations.failure_domains);
  ReadLinks(reader, root, value);
  ReadServices(reader, root, value);
}

std::optional<FleetConfig> ReadConfig(std::string_view text,
                                      std::string_view source, bool check,
                                      Findings* findings) {
  Findings found;
  TomlReader reader(source, &found);
  ParsedConfig value;
  bool is_toml = false;
  ParseToml(reader, text, source, [&](const toml::table& root) {
    ReadRoot(reader, root, &value);
    is_toml = true;
  });
  if (check && is_toml) {
    const Findings errors =
        CheckFleetConfig(value.config, source, &value.locations);
    found.insert(found.end(), errors.begin(), errors.end());
  }
  findings->insert(findings->end(), found.begin(), found.end());
  if (!found.empty()) return std::nullopt;
  Canonicalize(&value.config);
  return std::move(value.config);
}

}  // namespace

std::optional<FleetConfig> ParseFleetConfig(std::string_view text,
                                            std::string_view source,
                                            Findings* findings) {
  return ReadConfig(text, source, false, findings);
}

std::optional<FleetConfig> LoadFleetConfig(std::string_view text,
                                           std::string_view source,
                                           Findings* findings) {
  return ReadConfig(text, source, true, findings);
}

}  // namespace vanillatiller
