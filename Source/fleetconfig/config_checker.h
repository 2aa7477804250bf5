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

// Items withdrawn by a note, by qualified name, with the location of the entry.
using WithdrawnItems = absl::flat_hash_map<std::string, SourceLocation>;

// Returns "kind name", which is unique over all kinds of items.
std::string QualifiedItemName(ItemKind kind, std::string_view name);

// Implements CheckFleetConfig for a single configuration. A reference to an
// item in `withdrawn` is reported at the entry that withdraws the item.
// `locations` and `withdrawn` may be null.
class ConfigChecker {
 public:
  ConfigChecker(const FleetConfig& config, std::string_view source,
                const ConfigLocations* locations,
                const WithdrawnItems* withdrawn);

  // Use for a configuration parsed from a text: the parser has already reported
  // missing names.
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
    // Number of calls on the longest chain that starts here, including this
    // one; 0 until computed.
    size_t chain_length = 0;
    // Next vertex of that chain; the own index at the end of the chain.
    size_t next = 0;
  };

  bool IsIgnoredName(std::string_view name) const;
  void Report(SourceLocation location, std::string text);
  void ReportUnknown(ItemKind kind, std::string_view name,
                     const std::string& referrer, SourceLocation location);
  // Checks the syntax and uniqueness of a name and adds it to `names`.
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
