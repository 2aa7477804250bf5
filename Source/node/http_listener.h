#ifndef VANILLATILLER_SOURCE_NODE_HTTP_LISTENER_H_
#define VANILLATILLER_SOURCE_NODE_HTTP_LISTENER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "node/request_pipeline.h"
#include "node/settings.h"

namespace vanillatiller {

class HttpServer;
class MemoryBudget;

// An HTTP listener of a node: public, local or admin.
class HttpListener {
 public:
  // Bodies are counted in `held_bodies`.
  HttpListener(const ListenAddress& address, const NodeSettings& settings,
               MemoryBudget* held_bodies);
  ~HttpListener();

  // Serves POST /SERVICE/METHOD through `pipeline`.
  void ServeCalls(RequestPipeline& pipeline, bool is_local);

  // Serves GET `path` with the result of `render`.
  void ServeText(const std::string& path, const std::string& content_type,
                 std::function<std::string()> render);

  // Binds the address and serves on a dedicated thread. Returns false if the
  // address is in use or unavailable.
  bool Start();
  // Stops accepting connections and finishes the requests in progress.
  void Stop();
  // Connections that were closed because too many were open.
  uint64_t refused_connections() const;

 private:
  const ListenAddress m_address;
  const size_t m_max_body_bytes;
  MemoryBudget* m_held_bodies;
  std::unique_ptr<HttpServer> m_server;
  std::thread m_thread;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_HTTP_LISTENER_H_
