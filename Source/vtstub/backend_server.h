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
  // Reported in responses.
  std::string name;
  // Address of the local listener of this server's node.
  std::string node_ip = "127.0.0.1";
  int node_port = 0;
  // Downstream calls ("SERVICE.METHOD") that each method makes, in sequence.
  std::map<std::string, std::vector<std::string>> calls;
  // Maximum number of concurrent calls; 0 means unlimited.
  uint32_t slots = 0;
  ServiceTimeDistribution service_time_distribution =
      ServiceTimeDistribution::kConstant;
  Duration service_time{0};
  uint64_t seed = 1;
};

// Simulates a backend server. POST /SERVICE/METHOD waits for the sampled
// service time, makes the method's downstream calls through the node and
// returns a JSON object: "server", "service", "method", "request" (the request
// ID), "id" (from the request body) and "calls" (the responses of the
// downstream calls).
//
// A call holds a slot from the start of its execution until its response. The
// server responds 503 with X-Vt-Shed: 1 to a call that was not started, because
// the server is draining, its queue is full, or the call's deadline passed or
// its client disconnected while it was queued.
//
// GET /health, /load, /stats, /executions; POST /control/FAULT (see
// RegisterControlHandlers).
class BackendServer {
 public:
  explicit BackendServer(BackendOptions options);
  ~BackendServer();

  // Registers the handlers with `server`, which must not outlive this object.
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
  // Values that /health and /load report instead of the actual state. A
  // negative m_load_override means that the actual load is reported.
  std::atomic<bool> m_health_overridden{false};
  std::atomic<bool> m_health_override{true};
  std::atomic<int64_t> m_load_override{-1};
  std::atomic<uint64_t> m_shed{0};
  std::atomic<uint64_t> m_cancelled{0};
  std::atomic<uint64_t> m_expired{0};
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTSTUB_BACKEND_SERVER_H_
