#ifndef VANILLATILLER_SOURCE_RELAY_READER_SELECTION_H_
#define VANILLATILLER_SOURCE_RELAY_READER_SELECTION_H_

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/base.h"
#include "eventio/tcp_connection.h"

namespace vanillatiller {

// A node as listed by the platform.
struct FleetNode {
  SocketAddress address;
  std::string failure_domain;
  std::string region;
};

// Selects the nodes that report changes of the fleet state to this node.
//
// Load pattern: each change of the state costs each node that watches the
// platform a call, so calls grow with the number of nodes times the number of
// changes. One node of each failure domain, found by rendezvous hashing, reads
// for the others. A node takes reports from two readers, so that it misses
// nothing while one of them fails; readers take reports from each other, so
// that one that is cut off from the platform learns of all changes too.
class ReaderSelection {
 public:
  static constexpr size_t kMaxFeeds = 2;

  explicit ReaderSelection(FleetNode own) : m_own(std::move(own)) {}

  void SetNodes(std::vector<FleetNode> nodes) { m_nodes = std::move(nodes); }
  // The node did not report; another one is selected for kAvoidTime.
  void Avoid(const SocketAddress& node, TimePoint now);

  // Nodes to take reports from, the preferred one first: the reader of the own
  // failure domain, then that of another one in the region, then of another
  // region. This node need not be listed.
  std::vector<SocketAddress> Select(TimePoint now) const;
  // Number of readers that precede this node, whether it is one or not, in an
  // order on which all nodes agree.
  size_t CountReadersBefore(TimePoint now) const;

 private:
  // Longer than a restart in place.
  static constexpr Duration kAvoidTime = std::chrono::seconds(4);

  // Failure domains of the listed nodes.
  std::set<std::string_view> Domains() const;
  // The reader of a failure domain; nullptr if all its nodes are avoided.
  const FleetNode* ReaderOf(std::string_view domain, TimePoint now) const;
  bool IsAvoided(const SocketAddress& node, TimePoint now) const;

  const FleetNode m_own;
  std::vector<FleetNode> m_nodes;
  std::map<SocketAddress, TimePoint> m_avoided_until;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_READER_SELECTION_H_
