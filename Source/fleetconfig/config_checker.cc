#include "fleetconfig/config_checker.h"

#include <algorithm>
#include <map>
#include <tuple>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "fleetconfig/canonical.h"

namespace vanillatiller {
namespace {

// Longest name that the messages between nodes carry.
constexpr size_t kMaxNameLength = 128;

enum VisitState : char { kUnvisited, kOnPath, kDone };

bool IsWellFormedName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::ranges::all_of(name, [](char c) {
           return absl::ascii_isalnum(c) || c == '-' || c == '_';
         });
}

Place PlaceAt(const std::vector<Place>* places, size_t index) {
  if (places == nullptr || index >= places->size()) return {};
  return (*places)[index];
}

std::string Describe(ItemKind kind, std::string_view name) {
  return absl::StrCat(std::string(ItemKindName(kind)), " \"", std::string(name),
                      "\"");
}

}  // namespace

std::string WithdrawnKey(ItemKind kind, std::string_view name) {
  return absl::StrCat(std::string(ItemKindName(kind)), " ", std::string(name));
}

ConfigChecker::ConfigChecker(const FleetConfig& config, std::string_view source,
                             const ConfigPlaces* places,
                             const WithdrawnItems* withdrawn)
    : m_config(config),
      m_source(source),
      m_places(places),
      m_withdrawn(withdrawn) {}

Findings ConfigChecker::Run() {
  CheckClasses();
  CheckTopology();
  CheckServices();
  LinkCalls();
  MeasureChains();
  CheckDepth();
  CheckSize();
  std::ranges::stable_sort(m_findings, {}, [](const Finding& finding) {
    return std::make_tuple(finding.line, finding.column);
  });
  return std::move(m_findings);
}

bool ConfigChecker::IsReported(std::string_view name) const {
  return m_ignores_empty_names && name.empty();
}

void ConfigChecker::Report(Place place, std::string text) {
  m_findings.push_back(
      {std::string(m_source), place.line, place.column, std::move(text)});
}

void ConfigChecker::ReportUnknown(ItemKind kind, std::string_view name,
                                  const std::string& user, Place place) {
  if (IsReported(name)) return;
  const std::string item = Describe(kind, name);
  if (m_withdrawn != nullptr) {
    const auto found = m_withdrawn->find(WithdrawnKey(kind, name));
    if (found != m_withdrawn->end()) {
      Report(found->second,
             absl::StrCat(item, " is withdrawn but ", user, " still uses it"));
      return;
    }
  }
  Report(place, absl::StrCat(user, " names the unknown ", item));
}

void ConfigChecker::CheckName(ItemKind kind, const std::string& full_name,
                              std::string_view own_name, Place place,
                              NameSet* names) {
  if (IsReported(own_name)) return;
  if (!IsWellFormedName(own_name)) {
    Report(place, absl::StrCat(Describe(kind, full_name), ": a name has 1 to ",
                               kMaxNameLength, " letters, digits, '-' or '_'"));
  }
  if (!names->insert(full_name).second) {
    Report(place, absl::StrCat("duplicate ", Describe(kind, full_name)));
  }
}

void ConfigChecker::CheckClasses() {
  const auto* rank_places = m_places != nullptr ? &m_places->ranks : nullptr;
  std::map<uint32_t, size_t> orders;
  for (size_t i = 0; i < m_config.ranks.size(); ++i) {
    const RankConfig& rank = m_config.ranks[i];
    const Place place = PlaceAt(rank_places, i);
    CheckName(ItemKind::kRank, rank.name, rank.name, place, &m_ranks);
    const auto [first, is_new] = orders.emplace(rank.order, i);
    const RankConfig& other = m_config.ranks[first->second];
    if (is_new || other.name == rank.name) continue;
    // In a note only one of the two may have a place.
    Report(place.line != 0 ? place : PlaceAt(rank_places, first->second),
           absl::StrCat(
               "ambiguous rank order: ", Describe(ItemKind::kRank, other.name),
               " and ", Describe(ItemKind::kRank, rank.name),
               " both have order ", rank.order));
  }
  const auto* tenant_places =
      m_places != nullptr ? &m_places->tenants : nullptr;
  NameSet tenants;
  for (size_t i = 0; i < m_config.tenants.size(); ++i) {
    const std::string& name = m_config.tenants[i].name;
    CheckName(ItemKind::kTenant, name, name, PlaceAt(tenant_places, i),
              &tenants);
  }
}

void ConfigChecker::CheckTopology() {
  const bool has_places = m_places != nullptr;
  const auto* region_places = has_places ? &m_places->regions : nullptr;
  for (size_t i = 0; i < m_config.regions.size(); ++i) {
    const std::string& name = m_config.regions[i].name;
    CheckName(ItemKind::kRegion, name, name, PlaceAt(region_places, i),
              &m_regions);
  }
  const auto* domain_places = has_places ? &m_places->failure_domains : nullptr;
  NameSet domains;
  for (size_t i = 0; i < m_config.failure_domains.size(); ++i) {
    const FailureDomainConfig& domain = m_config.failure_domains[i];
    const Place place = PlaceAt(domain_places, i);
    CheckName(ItemKind::kFailureDomain, domain.name, domain.name, place,
              &domains);
    if (!m_regions.contains(domain.region)) {
      ReportUnknown(ItemKind::kRegion, domain.region,
                    Describe(ItemKind::kFailureDomain, domain.name), place);
    }
  }
  const auto* link_places = has_places ? &m_places->links : nullptr;
  NameSet links;
  for (size_t i = 0; i < m_config.links.size(); ++i) {
    const LinkConfig& link = m_config.links[i];
    const Place place = PlaceAt(link_places, i);
    const std::string name = absl::StrCat(link.from, "->", link.to);
    const std::string user = Describe(ItemKind::kLink, name);
    if (!links.insert(name).second) {
      Report(place, absl::StrCat("duplicate ", user));
    }
    if (link.from == link.to) {
      Report(place, absl::StrCat(user, " leads from a region to itself"));
    }
    for (const std::string* end : {&link.from, &link.to}) {
      if (m_regions.contains(*end)) continue;
      ReportUnknown(ItemKind::kRegion, *end, user, place);
    }
  }
}

void ConfigChecker::CheckServices() {
  for (size_t i = 0; i < m_config.services.size(); ++i) {
    const ServiceConfig& service = m_config.services[i];
    const ServicePlaces* places =
        m_places != nullptr ? &m_places->services[i] : nullptr;
    CheckName(ItemKind::kService, service.name, service.name,
              places != nullptr ? places->service : Place{}, &m_services);
    for (size_t j = 0; j < service.methods.size(); ++j) {
      CheckMethod(service, service.methods[j],
                  places != nullptr ? &places->methods[j] : nullptr);
    }
  }
}

void ConfigChecker::CheckMethod(const ServiceConfig& service,
                                const MethodConfig& method,
                                const MethodPlaces* places) {
  const Place place = places != nullptr ? places->method : Place{};
  const std::string name = absl::StrCat(service.name, ".", method.name);
  if (!IsReported(method.name) && !IsWellFormedName(method.name)) {
    Report(place,
           absl::StrCat(Describe(ItemKind::kMethod, name), ": a name has 1 to ",
                        kMaxNameLength, " letters, digits, '-' or '_'"));
  }
  if (!m_ranks.contains(method.rank)) {
    ReportUnknown(ItemKind::kRank, method.rank,
                  Describe(ItemKind::kMethod, name), place);
  }
  if (!m_vertex_index.emplace(name, m_vertices.size()).second) {
    Report(place,
           absl::StrCat("duplicate ", Describe(ItemKind::kMethod, name)));
    return;
  }
  m_vertices.push_back({&service, &method, places});
}

void ConfigChecker::LinkCalls() {
  for (Vertex& caller : m_vertices) {
    for (size_t i = 0; i < caller.method->calls.size(); ++i) {
      CheckCall(&caller, i);
    }
  }
}

void ConfigChecker::CheckCall(Vertex* caller, size_t call_index) {
  const std::string& call = caller->method->calls[call_index];
  const Place place = PlaceAt(
      caller->places != nullptr ? &caller->places->calls : nullptr, call_index);
  const std::string caller_name =
      Describe(ItemKind::kMethod,
               absl::StrCat(caller->service->name, ".", caller->method->name));
  const auto found = m_vertex_index.find(call);
  if (found == m_vertex_index.end()) {
    ReportUnknown(ItemKind::kMethod, call, caller_name, place);
    return;
  }
  Vertex& callee = m_vertices[found->second];
  if (std::ranges::count(caller->callees, found->second) != 0) {
    Report(place, absl::StrCat(caller_name, " lists the call to \"", call,
                               "\" twice"));
    return;
  }
  if (caller->method->idempotent && !callee.method->idempotent) {
    Report(place, absl::StrCat("idempotent ", caller_name,
                               " calls the non-idempotent ",
                               Describe(ItemKind::kMethod, call)));
  }
  caller->callees.push_back(found->second);
  ++callee.callers;
}

void ConfigChecker::MeasureChains() {
  std::vector<char> states(m_vertices.size(), kUnvisited);
  for (size_t i = 0; i < m_vertices.size(); ++i) {
    if (states[i] == kUnvisited) MeasureFrom(i, &states);
  }
}

// Depth-first search with a stack of its own: a faulty value may hold a chain
// of many thousand calls.
void ConfigChecker::MeasureFrom(size_t start, std::vector<char>* states) {
  std::vector<size_t> path = {start};
  std::vector<size_t> positions = {0};
  (*states)[start] = kOnPath;
  m_vertices[start].chain = 1;
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
        m_vertices[callee].chain = 1;
        m_vertices[callee].next = callee;
        path.push_back(callee);
        positions.push_back(0);
      } else if (vertex.chain < m_vertices[callee].chain + 1) {
        vertex.chain = m_vertices[callee].chain + 1;
        vertex.next = callee;
      }
      continue;
    }
    (*states)[current] = kDone;
    path.pop_back();
    positions.pop_back();
    if (path.empty()) break;
    Vertex& parent = m_vertices[path.back()];
    if (parent.chain < vertex.chain + 1) {
      parent.chain = vertex.chain + 1;
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
      PlaceAt(last.places != nullptr ? &last.places->calls : nullptr, position),
      std::move(text));
}

void ConfigChecker::CheckDepth() {
  const size_t max_depth = m_config.chain.max_depth;
  for (size_t i = 0; i < m_vertices.size(); ++i) {
    const Vertex& vertex = m_vertices[i];
    // Only the first method of a chain is reported, not each one below it.
    if (vertex.callers != 0 || vertex.chain <= max_depth) continue;
    std::string text = absl::StrCat("chain of ", vertex.chain,
                                    " calls is deeper than max_depth ",
                                    max_depth, ": ", VertexName(i));
    for (size_t at = i; m_vertices[at].next != at;) {
      at = m_vertices[at].next;
      absl::StrAppend(&text, " -> ", VertexName(at));
    }
    Report(vertex.places != nullptr ? vertex.places->method : Place{},
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
                          const ConfigPlaces* places) {
  ConfigChecker checker(config, source, places, nullptr);
  if (places != nullptr) checker.IgnoreEmptyNames();
  return checker.Run();
}

}  // namespace vanillatiller
