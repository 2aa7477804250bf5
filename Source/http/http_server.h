#ifndef VANILLATILLER_SOURCE_HTTP_HTTP_SERVER_H_
#define VANILLATILLER_SOURCE_HTTP_HTTP_SERVER_H_

#include <httplib.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace vanillatiller {

// An HTTP server whose connections are served by a WorkerPool, up to
// `max_threads` at once, and whose backlog suits bursts of new connections. As
// many connections again wait for a thread; further ones are closed before
// anything has been read from them.
class HttpServer : public httplib::Server {
 public:
  explicit HttpServer(size_t max_threads);

  // Binds and listens; listen_after_bind() then serves. False if the address
  // is taken or not to be had.
  bool Bind(const std::string& ip, int port);

  // Must be called before Bind(). Clients that make no progress in sending a
  // request are also given up while `is_short` returns true.
  void SetMemoryCheck(std::function<bool()> is_short) {
    m_is_short_of_memory = std::move(is_short);
  }

  // Connections that were closed because too many were open.
  uint64_t refused_connections() const { return m_refused_connections; }

 private:
  class PoolQueue;

  bool process_and_close_socket(socket_t socket) override;

  const size_t m_max_threads;
  int m_listener = -1;
  std::function<bool()> m_is_short_of_memory = [] { return false; };
  std::atomic<size_t> m_connections{0};
  std::atomic<uint64_t> m_refused_connections{0};
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_HTTP_HTTP_SERVER_H_
