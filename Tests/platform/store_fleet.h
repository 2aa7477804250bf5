#ifndef VANILLATILLER_TESTS_PLATFORM_STORE_FLEET_H_
#define VANILLATILLER_TESTS_PLATFORM_STORE_FLEET_H_

#include <memory>
#include <string>
#include <vector>

#include "platform/store_client.h"
#include "soak_store.h"

namespace vanillatiller::platform {

// Nodes that read a stand-in of the platform's store, with a backend server
// each, all in one event loop. The nodes are in two failure domains.
class StoreFleet {
 public:
  explicit StoreFleet(size_t nodes,
                      Duration record_lifetime = std::chrono::seconds(6));

  // Writes a version of the configuration. Each one has a route /vN/ of its
  // own, and so has each one before it.
  void PublishConfig(int version);
  void PublishServer(size_t node, const std::string& state = "ready");
  void Start(size_t node);
  void Restart(size_t node);
  // Runs the loop until all nodes have this version in force, for at most 10 s.
  bool RunUntilInForce(uint64_t version);

  std::shared_ptr<FakeCall> Send(size_t node, const std::string& path,
                                 const std::string& id);

  FakeServer& server(size_t node) { return *m_nodes.at(node).server; }
  Relay& relay(size_t node) { return *m_nodes.at(node).relay; }
  StoreClient& client(size_t node) { return *m_nodes.at(node).client; }
  size_t size() const { return m_nodes.size(); }

  EventLoop loop;
  LogPipe log;
  SoakStore store;

 private:
  struct Node {
    RelaySettings settings;
    std::unique_ptr<FakeServer> server;
    std::unique_ptr<Relay> relay;
    std::unique_ptr<StoreClient> client;
  };

  std::vector<Node> m_nodes;
};

}  // namespace vanillatiller::platform

#endif  // VANILLATILLER_TESTS_PLATFORM_STORE_FLEET_H_
