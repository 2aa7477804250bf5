#include "relay/peer_client.h"

#include <algorithm>
#include <utility>

namespace vanillatiller {

PeerClient::PeerClient(EventLoop* loop, SocketAddress address,
                       Callbacks callbacks)
    : m_loop(loop),
      m_address(std::move(address)),
      m_callbacks(std::move(callbacks)) {}

PeerClient::~PeerClient() { Disconnect(); }

void PeerClient::Call(const relay::Call& call, Done done, TimePoint now) {
  relay::Frame frame;
  *frame.mutable_call() = call;
  Waiting& waiting = m_waiting[call.id()];
  waiting.done = std::move(done);
  waiting.idempotent = call.idempotent();
  if (m_is_up) {
    if (m_waiting.size() == 1) m_probed = m_heard = now;
    waiting.connection = m_connection_number;
    m_connection->Write(EncodeFrame(frame));
    return;
  }
  waiting.unsent = EncodeFrame(frame);
  if (!m_connection) Connect(now);
}

void PeerClient::Cancel(uint64_t id) {
  const auto found = m_waiting.find(id);
  if (found == m_waiting.end()) return;
  const bool was_sent = found->second.connection != 0;
  m_waiting.erase(found);
  if (!was_sent || !m_is_up) return;
  relay::Frame frame;
  frame.mutable_cancel()->set_id(id);
  SendFrame(frame);
}

void PeerClient::SendFrame(const relay::Frame& frame) {
  if (m_is_up) m_connection->Write(EncodeFrame(frame));
}

void PeerClient::Connect(TimePoint now) {
  m_reader = {};
  m_connect_started = now;
  m_connection = TcpConnection::Connect(m_loop, m_address, this);
}

void PeerClient::Disconnect() {
  m_is_up = false;
  if (!m_connection) return;
  m_connection->Close();
  m_connection.reset();
}

void PeerClient::OnConnected(TimePoint now) {
  m_is_up = true;
  m_heard = m_probed = now;
  ++m_connection_number;
  relay::Frame frame;
  *frame.mutable_hello() = m_callbacks.make_hello();
  frame.mutable_hello()->set_connection(m_connection_number);
  for (const auto& [id, waiting] : m_waiting) {
    if (waiting.connection != 0) frame.mutable_hello()->add_waiting_calls(id);
  }
  std::string data = EncodeFrame(frame);
  for (auto& [id, waiting] : m_waiting) {
    if (waiting.connection != 0) continue;
    data += std::exchange(waiting.unsent, {});
    waiting.connection = m_connection_number;
  }
  m_connection->Write(std::move(data));
}

void PeerClient::OnData(std::string_view data, TimePoint now) {
  m_heard = now;
  m_reader.Append(data);
  relay::Frame frame;
  while (m_connection) {
    switch (m_reader.Next(&frame)) {
      case FrameReader::Result::kNeedsMore:
        if (m_receipts.size() >= kReceiptsAtOnce) SendReceived();
        return;
      case FrameReader::Result::kError:
        m_callbacks.on_connection_event("unreadable-frame", now);
        Disconnect();
        OnLost(false, now);
        return;
      case FrameReader::Result::kFrame:
        HandleFrame(frame, now);
        break;
    }
  }
}

void PeerClient::HandleFrame(const relay::Frame& frame, TimePoint now) {
  switch (frame.content_case()) {
    case relay::Frame::kHello:
      HandleHello(frame.hello(), now);
      m_callbacks.on_frame(frame, now);
      break;
    case relay::Frame::kAnswer:
      HandleAnswer(frame.answer(), now);
      break;
    case relay::Frame::kStatus:
      m_callbacks.on_load(DecodeLoad(frame.status().load()), now);
      break;
    default:
      m_callbacks.on_frame(frame, now);
      break;
  }
}

void PeerClient::HandleHello(const relay::Hello& hello, TimePoint now) {
  const uint64_t before =
      std::exchange(m_peer_incarnation, hello.incarnation());
  if (before == 0 || before == hello.incarnation()) return;
  m_callbacks.on_connection_event("peer-restarted", now);
  // The earlier process took the fate of its calls with it.
  EndCalls(
      [this](const Waiting& waiting) {
        return waiting.connection != 0 &&
               waiting.connection < m_connection_number;
      },
      Outcome::kUnknown, RefusalCode::kUnknownIncarnation, now);
}

void PeerClient::HandleAnswer(const relay::Answer& answer, TimePoint now) {
  m_receipts.push_back(answer.id());
  if (answer.has_view()) m_callbacks.on_view(answer.view(), now);
  const auto found = m_waiting.find(answer.id());
  if (found == m_waiting.end()) return;
  const Done done = std::move(found->second.done);
  m_waiting.erase(found);
  done(DecodeAnswer(answer), now);
}

void PeerClient::OnEnd(ConnectionEnd, TimePoint now) {
  // A refused connection shows that the process is gone. One that was up may
  // have been cut on the way.
  const bool was_refused =
      !m_is_up && now - m_connect_started < kConnectTimeout;
  m_is_up = false;
  m_connection.reset();
  OnLost(was_refused, now);
}

void PeerClient::OnLost(bool refused, TimePoint now) {
  m_callbacks.on_connection_event(refused ? "refused" : "lost", now);
  m_callbacks.on_suspect(now);
  EndCalls([](const Waiting& waiting) { return waiting.connection == 0; },
           Outcome::kNotRun, RefusalCode::kConnectionLost, now);
  if (refused) {
    EndCalls([](const Waiting&) { return true; }, Outcome::kUnknown,
             RefusalCode::kConnectionLost, now);
    return;
  }
  // Idempotent calls can be tried elsewhere at once.
  EndCalls([](const Waiting& waiting) { return waiting.idempotent; },
           Outcome::kUnknown, RefusalCode::kConnectionLost, now);
  if (!m_waiting.empty() && !m_connection) Connect(now);
}

void PeerClient::EndCalls(const std::function<bool(const Waiting&)>& ends,
                          Outcome outcome, RefusalCode code, TimePoint now) {
  std::vector<Done> ended;
  for (auto it = m_waiting.begin(); it != m_waiting.end();) {
    if (!ends(it->second)) {
      ++it;
      continue;
    }
    ended.push_back(std::move(it->second.done));
    it = m_waiting.erase(it);
  }
  for (const Done& done : ended) {
    CallResult result;
    result.outcome = outcome;
    result.code = code;
    done(std::move(result), now);
  }
}

bool PeerClient::HasSentCalls() const {
  return std::any_of(m_waiting.begin(), m_waiting.end(), [](const auto& item) {
    return item.second.connection != 0;
  });
}

void PeerClient::SendReceived() {
  if (m_receipts.empty() || !m_is_up) return;
  relay::Frame frame;
  for (const uint64_t id : m_receipts) frame.mutable_received()->add_ids(id);
  m_receipts.clear();
  SendFrame(frame);
}

void PeerClient::Tick(TimePoint now) {
  if (m_connection && !m_is_up && now - m_connect_started >= kConnectTimeout) {
    Disconnect();
    m_reconnect_at = now + kReconnectDelay;
    m_callbacks.on_connection_event("connect-timeout", now);
    m_callbacks.on_suspect(now);
    EndCalls([](const Waiting& waiting) { return waiting.connection == 0; },
             Outcome::kNotRun, RefusalCode::kConnectionLost, now);
  }
  if (!m_connection && !m_waiting.empty() && now >= m_reconnect_at) {
    Connect(now);
  }
  if (!m_is_up) return;
  SendReceived();
  if (m_waiting.empty()) return;
  if (now - m_heard >= kSilenceLimit) {
    m_callbacks.on_connection_event("silent", now);
    Disconnect();
    OnLost(false, now);
    return;
  }
  if (now - m_heard >= kSuspectAfter) m_callbacks.on_suspect(now);
  if (now - m_heard >= kProbeAfter && now - m_probed >= kProbeAfter) {
    m_probed = now;
    relay::Frame frame;
    frame.mutable_status()->set_wants_reply(true);
    SendFrame(frame);
  }
}

}  // namespace vanillatiller
