#ifndef VANILLATILLER_SOURCE_VTSTUB_BACKEND_STUB_H_
#define VANILLATILLER_SOURCE_VTSTUB_BACKEND_STUB_H_

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace vanillatiller {

// Stands in for a backend server: works for a while on each call, makes the
// downstream calls of its method through its node, and keeps a record of every
// execution.
class BackendStub {
 public:
  struct Options {
    std::string name;
    // The node's local listener.
    std::string node_ip;
    int node_port = 0;
    std::chrono::milliseconds service_time{0};
    // Downstream calls, as "service.method", by method.
    std::map<std::string, std::vector<std::string>> calls;
  };

  explicit BackendStub(Options options);

  // Adds the stub's handlers to `server`.
  void Install(httplib::Server& server);

 private:
  void HandleCall(const httplib::Request& request, httplib::Response& response);
  void Record(const std::string& request_id, const std::string& method);
  std::string RenderExecutions();

  const Options m_options;
  std::atomic<int64_t> m_service_time_us;
  std::mutex m_mutex;
  // Executions by "request identity method".
  std::map<std::string, int> m_executions;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTSTUB_BACKEND_STUB_H_
