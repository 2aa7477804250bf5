#include "crowd_client.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "absl/strings/str_format.h"

namespace vanillatiller {

std::string LengthFields(uint64_t bytes) {
  return absl::StrFormat("Content-Length: %d\r\n\r\n", bytes);
}

std::string MakeChunk(size_t bytes) {
  return absl::StrFormat("%x\r\n%s\r\n", bytes, std::string(bytes, 'x'));
}

CrowdClient::CrowdClient(EventLoop* loop, const SocketAddress& node,
                         const Crowd* crowd, std::string id, std::string start)
    : m_crowd(crowd),
      m_id(std::move(id)),
      m_start(std::move(start)),
      m_connection(TcpConnection::Connect(loop, node, this)) {}

CrowdClient::~CrowdClient() {
  if (m_connection) m_connection->Close();
}

void CrowdClient::OnConnected(TimePoint) {
  m_is_connected = true;
  m_connection->Write(m_start + m_crowd->fields);
}

void CrowdClient::Continue(TimePoint now) {
  if (!m_connection || !m_is_connected || now < m_next) return;
  while (m_sent < m_crowd->bytes && m_connection->IsOpen() &&
         m_connection->UnsentBytes() == 0) {
    const size_t left = m_crowd->bytes - m_sent;
    m_connection->Write(m_crowd->piece.substr(0, left));
    m_sent += std::min(left, m_crowd->piece.size());
    if (m_crowd->pause == Duration::zero()) continue;
    m_next = now + m_crowd->pause;
    return;
  }
}

int CrowdClient::Status() const {
  return m_received.starts_with("HTTP/1.1 ")
             ? static_cast<int>(
                   std::strtol(m_received.c_str() + 9, nullptr, 10))
             : 0;
}

bool ContinueAll(const CrowdClients& clients) {
  bool is_done = true;
  for (const auto& client : clients) {
    client->Continue(BootClock::now());
    is_done = is_done && client->IsDone();
  }
  return is_done;
}

}  // namespace vanillatiller
