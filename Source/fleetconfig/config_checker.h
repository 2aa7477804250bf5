#ifndef VANILLATILLER_SOURCE_FLEETCONFIG_CONFIG_CHECKER_H_
#define VANILLATILLER_SOURCE_FLEETCONFIG_CONFIG_CHECKER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "fleetconfig/config_check.h"
#include "fleetconfig/release_note.h"

namespace vanillatiller {

// Items that a note withdraws: "kind name" and where the note says so.
using WithdrawnItems = absl::flat_hash_map<std::string, SourceLocation>;

std::string QualifiedItemName(ItemKind kind, std::string_view name);

// One run of the checks of CheckFleetConfig. A reference to an item of
// `withdrawn` is reported at the location of its withdrawal. `locations` and
// `withdrawn` may be null.
class ConfigChecker {
 public:
  ConfigChecker(const FleetConfig& config, std::string_view source,
                const ConfigLocations* locations,
                const WithdrawnItems* withdrawn);

  // For a value read from a text, whose reader has already reported every name
  // that is missing.
  void IgnoreEmptyNames() { m_ignores_empty_names = true; }

  Findings Run();

 private:
  using NameSet = absl::flat_hash_set<std::string>;

  // A method as a vertex of the call graph.
  struct Vertex {
    const ServiceConfig* service;
    const MethodConfig* method;
    const MethodLocations* locations;
    std::vector<size_t> callees;
    size_t callers = 0;
    // Calls on the longest chain from here, this one included; 0 until known.
    size_t chain_length = 0;
    // Next vertex of that chain; own index at its end.
    size_t next = 0;
  };

  bool IsIgnoredName(std::string_view name) const;
  void Report(SourceLocation location, std::string text);
  void ReportUnknown(ItemKind kind, std::string_view name,
                     const std::string& referrer, SourceLocation location);
  // Checks form and uniqueness of a name; adds it to `names`.
  void CheckName(ItemKind kind, const std::string& full_name,
                 std::string_view own_name, SourceLocation location,
                 NameSet* names);
  void CheckRanksAndTenants();
  void CheckTopology();
  void CheckServices();
  void CheckMethod(const ServiceConfig& service, const MethodConfig& method,
                   const MethodLocations* locations);
  void BuildCallGraph();
  void AddCallEdge(Vertex* caller, size_t call_index);
  void ComputeChainLengths();
  void ComputeChainLengthsFrom(size_t start, std::vector<char>* states);
  void ReportCycle(const std::vector<size_t>& path, size_t repeated);
  void CheckDepth();
  void CheckSize();
  std::string VertexName(size_t index) const;

  const FleetConfig& m_config;
  std::string_view m_source;
  const ConfigLocations* m_locations;
  const WithdrawnItems* m_withdrawn;
  Findings m_findings;
  bool m_ignores_empty_names = false;
  NameSet m_ranks;
  NameSet m_regions;
  NameSet m_services;
  absl::flat_hash_map<std::string, size_t> m_vertex_index;
  std::vector<Vertex> m_vertices;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_FLEETCONFIG_CONFIG_CHECKER_H_
