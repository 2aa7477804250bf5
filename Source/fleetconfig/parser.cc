#include <functional>
#include <initializer_list>

#include "fleetconfig/fleet_config.h"
#include "toml++/toml.h"

namespace vanillatiller {
namespace {

// Reads the fields of TOML tables and collects what is wrong with them.
class Reader {
 public:
  Reader(std::string_view source, Findings* findings)
      : m_source(source), m_findings(findings) {}

  void Report(const toml::source_region& region, std::string text) {
    m_findings->push_back({std::string(m_source), region.begin.line,
                           region.begin.column, std::move(text)});
  }

  // Reports fields of `table` that are not in `known`.
  void CheckFields(const toml::table& table,
                   std::initializer_list<std::string_view> known) {
    for (const auto& [key, value] : table) {
      bool found = false;
      for (const std::string_view name : known) found |= key.str() == name;
      if (!found) {
        Report(key.source(),
               "unknown field \"" + std::string(key.str()) + "\"");
      }
    }
  }

  void ReadString(const toml::table& table, std::string_view key,
                  std::string* out) {
    const toml::node* node = Require(table, key);
    if (node == nullptr) return;
    const auto value = node->value_exact<std::string>();
    if (!value || value->empty()) {
      Report(node->source(), Expected(key, "a non-empty string"));
      return;
    }
    *out = *value;
  }

  template <typename T>
  void ReadInteger(const toml::table& table, std::string_view key, int64_t low,
                   int64_t high, T* out) {
    const toml::node* node = table.get(key);
    if (node == nullptr) return;
    const auto value = node->value_exact<int64_t>();
    if (!value || *value < low || *value > high) {
      Report(node->source(),
             Expected(key, "an integer from " + std::to_string(low) + " to " +
                               std::to_string(high)));
      return;
    }
    *out = static_cast<T>(*value);
  }

  void ReadBool(const toml::table& table, std::string_view key, bool* out) {
    const toml::node* node = table.get(key);
    if (node == nullptr) return;
    const auto value = node->value_exact<bool>();
    if (!value) {
      Report(node->source(), Expected(key, "true or false"));
      return;
    }
    *out = *value;
  }

  void ReadStrings(const toml::table& table, std::string_view key,
                   std::vector<std::string>* out) {
    const toml::node* node = table.get(key);
    if (node == nullptr) return;
    const toml::array* array = node->as_array();
    if (array == nullptr) {
      Report(node->source(), Expected(key, "an array of strings"));
      return;
    }
    for (const toml::node& item : *array) {
      const auto value = item.value_exact<std::string>();
      if (!value) {
        Report(item.source(), Expected(key, "an array of strings"));
        continue;
      }
      out->push_back(*value);
    }
  }

  // Calls `read` for each table of the array of tables `key`.
  void ForEach(const toml::table& table, std::string_view key,
               const std::function<void(const toml::table&)>& read) {
    const toml::node* node = table.get(key);
    if (node == nullptr) return;
    const toml::array* array = node->as_array();
    if (array == nullptr) {
      Report(node->source(), Expected(key, "an array of tables"));
      return;
    }
    for (const toml::node& item : *array) {
      const toml::table* element = item.as_table();
      if (element == nullptr) {
        Report(item.source(), Expected(key, "an array of tables"));
        continue;
      }
      read(*element);
    }
  }

  const toml::node* Require(const toml::table& table, std::string_view key) {
    const toml::node* node = table.get(key);
    if (node == nullptr) {
      Report(table.source(), "field \"" + std::string(key) + "\" is missing");
    }
    return node;
  }

 private:
  static std::string Expected(std::string_view key, std::string what) {
    return "field \"" + std::string(key) + "\": expected " + std::move(what);
  }

  std::string_view m_source;
  Findings* m_findings;
};

constexpr int64_t kMaxCount = 1'000'000;
constexpr int64_t kMaxTimeoutMs = 600'000;

void ReadMethod(Reader& reader, const toml::table& table,
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

void ReadService(Reader& reader, const toml::table& table,
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

void ReadTopology(Reader& reader, const toml::table& root,
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

void ReadClasses(Reader& reader, const toml::table& root, FleetConfig* config) {
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

void ReadRoot(Reader& reader, const toml::table& root, FleetConfig* config) {
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
  Reader reader(source, findings);
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
