#include "http/http_server.h"

#include <sys/socket.h>

#include <functional>
#include <limits>
#include <utility>

#include "http/worker_pool.h"

namespace vanillatiller {
namespace {

// cpp-httplib listens with a backlog of 5. A burst of more connections than
// that loses some, and TCP tries them again only after a second.
constexpr int kBacklog = 1024;

// Lets httplib run its connections on a WorkerPool. httplib keeps one thread
// for each open connection, so a fixed pool would have to be large.
class PoolQueue final : public httplib::TaskQueue {
 public:
  explicit PoolQueue(size_t max_threads) : m_pool(max_threads) {}

  void enqueue(std::function<void()> task) override {
    m_pool.Post(std::move(task));
  }
  void shutdown() override { m_pool.Shutdown(); }

 private:
  WorkerPool m_pool;
};

}  // namespace

HttpServer::HttpServer(size_t max_threads) {
  new_task_queue = [max_threads] { return new PoolQueue(max_threads); };
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

}  // namespace vanillatiller
