#include "vtbench/experiment.h"

#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "toml++/toml.h"

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;

milliseconds FromSeconds(double seconds) {
  return milliseconds(static_cast<int64_t>(seconds * 1000));
}

// Reads experiment tables and collects what is wrong with them.
class Reader {
 public:
  Reader(std::string_view source, Findings* findings)
      : m_source(source), m_findings(findings) {}

  void Report(const toml::node& node, std::string text) {
    const toml::source_position place = node.source().begin;
    m_findings->push_back(
        {m_source, place.line, place.column, std::move(text)});
  }

  // Reports fields that no reader knows, so that a misspelt one is noticed.
  void CheckFields(const toml::table& table,
                   std::initializer_list<std::string_view> known) {
    for (const auto& [key, value] : table) {
      if (std::find(known.begin(), known.end(), key.str()) == known.end()) {
        Report(value,
               absl::StrCat("unknown field \"", std::string(key.str()), "\""));
      }
    }
  }

  template <typename T>
  T Get(const toml::table& table, std::string_view key, T fallback) {
    const toml::node* node = table.get(key);
    if (node == nullptr) return fallback;
    const auto value = node->value<T>();
    if (value) return *value;
    Report(*node,
           absl::StrCat("field \"", std::string(key), "\" has the wrong type"));
    return fallback;
  }

  uint32_t GetCount(const toml::table& table, std::string_view key,
                    uint32_t fallback) {
    const auto value = Get<int64_t>(table, key, fallback);
    if (value >= 0 && value <= UINT32_MAX) return static_cast<uint32_t>(value);
    Report(table, absl::StrCat("field \"", std::string(key),
                               "\" is out of its range"));
    return fallback;
  }

  milliseconds GetMilliseconds(const toml::table& table, std::string_view key,
                               milliseconds fallback) {
    return milliseconds(
        GetCount(table, key, static_cast<uint32_t>(fallback.count())));
  }

  std::string GetName(const toml::table& table, std::string_view key) {
    auto value = Get<std::string>(table, key, "");
    if (value.empty()) {
      Report(table,
             absl::StrCat("field \"", std::string(key), "\" is missing"));
    }
    return value;
  }

  template <typename Read>
  void ForEach(const toml::table& table, std::string_view key, Read read) {
    const toml::node* node = table.get(key);
    if (node == nullptr) return;
    const toml::array* array = node->as_array();
    if (array == nullptr) {
      Report(*node, absl::StrCat("field \"", std::string(key),
                                 "\" is not an array of tables"));
      return;
    }
    for (const toml::node& item : *array) {
      if (item.is_table()) {
        read(*item.as_table());
      } else {
        Report(item, "expected a table");
      }
    }
  }

 private:
  std::string m_source;
  Findings* m_findings;
};

MethodConfig ReadMethod(Reader& reader, const toml::table& table) {
  reader.CheckFields(table,
                     {"name", "rank", "idempotent", "timeout_ms", "calls"});
  MethodConfig method;
  method.name = reader.GetName(table, "name");
  method.rank = reader.GetName(table, "rank");
  method.idempotent = reader.Get(table, "idempotent", true);
  method.timeout = reader.GetMilliseconds(table, "timeout_ms", method.timeout);
  if (const toml::array* calls = table["calls"].as_array()) {
    for (const toml::node& call : *calls) {
      method.calls.push_back(call.value_or(std::string()));
    }
  }
  return method;
}

std::vector<MethodConfig> ReadMethods(Reader& reader,
                                      const toml::table& table) {
  std::vector<MethodConfig> methods;
  reader.ForEach(table, "method", [&](const toml::table& method) {
    methods.push_back(ReadMethod(reader, method));
  });
  return methods;
}

ServerModel ReadServerModel(Reader& reader, const toml::table& table,
                            std::string service) {
  ServerModel model;
  model.service = std::move(service);
  model.servers = reader.GetCount(table, "servers", 1);
  model.slots = reader.GetCount(table, "slots", 1);
  model.service_time =
      reader.GetMilliseconds(table, "service_ms", model.service_time);
  model.distribution =
      reader.Get<std::string>(table, "distribution", model.distribution);
  model.relay = reader.Get(table, "relay", false);
  return model;
}

void ReadService(Reader& reader, const toml::table& table,
                 Experiment* experiment) {
  reader.CheckFields(table, {"name", "servers", "slots", "connections",
                             "service_ms", "distribution", "relay", "method"});
  ServiceConfig service;
  service.name = reader.GetName(table, "name");
  service.slots = reader.GetCount(table, "slots", 1);
  service.connections = reader.GetCount(table, "connections", 400);
  service.methods = ReadMethods(reader, table);
  experiment->servers.push_back(ReadServerModel(reader, table, service.name));
  experiment->fleet.services.push_back(std::move(service));
}

// Slots of the service at `place` (from 0) of a chain. A backend server holds
// its slot during downstream calls, so a service needs slots in proportion to
// the length of the chain below it; the headroom makes the last service the
// one whose slots bound the capacity of the chain.
uint32_t ChainSlots(uint32_t slots, uint32_t depth, uint32_t place,
                    double headroom) {
  const uint32_t length = depth - place;
  if (length == 1) return slots;
  return static_cast<uint32_t>(std::lround(slots * length * headroom));
}

void ReadChain(Reader& reader, const toml::table& table,
               Experiment* experiment) {
  reader.CheckFields(
      table, {"prefix", "depth", "servers", "slots", "connections",
              "service_ms", "distribution", "headroom", "relay", "method"});
  const std::string prefix = reader.GetName(table, "prefix");
  const uint32_t depth = reader.GetCount(table, "depth", 1);
  const double headroom = reader.Get(table, "headroom", 1.25);
  const std::vector<MethodConfig> methods = ReadMethods(reader, table);
  for (uint32_t i = 0; i < depth; ++i) {
    ServiceConfig service;
    service.name = absl::StrCat(prefix, i + 1);
    service.connections = reader.GetCount(table, "connections", 400);
    ServerModel model = ReadServerModel(reader, table, service.name);
    model.slots = ChainSlots(model.slots, depth, i, headroom);
    service.slots = model.slots;
    for (MethodConfig method : methods) {
      if (i + 1 < depth) {
        method.calls = {absl::StrCat(prefix, i + 2, ".", method.name)};
      }
      service.methods.push_back(std::move(method));
    }
    experiment->servers.push_back(std::move(model));
    experiment->fleet.services.push_back(std::move(service));
  }
}

void ReadClass(Reader& reader, const toml::table& table,
               Experiment* experiment) {
  reader.CheckFields(
      table, {"name", "tenant", "service", "method", "deadline_ms",
              "try_timeout_ms", "retries", "retry_delay_ms", "ticket", "direct",
              "entry_service", "padding"});
  LoadClass load;
  load.name = reader.GetName(table, "name");
  load.tenant = reader.GetName(table, "tenant");
  load.service = reader.GetName(table, "service");
  load.method = reader.GetName(table, "method");
  load.deadline = reader.GetMilliseconds(table, "deadline_ms", load.deadline);
  load.try_timeout =
      reader.GetMilliseconds(table, "try_timeout_ms", load.deadline);
  load.retries = reader.GetCount(table, "retries", 0);
  load.retry_delay = reader.GetMilliseconds(table, "retry_delay_ms", {});
  load.uses_ticket = reader.Get(table, "ticket", false);
  load.direct = reader.Get(table, "direct", false);
  load.entry_service = reader.Get<std::string>(table, "entry_service", "");
  load.padding = reader.GetCount(table, "padding", 0);
  const ServiceConfig* service = experiment->fleet.FindService(load.service);
  if (service == nullptr || service->FindMethod(load.method) == nullptr) {
    reader.Report(table, "class \"" + load.name + "\": no such method");
  }
  experiment->classes.push_back(std::move(load));
}

void ReadPhase(Reader& reader, const toml::table& table,
               Experiment* experiment) {
  reader.CheckFields(table,
                     {"name", "seconds", "rates", "baseline", "recovery"});
  Phase phase;
  phase.name = reader.GetName(table, "name");
  phase.duration = FromSeconds(reader.Get(table, "seconds", 0.0));
  phase.baseline = reader.Get(table, "baseline", false);
  phase.recovery = reader.Get(table, "recovery", false);
  if (phase.duration.count() <= 0) {
    reader.Report(table, "field \"seconds\" must be above 0");
  }
  if (const toml::table* rates = table["rates"].as_table()) {
    for (const auto& [key, value] : *rates) {
      Demand demand{std::string(key.str()), value.value_or(0.0)};
      if (experiment->FindClass(demand.load_class) == nullptr) {
        reader.Report(value, "no class \"" + demand.load_class + "\"");
      }
      phase.demands.push_back(std::move(demand));
    }
  }
  experiment->phases.push_back(std::move(phase));
}

void ReadFault(Reader& reader, const toml::table& table,
               Experiment* experiment) {
  reader.CheckFields(table, {"at", "target", "post", "signal"});
  Fault fault;
  fault.at = FromSeconds(reader.Get(table, "at", 0.0));
  fault.target = reader.GetName(table, "target");
  fault.post = reader.Get<std::string>(table, "post", "");
  fault.signal = reader.Get<std::string>(table, "signal", "");
  if (fault.post.empty() == fault.signal.empty()) {
    reader.Report(table, "a fault has either \"post\" or \"signal\"");
  }
  experiment->faults.push_back(std::move(fault));
}

void ReadPolicy(Reader& reader, const toml::table& table,
                Experiment* experiment) {
  reader.CheckFields(table, {"name", "admission", "retries", "routing"});
  Policy policy;
  policy.name = reader.GetName(table, "name");
  policy.admission =
      reader.Get<std::string>(table, "admission", policy.admission);
  policy.retries = reader.Get<std::string>(table, "retries", policy.retries);
  policy.routing = reader.Get<std::string>(table, "routing", policy.routing);
  experiment->policies.push_back(std::move(policy));
}

void ReadFleet(Reader& reader, const toml::table& table,
               Experiment* experiment) {
  FleetConfig& fleet = experiment->fleet;
  fleet.version = 1;
  fleet.chain.extra_attempts = reader.GetCount(table, "extra_attempts", 3);
  fleet.chain.max_depth = reader.GetCount(table, "max_depth", 12);
  reader.ForEach(table, "rank", [&](const toml::table& item) {
    fleet.ranks.push_back({reader.GetName(item, "name"),
                           reader.GetCount(item, "order", 0),
                           reader.Get(item, "protected", false)});
  });
  reader.ForEach(table, "tenant", [&](const toml::table& item) {
    fleet.tenants.push_back(
        {reader.GetName(item, "name"), reader.GetCount(item, "weight", 1)});
  });
  reader.ForEach(table, "failure_domain", [&](const toml::table& item) {
    const std::string region = reader.GetName(item, "region");
    fleet.failure_domains.push_back({reader.GetName(item, "name"), region});
    const bool known =
        std::any_of(fleet.regions.begin(), fleet.regions.end(),
                    [&](const RegionConfig& r) { return r.name == region; });
    if (!known) fleet.regions.push_back({region});
  });
  if (fleet.failure_domains.empty()) {
    fleet.regions = {{"north"}};
    fleet.failure_domains = {{"north-1", "north"}, {"north-2", "north"}};
  }
  for (const RegionConfig& from : fleet.regions) {
    for (const RegionConfig& to : fleet.regions) {
      if (from.name == to.name) continue;
      fleet.links.push_back({from.name, to.name, 500'000'000});
    }
  }
}

std::string Quote(const std::string& text) {
  std::ostringstream out;
  out << toml::value<std::string>(text);
  return out.str();
}

std::string MethodToToml(const MethodConfig& method) {
  std::string calls;
  for (const std::string& call : method.calls) {
    absl::StrAppend(&calls, calls.empty() ? "" : ", ", Quote(call));
  }
  return absl::StrCat("[[service.method]]\nname = ", Quote(method.name),
                      "\nrank = ", Quote(method.rank),
                      "\nidempotent = ", method.idempotent ? "true" : "false",
                      "\ntimeout_ms = ", method.timeout.count(), "\ncalls = [",
                      calls, "]\n");
}

}  // namespace

const LoadClass* Experiment::FindClass(std::string_view class_name) const {
  for (const LoadClass& load : classes) {
    if (load.name == class_name) return &load;
  }
  return nullptr;
}

const Policy* Experiment::FindPolicy(std::string_view policy_name) const {
  for (const Policy& policy : policies) {
    if (policy.name == policy_name) return &policy;
  }
  return nullptr;
}

const ServerModel* Experiment::FindServers(std::string_view service) const {
  for (const ServerModel& model : servers) {
    if (model.service == service) return &model;
  }
  return nullptr;
}

milliseconds Experiment::TotalDuration() const {
  milliseconds total{0};
  for (const Phase& phase : phases) total += phase.duration;
  return total;
}

std::string FleetConfigToToml(const FleetConfig& config) {
  std::string out =
      absl::StrCat("version = ", config.version,
                   "\n[chain]\nextra_attempts = ", config.chain.extra_attempts,
                   "\nmax_depth = ", config.chain.max_depth, "\n");
  for (const RankConfig& rank : config.ranks) {
    absl::StrAppend(
        &out, "[[rank]]\nname = ", Quote(rank.name), "\norder = ", rank.order,
        "\nprotected = ", rank.is_protected ? "true" : "false", "\n");
  }
  for (const TenantConfig& tenant : config.tenants) {
    absl::StrAppend(&out, "[[tenant]]\nname = ", Quote(tenant.name),
                    "\nweight = ", tenant.weight, "\n");
  }
  for (const RegionConfig& region : config.regions) {
    absl::StrAppend(&out, "[[region]]\nname = ", Quote(region.name), "\n");
  }
  for (const FailureDomainConfig& domain : config.failure_domains) {
    absl::StrAppend(&out, "[[failure_domain]]\nname = ", Quote(domain.name),
                    "\nregion = ", Quote(domain.region), "\n");
  }
  for (const LinkConfig& link : config.links) {
    absl::StrAppend(&out, "[[link]]\nfrom = ", Quote(link.from),
                    "\nto = ", Quote(link.to),
                    "\nbytes_per_second = ", link.bytes_per_second, "\n");
  }
  for (const ServiceConfig& service : config.services) {
    absl::StrAppend(&out, "[[service]]\nname = ", Quote(service.name),
                    "\nslots = ", service.slots,
                    "\nconnections = ", service.connections, "\n");
    for (const MethodConfig& method : service.methods) {
      out += MethodToToml(method);
    }
  }
  return out;
}

std::optional<Experiment> ParseExperiment(std::string_view text,
                                          std::string_view source,
                                          Findings* findings) {
  toml::table table;
  try {
    table = toml::parse(text, source);
  } catch (const toml::parse_error& error) {
    const toml::source_position place = error.source().begin;
    findings->push_back({std::string(source), place.line, place.column,
                         std::string(error.description())});
    return std::nullopt;
  }
  const size_t findings_before = findings->size();
  Reader reader(source, findings);
  reader.CheckFields(
      table, {"name", "description", "seed", "max_in_flight", "extra_attempts",
              "max_depth", "rank", "tenant", "failure_domain", "chain",
              "service", "class", "phase", "fault", "policy"});
  Experiment experiment;
  experiment.name = reader.GetName(table, "name");
  experiment.description = reader.Get<std::string>(table, "description", "");
  experiment.seed = reader.GetCount(table, "seed", 1);
  experiment.max_in_flight = reader.GetCount(table, "max_in_flight", 2000);
  ReadFleet(reader, table, &experiment);
  using ReadItem = void (*)(Reader&, const toml::table&, Experiment*);
  static constexpr struct {
    std::string_view key;
    ReadItem read;
  } kItems[] = {{"chain", ReadChain}, {"service", ReadService},
                {"class", ReadClass}, {"phase", ReadPhase},
                {"fault", ReadFault}, {"policy", ReadPolicy}};
  for (const auto& item : kItems) {
    reader.ForEach(table, item.key, [&](const toml::table& element) {
      item.read(reader, element, &experiment);
    });
  }
  if (experiment.phases.empty()) reader.Report(table, "no phase");
  if (experiment.policies.empty()) reader.Report(table, "no policy");
  if (findings->size() > findings_before) return std::nullopt;
  if (!ParseFleetConfig(FleetConfigToToml(experiment.fleet), source,
                        findings)) {
    return std::nullopt;
  }
  return experiment;
}

}  // namespace vanillatiller
