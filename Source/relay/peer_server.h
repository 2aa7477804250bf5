#ifndef VANILLATILLER_SOURCE_RELAY_PEER_SERVER_H_
#define VANILLATILLER_SOURCE_RELAY_PEER_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "eventio/eventio.h"
#include "relay/call_message.h"
#include "relay/call_result.h"
#include "relay/frame_stream.h"

namespace vanillatiller {

// Identifies a call from another node by the sender's incarnation and the call
// ID assigned by the sender.
struct PeerCallKey {
  uint64_t incarnation = 0;
  uint64_t id = 0;

  auto operator<=>(const PeerCallKey&) const = default;
};

// Executes calls on behalf of other nodes.
class PeerCallHandler {
 public:
  virtual ~PeerCallHandler() = default;
  virtual void OnPeerCall(const PeerCallKey& key, CallMessage message,
                          TimePoint now) = 0;
  // Memory is used up. The call has not been received, and its sender will be
  // told that it does not run.
  virtual void OnPeerCallRefused(const PeerCallKey& key, TimePoint now) = 0;
  // The bytes that were kept of answers exceed their limit; the oldest ones
  // have been discarded.
  virtual void OnAnswersDiscarded(size_t answers, TimePoint now) = 0;
  virtual void OnPeerCancel(const PeerCallKey& key, TimePoint now) = 0;
  virtual relay::Load Load() const = 0;
  // Versions of the platform state known to this node.
  virtual relay::View View() const = 0;
  // Returns the first message for a new connection.
  virtual relay::Hello MakeHello(TimePoint now) const = 0;
  // Receives frames unrelated to calls, and a caller's Hello. `reply` sends
  // frames back to the sender.
  virtual void OnPeerFrame(
      const relay::Frame& frame,
      const std::function<void(const relay::Frame&)>& reply, TimePoint now) = 0;
};

// Receives calls from all other nodes and retains each answer until the caller
// acknowledges it, so that a caller can recover answers after losing its
// connection; see PeerClient.
class PeerServer {
 public:
  // Retained answers are counted in `memory`.
  PeerServer(PeerCallHandler* handler, ByteBudget* memory);
  ~PeerServer();

  void Accept(std::shared_ptr<TcpConnection> connection);
  void Answer(const PeerCallKey& key, CallResult result, TimePoint now);
  // Discards a finished call that needs no answer.
  void Forget(const PeerCallKey& key);
  // Sends the current load to all connected callers, which otherwise receive it
  // with each answer.
  void BroadcastLoad();
  void Tick(TimePoint now);

 private:
  class Session;

  // State of one calling process.
  struct Caller {
    std::shared_ptr<Session> session;
    TimePoint disconnected_at;
    bool was_cancelled = false;
    uint64_t highest_call = 0;
    uint64_t latest_connection = 0;
    // Platform state versions last sent to this caller.
    relay::View last_sent_view;
    // Encoded answers that the caller has not acknowledged.
    std::map<uint64_t, HeldBytesPtr> answers;
    // Queued and running calls; the value tells whether they are idempotent.
    std::map<uint64_t, bool> running;
  };

  void OnHello(const std::shared_ptr<Session>& session,
               const relay::Hello& hello, TimePoint now);
  void OnFrame(const std::shared_ptr<Session>& session, relay::Frame* frame,
               TimePoint now);
  void ForwardFrame(const std::shared_ptr<Session>& session,
                    const relay::Frame& frame, TimePoint now);
  // A call was refused because memory is used up.
  void OnSkippedCall(const std::shared_ptr<Session>& session, uint64_t id,
                     TimePoint now);
  void OnSessionEnd(const std::shared_ptr<Session>& session, TimePoint now);
  void DropSession(const std::shared_ptr<Session>& session);
  void ResolveWaitingCalls(Caller* caller, uint64_t incarnation,
                           const relay::Hello& hello, TimePoint now);
  void CancelCalls(uint64_t incarnation, Caller* caller,
                   const std::function<bool(uint64_t)>& selects, TimePoint now);
  void RetainAnswer(Caller* caller, uint64_t id, HeldBytesPtr frame);
  void DiscardAnswer(Caller* caller, uint64_t id);
  void DiscardAnswers(Caller* caller);
  // Discards answers until the rest is within its limit.
  void LimitRetainedAnswers(TimePoint now);
  // The caller whose oldest answer is discarded next: one that has been without
  // a connection for longest, otherwise the one with the most answers. Null if
  // there are no answers.
  Caller* CallerToDiscardFrom();
  static bool IsDiscardedBefore(const Caller& one, const Caller& other);

  // Time without a connection after which a caller's calls are cancelled.
  static constexpr Duration kCallerDisconnectGrace = std::chrono::seconds(2);
  // Time without a connection after which a caller's answers are discarded, so
  // that the outcome of their calls is unknown.
  static constexpr Duration kAnswerRetention = std::chrono::minutes(5);
  // Time without a connection after which the caller is forgotten. Must exceed
  // the longest time a call can be pending, kMaxCallTime, because calls of an
  // unknown caller are reported as never received.
  static constexpr Duration kCallerRetention = kMaxCallTime * 2;
  // Maximum number of unacknowledged answers per caller. Beyond it the oldest
  // is discarded, and the outcome of its call is then unknown.
  static constexpr size_t kMaxRetainedAnswers = 64;

  PeerCallHandler* m_handler;
  ByteBudget* m_memory;
  // Size of all retained answers.
  size_t m_retained_bytes = 0;
  std::map<uint64_t, Caller> m_callers;
  std::map<Session*, std::shared_ptr<Session>> m_sessions;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_PEER_SERVER_H_
