#ifndef VANILLATILLER_TESTS_RELAY_FLEET_H_
#define VANILLATILLER_TESTS_RELAY_FLEET_H_

#include <memory>
#include <string>
#include <vector>

#include "relay_harness.h"

namespace vanillatiller {

// Nodes with a backend server each, all in one event loop.
//
// Routes: /work/ and /rest/ lead to the services of these names, /once/,
// /urgent/ and /bulk/ to work. Requests below /once/ are not idempotent;
// /urgent/ has the most important rank and /bulk/ the least important one. See
// FakeServer for the ends of the paths.
class RelayFleet {
 public:
  // One node for each entry, which names the service of its server.
  explicit RelayFleet(const std::vector<std::string>& services);
  ~RelayFleet();

  // Sends a request to the node's listener for callers.
  std::shared_ptr<FakeCall> Send(size_t node, const std::string& path,
                                 const std::string& id,
                                 Duration time_left = std::chrono::seconds(5));
  // Sends `count` requests with IDs that begin with `prefix`.
  std::vector<std::shared_ptr<FakeCall>> SendMany(size_t node, size_t count,
                                                  const std::string& path,
                                                  const std::string& prefix);
  // Runs the loop until all calls are over, for at most 10 s.
  bool RunUntilOver(const std::vector<std::shared_ptr<FakeCall>>& calls);

  // Restarts the node without a graceful stop.
  void Restart(size_t node);
  // The record of the node's server as the platform lists it.
  ServerRecord RecordOf(size_t node) const;
  // Applies the list of all servers to all nodes.
  void ApplyList(uint64_t revision);

  FakeServer& server(size_t node) { return *m_nodes.at(node).server; }
  Relay& relay(size_t node) { return *m_nodes.at(node).relay; }

  const RelaySettings& settings(size_t node) const {
    return m_nodes.at(node).settings;
  }

  EventLoop loop;
  LogPipe log;

 private:
  struct Node {
    std::string service;
    std::string server_id;
    RelaySettings settings;
    std::unique_ptr<FakeServer> server;
    std::unique_ptr<Relay> relay;
  };

  void Start(Node* node);

  std::vector<Node> m_nodes;
};

// The largest number of requests that a server got within `window`.
size_t MostArrivals(const FakeServer& server, Duration window);

}  // namespace vanillatiller

#endif  // VANILLATILLER_TESTS_RELAY_FLEET_H_
