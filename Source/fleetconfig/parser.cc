#include "fleetconfig/canonical.h"
#include "fleetconfig/config_check.h"
#include "fleetconfig/fleet_config.h"
#include "fleetconfig/item_fields.h"

namespace vanillatiller {
namespace {

// A value in the order of its text, with the places of its items.
struct ParsedValue {
  FleetConfig config;
  ConfigPlaces places;
};

// Reads the items of one kind that have nothing but a name and fields.
template <typename T>
void ReadItems(TomlReader& reader, const toml::table& root, ItemKind kind,
               std::vector<T>* items, std::vector<Place>* places) {
  reader.ForEach(root, ItemKindName(kind), [&](const toml::table& table) {
    reader.CheckFields(table, {"name"}, FieldNames(kind));
    T& item = items->emplace_back();
    reader.ReadString(table, "name", &item.name);
    ReadFields(reader, table, &item);
    places->push_back(PlaceOf(table));
  });
}

void ReadLinks(TomlReader& reader, const toml::table& root,
               ParsedValue* value) {
  reader.ForEach(root, "link", [&](const toml::table& table) {
    reader.CheckFields(table, {"from", "to"}, FieldNames(ItemKind::kLink));
    LinkConfig& link = value->config.links.emplace_back();
    reader.ReadString(table, "from", &link.from);
    reader.ReadString(table, "to", &link.to);
    ReadFields(reader, table, &link);
    value->places.links.push_back(PlaceOf(table));
  });
}

void ReadMethod(TomlReader& reader, const toml::table& table,
                ServiceConfig* service, ServicePlaces* places) {
  reader.CheckFields(table, {"name"}, FieldNames(ItemKind::kMethod));
  MethodConfig& method = service->methods.emplace_back();
  MethodPlaces& method_places = places->methods.emplace_back();
  reader.ReadString(table, "name", &method.name);
  ReadFields(reader, table, &method, &method_places.calls);
  method_places.method = PlaceOf(table);
}

void ReadServices(TomlReader& reader, const toml::table& root,
                  ParsedValue* value) {
  reader.ForEach(root, "service", [&](const toml::table& table) {
    reader.CheckFields(table, {"name", "method"},
                       FieldNames(ItemKind::kService));
    ServiceConfig& service = value->config.services.emplace_back();
    ServicePlaces& places = value->places.services.emplace_back();
    ServiceFields fields;
    reader.ReadString(table, "name", &service.name);
    ReadFields(reader, table, &fields);
    service.slots = fields.slots;
    service.connections = fields.connections;
    places.service = PlaceOf(table);
    reader.ForEach(table, "method", [&](const toml::table& method) {
      ReadMethod(reader, method, &service, &places);
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

void ReadRoot(TomlReader& reader, const toml::table& root, ParsedValue* value) {
  FleetConfig& config = value->config;
  ConfigPlaces& places = value->places;
  reader.CheckFields(root, {"version", "chain", "rank", "tenant", "region",
                            "failure_domain", "link", "service"});
  if (reader.Require(root, "version") != nullptr) {
    reader.ReadInteger(root, "version", 1, INT64_MAX, &config.version);
  }
  ReadChain(reader, root, &config);
  ReadItems(reader, root, ItemKind::kRank, &config.ranks, &places.ranks);
  ReadItems(reader, root, ItemKind::kTenant, &config.tenants, &places.tenants);
  ReadItems(reader, root, ItemKind::kRegion, &config.regions, &places.regions);
  ReadItems(reader, root, ItemKind::kFailureDomain, &config.failure_domains,
            &places.failure_domains);
  ReadLinks(reader, root, value);
  ReadServices(reader, root, value);
}

std::optional<FleetConfig> ReadValue(std::string_view text,
                                     std::string_view source, bool check,
                                     Findings* findings) {
  Findings found;
  TomlReader reader(source, &found);
  ParsedValue value;
  bool is_toml = false;
  ReadText(reader, text, source, [&](const toml::table& root) {
    ReadRoot(reader, root, &value);
    is_toml = true;
  });
  if (check && is_toml) {
    const Findings faults =
        CheckFleetConfig(value.config, source, &value.places);
    found.insert(found.end(), faults.begin(), faults.end());
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
  return ReadValue(text, source, false, findings);
}

std::optional<FleetConfig> LoadFleetConfig(std::string_view text,
                                           std::string_view source,
                                           Findings* findings) {
  return ReadValue(text, source, true, findings);
}

}  // namespace vanillatiller
