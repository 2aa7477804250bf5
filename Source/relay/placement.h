#ifndef VANILLATILLER_SOURCE_RELAY_PLACEMENT_H_
#define VANILLATILLER_SOURCE_RELAY_PLACEMENT_H_

#include <boost/random/mersenne_twister.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "relay/server_directory.h"
#include "relay/server_quality.h"
#include "routing/routing.h"

namespace vanillatiller {

// Network distance from this node to a server.
enum class Distance : uint8_t {
  kOwnVm = 0,
  kOwnDomain = 1,
  kOwnRegion = 2,
  kOtherRegion = 3,
};

// Properties of a call that affect server selection.
struct CallTraits {
  // Mean combined size of request and response.
  double kilobytes = 0;
  // 0 is the most important.
  uint32_t rank = 0;
};

// The rate limit of a server as reported by the node on its VM.
struct ReportedRate {
  // Calls a second; nullopt if the server names no limit.
  std::optional<double> limit;
  // The request whose answer named it.
  std::string request_id;
};

// A selectable server with the state that this node has observed.
struct Candidate {
  std::string id;
  std::string service;
  SocketAddress server;
  // Peer listener of the node on the server's VM.
  SocketAddress node;
  uint32_t slots = 1;
  // See ServerRecord.
  uint64_t started_ms = 0;
  Distance distance = Distance::kOtherRegion;
  std::shared_ptr<PeerState> state;
  std::shared_ptr<ServerQuality> quality;
  std::shared_ptr<ReportedRate> rate;
};

// Location of this node in the fleet.
struct Locality {
  std::string vm_ip;
  std::string failure_domain;
  // Region of each failure domain.
  std::map<std::string, std::string, std::less<>> regions;
  // Port of the listener for peer nodes.
  uint16_t peer_port = 0;
};

// Selects the server for one attempt.
//
// Load pattern: demand for a service exceeds the capacity of one failure domain
// while others have spare capacity, or servers differ in speed. The cost of a
// server is the sum of a load cost, which rises steeply near saturation, a
// quality cost for recent failures and slowness, and a distance cost; the
// server with the lowest cost is selected. Calls therefore stay local while
// capacity is available and overflow within the region first. They overflow to
// other regions, which add 60 ms and billed traffic, only when calls would
// queue at all nearby servers. Calls with large messages prefer queueing for a
// slot over crossing regions, especially those below the most important rank.
class Placement {
 public:
  using Generator = boost::random::mt19937_64;

  explicit Placement(Locality locality) : m_locality(std::move(locality)) {}

  // Replaces the list of servers; keeps the observed state of servers that
  // remain.
  void Update(std::span<const ServerRecord* const> servers, TimePoint now);

  // Returns nullptr if no server is eligible. `excluded` holds the IDs of
  // servers that the request has already tried. Ejected servers are selected
  // only if no other server is eligible.
  const Candidate* Pick(std::string_view service, const CallTraits& call,
                        std::span<const std::string> excluded, TimePoint now,
                        Generator* random) const;

  // Number of servers of a service, including those currently ejected or
  // leaving.
  size_t CountServers(std::string_view service) const;
  // Returns the candidates whose node listens at `node`.
  std::vector<const Candidate*> FindByNode(const SocketAddress& node) const;

 private:
  Distance DistanceTo(const ServerRecord& server) const;

  Locality m_locality;
  bool m_was_updated = false;
  std::map<std::string, std::vector<Candidate>, std::less<>> m_services;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_PLACEMENT_H_
