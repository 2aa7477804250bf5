#ifndef VANILLATILLER_TESTS_PLATFORM_NODE_PROCESSES_H_
#define VANILLATILLER_TESTS_PLATFORM_NODE_PROCESSES_H_

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "relay_harness.h"
#include "soak_store.h"

namespace vanillatiller {

// Limits of the VMs and of the configuration in a test.
struct TestLimits {
  int memory_mb = 64;
  int max_fds = 1000;
  size_t max_body_bytes = size_t{8} << 20;
};

// Two vtadapter processes on loopback, with a stand-in of the platform's store
// and of a backend server. Requests on the routes /many/ (idempotent) and
// /once/ go to the server of node 1. A path that ends with /bytes/N gets an
// answer of N bytes.
class NodeProcesses {
 public:
  static constexpr size_t kNodes = 2;

  // `program` is the path of vtadapter.
  NodeProcesses(std::string program, const TestLimits& limits);
  ~NodeProcesses();

  // Runs the loop until both nodes serve requests.
  bool RunUntilServing();
  // Runs the loop until `done` returns true, for at most `time`.
  bool RunUntil(const std::function<bool()>& done, Duration time);

  // Sends a request to a node, and again as an answer with Retry-After tells,
  // until it gets another answer or `time` has passed. Returns the status; 0 if
  // there is none.
  int Request(size_t node, const std::string& method, const std::string& path,
              std::string_view body, Duration time);

  SocketAddress CallerListener(size_t node) const {
    return m_nodes[node].caller_listener;
  }
  SocketAddress PeerListener(size_t node) const {
    return m_nodes[node].peer_listener;
  }
  // Text of a request up to and including the field Host.
  static std::string RequestStart(const std::string& method,
                                  const std::string& path,
                                  const std::string& id);

  bool IsRunning(size_t node);
  // Anonymous memory of the process now and at most so far, in MB; the platform
  // counts this and kills a process that exceeds memory_mb.
  double MemoryMb(size_t node) const;
  double PeakMemoryMb(size_t node) const { return m_nodes[node].peak_mb; }
  // Most descriptors that the process has had open.
  size_t PeakDescriptors(size_t node) const { return m_nodes[node].peak_fds; }
  // Value of a metric of the node; -1 if there is none.
  double Metric(size_t node, const std::string& name);
  // What the process has logged.
  std::string Log(size_t node) const;
  // How often the server has run the request with this ID.
  int Runs(const std::string& id) const;
  // Size of the body that the server has received with the request.
  size_t ReceivedBytes(const std::string& id) const;

  EventLoop loop;

 private:
  class Server;
  struct Node {
    SocketAddress caller_listener;
    SocketAddress peer_listener;
    SocketAddress health_listener;
    pid_t pid = -1;
    double peak_mb = 0;
    size_t peak_fds = 0;
  };

  void Start(size_t node);
  void PublishState(const TestLimits& limits);
  void Sample();

  const std::string m_program;
  const TestLimits m_limits;
  std::string m_directory;
  SoakStore m_store;
  std::vector<Node> m_nodes;
  std::vector<std::unique_ptr<Server>> m_servers;
  int m_requests = 0;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_TESTS_PLATFORM_NODE_PROCESSES_H_
