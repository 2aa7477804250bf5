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
      : m_server(server), m_connection(std::move(connection)) {
    m_connection->SetHandler(this);
  }
  ~Session() override { Close(); }

  void Send(std::string frame) {
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
      m_server->OnFrame(self, frame, now);
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

PeerServer::PeerServer(PeerCallHandler* handler) : m_handler(handler) {}

PeerServer::~PeerServer() = default;

void PeerServer::Accept(std::shared_ptr<TcpConnection> connection) {
  auto session = std::make_shared<Session>(this, std::move(connection));
  m_sessions[session.get()] = session;
}

void PeerServer::OnFrame(const std::shared_ptr<Session>& session,
                         const relay::Frame& frame, TimePoint now) {
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
    case relay::Frame::kCall:
      // The caller may have been told that this call was never received, so it
      // must not run.
      if (frame.call().id() <= caller.highest_call) break;
      caller.highest_call = frame.call().id();
      caller.running[frame.call().id()] = frame.call().idempotent();
      m_handler->OnPeerCall({incarnation, frame.call().id()}, frame.call(),
                            now);
      break;
    case relay::Frame::kCancel:
      caller.answers.erase(frame.cancel().id());
      m_handler->OnPeerCancel({incarnation, frame.cancel().id()}, now);
      break;
    case relay::Frame::kReceived:
      for (const uint64_t id : frame.received().ids()) {
        caller.answers.erase(id);
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
    *frame.mutable_answer() = EncodeAnswer(id, result);
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

void PeerServer::Answer(const PeerCallKey& key, const CallResult& result) {
  const auto found = m_callers.find(key.incarnation);
  if (found == m_callers.end()) return;
  Caller& caller = found->second;
  caller.running.erase(key.id);
  relay::Frame frame;
  *frame.mutable_answer() = EncodeAnswer(key.id, result);
  *frame.mutable_answer()->mutable_load() = m_handler->Load();
  const relay::View view = m_handler->View();
  if (DirectoryOf(view) != DirectoryOf(caller.last_sent_view) ||
      view.config_version() != caller.last_sent_view.config_version()) {
    caller.last_sent_view = view;
    *frame.mutable_answer()->mutable_view() = view;
  }
  std::string text = EncodeFrame(frame);
  if (caller.session) caller.session->Send(text);
  RetainAnswer(&caller, key.id, std::move(text));
}

void PeerServer::Forget(const PeerCallKey& key) {
  const auto found = m_callers.find(key.incarnation);
  if (found != m_callers.end()) found->second.running.erase(key.id);
}

void PeerServer::RetainAnswer(Caller* caller, uint64_t id, std::string frame) {
  caller->answers[id] = std::move(frame);
  if (caller->answers.size() > kMaxRetainedAnswers) {
    caller->answers.erase(caller->answers.begin());
  }
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
      caller.answers.clear();
    }
    if (now - caller.disconnected_at >= kCallerRetention) {
      gone.push_back(incarnation);
    }
  }
  for (const uint64_t incarnation : gone) m_callers.erase(incarnation);
}

}  // namespace vanillatiller
