#include "http/http_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <limits>
#include <utility>

#include "http/http_connection.h"
#include "http/worker_pool.h"

namespace vanillatiller {
namespace {

// cpp-httplib listens with a backlog of 5. A burst of more connections than
// that loses some, and TCP tries them again only after a second.
constexpr int kBacklog = 1024;
// Connections that may be open for each thread.
constexpr size_t kConnectionsPerThread = 2;

// Whether the connection that this thread is given is to be closed at once.
thread_local bool is_refused = false;

}  // namespace

// Lets httplib run its connections on a WorkerPool. httplib keeps one thread
// for each open connection, so a fixed pool would have to be large.
class HttpServer::PoolQueue final : public httplib::TaskQueue {
 public:
  explicit PoolQueue(HttpServer* server)
      : m_server(server), m_pool(server->m_max_threads) {}

  // Only the task knows the connection, so that it is run to close it.
  void enqueue(std::function<void()> task) override {
    const size_t most = kConnectionsPerThread * m_server->m_max_threads;
    if (m_server->m_connections >= most) {
      ++m_server->m_refused_connections;
      is_refused = true;
      task();
      is_refused = false;
      return;
    }
    ++m_server->m_connections;
    m_pool.Post([this, task = std::move(task)] {
      task();
      --m_server->m_connections;
    });
  }
  void shutdown() override { m_pool.Shutdown(); }

 private:
  HttpServer* m_server;
  WorkerPool m_pool;
};

HttpServer::HttpServer(size_t max_threads) : m_max_threads(max_threads) {
  new_task_queue = [this] { return new PoolQueue(this); };
  // Announced in answers; connections end for other reasons.
  set_keep_alive_max_count(std::numeric_limits<int>::max());
  set_tcp_nodelay(true);
  set_socket_options([this](int fd) {
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    m_listener = fd;
  });
}

bool HttpServer::Bind(const std::string& ip, int port) {
  if (!bind_to_port(ip, port)) return false;
  // A second listen() on the same socket changes its backlog.
  return ::listen(m_listener, kBacklog) == 0;
}

bool HttpServer::process_and_close_socket(socket_t socket) {
  if (is_refused) {
    close(socket);
    return false;
  }
  HttpConnection connection(
      socket,
      {[this] { return m_connections > m_max_threads; }, m_is_short_of_memory,
       [this] { return svr_sock_ == INVALID_SOCKET; }});
  bool is_closed = false;
  while (!is_closed && connection.WaitForRequest()) {
    if (!process_request(connection, false, is_closed, nullptr)) break;
    is_closed = is_closed || connection.closes();
    connection.FinishRequest();
  }
  return true;
}

}  // namespace vanillatiller
