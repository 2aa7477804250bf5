#include "eventio/tcp_connection.h"

#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"

namespace vanillatiller {
namespace {

// TCP_USER_TIMEOUT: closes a connection whose data stays unacknowledged this
// long. A network partition causes no other error.
constexpr unsigned kUserTimeoutMs = 2500;
// Idle time before the first keep-alive probe and between probes, and the
// number of unanswered probes that close a connection. A dead peer is detected
// within three seconds, which is shorter than the platform's shortest
// stability window.
constexpr unsigned kKeepAliveSeconds = 1;
constexpr unsigned kKeepAliveProbes = 2;

struct WriteRequest {
  uv_write_t request;
  HeldBytesPtr data;
  std::shared_ptr<TcpConnection> connection;
};

}  // namespace

std::optional<SocketAddress> ParseSocketAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  SocketAddress address{std::string(text.substr(0, colon)), 0};
  const std::string digits(text.substr(colon + 1));
  uint32_t port = 0;
  sockaddr_in parsed;
  // SimpleAtoi() also accepts signs and spaces.
  if (digits.find_first_not_of("0123456789") != std::string::npos ||
      !absl::SimpleAtoi(digits, &port) || port == 0 || port > UINT16_MAX ||
      uv_ip4_addr(address.ip.c_str(), static_cast<int>(port), &parsed) != 0) {
    return std::nullopt;
  }
  address.port = static_cast<uint16_t>(port);
  return address;
}

TcpConnection::TcpConnection(EventLoop* loop) : m_loop(loop) {
  uv_tcp_init(loop->raw(), &m_tcp);
  m_tcp.data = this;
}

std::shared_ptr<TcpConnection> TcpConnection::Connect(
    EventLoop* loop, const SocketAddress& address, TcpHandler* handler) {
  std::shared_ptr<TcpConnection> connection(new TcpConnection(loop));
  connection->m_self = connection;
  connection->m_handler = handler;
  sockaddr_in target;
  uv_ip4_addr(address.ip.c_str(), address.port, &target);
  auto* request = new uv_connect_t;
  request->data = connection.get();
  const int error = uv_tcp_connect(
      request, &connection->m_tcp, reinterpret_cast<const sockaddr*>(&target),
      [](uv_connect_t* done, int status) {
        auto* self = static_cast<TcpConnection*>(done->data);
        delete done;
        if (status == UV_ECANCELED || self->m_state != State::kConnecting) {
          return;
        }
        if (status != 0) {
          self->End(ConnectionEnd::kFailed);
          return;
        }
        self->Open();
        self->m_handler->OnConnected(BootClock::now());
      });
  if (error != 0) {
    delete request;
    // Reported asynchronously, so that the caller has received the connection
    // before OnEnd() is called.
    loop->Schedule(TimePoint{}, [weak = std::weak_ptr(connection)](TimePoint) {
      const auto self = weak.lock();
      if (self && self->m_state != State::kEnded) {
        self->End(ConnectionEnd::kFailed);
      }
    });
  }
  return connection;
}

void TcpConnection::Open() {
  m_state = State::kOpen;
  uv_tcp_nodelay(&m_tcp, 1);
  SetKeepAlive();
  StartReading();
}

void TcpConnection::SetKeepAlive() {
  uv_tcp_keepalive(&m_tcp, 1, kKeepAliveSeconds);
  uv_os_fd_t fd = -1;
  if (uv_fileno(reinterpret_cast<uv_handle_t*>(&m_tcp), &fd) != 0) return;
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs,
             sizeof(kUserTimeoutMs));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveSeconds,
             sizeof(kKeepAliveSeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes,
             sizeof(kKeepAliveProbes));
}

void TcpConnection::StartReading() {
  m_reading = true;
  uv_read_start(
      reinterpret_cast<uv_stream_t*>(&m_tcp),
      [](uv_handle_t* handle, size_t, uv_buf_t* buffer) {
        *buffer =
            static_cast<TcpConnection*>(handle->data)->m_loop->ReadBuffer();
      },
      [](uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer) {
        auto* self = static_cast<TcpConnection*>(stream->data);
        const size_t bytes = count > 0 ? static_cast<size_t>(count) : 0;
        self->OnRead(count, std::string_view(buffer->base, bytes));
      });
}

void TcpConnection::OnRead(ssize_t count, std::string_view data) {
  if (count == 0) return;
  if (m_state == State::kLingering) {
    if (count < 0) {
      Close();
      return;
    }
    m_linger_received = BootClock::now();
    return;
  }
  if (count > 0) {
    m_handler->OnData(data, BootClock::now());
    return;
  }
  End(count == UV_EOF && IsAtEndOfStream() ? ConnectionEnd::kClosed
                                           : ConnectionEnd::kFailed);
}

// libuv reports UV_EOF for a reset that follows data, so the socket itself is
// checked for an orderly close.
bool TcpConnection::IsAtEndOfStream() const {
  uv_os_fd_t fd = -1;
  char byte = 0;
  return uv_fileno(reinterpret_cast<const uv_handle_t*>(&m_tcp), &fd) == 0 &&
         recv(fd, &byte, sizeof(byte), MSG_PEEK) == 0;
}

void TcpConnection::End(ConnectionEnd end) {
  if (m_state == State::kEnded) return;
  TcpHandler* handler = m_handler;
  Close();
  if (handler != nullptr) handler->OnEnd(end, BootClock::now());
}

void TcpConnection::Write(std::string data) {
  if (m_state != State::kOpen || data.empty()) return;
  const size_t sent = SendNow(data);
  if (sent == data.size()) return;
  Queue(Hold(std::move(data), &m_loop->memory(), ByteUse::kOutput), sent);
}

void TcpConnection::Write(HeldBytesPtr data) {
  if (m_state != State::kOpen || data->size() == 0) return;
  const size_t sent = SendNow(data->text());
  if (sent < data->size()) Queue(std::move(data), sent);
}

size_t TcpConnection::SendNow(std::string_view data) {
  auto* stream = reinterpret_cast<uv_stream_t*>(&m_tcp);
  if (uv_stream_get_write_queue_size(stream) != 0) return 0;
  // libuv does not write to it.
  uv_buf_t buffer = uv_buf_init(const_cast<char*>(data.data()), data.size());
  return static_cast<size_t>(std::max(uv_try_write(stream, &buffer, 1), 0));
}

void TcpConnection::Queue(HeldBytesPtr data, size_t offset) {
  const std::string_view unsent = data->text().substr(offset);
  uv_buf_t buffer =
      uv_buf_init(const_cast<char*>(unsent.data()), unsent.size());
  auto* write = new WriteRequest{{}, std::move(data), shared_from_this()};
  write->request.data = write;
  const int error =
      uv_write(&write->request, reinterpret_cast<uv_stream_t*>(&m_tcp), &buffer,
               1, [](uv_write_t* done, int status) {
                 std::unique_ptr<WriteRequest> finished(
                     static_cast<WriteRequest*>(done->data));
                 if (status < 0 && status != UV_ECANCELED) {
                   finished->connection->End(ConnectionEnd::kFailed);
                 }
               });
  // The read callback reports the failed connection.
  if (error != 0) delete write;
}

size_t TcpConnection::UnsentBytes() const {
  return m_state == State::kEnded
             ? 0
             : uv_stream_get_write_queue_size(
                   reinterpret_cast<const uv_stream_t*>(&m_tcp));
}

void TcpConnection::Close() {
  if (m_state == State::kEnded) return;
  m_state = State::kEnded;
  m_handler = nullptr;
  m_loop->Cancel(&m_linger_timer);
  uv_close(reinterpret_cast<uv_handle_t*>(&m_tcp), [](uv_handle_t* handle) {
    static_cast<TcpConnection*>(handle->data)->m_self.reset();
  });
}

void TcpConnection::CloseAfterFlush() {
  if (m_state != State::kOpen) {
    Close();
    return;
  }
  m_state = State::kLingering;
  m_handler = nullptr;
  if (!m_reading) StartReading();
  auto* request = new uv_shutdown_t;
  const int error = uv_shutdown(request, reinterpret_cast<uv_stream_t*>(&m_tcp),
                                [](uv_shutdown_t* done, int) { delete done; });
  if (error != 0) {
    delete request;
    Close();
    return;
  }
  m_linger_started = m_linger_received = BootClock::now();
  ScheduleLingerTimer(m_linger_started);
}

void TcpConnection::ScheduleLingerTimer(TimePoint now) {
  const auto check = [weak = weak_from_this()](TimePoint later) {
    const auto self = weak.lock();
    if (!self) return;
    self->m_linger_timer = 0;
    if (self->HasLingered(later)) {
      self->Close();
      return;
    }
    self->ScheduleLingerTimer(later);
  };
  m_linger_timer = m_loop->Schedule(now + kLingerTimeout, check);
}

bool TcpConnection::HasLingered(TimePoint now) const {
  return now - m_linger_received >= kLingerTimeout ||
         now - m_linger_started >= kMaxLingerTime;
}

size_t TcpConnection::UnreadBytes() const { return SocketBytes(FIONREAD); }

size_t TcpConnection::UnacknowledgedBytes() const {
  return UnsentBytes() + SocketBytes(TIOCOUTQ);
}

size_t TcpConnection::SocketBytes(unsigned long request) const {
  uv_os_fd_t fd = -1;
  int bytes = 0;
  if (m_state == State::kEnded ||
      uv_fileno(reinterpret_cast<const uv_handle_t*>(&m_tcp), &fd) != 0 ||
      ioctl(fd, request, &bytes) != 0) {
    return 0;
  }
  return static_cast<size_t>(std::max(bytes, 0));
}

void TcpConnection::PauseReading() {
  if (m_state != State::kOpen || !m_reading) return;
  m_reading = false;
  uv_read_stop(reinterpret_cast<uv_stream_t*>(&m_tcp));
}

void TcpConnection::ResumeReading() {
  if (m_state != State::kOpen || m_reading) return;
  StartReading();
}

TcpListener::TcpListener(EventLoop* loop, Accepted accepted)
    : m_loop(loop), m_accepted(std::move(accepted)), m_tcp(new uv_tcp_t) {
  uv_tcp_init(loop->raw(), m_tcp);
  m_tcp->data = this;
}

TcpListener::~TcpListener() {
  m_tcp->data = nullptr;
  uv_close(reinterpret_cast<uv_handle_t*>(m_tcp), [](uv_handle_t* handle) {
    delete reinterpret_cast<uv_tcp_t*>(handle);
  });
}

std::unique_ptr<TcpListener> TcpListener::Listen(EventLoop* loop,
                                                 const SocketAddress& address,
                                                 Accepted accepted,
                                                 std::string* reason) {
  std::unique_ptr<TcpListener> listener(
      new TcpListener(loop, std::move(accepted)));
  sockaddr_in bound;
  int error = uv_ip4_addr(address.ip.c_str(), address.port, &bound);
  if (error == 0) {
    error = uv_tcp_bind(listener->m_tcp,
                        reinterpret_cast<const sockaddr*>(&bound), 0);
  }
  if (error == 0) {
    error = uv_listen(
        reinterpret_cast<uv_stream_t*>(listener->m_tcp), kBacklog,
        [](uv_stream_t* server, int status) {
          auto* self = static_cast<TcpListener*>(server->data);
          if (status != 0 || self == nullptr) return;
          std::shared_ptr<TcpConnection> connection(
              new TcpConnection(self->m_loop));
          connection->m_self = connection;
          if (uv_accept(server, reinterpret_cast<uv_stream_t*>(
                                    &connection->m_tcp)) != 0) {
            connection->Close();
            return;
          }
          self->m_accepted(connection, BootClock::now());
          if (connection->m_state == TcpConnection::State::kConnecting) {
            connection->Open();
          }
        });
  }
  if (error != 0) {
    *reason = address.ToString() + ": " + uv_strerror(error);
    return nullptr;
  }
  return listener;
}

}  // namespace vanillatiller
