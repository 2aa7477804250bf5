#ifndef VANILLATILLER_SOURCE_RELAY_PEER_SERVER_H_
#define VANILLATILLER_SOURCE_RELAY_PEER_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "eventio/eventio.h"
#include "relay/call_result.h"
#include "relay/frame_stream.h"

namespace vanillatiller {

// Identifies a call of another node: its sender's incarnation and the sender's
// identity for it.
struct PeerCallKey {
  uint64_t incarnation = 0;
  uint64_t id = 0;

  auto operator<=>(const PeerCallKey&) const = default;
};

// Runs calls for other nodes.
class PeerCallHandler {
 public:
  virtual ~PeerCallHandler() = default;
  virtual void OnPeerCall(const PeerCallKey& key, const relay::Call& call,
                          TimePoint now) = 0;
  virtual void OnPeerCancel(const PeerCallKey& key, TimePoint now) = 0;
  virtual PeerLoad Load() const = 0;
  // What this node knows of the platform's values.
  virtual relay::View View() const = 0;
  // What to say first on a new connection.
  virtual relay::Hello MakeHello() const = 0;
  // A frame that is not about calls, or a caller's Hello; `reply` takes frames
  // for its sender.
  virtual void OnPeerFrame(
      const relay::Frame& frame,
      const std::function<void(const relay::Frame&)>& reply, TimePoint now) = 0;
};

// Takes the calls of all other nodes and keeps each answer until its receipt
// is confirmed, so that a caller that lost its connection can ask again; see
// PeerClient.
class PeerServer {
 public:
  explicit PeerServer(PeerCallHandler* handler);
  ~PeerServer();

  void Accept(std::shared_ptr<TcpConnection> connection);
  void Answer(const PeerCallKey& key, const CallResult& result);
  // The call is over and needs no answer.
  void Forget(const PeerCallKey& key);
  // Tells all callers the present load, which they otherwise learn with each
  // answer.
  void BroadcastLoad();
  void Tick(TimePoint now);

 private:
  class Session;

  // What is known of one calling process.
  struct Caller {
    std::shared_ptr<Session> session;
    TimePoint lost_at;
    bool was_cancelled = false;
    uint64_t highest_call = 0;
    uint64_t newest_connection = 0;
    // What it was told last of the platform's values.
    relay::View told_view;
    // Calls that are queued or run, and answers that were not confirmed.
    std::map<uint64_t, std::string> answers;
    std::map<uint64_t, bool> running;
  };

  void OnHello(const std::shared_ptr<Session>& session,
               const relay::Hello& hello, TimePoint now);
  void OnFrame(const std::shared_ptr<Session>& session,
               const relay::Frame& frame, TimePoint now);
  void PassOn(const std::shared_ptr<Session>& session,
              const relay::Frame& frame, TimePoint now);
  void OnSessionEnd(const std::shared_ptr<Session>& session, TimePoint now);
  void DropSession(const std::shared_ptr<Session>& session);
  void Settle(Caller* caller, uint64_t incarnation, const relay::Hello& hello,
              TimePoint now);
  void CancelCalls(uint64_t incarnation, Caller* caller,
                   const std::function<bool(uint64_t)>& selects, TimePoint now);
  void Keep(Caller* caller, uint64_t id, std::string frame);

  // Time after which a caller without a connection is taken for gone.
  static constexpr Duration kCallerLinger = std::chrono::seconds(2);
  // Time after which a caller without a connection is forgotten. Longer than
  // any call of it can wait: a forgotten caller's calls count as never
  // received.
  static constexpr Duration kCallerMemory = std::chrono::minutes(5);
  // Answers that are kept for one caller, unless they are confirmed before;
  // an older one is forgotten, and its call's fate is then unknown.
  static constexpr size_t kMaxKeptAnswers = 64;

  PeerCallHandler* m_handler;
  std::map<uint64_t, Caller> m_callers;
  std::map<Session*, std::shared_ptr<Session>> m_sessions;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_PEER_SERVER_H_
