#include "eventio/http_session_pool.h"

#include <utility>

namespace vanillatiller {

using Activity = HttpConnectionStatus::Activity;

std::optional<size_t> ChooseStalledConnection(
    std::span<const HttpConnectionStatus> connections, Activity activity,
    Duration stall_time, TimePoint now) {
  std::optional<size_t> chosen;
  for (size_t i = 0; i < connections.size(); ++i) {
    const HttpConnectionStatus& status = connections[i];
    if (status.activity != activity || now - status.since < stall_time) {
      continue;
    }
    if (!chosen || status.held_bytes > connections[*chosen].held_bytes) {
      chosen = i;
    }
  }
  return chosen;
}

std::optional<size_t> ChooseIdleConnection(
    std::span<const HttpConnectionStatus> connections) {
  std::optional<size_t> chosen;
  for (size_t i = 0; i < connections.size(); ++i) {
    if (connections[i].activity != Activity::kIdle) continue;
    if (!chosen || connections[i].since < connections[*chosen].since) {
      chosen = i;
    }
  }
  return chosen;
}

HttpSessionPool::HttpSessionPool(
    EventLoop* loop, HttpRequestHandler* handler,
    std::shared_ptr<const HttpServerLimits> http_limits, const Limits& limits,
    Report report)
    : m_loop(loop),
      m_handler(handler),
      m_http_limits(std::move(http_limits)),
      m_limits(limits),
      m_report(std::move(report)) {}

void HttpSessionPool::Accept(std::shared_ptr<TcpConnection> connection,
                             TimePoint now) {
  if (m_members.size() >= m_limits.max_connections && !MakeRoom(now)) {
    ++m_counters.refused_connections;
    m_report("connection-refused", m_members.size(), now);
    connection->Close();
    return;
  }
  Member& member = m_members.emplace_back();
  member.connection = connection;
  member.session = HttpServerSession::Start(m_loop, std::move(connection),
                                            m_handler, m_http_limits, now);
}

bool HttpSessionPool::MakeRoom(TimePoint now) {
  RemoveEnded();
  return m_members.size() < m_limits.max_connections || CloseLingering() ||
         CloseIdle(now) || GiveUpStalledRequest(now) || CloseStalledReader(now);
}

bool HttpSessionPool::CloseLingering() {
  for (const Member& member : m_members) {
    const auto connection = member.connection.lock();
    if (!connection || !connection->IsLingering()) continue;
    connection->Close();
    return true;
  }
  return false;
}

bool HttpSessionPool::CloseIdle(TimePoint now) {
  std::vector<HttpConnectionStatus> states;
  const auto sessions = OpenSessions(&states);
  const auto chosen = ChooseIdleConnection(states);
  if (!chosen || !sessions[*chosen]->Drop(now)) return false;
  ++m_counters.idle_connections;
  m_report("idle-connection-closed", m_members.size(), now);
  return true;
}

bool HttpSessionPool::GiveUpStalledRequest(TimePoint now) {
  const auto session =
      FindStalled(Activity::kReading, m_limits.stall_time, now);
  if (!session || !session->GiveUpUnreadRequest(now)) return false;
  ++m_counters.stalled_requests;
  m_report("stalled-request-ended", m_members.size(), now);
  return true;
}

bool HttpSessionPool::CloseStalledReader(TimePoint now) {
  const auto session =
      FindStalled(Activity::kSending, m_limits.read_stall_time, now);
  if (!session || !session->Drop(now)) return false;
  ++m_counters.stalled_readers;
  m_report("stalled-reader-closed", m_members.size(), now);
  return true;
}

std::shared_ptr<HttpServerSession> HttpSessionPool::FindStalled(
    Activity activity, Duration stall_time, TimePoint now) const {
  std::vector<HttpConnectionStatus> states;
  const auto sessions = OpenSessions(&states);
  const auto chosen =
      ChooseStalledConnection(states, activity, stall_time, now);
  return chosen ? sessions[*chosen] : nullptr;
}

std::vector<std::shared_ptr<HttpServerSession>> HttpSessionPool::OpenSessions(
    std::vector<HttpConnectionStatus>* states) const {
  std::vector<std::shared_ptr<HttpServerSession>> sessions;
  for (const Member& member : m_members) {
    auto session = member.session.lock();
    if (!session || !session->IsOpen()) continue;
    states->push_back(session->Status());
    sessions.push_back(std::move(session));
  }
  return sessions;
}

void HttpSessionPool::ForEach(
    const std::function<void(HttpServerSession&)>& visit) const {
  std::vector<HttpConnectionStatus> states;
  for (const auto& session : OpenSessions(&states)) visit(*session);
}

void HttpSessionPool::RemoveEnded() {
  std::erase_if(m_members, [](const Member& member) {
    const auto connection = member.connection.lock();
    return !connection || (!connection->IsOpen() && !connection->IsLingering());
  });
}

void HttpSessionPool::Tick(TimePoint now) {
  RemoveEnded();
  ForEach([now](HttpServerSession& session) {
    session.NoteSendProgress(now);
    session.CountUnreadBytes(now);
  });
}

}  // namespace vanillatiller
