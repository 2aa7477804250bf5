#ifndef VANILLATILLER_SOURCE_EVENTIO_TCP_CONNECTION_H_
#define VANILLATILLER_SOURCE_EVENTIO_TCP_CONNECTION_H_

#include <uv.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"
#include "eventio/event_loop.h"

namespace vanillatiller {

// An IPv4 address and a port.
struct SocketAddress {
  std::string ip;
  uint16_t port = 0;

  auto operator<=>(const SocketAddress&) const = default;
  std::string ToString() const { return ip + ":" + std::to_string(port); }
};

// Parses "IP:PORT"; nullopt for anything else.
std::optional<SocketAddress> ParseSocketAddress(std::string_view text);

// How a connection ended.
enum class ConnectionEnd : uint8_t {
  // The peer closed the connection in an orderly way.
  kClosed = 1,
  // The connection was reset, timed out or could not be established.
  kFailed = 2,
};

// Receives the events of one TCP connection. OnEnd() is the last one.
class TcpHandler {
 public:
  virtual ~TcpHandler() = default;
  virtual void OnConnected(TimePoint now) = 0;
  virtual void OnData(std::string_view data, TimePoint now) = 0;
  virtual void OnEnd(ConnectionEnd end, TimePoint now) = 0;
};

// One TCP connection. It owns itself until it is closed, so dropping all
// external references does not close it.
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
 public:
  // Starts connecting and reports the result to `handler`, which must live
  // until Close() or OnEnd().
  static std::shared_ptr<TcpConnection> Connect(EventLoop* loop,
                                                const SocketAddress& address,
                                                TcpHandler* handler);

  void SetHandler(TcpHandler* handler) { m_handler = handler; }
  // Queues data for sending in order. Ignored after the connection has ended.
  void Write(std::string data);
  void Write(HeldBytesPtr data);
  // Closes the connection at once and discards unsent data. The handler
  // receives no further events.
  void Close();
  // Flushes unsent data and shuts down the write side, then waits for the peer
  // to close, because closing earlier could reset the connection and lose the
  // last bytes. Waits up to kLingerTimeout, and up to kMaxLingerTime while the
  // peer still sends; what it sends is discarded.
  void CloseAfterFlush();
  void PauseReading();
  void ResumeReading();

  // Number of bytes queued for sending.
  size_t UnsentBytes() const;
  // Number of bytes that the peer has not acknowledged, with the queued ones.
  size_t UnacknowledgedBytes() const;
  // Number of bytes received that have not been read.
  size_t UnreadBytes() const;
  bool IsOpen() const { return m_state == State::kOpen; }
  bool IsLingering() const { return m_state == State::kLingering; }
  bool IsReading() const { return m_reading; }

 private:
  friend class TcpListener;
  enum class State : uint8_t { kConnecting, kOpen, kLingering, kEnded };

  explicit TcpConnection(EventLoop* loop);
  void Open();
  void StartReading();
  void End(ConnectionEnd end);
  void OnRead(ssize_t count, std::string_view data);
  void SetKeepAlive();
  bool IsAtEndOfStream() const;
  // Sends what can be sent now; returns the number of bytes.
  size_t SendNow(std::string_view data);
  // Queues the data from `offset` on.
  void Queue(HeldBytesPtr data, size_t offset);
  void ScheduleLingerTimer(TimePoint now);
  bool HasLingered(TimePoint now) const;
  // Asks the socket for a number of bytes; 0 if it does not tell.
  size_t SocketBytes(unsigned long request) const;

  // How long to wait for the peer to close after the write side was shut down:
  // after the last data from the peer, and in all.
  static constexpr Duration kLingerTimeout = std::chrono::seconds(1);
  static constexpr Duration kMaxLingerTime = std::chrono::seconds(5);

  EventLoop* m_loop;
  TcpHandler* m_handler = nullptr;
  uv_tcp_t m_tcp;
  State m_state = State::kConnecting;
  bool m_reading = false;
  TimerId m_linger_timer = 0;
  TimePoint m_linger_started;
  // When the peer last sent data that was discarded.
  TimePoint m_linger_received;
  // Keeps the object alive until libuv has closed the socket.
  std::shared_ptr<TcpConnection> m_self;
};

// Accepts TCP connections at one address.
class TcpListener {
 public:
  using Accepted =
      std::function<void(std::shared_ptr<TcpConnection>, TimePoint now)>;

  // Returns nullptr and sets `reason` if the address cannot be bound.
  static std::unique_ptr<TcpListener> Listen(EventLoop* loop,
                                             const SocketAddress& address,
                                             Accepted accepted,
                                             std::string* reason);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

 private:
  TcpListener(EventLoop* loop, Accepted accepted);

  // Length of the accept queue. Bursts of clients must not overflow it: a
  // dropped SYN is retransmitted only after a second or more.
  static constexpr int kBacklog = 1024;

  EventLoop* m_loop;
  Accepted m_accepted;
  // Freed in the libuv close callback.
  uv_tcp_t* m_tcp;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_EVENTIO_TCP_CONNECTION_H_
