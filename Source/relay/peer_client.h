#ifndef VANILLATILLER_SOURCE_RELAY_PEER_CLIENT_H_
#define VANILLATILLER_SOURCE_RELAY_PEER_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "eventio/eventio.h"
#include "relay/call_message.h"
#include "relay/call_result.h"
#include "relay/frame_stream.h"

namespace vanillatiller {

// Sends this node's calls to one other node, over one connection at a time.
//
// A non-idempotent call survives the loss of its connection: after
// reconnecting, the client lists its pending calls in Hello. If the peer is
// still the same process, it is either running them, has their answers, or
// never received them, which proves that they did not run. A reset or silent
// connection therefore loses no answer, and a non-idempotent call is never
// sent twice.
//
// Only the process that a call was sent to can tell that the call did not run.
// The outcome of a call is unknown unless it is proved that the process that
// answers now is that one; see CanVouch().
class PeerClient : private TcpHandler {
 public:
  using Done = std::function<void(CallResult, TimePoint now)>;

  struct Callbacks {
    // Returns the first message for a new connection.
    std::function<relay::Hello(TimePoint now)> make_hello;
    // The peer reported the platform state versions it knows.
    std::function<void(const relay::View&, TimePoint now)> on_view;
    // The peer reported its load.
    std::function<void(const PeerLoad&, TimePoint now)> on_load;
    // The peer reported what its backend server says of itself.
    std::function<void(const relay::ServerNotice&, TimePoint now)>
        on_server_notice;
    // Receives frames unrelated to calls, and the peer's Hello.
    std::function<void(const relay::Frame&, TimePoint now)> on_frame;
    // The peer is silent while calls are pending, or is unreachable.
    std::function<void(TimePoint now)> on_suspect;
    // The connection state changed; for logging.
    std::function<void(std::string_view what, TimePoint now)>
        on_connection_event;
  };

  PeerClient(EventLoop* loop, SocketAddress address, Callbacks callbacks);
  ~PeerClient() override;
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  // Sends the call. `done` is called once unless Cancel() is called first. Call
  // IDs must increase.
  void Call(const CallMessage& message, Done done, TimePoint now);
  // Cancels a call whose result is no longer needed.
  void Cancel(uint64_t id);
  // Sends a frame, or drops it if the connection is down.
  void SendFrame(const relay::Frame& frame);
  // Connects without a call, at most once in kReconnectDelay.
  void KeepConnected(TimePoint now);
  void Tick(TimePoint now);

  bool IsUp() const { return m_is_up; }

 private:
  struct PendingCall {
    Done done;
    bool idempotent = false;
    // Encoded frame up to the body, and the body; empty once sent.
    std::string unsent;
    HeldBytesPtr unsent_body;
    // Sequence number of the connection used to send the call; 0 if unsent.
    uint64_t connection = 0;
    // When that connection was begun.
    TimePoint connection_began;
    // Incarnation of the process at the other end of that connection; 0 if the
    // connection was lost before the process had identified itself.
    uint64_t receiver = 0;
  };

  void OnConnected(TimePoint now) override;
  void OnData(std::string_view data, TimePoint now) override;
  void OnEnd(ConnectionEnd end, TimePoint now) override;

  void Connect(TimePoint now);
  void Disconnect();
  void OnConnectionLost(bool refused, TimePoint now);
  void Send(std::string frame, HeldBytesPtr body);
  void HandleFrame(relay::Frame* frame, TimePoint now);
  void HandleHello(const relay::Hello& hello, TimePoint now);
  void MarkSent(PendingCall* pending) const;
  // Whether the process at the other end of the current connection received the
  // call if any process did.
  bool CanVouch(const PendingCall& pending) const;
  void HandleAnswer(relay::Answer* answer, TimePoint now);
  // An answer was refused, so that the outcome of its call is unknown.
  void HandleSkippedAnswer(uint64_t id, TimePoint now);
  void EndCall(uint64_t id, CallResult result, TimePoint now);
  void HandleNotice(const relay::Load& load, TimePoint now);
  // Completes the calls that match `selects` with the given outcome.
  void EndCalls(const std::function<bool(const PendingCall&)>& selects,
                Outcome outcome, RefusalCode code, TimePoint now);
  void SendAcks();
  bool HasSentCalls() const;

  // Timeout for establishing a connection: allows a few round trips between
  // regions and one lost packet.
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
  // Delay before reconnecting after a connect timeout.
  static constexpr Duration kReconnectDelay = std::chrono::milliseconds(300);
  // While calls are pending, time without data from the peer after which it is
  // probed, after which it is reported as suspect and gets no further calls,
  // and after which the connection is replaced.
  static constexpr Duration kProbeDelay = std::chrono::milliseconds(300);
  static constexpr Duration kSuspectDelay = std::chrono::milliseconds(600);
  static constexpr Duration kSilenceTimeout = std::chrono::milliseconds(1200);
  // Acknowledgements of answers are batched.
  static constexpr size_t kAckBatchSize = 16;
  // Bodies up to this size are written together with their frame.
  static constexpr size_t kMaxJoinedBytes = size_t{16} << 10;
  // Divisor of a time measured by a peer that gives its largest error: clocks
  // that are being adjusted run up to 0.05% fast or slow.
  static constexpr int kClockDriftDivisor = 1000;

  EventLoop* m_loop;
  const SocketAddress m_address;
  Callbacks m_callbacks;
  std::shared_ptr<TcpConnection> m_connection;
  FrameReader m_reader;
  bool m_is_up = false;
  uint64_t m_connection_number = 0;
  // Process that sent the last Hello, and a time at which it already accepted
  // connections.
  uint64_t m_peer_incarnation = 0;
  TimePoint m_peer_running_since;
  // Whether Hello has been received on the current connection.
  bool m_is_peer_known = false;
  TimePoint m_connect_started;
  TimePoint m_last_received;
  TimePoint m_last_probe;
  TimePoint m_reconnect_at;
  std::map<uint64_t, PendingCall> m_pending_calls;
  std::vector<uint64_t> m_pending_acks;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_PEER_CLIENT_H_
