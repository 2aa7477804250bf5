#define BOOST_TEST_MODULE http
#include "http/http.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <chrono>
#include <thread>
#include <vector>

namespace vanillatiller {
namespace {

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = Loopback(0);
  socklen_t length = sizeof(address);
  BOOST_TEST_REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&address), length) ==
                     0);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  close(fd);
  return ntohs(address.sin_port);
}

// Starts to connect without waiting.
int StartConnect(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  const sockaddr_in address = Loopback(port);
  const int result =
      connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  BOOST_TEST_REQUIRE((result == 0 || errno == EINPROGRESS));
  return fd;
}

// Guards against a backlog that drops part of a burst of connections: TCP
// tries those again only after a second. The server accepts nothing here, so
// the backlog alone decides.
BOOST_AUTO_TEST_CASE(BurstOfConnectionsFitsTheBacklog) {
  HttpServer server(4);
  const int port = FreePort();
  BOOST_TEST_REQUIRE(server.Bind("127.0.0.1", port));
  std::vector<pollfd> connections(300);
  for (pollfd& connection : connections) {
    connection = {StartConnect(port), POLLOUT, 0};
  }
  int connected = 0;
  for (pollfd& connection : connections) {
    if (poll(&connection, 1, 100) == 1) ++connected;
    close(connection.fd);
  }
  BOOST_TEST(connected == 300);
}

// Guards against tasks that are lost, and against more threads than allowed.
BOOST_AUTO_TEST_CASE(PoolRunsEveryTaskWithinItsBound) {
  std::atomic<int> running{0};
  std::atomic<int> most{0};
  std::atomic<int> done{0};
  {
    WorkerPool pool(3);
    for (int i = 0; i < 200; ++i) {
      pool.Post([&] {
        const int now = ++running;
        int seen = most;
        while (seen < now && !most.compare_exchange_weak(seen, now)) {
        }
        std::this_thread::sleep_for(std::chrono::microseconds(100));
        --running;
        ++done;
      });
    }
  }
  BOOST_TEST(done == 200);
  BOOST_TEST(most <= 3);
}

}  // namespace
}  // namespace vanillatiller
