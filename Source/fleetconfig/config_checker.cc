#include "fleetconfig/config_checker.h"

#include <algorithm>
#include <map>
#include <tuple>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "fleetconfig/canonical.h"

namespace vanillatiller {
namespace {

// Maximum length of a name in messages between nodes.
constexpr size_t kMaxNameLength = 128;

enum VisitState : char { kUnvisited, kOnPath, kVisited };

bool IsWellFormedName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::ranges::all_of(name, [](char c) {
           return absl::ascii_isalnum(c) || c == '-' || c == '_';
         });
}

SourceLocation LocationAt(const std::vector<SourceLocation>* locations,
                          size_t index) {
  if (locations == nullptr || index >= locations->size()) return {};
  return (*locations)[index];
}

std::string Describe(ItemKind kind, std::string_view name) {
  return absl::StrCat(std::string(ItemKindName(kind)), " \"", std::string(name),
                      "\"");
}

}  // namespace

std::string QualifiedItemName(ItemKind kind, std::string_view name) {
  return absl::StrCat(std::string(ItemKindName(kind)), " ", std::string(name));
}

ConfigChecker::ConfigChecker(const FleetConfig& config, std::string_view source,
                             const ConfigLocations* locations,
                             const WithdrawnItems* withdrawn)
    : m_config(config),
      m_source(source),
      m_locations(locations),
      m_withdrawn(withdrawn) {}

Findings ConfigChecker::Run() {
  CheckRanksAndTenants();
  CheckTopology();
  CheckServices();
  BuildCallGraph();
  ComputeChainLengths();
  CheckDepth();
  CheckSize();
  std::ranges::stable_sort(m_findings, {}, [](const Finding& finding) {
    return std::make_tuple(finding.line, finding.column);
  });
  return std::move(m_findings);
}

bool ConfigChecker::IsIgnoredName(std::string_view name) const {
  return m_ignores_empty_names && name.empty();
}

void ConfigChecker::Report(SourceLocation location, std::string text) {
  m_findings.push_back(
      {std::string(m_source), location.line, location.column, std::move(text)});
}

void ConfigChecker::ReportUnknown(ItemKind kind, std::string_view name,
                                  const std::string& referrer,
                                  SourceLocation location) {
  if (IsIgnoredName(name)) return;
  const std::string item = Describe(kind, name);
  if (m_withdrawn != nullptr) {
    const auto found = m_withdrawn->find(QualifiedItemName(kind, name));
    if (found != m_withdrawn->end()) {
      Report(found->second, absl::StrCat(item, " is withdrawn but ", referrer,
                                         " still uses it"));
      return;
    }
  }
  Report(location, absl::StrCat(referrer, " refers to unknown ", item));
}

void ConfigChecker::CheckName(ItemKind kind, const std::string& full_name,
                              std::string_view own_name,
                              SourceLocation location, NameSet* names) {
  if (IsIgnoredName(own_name)) return;
  if (!IsWellFormedName(own_name)) {
    Report(location,
           absl::StrCat(Describe(kind, full_name), ": a name has 1 to ",
                        kMaxNameLength, " letters, digits, '-' or '_'"));
  }
  if (!names->insert(full_name).second) {
    Report(location, absl::StrCat("duplicate ", Describe(kind, full_name)));
  }
}

void ConfigChecker::CheckRanksAndTenants() {
  const auto* rank_locations =
      m_locations != nullptr ? &m_locations->ranks : nullptr;
  std::map<uint32_t, size_t> orders;
  for (size_t i = 0; i < m_config.ranks.size(); ++i) {
    const RankConfig& rank = m_config.ranks[i];
    const SourceLocation location = LocationAt(rank_locations, i);
    CheckName(ItemKind::kRank, rank.name, rank.name, location, &m_ranks);
    const auto [first, is_new] = orders.emplace(rank.order, i);
    const RankConfig& other = m_config.ranks[first->second];
    if (is_new || other.name == rank.name) continue;
    // For a note, only one of the two ranks may have a location.
    Report(location.line != 0 ? location
                              : LocationAt(rank_locations, first->second),
           absl::StrCat(
               "ambiguous rank order: ", Describe(ItemKind::kRank, other.name),
               " and ", Describe(ItemKind::kRank, rank.name),
               " both have order ", rank.order));
  }
  const auto* tenant_locations =
      m_locations != nullptr ? &m_locations->tenants : nullptr;
  NameSet tenants;
  for (size_t i = 0; i < m_config.tenants.size(); ++i) {
    const std::string& name = m_config.tenants[i].name;
    CheckName(ItemKind::kTenant, name, name, LocationAt(tenant_locations, i),
              &tenants);
  }
}

void ConfigChecker::CheckTopology() {
  const bool has_locations = m_locations != nullptr;
  const auto* region_locations =
      has_locations ? &m_locations->regions : nullptr;
  for (size_t i = 0; i < m_config.regions.size(); ++i) {
    const std::string& name = m_config.regions[i].name;
    CheckName(ItemKind::kRegion, name, name, LocationAt(region_locations, i),
              &m_regions);
  }
  const auto* domain_locations =
      has_locations ? &m_locations->failure_domains : nullptr;
  NameSet domains;
  for (size_t i = 0; i < m_config.failure_domains.size(); ++i) {
    const FailureDomainConfig& domain = m_config.failure_domains[i];
    const SourceLocation location = LocationAt(domain_locations, i);
    CheckName(ItemKind::kFailureDomain, domain.name, domain.name, location,
              &domains);
    if (!m_regions.contains(domain.region)) {
      ReportUnknown(ItemKind::kRegion, domain.region,
                    Describe(ItemKind::kFailureDomain, domain.name), location);
    }
  }
  const auto* link_locations = has_locations ? &m_locations->links : nullptr;
  NameSet links;
  for (size_t i = 0; i < m_config.links.size(); ++i) {
    const LinkConfig& link = m_config.links[i];
    const SourceLocation location = LocationAt(link_locations, i);
    const std::string name = absl::StrCat(link.from, "->", link.to);
    const std::string referrer = Describe(ItemKind::kLink, name);
    if (!links.insert(name).second) {
      Report(location, absl::StrCat("duplicate ", referrer));
    }
    if (link.from == link.to) {
      Report(location, absl::StrCat(referrer, " connects a region to itself"));
    }
    for (const std::string* end : {&link.from, &link.to}) {
      if (m_regions.contains(*end)) continue;
      ReportUnknown(ItemKind::kRegion, *end, referrer, location);
    }
  }
}

void ConfigChecker::CheckServices() {
  for (size_t i = 0; i < m_config.services.size(); ++i) {
    const ServiceConfig& service = m_config.services[i];
    const ServiceLocations* locations =
        m_locations != nullptr ? &m_locations->services[i] : nullptr;
    CheckName(ItemKind::kService, service.name, service.name,
              locations != nullptr ? locations->service : SourceLocation{},
              &m_services);
    for (size_t j = 0; j < service.methods.size(); ++j) {
      CheckMethod(service, service.methods[j],
                  locations != nullptr ? &locations->methods[j] : nullptr);
    }
  }
}

void ConfigChecker::CheckMethod(const ServiceConfig& service,
                                const MethodConfig& method,
                                const MethodLocations* locations) {
  const SourceLocation location =
      locations != nullptr ? locations->method : SourceLocation{};
  const std::string name = absl::StrCat(service.name, ".", method.name);
  if (!IsIgnoredName(method.name) && !IsWellFormedName(method.name)) {
    Report(location,
           absl::StrCat(Describe(ItemKind::kMethod, name), ": a name has 1 to ",
                        kMaxNameLength, " letters, digits, '-' or '_'"));
  }
  if (!m_ranks.contains(method.rank)) {
    ReportUnknown(ItemKind::kRank, method.rank,
                  Describe(ItemKind::kMethod, name), location);
  }
  if (!m_vertex_index.emplace(name, m_vertices.size()).second) {
    Report(location,
           absl::StrCat("duplicate ", Describe(ItemKind::kMethod, name)));
    return;
  }
  m_vertices.push_back({&service, &method, locations});
}

void ConfigChecker::BuildCallGraph() {
  for (Vertex& caller : m_vertices) {
    for (size_t i = 0; i < caller.method->calls.size(); ++i) {
      AddCallEdge(&caller, i);
    }
  }
}

void ConfigChecker::AddCallEdge(Vertex* caller, size_t call_index) {
  const std::string& call = caller->method->calls[call_index];
  const SourceLocation location = LocationAt(
      caller->locations != nullptr ? &caller->locations->calls : nullptr,
      call_index);
  const std::string caller_name =
      Describe(ItemKind::kMethod,
               absl::StrCat(caller->service->name, ".", caller->method->name));
  const auto found = m_vertex_index.find(call);
  if (found == m_vertex_index.end()) {
    ReportUnknown(ItemKind::kMethod, call, caller_name, location);
    return;
  }
  Vertex& callee = m_vertices[found->second];
  if (std::ranges::count(caller->callees, found->second) != 0) {
    Report(location, absl::StrCat(caller_name, " lists the call to \"", call,
                                  "\" twice"));
    return;
  }
  if (caller->method->idempotent && !callee.method->idempotent) {
    Report(location, absl::StrCat("idempotent ", caller_name,
                                  " calls the non-idempotent ",
                                  Describe(ItemKind::kMethod, call)));
  }
  caller->callees.push_back(found->second);
  ++callee.callers;
}

void ConfigChecker::ComputeChainLengths() {
  std::vector<char> states(m_vertices.size(), kUnvisited);
  for (size_t i = 0; i < m_vertices.size(); ++i) {
    if (states[i] == kUnvisited) ComputeChainLengthsFrom(i, &states);
  }
}

// Iterative depth-first search: an invalid configuration may contain a chain of
// many thousand calls, which would overflow the call stack of a recursive one.
void ConfigChecker::ComputeChainLengthsFrom(size_t start,
                                            std::vector<char>* states) {
  std::vector<size_t> path = {start};
  std::vector<size_t> positions = {0};
  (*states)[start] = kOnPath;
  m_vertices[start].chain_length = 1;
  m_vertices[start].next = start;
  while (!path.empty()) {
    const size_t current = path.back();
    Vertex& vertex = m_vertices[current];
    if (positions.back() < vertex.callees.size()) {
      const size_t callee = vertex.callees[positions.back()++];
      if ((*states)[callee] == kOnPath) {
        ReportCycle(path, callee);
      } else if ((*states)[callee] == kUnvisited) {
        (*states)[callee] = kOnPath;
        m_vertices[callee].chain_length = 1;
        m_vertices[callee].next = callee;
        path.push_back(callee);
        positions.push_back(0);
      } else if (vertex.chain_length < m_vertices[callee].chain_length + 1) {
        vertex.chain_length = m_vertices[callee].chain_length + 1;
        vertex.next = callee;
      }
      continue;
    }
    (*states)[current] = kVisited;
    path.pop_back();
    positions.pop_back();
    if (path.empty()) break;
    Vertex& parent = m_vertices[path.back()];
    if (parent.chain_length < vertex.chain_length + 1) {
      parent.chain_length = vertex.chain_length + 1;
      parent.next = current;
    }
  }
}

void ConfigChecker::ReportCycle(const std::vector<size_t>& path,
                                size_t repeated) {
  std::string text = "call cycle: ";
  const auto begin = std::ranges::find(path, repeated);
  for (auto it = begin; it != path.end(); ++it) {
    absl::StrAppend(&text, VertexName(*it), " -> ");
  }
  absl::StrAppend(&text, VertexName(repeated));
  const Vertex& last = m_vertices[path.back()];
  const auto position =
      std::ranges::find(last.method->calls, VertexName(repeated)) -
      last.method->calls.begin();
  Report(
      LocationAt(last.locations != nullptr ? &last.locations->calls : nullptr,
                 position),
      std::move(text));
}

void ConfigChecker::CheckDepth() {
  const size_t max_depth = m_config.chain.max_depth;
  for (size_t i = 0; i < m_vertices.size(); ++i) {
    const Vertex& vertex = m_vertices[i];
    // Reports only the first method of a chain, not each of its callees.
    if (vertex.callers != 0 || vertex.chain_length <= max_depth) continue;
    std::string text = absl::StrCat("chain of ", vertex.chain_length,
                                    " calls is deeper than max_depth ",
                                    max_depth, ": ", VertexName(i));
    for (size_t at = i; m_vertices[at].next != at;) {
      at = m_vertices[at].next;
      absl::StrAppend(&text, " -> ", VertexName(at));
    }
    Report(vertex.locations != nullptr ? vertex.locations->method
                                       : SourceLocation{},
           std::move(text));
  }
}

void ConfigChecker::CheckSize() {
  const size_t size = FormatFleetConfig(m_config).size();
  if (size <= kMaxValueBytes) return;
  Report({}, absl::StrCat("the canonical form has ", size,
                          " bytes; the limit is ", kMaxValueBytes));
}

std::string ConfigChecker::VertexName(size_t index) const {
  const Vertex& vertex = m_vertices[index];
  return absl::StrCat(vertex.service->name, ".", vertex.method->name);
}

Findings CheckFleetConfig(const FleetConfig& config, std::string_view source,
                          const ConfigLocations* locations) {
  ConfigChecker checker(config, source, locations, nullptr);
  if (locations != nullptr) checker.IgnoreEmptyNames();
  return checker.Run();
}

}  // namespace vanillatiller
