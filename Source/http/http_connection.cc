#include "http/http_connection.h"

#include <netdb.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <utility>

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time for a client to send or read anything.
constexpr auto kProgressTimeout = seconds(5);
// The same for the next bytes of a request, while others wait.
constexpr auto kStallTime = seconds(1);
constexpr auto kIdleTimeout = seconds(5);
// How often a waiting thread looks whether it is needed.
constexpr auto kPollPeriod = milliseconds(100);
constexpr auto kLingerTime = seconds(1);

thread_local HttpConnection* current_connection = nullptr;

// As getpeername() and getsockname().
using ReadAddress = int (*)(int, sockaddr*, socklen_t*);

void Describe(int socket, ReadAddress read, std::string* ip, int* port) {
  sockaddr_storage address{};
  socklen_t length = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  std::array<char, NI_MAXHOST> ip_text{};
  std::array<char, NI_MAXSERV> port_text{};
  if (read(socket, generic, &length) != 0 ||
      getnameinfo(generic, length, ip_text.data(), ip_text.size(),
                  port_text.data(), port_text.size(),
                  NI_NUMERICHOST | NI_NUMERICSERV) != 0) {
    return;
  }
  *ip = ip_text.data();
  *port = std::atoi(port_text.data());
}

}  // namespace

HttpConnection::HttpConnection(socket_t socket, Server server)
    : m_socket(socket), m_server(std::move(server)) {
  current_connection = this;
}

HttpConnection::~HttpConnection() {
  current_connection = nullptr;
  if (m_closes) Linger();
  close(m_socket);
}

HttpConnection* HttpConnection::Current() { return current_connection; }

bool HttpConnection::WaitForRequest() {
  const auto start = Clock::now();
  while (m_begin == m_end) {
    pollfd waiting = {m_socket, POLLIN, 0};
    const int ready = poll(&waiting, 1, kPollPeriod.count());
    if (ready > 0) break;
    // A client that has sent nothing is given up first.
    if (ready < 0 || m_server.is_stopped() || m_server.is_saturated() ||
        Clock::now() - start >= kIdleTimeout) {
      return false;
    }
  }
  m_progress_at = Clock::now();
  m_received = 0;
  return true;
}

bool HttpConnection::IsStalled(Clock::time_point now) const {
  return now - m_progress_at >= kStallTime &&
         (m_server.is_saturated() || m_server.is_short_of_memory());
}

bool HttpConnection::Wait(short events, Clock::duration timeout) const {
  const auto end = Clock::now() + timeout;
  while (true) {
    pollfd waiting = {m_socket, events, 0};
    const int ready = poll(&waiting, 1, kPollPeriod.count());
    if (ready != 0) return ready > 0;
    const auto now = Clock::now();
    if (now >= end || (events == POLLIN && IsStalled(now))) return false;
  }
}

bool HttpConnection::is_readable() const {
  return m_begin < m_end || Wait(POLLIN, kProgressTimeout);
}

bool HttpConnection::is_writable() const {
  return Wait(POLLOUT, kProgressTimeout);
}

ssize_t HttpConnection::read(char* data, size_t size) {
  if (m_begin == m_end) {
    // Bytes that come one by one keep no thread from others.
    if (IsStalled(Clock::now()) || !Wait(POLLIN, kProgressTimeout)) return -1;
    const ssize_t received =
        recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
    if (received <= 0) return received;
    m_begin = 0;
    m_end = static_cast<size_t>(received);
    m_received += m_end;
    if (m_received >= kProgressBytes) {
      m_received = 0;
      m_progress_at = Clock::now();
    }
  }
  const size_t taken = std::min(size, m_end - m_begin);
  std::memcpy(data, m_buffer.data() + m_begin, taken);
  m_begin += taken;
  return static_cast<ssize_t>(taken);
}

ssize_t HttpConnection::write(const char* data, size_t size) {
  if (!is_writable()) return -1;
  return send(m_socket, data, size, MSG_NOSIGNAL);
}

void HttpConnection::get_remote_ip_and_port(std::string& ip, int& port) const {
  Describe(m_socket, &getpeername, &ip, &port);
}

void HttpConnection::get_local_ip_and_port(std::string& ip, int& port) const {
  Describe(m_socket, &getsockname, &ip, &port);
}

void HttpConnection::Linger() const {
  shutdown(m_socket, SHUT_WR);
  std::array<char, 4096> discarded;
  const auto end = Clock::now() + kLingerTime;
  while (Clock::now() < end && Wait(POLLIN, kPollPeriod) &&
         recv(m_socket, discarded.data(), discarded.size(), 0) > 0) {
  }
}

}  // namespace vanillatiller
