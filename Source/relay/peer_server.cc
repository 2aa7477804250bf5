#include "relay/peer_server.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "relay/state_revision.h"

namespace vanillatiller {

// One connection from a caller.
class PeerServer::Session : public std::enable_shared_from_this<Session>,
                            private TcpHandler {
 public:
  Session(PeerServer* server, std::shared_ptr<TcpConnection> connection)
      : m_server(server),
        m_connection(std::move(connection)),
        m_reader(server->m_memory, ByteUse::kLargeRequest) {
    m_connection->SetHandler(this);
  }
  ~Session() override { Close(); }

  void Send(std::string frame) {
    if (m_connection) m_connection->Write(std::move(frame));
  }
  void Send(HeldBytesPtr frame) {
    if (m_connection) m_connection->Write(std::move(frame));
  }

  void Close() {
    if (!m_connection) return;
    m_connection->Close();
    m_connection.reset();
  }

  // 0 until Hello has been received.
  uint64_t incarnation = 0;

 private:
  void OnConnected(TimePoint) override {}

  void OnData(std::string_view data, TimePoint now) override {
    const std::shared_ptr<Session> self = shared_from_this();
    m_reader.Append(data);
    relay::Frame frame;
    while (m_connection) {
      const FrameReader::Result result = m_reader.Next(&frame);
      if (result == FrameReader::Result::kNeedsMore) return;
      if (result == FrameReader::Result::kError) {
        m_server->OnSessionEnd(self, now);
        return;
      }
      if (result == FrameReader::Result::kSkipped) {
        m_server->OnSkippedCall(self, m_reader.skipped_id(), now);
        continue;
      }
      m_server->OnFrame(self, &frame, now);
    }
  }

  void OnEnd(ConnectionEnd, TimePoint now) override {
    const std::shared_ptr<Session> self = shared_from_this();
    m_connection.reset();
    m_server->OnSessionEnd(self, now);
  }

  PeerServer* m_server;
  std::shared_ptr<TcpConnection> m_connection;
  FrameReader m_reader;
};

PeerServer::PeerServer(PeerCallHandler* handler, ByteBudget* memory)
    : m_handler(handler), m_memory(memory) {}

PeerServer::~PeerServer() = default;

void PeerServer::Accept(std::shared_ptr<TcpConnection> connection) {
  auto session = std::make_shared<Session>(this, std::move(connection));
  m_sessions[session.get()] = session;
}

void PeerServer::OnFrame(const std::shared_ptr<Session>& session,
                         relay::Frame* received, TimePoint now) {
  const relay::Frame& frame = *received;
  if (frame.has_hello()) {
    OnHello(session, frame.hello(), now);
    ForwardFrame(session, frame, now);
    return;
  }
  const auto found = m_callers.find(session->incarnation);
  if (found == m_callers.end()) {
    OnSessionEnd(session, now);
    return;
  }
  Caller& caller = found->second;
  const uint64_t incarnation = found->first;
  switch (frame.content_case()) {
    case relay::Frame::kCall: {
      const uint64_t id = frame.call().id();
      // The caller may have been told that this call was never received, so it
      // must not run.
      if (id <= caller.highest_call) break;
      caller.highest_call = id;
      caller.running[id] = frame.call().idempotent();
      m_handler->OnPeerCall({incarnation, id}, TakeCall(received, m_memory),
                            now);
      break;
    }
    case relay::Frame::kCancel:
      DiscardAnswer(&caller, frame.cancel().id());
      m_handler->OnPeerCancel({incarnation, frame.cancel().id()}, now);
      break;
    case relay::Frame::kReceived:
      for (const uint64_t id : frame.received().ids()) {
        DiscardAnswer(&caller, id);
      }
      break;
    case relay::Frame::kStatus:
      if (frame.status().wants_reply()) {
        relay::Frame reply;
        *reply.mutable_status()->mutable_load() = m_handler->Load();
        session->Send(EncodeFrame(reply));
      }
      break;
    default:
      ForwardFrame(session, frame, now);
      break;
  }
}

void PeerServer::OnSkippedCall(const std::shared_ptr<Session>& session,
                               uint64_t id, TimePoint now) {
  const auto found = m_callers.find(session->incarnation);
  if (found == m_callers.end()) {
    OnSessionEnd(session, now);
    return;
  }
  // The same rule as for calls that are received.
  if (id <= found->second.highest_call) return;
  found->second.highest_call = id;
  const PeerCallKey key{found->first, id};
  m_handler->OnPeerCallRefused(key, now);
  CallResult refusal;
  refusal.outcome = Outcome::kNotRun;
  refusal.code = RefusalCode::kNoMemory;
  Answer(key, std::move(refusal), now);
}

void PeerServer::ForwardFrame(const std::shared_ptr<Session>& session,
                              const relay::Frame& frame, TimePoint now) {
  m_handler->OnPeerFrame(
      frame,
      [session](const relay::Frame& reply) {
        session->Send(EncodeFrame(reply));
      },
      now);
}

void PeerServer::OnHello(const std::shared_ptr<Session>& session,
                         const relay::Hello& hello, TimePoint now) {
  Caller& caller = m_callers[hello.incarnation()];
  // This connection is older than the current one; its calls have already been
  // resolved.
  if (hello.connection() < caller.latest_connection) {
    DropSession(session);
    return;
  }
  caller.latest_connection = hello.connection();
  // Unread frames on the earlier connection are discarded, so that the answers
  // below remain correct.
  if (caller.session && caller.session != session) DropSession(caller.session);
  caller.session = session;
  caller.was_cancelled = false;
  session->incarnation = hello.incarnation();
  relay::Frame reply;
  *reply.mutable_hello() = m_handler->MakeHello(now);
  session->Send(EncodeFrame(reply));
  ResolveWaitingCalls(&caller, hello.incarnation(), hello, now);
}

void PeerServer::ResolveWaitingCalls(Caller* caller, uint64_t incarnation,
                                     const relay::Hello& hello, TimePoint now) {
  const std::set<uint64_t> waiting(hello.waiting_calls().begin(),
                                   hello.waiting_calls().end());
  CancelCalls(
      incarnation, caller,
      [&waiting](uint64_t id) { return !waiting.contains(id); }, now);
  for (const uint64_t id : waiting) {
    if (caller->running.contains(id)) continue;
    const auto kept = caller->answers.find(id);
    if (kept != caller->answers.end()) {
      caller->session->Send(kept->second);
      continue;
    }
    // Calls arrive in order of their IDs, so a higher ID was never received.
    // For a lower one, the answer may have been discarded.
    CallResult result;
    const bool was_received = id <= caller->highest_call;
    result.outcome = was_received ? Outcome::kUnknown : Outcome::kNotRun;
    result.code = RefusalCode::kConnectionLost;
    relay::Frame frame;
    *frame.mutable_answer() = EncodeAnswer(id, &result);
    caller->session->Send(EncodeFrame(frame));
    caller->highest_call = std::max(caller->highest_call, id);
  }
}

void PeerServer::CancelCalls(uint64_t incarnation, Caller* caller,
                             const std::function<bool(uint64_t)>& selects,
                             TimePoint now) {
  std::vector<uint64_t> cancelled;
  for (const auto& [id, idempotent] : caller->running) {
    if (selects(id)) cancelled.push_back(id);
  }
  for (const uint64_t id : cancelled) {
    m_handler->OnPeerCancel({incarnation, id}, now);
  }
}

void PeerServer::OnSessionEnd(const std::shared_ptr<Session>& session,
                              TimePoint now) {
  const auto found = m_callers.find(session->incarnation);
  if (found != m_callers.end() && found->second.session == session) {
    found->second.session.reset();
    found->second.disconnected_at = now;
  }
  DropSession(session);
}

void PeerServer::DropSession(const std::shared_ptr<Session>& session) {
  session->Close();
  m_sessions.erase(session.get());
}

void PeerServer::Answer(const PeerCallKey& key, CallResult result,
                        TimePoint now) {
  const auto found = m_callers.find(key.incarnation);
  if (found == m_callers.end()) return;
  Caller& caller = found->second;
  caller.running.erase(key.id);
  relay::Frame frame;
  *frame.mutable_answer() = EncodeAnswer(key.id, &result);
  *frame.mutable_answer()->mutable_load() = m_handler->Load();
  const relay::View view = m_handler->View();
  if (DirectoryOf(view) != DirectoryOf(caller.last_sent_view) ||
      view.config_version() != caller.last_sent_view.config_version()) {
    caller.last_sent_view = view;
    *frame.mutable_answer()->mutable_view() = view;
  }
  std::string encoded = EncodeFrame(frame);
  const bool is_small = encoded.size() <= ByteBudget::kOrdinaryBytes;
  if (!m_memory->HasRoom(
          is_small ? ByteUse::kRetainedAnswer : ByteUse::kPeerAnswer,
          encoded.capacity())) {
    // The call has run, so that its outcome is unknown without its answer.
    CallResult lost;
    lost.code = RefusalCode::kNoMemory;
    *frame.mutable_answer() = EncodeAnswer(key.id, &lost);
    *frame.mutable_answer()->mutable_load() = m_handler->Load();
    encoded = EncodeFrame(frame);
    m_handler->OnAnswersDiscarded(1, now);
  }
  HeldBytesPtr text =
      Hold(std::move(encoded), m_memory, ByteUse::kRetainedAnswer);
  if (caller.session) caller.session->Send(text);
  RetainAnswer(&caller, key.id, std::move(text));
  LimitRetainedAnswers(now);
}

void PeerServer::Forget(const PeerCallKey& key) {
  const auto found = m_callers.find(key.incarnation);
  if (found != m_callers.end()) found->second.running.erase(key.id);
}

void PeerServer::RetainAnswer(Caller* caller, uint64_t id, HeldBytesPtr frame) {
  m_retained_bytes += frame->size();
  caller->answers[id] = std::move(frame);
  if (caller->answers.size() > kMaxRetainedAnswers) {
    DiscardAnswer(caller, caller->answers.begin()->first);
  }
}

void PeerServer::DiscardAnswer(Caller* caller, uint64_t id) {
  const auto found = caller->answers.find(id);
  if (found == caller->answers.end()) return;
  m_retained_bytes -= found->second->size();
  caller->answers.erase(found);
}

void PeerServer::DiscardAnswers(Caller* caller) {
  while (!caller->answers.empty()) {
    DiscardAnswer(caller, caller->answers.begin()->first);
  }
}

void PeerServer::LimitRetainedAnswers(TimePoint now) {
  size_t discarded = 0;
  while (m_retained_bytes > m_memory->RetainedLimit()) {
    Caller* caller = CallerToDiscardFrom();
    if (caller == nullptr) break;
    DiscardAnswer(caller, caller->answers.begin()->first);
    ++discarded;
  }
  if (discarded > 0) m_handler->OnAnswersDiscarded(discarded, now);
}

PeerServer::Caller* PeerServer::CallerToDiscardFrom() {
  Caller* chosen = nullptr;
  for (auto& [incarnation, caller] : m_callers) {
    if (caller.answers.empty()) continue;
    if (chosen == nullptr || IsDiscardedBefore(caller, *chosen)) {
      chosen = &caller;
    }
  }
  return chosen;
}

bool PeerServer::IsDiscardedBefore(const Caller& one, const Caller& other) {
  const bool is_gone = one.session == nullptr;
  const bool is_other_gone = other.session == nullptr;
  if (is_gone != is_other_gone) return is_gone;
  return is_gone ? one.disconnected_at < other.disconnected_at
                 : one.answers.size() > other.answers.size();
}

void PeerServer::BroadcastLoad() {
  relay::Frame frame;
  *frame.mutable_status()->mutable_load() = m_handler->Load();
  const std::string text = EncodeFrame(frame);
  for (const auto& [incarnation, caller] : m_callers) {
    if (caller.session) caller.session->Send(text);
  }
}

void PeerServer::Tick(TimePoint now) {
  std::vector<uint64_t> gone;
  for (auto& [incarnation, caller] : m_callers) {
    if (caller.session ||
        now - caller.disconnected_at < kCallerDisconnectGrace) {
      continue;
    }
    if (!std::exchange(caller.was_cancelled, true)) {
      CancelCalls(
          incarnation, &caller, [](uint64_t) { return true; }, now);
    }
    if (now - caller.disconnected_at >= kAnswerRetention) {
      DiscardAnswers(&caller);
    }
    if (now - caller.disconnected_at >= kCallerRetention) {
      gone.push_back(incarnation);
    }
  }
  for (const uint64_t incarnation : gone) {
    DiscardAnswers(&m_callers[incarnation]);
    m_callers.erase(incarnation);
  }
}

}  // namespace vanillatiller
