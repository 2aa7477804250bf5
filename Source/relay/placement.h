#ifndef VANILLATILLER_SOURCE_RELAY_PLACEMENT_H_
#define VANILLATILLER_SOURCE_RELAY_PLACEMENT_H_

#include <boost/random/mersenne_twister.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "relay/server_directory.h"
#include "relay/server_quality.h"
#include "routing/routing.h"

namespace vanillatiller {

// How far a server is from this node.
enum class Distance : uint8_t {
  kOwnVm = 0,
  kOwnDomain = 1,
  kOwnRegion = 2,
  kOtherRegion = 3,
};

// What a call is like, for the choice of its server.
struct CallTraits {
  // Usual size of request and answer.
  double kilobytes = 0;
  // 0 is the most important.
  uint32_t rank = 0;
};

// A server that may get calls, with what this node learned of it.
struct Candidate {
  std::string id;
  std::string service;
  SocketAddress server;
  // Listener of the node beside the server.
  SocketAddress node;
  uint32_t slots = 1;
  Distance distance = Distance::kOtherRegion;
  std::shared_ptr<PeerState> state;
  std::shared_ptr<ServerQuality> quality;
};

// Where this node stands.
struct Locality {
  std::string vm_ip;
  std::string failure_domain;
  // Region of each failure domain.
  std::map<std::string, std::string, std::less<>> regions;
  // Port of the listener that nodes have for each other.
  uint16_t peer_port = 0;
};

// Chooses the server for one attempt.
//
// Load pattern: demand of one service exceeds the servers of a failure domain,
// while others have room; or servers differ in speed. Each server counts with
// a cost of its load, which rises steeply once it is nearly full, plus one for
// how badly it served of late, plus one for its distance, and the lowest sum
// wins. So work stays near while there is room, overflows to the own region
// first, and to other regions, which cost 60 ms and paid bytes, only when calls
// would wait at all near servers. Large messages rather wait for a slot than
// cross regions, most so those of less urgent work.
class Placement {
 public:
  using Generator = boost::random::mt19937_64;

  explicit Placement(Locality locality) : m_locality(std::move(locality)) {}

  // Replaces the servers; keeps what was learned of those that stay.
  void Update(std::span<const ServerRecord* const> servers, TimePoint now);

  // Nullptr if no server may be chosen. `excluded` are identities of servers
  // that the request has tried. Ejected servers are used only where no other
  // is left.
  const Candidate* Pick(std::string_view service, const CallTraits& call,
                        std::span<const std::string> excluded, TimePoint now,
                        Generator* random) const;

  // Servers of a service, usable or not for the moment.
  size_t CountServers(std::string_view service) const;
  // Candidates whose node listens at `node`.
  std::vector<const Candidate*> FindByNode(const SocketAddress& node) const;

 private:
  Distance DistanceTo(const ServerRecord& server) const;

  Locality m_locality;
  bool m_was_updated = false;
  std::map<std::string, std::vector<Candidate>, std::less<>> m_services;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_PLACEMENT_H_
