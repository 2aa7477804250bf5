#include "relay/peer_client.h"

#include <algorithm>
#include <utility>

namespace vanillatiller {

PeerClient::PeerClient(EventLoop* loop, SocketAddress address,
                       Callbacks callbacks)
    : m_loop(loop),
      m_address(std::move(address)),
      m_callbacks(std::move(callbacks)),
      m_reader(&loop->memory(), ByteUse::kPeerAnswer) {}

PeerClient::~PeerClient() { Disconnect(); }

void PeerClient::Call(const CallMessage& message, Done done, TimePoint now) {
  PendingCall& pending = m_pending_calls[message.call.id()];
  pending.done = std::move(done);
  pending.idempotent = message.call.idempotent();
  const size_t body_bytes = message.body ? message.body->size() : 0;
  std::string frame = EncodeCallFrame(message.call, body_bytes);
  if (m_is_up) {
    if (m_pending_calls.size() == 1) m_last_probe = m_last_received = now;
    MarkSent(&pending);
    Send(std::move(frame), message.body);
    return;
  }
  pending.unsent = std::move(frame);
  pending.unsent_body = message.body;
  if (!m_connection) Connect(now);
}

void PeerClient::Send(std::string frame, HeldBytesPtr body) {
  const bool is_joined = body && body->size() <= kMaxJoinedBytes;
  if (is_joined) frame += body->text();
  m_connection->Write(std::move(frame));
  if (body && !is_joined) m_connection->Write(std::move(body));
}

void PeerClient::MarkSent(PendingCall* pending) const {
  pending->connection = m_connection_number;
  pending->connection_began = m_connect_started;
  pending->receiver = m_is_peer_known ? m_peer_incarnation : 0;
}

void PeerClient::Cancel(uint64_t id) {
  const auto found = m_pending_calls.find(id);
  if (found == m_pending_calls.end()) return;
  const bool was_sent = found->second.connection != 0;
  m_pending_calls.erase(found);
  if (!was_sent || !m_is_up) return;
  relay::Frame frame;
  frame.mutable_cancel()->set_id(id);
  SendFrame(frame);
}

void PeerClient::SendFrame(const relay::Frame& frame) {
  if (m_is_up) m_connection->Write(EncodeFrame(frame));
}

void PeerClient::KeepConnected(TimePoint now) {
  if (m_connection || now < m_reconnect_at) return;
  m_reconnect_at = now + kReconnectDelay;
  Connect(now);
}

void PeerClient::Connect(TimePoint now) {
  m_reader = FrameReader(&m_loop->memory(), ByteUse::kPeerAnswer);
  m_is_peer_known = false;
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
  m_last_received = m_last_probe = now;
  ++m_connection_number;
  relay::Frame frame;
  *frame.mutable_hello() = m_callbacks.make_hello(now);
  frame.mutable_hello()->set_connection(m_connection_number);
  for (const auto& [id, pending] : m_pending_calls) {
    if (pending.connection != 0) frame.mutable_hello()->add_waiting_calls(id);
  }
  m_connection->Write(EncodeFrame(frame));
  for (auto& [id, pending] : m_pending_calls) {
    if (pending.connection != 0) continue;
    MarkSent(&pending);
    Send(std::exchange(pending.unsent, {}),
         std::exchange(pending.unsent_body, nullptr));
  }
}

void PeerClient::OnData(std::string_view data, TimePoint now) {
  m_last_received = now;
  m_reader.Append(data);
  relay::Frame frame;
  while (m_connection) {
    switch (m_reader.Next(&frame)) {
      case FrameReader::Result::kNeedsMore:
        if (m_pending_acks.size() >= kAckBatchSize) SendAcks();
        return;
      case FrameReader::Result::kError:
        m_callbacks.on_connection_event("unreadable-frame", now);
        Disconnect();
        OnConnectionLost(false, now);
        return;
      case FrameReader::Result::kSkipped:
        HandleSkippedAnswer(m_reader.skipped_id(), now);
        break;
      case FrameReader::Result::kFrame:
        HandleFrame(&frame, now);
        break;
    }
  }
}

void PeerClient::HandleFrame(relay::Frame* frame, TimePoint now) {
  switch (frame->content_case()) {
    case relay::Frame::kHello:
      HandleHello(frame->hello(), now);
      m_callbacks.on_frame(*frame, now);
      break;
    case relay::Frame::kAnswer:
      HandleAnswer(frame->mutable_answer(), now);
      break;
    case relay::Frame::kStatus:
      HandleNotice(frame->status().load(), now);
      m_callbacks.on_load(DecodeLoad(frame->status().load()), now);
      break;
    default:
      m_callbacks.on_frame(*frame, now);
      break;
  }
}

void PeerClient::HandleHello(const relay::Hello& hello, TimePoint now) {
  const uint64_t before =
      std::exchange(m_peer_incarnation, hello.incarnation());
  if (before != 0 && before != hello.incarnation()) {
    m_callbacks.on_connection_event("peer-restarted", now);
  }
  m_is_peer_known = true;
  // Hello was sent before `now`, so the process started no later than this.
  const Duration uptime = ClampedMicroseconds(hello.uptime_us());
  const TimePoint running_since = now - uptime + uptime / kClockDriftDivisor;
  m_peer_running_since = before == hello.incarnation()
                             ? std::min(m_peer_running_since, running_since)
                             : running_since;
  for (auto& [id, pending] : m_pending_calls) {
    if (pending.connection == m_connection_number) {
      pending.receiver = hello.incarnation();
    }
  }
  // This process has no record of a call that an earlier one received.
  EndCalls(
      [this](const PendingCall& pending) {
        return pending.connection != 0 && !CanVouch(pending);
      },
      Outcome::kUnknown, RefusalCode::kUnknownIncarnation, now);
}

bool PeerClient::CanVouch(const PendingCall& pending) const {
  if (pending.receiver != 0) return pending.receiver == m_peer_incarnation;
  return pending.connection_began >= m_peer_running_since;
}

void PeerClient::HandleAnswer(relay::Answer* answer, TimePoint now) {
  if (answer->has_view()) m_callbacks.on_view(answer->view(), now);
  if (answer->has_load()) HandleNotice(answer->load(), now);
  EndCall(answer->id(), DecodeAnswer(answer), now);
}

void PeerClient::HandleSkippedAnswer(uint64_t id, TimePoint now) {
  CallResult result;
  result.code = RefusalCode::kNoMemory;
  EndCall(id, std::move(result), now);
}

void PeerClient::EndCall(uint64_t id, CallResult result, TimePoint now) {
  m_pending_acks.push_back(id);
  const auto found = m_pending_calls.find(id);
  if (found == m_pending_calls.end()) return;
  const Done done = std::move(found->second.done);
  m_pending_calls.erase(found);
  done(std::move(result), now);
}

void PeerClient::HandleNotice(const relay::Load& load, TimePoint now) {
  if (load.has_server()) m_callbacks.on_server_notice(load.server(), now);
}

void PeerClient::OnEnd(ConnectionEnd, TimePoint now) {
  // A refused connection shows that the process has exited. An established
  // connection may have been interrupted by the network.
  const bool was_refused =
      !m_is_up && now - m_connect_started < kConnectTimeout;
  m_is_up = false;
  m_connection.reset();
  OnConnectionLost(was_refused, now);
}

void PeerClient::OnConnectionLost(bool refused, TimePoint now) {
  m_callbacks.on_connection_event(refused ? "refused" : "lost", now);
  m_callbacks.on_suspect(now);
  EndCalls([](const PendingCall& pending) { return pending.connection == 0; },
           Outcome::kNotRun, RefusalCode::kConnectionLost, now);
  if (refused) {
    EndCalls([](const PendingCall&) { return true; }, Outcome::kUnknown,
             RefusalCode::kConnectionLost, now);
    return;
  }
  // Idempotent calls can be retried on another node at once.
  EndCalls([](const PendingCall& pending) { return pending.idempotent; },
           Outcome::kUnknown, RefusalCode::kConnectionLost, now);
  if (!m_pending_calls.empty() && !m_connection) Connect(now);
}

void PeerClient::EndCalls(
    const std::function<bool(const PendingCall&)>& selects, Outcome outcome,
    RefusalCode code, TimePoint now) {
  std::vector<Done> ended;
  for (auto it = m_pending_calls.begin(); it != m_pending_calls.end();) {
    if (!selects(it->second)) {
      ++it;
      continue;
    }
    ended.push_back(std::move(it->second.done));
    it = m_pending_calls.erase(it);
  }
  for (const Done& done : ended) {
    CallResult result;
    result.outcome = outcome;
    result.code = code;
    done(std::move(result), now);
  }
}

bool PeerClient::HasSentCalls() const {
  return std::any_of(
      m_pending_calls.begin(), m_pending_calls.end(),
      [](const auto& item) { return item.second.connection != 0; });
}

void PeerClient::SendAcks() {
  if (m_pending_acks.empty() || !m_is_up) return;
  relay::Frame frame;
  for (const uint64_t id : m_pending_acks) {
    frame.mutable_received()->add_ids(id);
  }
  m_pending_acks.clear();
  SendFrame(frame);
}

void PeerClient::Tick(TimePoint now) {
  if (m_connection && !m_is_up && now - m_connect_started >= kConnectTimeout) {
    Disconnect();
    m_reconnect_at = now + kReconnectDelay;
    m_callbacks.on_connection_event("connect-timeout", now);
    m_callbacks.on_suspect(now);
    EndCalls([](const PendingCall& pending) { return pending.connection == 0; },
             Outcome::kNotRun, RefusalCode::kConnectionLost, now);
  }
  if (!m_connection && !m_pending_calls.empty() && now >= m_reconnect_at) {
    Connect(now);
  }
  if (!m_is_up) return;
  SendAcks();
  if (m_pending_calls.empty()) return;
  if (now - m_last_received >= kSilenceTimeout) {
    m_callbacks.on_connection_event("silent", now);
    Disconnect();
    OnConnectionLost(false, now);
    return;
  }
  if (now - m_last_received >= kSuspectDelay) m_callbacks.on_suspect(now);
  if (now - m_last_received >= kProbeDelay &&
      now - m_last_probe >= kProbeDelay) {
    m_last_probe = now;
    relay::Frame frame;
    frame.mutable_status()->set_wants_reply(true);
    SendFrame(frame);
  }
}

}  // namespace vanillatiller
