#ifndef VANILLATILLER_SOURCE_RELAY_PEER_CLIENT_H_
#define VANILLATILLER_SOURCE_RELAY_PEER_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "eventio/eventio.h"
#include "relay/call_result.h"
#include "relay/frame_stream.h"

namespace vanillatiller {

// This node's calls to one other node, over one connection at a time.
//
// A call survives its connection: on a new one the node asks the peer what
// became of the calls that wait. The peer, while it is the same process, either
// runs them still, has their answers, or never received them, which proves
// that they did not run. So a connection that is reset or falls silent costs
// no answer, and a non-idempotent call is never sent twice.
class PeerClient : private TcpHandler {
 public:
  using Done = std::function<void(CallResult, TimePoint now)>;

  struct Callbacks {
    // What to say first on a new connection.
    std::function<relay::Hello()> make_hello;
    // The peer told what it knows of the platform's values.
    std::function<void(const relay::View&, TimePoint now)> on_view;
    // The peer told its load.
    std::function<void(const PeerLoad&, TimePoint now)> on_load;
    // A frame that is not about calls, or the peer's Hello.
    std::function<void(const relay::Frame&, TimePoint now)> on_frame;
    // The peer was not heard of while calls wait, or cannot be reached.
    std::function<void(TimePoint now)> on_suspect;
    // The connection was lost, replaced or made; for the log.
    std::function<void(std::string_view what, TimePoint now)>
        on_connection_event;
  };

  PeerClient(EventLoop* loop, SocketAddress address, Callbacks callbacks);
  ~PeerClient() override;
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  // Sends the call. `done` is called once, unless Cancel() comes first. Calls
  // must have increasing identities.
  void Call(const relay::Call& call, Done done, TimePoint now);
  // Nobody waits for the call any more.
  void Cancel(uint64_t id);
  // Sends a frame if the connection stands; otherwise it is dropped.
  void SendFrame(const relay::Frame& frame);
  void Tick(TimePoint now);

  bool IsUp() const { return m_is_up; }

 private:
  struct Waiting {
    Done done;
    bool idempotent = false;
    // The frame, until it is sent.
    std::string unsent;
    // Number of the connection that it was sent on; 0 if it was not sent.
    uint64_t connection = 0;
  };

  void OnConnected(TimePoint now) override;
  void OnData(std::string_view data, TimePoint now) override;
  void OnEnd(ConnectionEnd end, TimePoint now) override;

  void Connect(TimePoint now);
  void Disconnect();
  void OnLost(bool refused, TimePoint now);
  void HandleFrame(const relay::Frame& frame, TimePoint now);
  void HandleHello(const relay::Hello& hello, TimePoint now);
  void HandleAnswer(const relay::Answer& answer, TimePoint now);
  // Ends the calls that `ends` selects.
  void EndCalls(const std::function<bool(const Waiting&)>& ends,
                Outcome outcome, RefusalCode code, TimePoint now);
  void SendReceived();
  bool HasSentCalls() const;

  // Longest time for a connection to be made: a few round trips between
  // regions, and one lost packet.
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
  // Wait before another connection is tried after one could not be made.
  static constexpr Duration kReconnectDelay = std::chrono::milliseconds(300);
  // Silence after which the peer is asked for a sign of life while calls wait,
  // after which it gets no further calls, and after which the connection is
  // replaced.
  static constexpr Duration kProbeAfter = std::chrono::milliseconds(300);
  static constexpr Duration kSuspectAfter = std::chrono::milliseconds(600);
  static constexpr Duration kSilenceLimit = std::chrono::milliseconds(1200);
  // Receipts are sent together.
  static constexpr size_t kReceiptsAtOnce = 16;

  EventLoop* m_loop;
  const SocketAddress m_address;
  Callbacks m_callbacks;
  std::shared_ptr<TcpConnection> m_connection;
  FrameReader m_reader;
  bool m_is_up = false;
  uint64_t m_connection_number = 0;
  uint64_t m_peer_incarnation = 0;
  TimePoint m_connect_started;
  TimePoint m_heard;
  TimePoint m_probed;
  TimePoint m_reconnect_at;
  std::map<uint64_t, Waiting> m_waiting;
  std::vector<uint64_t> m_receipts;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_PEER_CLIENT_H_
