#ifndef VANILLATILLER_SOURCE_VTSTUB_TCP_RELAY_H_
#define VANILLATILLER_SOURCE_VTSTUB_TCP_RELAY_H_

#include <httplib.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace vanillatiller {

// Forwards TCP connections to a target port and simulates network faults: open
// connections that drop all data while new ones work, and a network partition.
class TcpRelay {
 public:
  TcpRelay(std::string ip, int port, int target_port);
  ~TcpRelay();
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  // Binds the port and starts forwarding. Returns false if it cannot be bound.
  bool Start();

  // Registers the fault controls with `server`: POST /control/silence drops all
  // further data on the currently open connections; /control/cut also drops it
  // on connections accepted until /control/heal.
  void RegisterHandlers(httplib::Server& server);

 private:
  struct Connection {
    int client_fd = -1;
    int target_fd = -1;
    std::atomic<bool> is_silent{false};
    ~Connection();
  };

  void AcceptLoop();
  void SilenceOpenConnections();
  static void ForwardBytes(const std::shared_ptr<Connection>& connection,
                           int source_fd, int destination_fd);

  const std::string m_ip;
  const int m_port;
  const int m_target_port;
  int m_listen_fd = -1;
  std::atomic<bool> m_is_partitioned{false};
  std::thread m_accept_thread;
  std::mutex m_mutex;
  std::vector<std::weak_ptr<Connection>> m_connections;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTSTUB_TCP_RELAY_H_
