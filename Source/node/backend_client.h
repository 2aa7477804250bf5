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

// Hands calls to the backend server beside this node by HTTP, over connections
// that are kept open. Safe to use from several threads.
class BackendClient {
 public:
  BackendClient(const ListenAddress& address, size_t max_body_bytes);
  ~BackendClient();

  // Sends one call and waits for its answer until the deadline or until the
  // call is cancelled. A failed connect and a 503 with X-Vt-Shed are "not run";
  // anything that is lost after the request was sent has an unknown outcome.
  CallAnswer Dispatch(ActiveCall& call, std::string_view body, TimePoint now);

 private:
  std::unique_ptr<httplib::Client> Take();
  void Return(std::unique_ptr<httplib::Client> client);

  const ListenAddress m_address;
  const size_t m_max_body_bytes;
  std::mutex m_mutex;
  std::vector<std::unique_ptr<httplib::Client>> m_idle;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_BACKEND_CLIENT_H_
