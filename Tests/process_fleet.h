#ifndef VANILLATILLER_TESTS_PROCESS_FLEET_H_
#define VANILLATILLER_TESTS_PROCESS_FLEET_H_

#include <httplib.h>
#include <sys/types.h>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace vanillatiller {

// Runs a small fleet of processes on loopback: the platform stub and, for each
// server, a node and its backend stub. The destructor kills all processes.
class ProcessFleet {
 public:
  struct ServerSpec {
    std::string vm;
    std::string service;
    std::string failure_domain = "north-1";
    std::string region = "north";
    // Command-line flags of the backend stub, for example "--service_ms=5".
    std::vector<std::string> stub_flags;
    // Text appended to the node's settings file, for example a [policy]
    // section.
    std::string extra_settings;
    // Whether peers connect through a TCP relay that can inject network faults.
    bool behind_relay = false;
  };

  struct Server {
    ServerSpec spec;
    int public_port = 0;
    int local_port = 0;
    int peer_port = 0;
    int admin_port = 0;
    int backend_port = 0;
    // Port of the relay that peers connect to, and its HTTP control port. Used
    // only with behind_relay.
    int relay_port = 0;
    int relay_control_port = 0;
    pid_t node_pid = -1;
    pid_t stub_pid = -1;
    pid_t relay_pid = -1;
  };

  ProcessFleet(std::string_view config, std::vector<ServerSpec> servers);
  ~ProcessFleet();
  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;

  // Waits until every node has a configuration and lists every member, and
  // every backend stub responds. Returns false on timeout.
  bool WaitUntilReady(std::chrono::seconds timeout);

  Server& server(size_t index) { return m_servers[index]; }
  int platform_port() const { return m_platform_port; }

  // Starts a server's node; also restarts it after it exited.
  void StartNode(size_t index);

  // Sends a signal to a server's node. For SIGSTOP, returns once it has
  // stopped.
  void SignalNode(size_t index, int signal);

  // Waits for the node to exit. Returns its exit status, or -1 on timeout or if
  // a signal killed it.
  int WaitForNodeExit(size_t index, std::chrono::seconds timeout);

  // Sends a POST request to the public listener of a server's node.
  httplib::Result Post(size_t index, const std::string& path,
                       const httplib::Headers& headers,
                       const std::string& body) const;

  // Sends a GET request to a loopback port. Returns the response body, or an
  // empty string if there is no response.
  static std::string Get(int port, const std::string& path);
  // Sends a POST request to a loopback port. Returns whether the status is 200.
  static bool PostControl(int port, const std::string& path,
                          const std::string& body);

 private:
  std::string WriteFile(const std::string& name, const std::string& text);
  std::string VmListJson() const;
  void StartStub(Server& server);
  void StartRelay(Server& server);

  std::string m_directory;
  std::vector<Server> m_servers;
  int m_platform_port = 0;
  pid_t m_platform_pid = -1;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_TESTS_PROCESS_FLEET_H_
