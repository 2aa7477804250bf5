#include "vtstub/tcp_relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace vanillatiller {
namespace {

constexpr int kBacklog = 128;
constexpr size_t kBufferBytes = 16384;

sockaddr_in MakeAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

void DisableNagle(int fd) {
  const int enable = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
}

int ConnectTo(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = MakeAddress(ip, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0) {
    DisableNagle(fd);
    return fd;
  }
  close(fd);
  return -1;
}

bool WriteAll(int fd, const char* data, size_t size) {
  while (size > 0) {
    const ssize_t written = send(fd, data, size, MSG_NOSIGNAL);
    if (written <= 0) return false;
    data += written;
    size -= static_cast<size_t>(written);
  }
  return true;
}

}  // namespace

TcpRelay::Connection::~Connection() {
  close(client_fd);
  close(target_fd);
}

TcpRelay::TcpRelay(std::string ip, int port, int target_port)
    : m_ip(std::move(ip)), m_port(port), m_target_port(target_port) {}

TcpRelay::~TcpRelay() {
  if (m_listen_fd < 0) return;
  shutdown(m_listen_fd, SHUT_RDWR);
  m_accept_thread.join();
  close(m_listen_fd);
}

bool TcpRelay::Start() {
  m_listen_fd = socket(AF_INET, SOCK_STREAM, 0);
  const int enable = 1;
  setsockopt(m_listen_fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
  const sockaddr_in address = MakeAddress(m_ip, m_port);
  if (bind(m_listen_fd, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(m_listen_fd, kBacklog) != 0) {
    close(m_listen_fd);
    m_listen_fd = -1;
    return false;
  }
  m_accept_thread = std::thread([this] { AcceptLoop(); });
  return true;
}

void TcpRelay::RegisterHandlers(httplib::Server& server) {
  server.Post("/control/silence",
              [this](const httplib::Request&, httplib::Response&) {
                SilenceOpenConnections();
              });
  server.Post("/control/cut",
              [this](const httplib::Request&, httplib::Response&) {
                m_is_partitioned = true;
                SilenceOpenConnections();
              });
  server.Post("/control/heal",
              [this](const httplib::Request&, httplib::Response&) {
                m_is_partitioned = false;
              });
}

void TcpRelay::AcceptLoop() {
  while (true) {
    const int client_fd = accept(m_listen_fd, nullptr, nullptr);
    if (client_fd < 0) return;
    DisableNagle(client_fd);
    auto connection = std::make_shared<Connection>();
    connection->client_fd = client_fd;
    connection->target_fd = ConnectTo(m_ip, m_target_port);
    connection->is_silent = m_is_partitioned.load();
    if (connection->target_fd < 0) continue;
    {
      const std::lock_guard lock(m_mutex);
      std::erase_if(m_connections,
                    [](const auto& entry) { return entry.expired(); });
      m_connections.push_back(connection);
    }
    std::thread([connection] {
      ForwardBytes(connection, connection->client_fd, connection->target_fd);
    }).detach();
    std::thread([connection] {
      ForwardBytes(connection, connection->target_fd, connection->client_fd);
    }).detach();
  }
}

void TcpRelay::SilenceOpenConnections() {
  const std::lock_guard lock(m_mutex);
  for (const auto& entry : m_connections) {
    if (const auto connection = entry.lock()) connection->is_silent = true;
  }
}

// Copies data in one direction. A silent connection discards the data and does
// not propagate the close of either end.
void TcpRelay::ForwardBytes(const std::shared_ptr<Connection>& connection,
                            int source_fd, int destination_fd) {
  std::array<char, kBufferBytes> buffer;
  while (true) {
    const ssize_t received = recv(source_fd, buffer.data(), buffer.size(), 0);
    if (received <= 0) break;
    if (connection->is_silent) continue;
    if (!WriteAll(destination_fd, buffer.data(),
                  static_cast<size_t>(received))) {
      break;
    }
  }
  if (!connection->is_silent) shutdown(destination_fd, SHUT_WR);
}

}  // namespace vanillatiller
