#ifndef VANILLATILLER_SOURCE_HTTP_HTTP_SERVER_H_
#define VANILLATILLER_SOURCE_HTTP_HTTP_SERVER_H_

#include <httplib.h>

#include <cstddef>
#include <string>

namespace vanillatiller {

// An HTTP server whose connections are served by a WorkerPool, up to
// `max_threads` at once, and whose backlog suits bursts of new connections.
class HttpServer : public httplib::Server {
 public:
  explicit HttpServer(size_t max_threads);

  // Binds and listens; listen_after_bind() then serves. False if the address
  // is taken or not to be had.
  bool Bind(const std::string& ip, int port);

 private:
  int m_listener = -1;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_HTTP_HTTP_SERVER_H_
