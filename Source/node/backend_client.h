#ifndef VANILLATILLER_SOURCE_NODE_BACKEND_CLIENT_H_
#define VANILLATILLER_SOURCE_NODE_BACKEND_CLIENT_H_

#include <memory>
#include <mutex>
#include <string_view>
#include <vector>

#include "node/active_calls.h"
#include "node/call_answer.h"
#include "node/settings.h"

namespace httplib {
class Client;
}  // namespace httplib

namespace vanillatiller {

// Sends calls to the local backend server over a pool of persistent HTTP
// connections. Thread-safe.
class BackendClient {
 public:
  BackendClient(const ListenAddress& address, size_t max_body_bytes);
  ~BackendClient();

  // Sends one call and blocks until it is answered, its deadline expires or it
  // is cancelled. A failed connect and a 503 response with X-Vt-Shed give the
  // outcome "not run". If the connection fails after the request was sent, the
  // outcome is unknown.
  CallAnswer Dispatch(ActiveCall& call, std::string_view body, TimePoint now);

 private:
  std::unique_ptr<httplib::Client> AcquireClient();
  void ReleaseClient(std::unique_ptr<httplib::Client> client);

  const ListenAddress m_address;
  const size_t m_max_body_bytes;
  std::mutex m_mutex;
  std::vector<std::unique_ptr<httplib::Client>> m_idle_clients;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_BACKEND_CLIENT_H_
