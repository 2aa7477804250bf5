#ifndef VANILLATILLER_SOURCE_VTSTUB_BACKEND_SERVER_H_
#define VANILLATILLER_SOURCE_VTSTUB_BACKEND_SERVER_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "vtstub/execution_log.h"
#include "vtstub/service_time.h"
#include "vtstub/slot_pool.h"

namespace httplib {
class Client;
class Server;
struct Request;
struct Response;
}  // namespace httplib

namespace vanillatiller {

struct BackendOptions {
  // Given in answers.
  std::string name;
  // The local listener of the server's node.
  std::string node_ip = "127.0.0.1";
  int node_port = 0;
  // Downstream calls ("SERVICE.METHOD") by method, made one after the other.
  std::map<std::string, std::vector<std::string>> calls;
  // Concurrent calls; 0 means no limit.
  uint32_t slots = 0;
  ServiceTimeDistribution service_time_distribution =
      ServiceTimeDistribution::kConstant;
  Duration service_time{0};
  uint64_t seed = 1;
};

// A backend server: POST /SERVICE/METHOD works for a while, makes the method's
// downstream calls through the node and answers with a JSON object: "server",
// "service", "method", "request" (its identity), "id" (from the request's
// body) and "calls" (the answers of the downstream calls).
//
// It holds a slot from the start of its work to the answer. It answers 503
// with X-Vt-Shed: 1 if the call was not started: while it drains, when its
// queue is full, or when the deadline passed or the client left in the queue.
//
// GET /health, /load, /stats, /executions; POST /control/FAULT (see
// RegisterControlHandlers).
class BackendServer {
 public:
  explicit BackendServer(BackendOptions options);
  ~BackendServer();

  // Adds the handlers to `server`, which must not outlive this object.
  void RegisterHandlers(httplib::Server* server);

 private:
  struct Call;

  void HandleCall(const httplib::Request& request, httplib::Response* response);
  void Execute(Call* call, httplib::Response* response);
  bool SimulateWork(Call* call, Duration duration);
  bool CallDownstream(Call* call, const std::string& target,
                      httplib::Response* response);
  void HandleHealth(httplib::Response* response) const;
  void HandleLoad(httplib::Response* response) const;
  void RegisterControlHandlers(httplib::Server* server);
  std::unique_ptr<httplib::Client> AcquireClient();
  void ReleaseClient(std::unique_ptr<httplib::Client> client);
  bool IsHung() const;

  BackendOptions m_options;
  SlotPool m_slots;
  ExecutionLog m_execution_log;
  std::mutex m_service_time_mutex;
  ServiceTimeSampler m_service_time;
  std::mutex m_clients_mutex;
  std::vector<std::unique_ptr<httplib::Client>> m_clients;
  std::atomic<uint32_t> m_queue_limit{UINT32_MAX};
  std::atomic<bool> m_draining{false};
  std::atomic<bool> m_hung{false};
  // What /health and /load show in place of the truth.
  std::atomic<bool> m_health_overridden{false};
  std::atomic<bool> m_health_override{true};
  std::atomic<int64_t> m_load_override{-1};
  std::atomic<uint64_t> m_shed{0};
  std::atomic<uint64_t> m_cancelled{0};
  std::atomic<uint64_t> m_expired{0};
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTSTUB_BACKEND_SERVER_H_
