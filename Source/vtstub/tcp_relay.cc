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

sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

void DisableNagle(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

int ConnectTo(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = Address(ip, port);
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
  close(client);
  close(target);
}

TcpRelay::TcpRelay(std::string ip, int port, int target_port)
    : m_ip(std::move(ip)), m_port(port), m_target_port(target_port) {}

TcpRelay::~TcpRelay() {
  if (m_listener < 0) return;
  shutdown(m_listener, SHUT_RDWR);
  m_thread.join();
  close(m_listener);
}

bool TcpRelay::Start() {
  m_listener = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = Address(m_ip, m_port);
  if (bind(m_listener, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(m_listener, kBacklog) != 0) {
    close(m_listener);
    m_listener = -1;
    return false;
  }
  m_thread = std::thread([this] { Accept(); });
  return true;
}

void TcpRelay::Install(httplib::Server& server) {
  server.Post("/control/silence", [this](const httplib::Request&,
                                         httplib::Response&) { SilenceAll(); });
  server.Post("/control/cut",
              [this](const httplib::Request&, httplib::Response&) {
                m_is_cut = true;
                SilenceAll();
              });
  server.Post("/control/heal",
              [this](const httplib::Request&, httplib::Response&) {
                m_is_cut = false;
              });
}

void TcpRelay::Accept() {
  while (true) {
    const int client = accept(m_listener, nullptr, nullptr);
    if (client < 0) return;
    DisableNagle(client);
    auto connection = std::make_shared<Connection>();
    connection->client = client;
    connection->target = ConnectTo(m_ip, m_target_port);
    connection->is_silent = m_is_cut.load();
    if (connection->target < 0) continue;
    {
      const std::lock_guard lock(m_mutex);
      std::erase_if(m_connections,
                    [](const auto& entry) { return entry.expired(); });
      m_connections.push_back(connection);
    }
    std::thread([connection] {
      Pump(connection, connection->client, connection->target);
    }).detach();
    std::thread([connection] {
      Pump(connection, connection->target, connection->client);
    }).detach();
  }
}

void TcpRelay::SilenceAll() {
  const std::lock_guard lock(m_mutex);
  for (const auto& entry : m_connections) {
    if (const auto connection = entry.lock()) connection->is_silent = true;
  }
}

// Copies bytes one way. A silent connection swallows them and stays open, and
// its ends do not hear of each other's close.
void TcpRelay::Pump(const std::shared_ptr<Connection>& connection, int from,
                    int to) {
  std::array<char, kBufferBytes> buffer;
  while (true) {
    const ssize_t received = recv(from, buffer.data(), buffer.size(), 0);
    if (received <= 0) break;
    if (connection->is_silent) continue;
    if (!WriteAll(to, buffer.data(), static_cast<size_t>(received))) break;
  }
  if (!connection->is_silent) shutdown(to, SHUT_WR);
}

}  // namespace vanillatiller
