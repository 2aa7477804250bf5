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

// Forwards TCP connections to one target and brings about network faults:
// open connections that go silent while new ones work, and a cut.
class TcpRelay {
 public:
  TcpRelay(std::string ip, int port, int target_port);
  ~TcpRelay();
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  // Binds and starts to forward. False if the port is not to be had.
  bool Start();

  // Adds the fault controls to `server`: POST /control/silence drops all bytes
  // of the connections that are open now; /control/cut does the same for new
  // connections too, until /control/heal.
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
