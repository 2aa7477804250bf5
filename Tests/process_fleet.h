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

// A small fleet of real processes on loopback: the platform stub and, for each
// server, a node and its backend stub. All processes are ended with it.
class ProcessFleet {
 public:
  struct ServerSpec {
    std::string vm;
    std::string service;
    std::string failure_domain = "north-1";
    std::string region = "north";
    // Flags for the backend stub, for example "--service_ms=5".
    std::vector<std::string> stub_flags;
    // Lines added to the node's settings, for example a [policy] section.
    std::string extra_settings;
    // Peers reach the node through a relay that can go silent.
    bool behind_relay = false;
  };

  struct Server {
    ServerSpec spec;
    int public_port = 0;
    int local_port = 0;
    int peer_port = 0;
    int admin_port = 0;
    int backend_port = 0;
    // Where peers connect to, and the control port of the relay there.
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

  // Waits until every node has a configuration and sees every member.
  bool WaitUntilReady(std::chrono::seconds timeout);

  Server& server(size_t index) { return m_servers[index]; }
  int platform_port() const { return m_platform_port; }

  // Starts the node of a server, again if it ended before.
  void StartNode(size_t index);

  // Sends a signal to the node of a server.
  void SignalNode(size_t index, int signal);

  // Waits for the node to end; its exit status, or -1 on timeout or a signal.
  int WaitForNodeExit(size_t index, std::chrono::seconds timeout);

  // POST to the public listener of a server's node.
  httplib::Result Post(size_t index, const std::string& path,
                       const httplib::Headers& headers,
                       const std::string& body) const;

  // GET from any port on loopback; empty if there is no answer.
  static std::string Get(int port, const std::string& path);
  // POST to any port on loopback.
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
