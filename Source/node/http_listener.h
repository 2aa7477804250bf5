#ifndef VANILLATILLER_SOURCE_NODE_HTTP_LISTENER_H_
#define VANILLATILLER_SOURCE_NODE_HTTP_LISTENER_H_

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "node/request_pipeline.h"
#include "node/settings.h"

namespace vanillatiller {

class HttpServer;

// One HTTP listener of a node: the public one, the local one or the admin one.
class HttpListener {
 public:
  HttpListener(const ListenAddress& address, const NodeSettings& settings);
  ~HttpListener();

  // Serves POST /SERVICE/METHOD through `entry`.
  void ServeCalls(RequestPipeline& entry, bool is_local);

  // Serves GET `path` with what `render` returns.
  void ServeText(const std::string& path, const std::string& content_type,
                 std::function<std::string()> render);

  // Binds and starts to serve on a thread of its own. False if the address is
  // taken or not to be had.
  bool Start();
  // Stops taking connections, finishes the requests being served.
  void Stop();

 private:
  const ListenAddress m_address;
  std::unique_ptr<HttpServer> m_server;
  std::thread m_thread;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_HTTP_LISTENER_H_
