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
  void Install(httplib::Server& server);

 private:
  struct Connection {
    int client = -1;
    int target = -1;
    std::atomic<bool> is_silent{false};
    ~Connection();
  };

  void Accept();
  void SilenceAll();
  static void Pump(const std::shared_ptr<Connection>& connection, int from,
                   int to);

  const std::string m_ip;
  const int m_port;
  const int m_target_port;
  int m_listener = -1;
  std::atomic<bool> m_is_cut{false};
  std::thread m_thread;
  std::mutex m_mutex;
  std::vector<std::weak_ptr<Connection>> m_connections;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTSTUB_TCP_RELAY_H_
