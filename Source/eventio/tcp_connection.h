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
  // The other side sent everything and closed its side.
  kClosed = 1,
  // Reset, timed out or never made.
  kFailed = 2,
};

// Receives the events of one TCP connection. None comes after OnEnd().
class TcpHandler {
 public:
  virtual ~TcpHandler() = default;
  virtual void OnConnected(TimePoint now) = 0;
  virtual void OnData(std::string_view data, TimePoint now) = 0;
  virtual void OnEnd(ConnectionEnd end, TimePoint now) = 0;
};

// One TCP connection. It lives until it is closed, whoever holds it.
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
 public:
  // Begins to connect; `handler` learns how that ends. `handler` must live
  // until Close() or OnEnd().
  static std::shared_ptr<TcpConnection> Connect(EventLoop* loop,
                                                const SocketAddress& address,
                                                TcpHandler* handler);

  void SetHandler(TcpHandler* handler) { m_handler = handler; }
  // Data is kept in order and sent when the connection takes it. Ignored after
  // the end.
  void Write(std::string data);
  // Ends the connection; the handler gets no further event. What was not sent
  // is dropped.
  void Close();
  // Sends what is left and closes this side, then waits a while for the other
  // side to close, so that the last bytes are not lost in a reset.
  void CloseAfterFlush();
  void PauseReading();
  void ResumeReading();

  // Bytes that wait to be sent.
  size_t UnsentBytes() const;
  bool IsOpen() const { return m_state == State::kOpen; }

 private:
  friend class TcpListener;
  enum class State : uint8_t { kConnecting, kOpen, kFinishing, kEnded };

  explicit TcpConnection(EventLoop* loop);
  void Open();
  void StartReading();
  void End(ConnectionEnd end);
  void OnRead(ssize_t count, std::string_view data);
  void SetKeepAlive();
  bool IsClosedInOrder() const;

  // Wait for the other side to close after this side did.
  static constexpr Duration kFinishWait = std::chrono::seconds(1);

  EventLoop* m_loop;
  TcpHandler* m_handler = nullptr;
  uv_tcp_t m_tcp;
  State m_state = State::kConnecting;
  bool m_reading = false;
  TimerId m_finish_timer = 0;
  // Keeps the object until libuv has closed the socket.
  std::shared_ptr<TcpConnection> m_self;
};

// Accepts TCP connections at one address.
class TcpListener {
 public:
  using Accepted =
      std::function<void(std::shared_ptr<TcpConnection>, TimePoint now)>;

  // Nullptr with a reason if the address cannot be had.
  static std::unique_ptr<TcpListener> Listen(EventLoop* loop,
                                             const SocketAddress& address,
                                             Accepted accepted,
                                             std::string* reason);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

 private:
  TcpListener(EventLoop* loop, Accepted accepted);

  // Connections that wait to be accepted; bursts of clients must not overflow
  // it, as the opening packet is then sent again only after a second or more.
  static constexpr int kBacklog = 1024;

  EventLoop* m_loop;
  Accepted m_accepted;
  // Owned by libuv until it is closed.
  uv_tcp_t* m_tcp;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_EVENTIO_TCP_CONNECTION_H_
