#ifndef VANILLATILLER_SOURCE_EVENTIO_HTTP_SERVER_SESSION_H_
#define VANILLATILLER_SOURCE_EVENTIO_HTTP_SERVER_SESSION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "eventio/event_loop.h"
#include "eventio/http_reader.h"
#include "eventio/response_order.h"
#include "eventio/tcp_connection.h"

namespace vanillatiller {

class HttpServerSession;

// Answers one request of an HttpServerSession.
class HttpResponder {
 public:
  HttpResponder(std::shared_ptr<HttpServerSession> session,
                ResponseOrder::RequestId id, TimePoint received)
      : m_session(std::move(session)), m_id(id), m_received(received) {}

  // When the request had been received completely.
  TimePoint received() const { return m_received; }
  // Sends the response once all earlier requests of the connection have been
  // answered. Only the first call has an effect.
  void Respond(HttpResponse response, TimePoint now);
  // See HttpServerSession.
  void CloseAfterResponse();
  void Abort();

 private:
  std::shared_ptr<HttpServerSession> m_session;
  const ResponseOrder::RequestId m_id;
  const TimePoint m_received;
};

using HttpResponderPtr = std::shared_ptr<HttpResponder>;

// Handles the requests received on HTTP connections.
class HttpRequestHandler {
 public:
  virtual ~HttpRequestHandler() = default;
  // Whether the request may run concurrently with other idempotent requests of
  // its connection.
  virtual bool IsIdempotent(const HttpRequest& request) const {
    (void)request;
    return false;
  }
  // Answers a request that cannot be read or exceeds a limit, with `status` or
  // a better one. `headers` are those that have been read.
  virtual HttpResponse Reject(int status, const HttpHeaders& headers,
                              TimePoint now) {
    (void)headers;
    (void)now;
    return {status, {}, {}};
  }
  // The handler must call Respond(), now or later.
  virtual void OnRequest(const HttpResponderPtr& responder, HttpRequest request,
                         TimePoint now) = 0;
  // The caller closed its connection before this request was answered. Called
  // for each such request.
  virtual void OnCallerDisconnected(const HttpResponderPtr& responder,
                                    TimePoint now) = 0;
};

// Limits of a connection. They may change while it is open, as its owner keeps
// it for as long as it likes: each message and each time-out follows the values
// that hold then.
struct HttpServerLimits {
  HttpReader::Limits message;
  // Timeout from the first byte of a request to the end of its headers.
  Duration header_timeout = std::chrono::seconds(10);
  // Timeout for a connection without a request, and for a request body of which
  // nothing arrives.
  Duration idle_timeout = std::chrono::seconds(60);
};

// Server side of one HTTP connection. Pipelined requests run concurrently if
// the handler calls them idempotent; see ResponseOrder.
class HttpServerSession
    : public std::enable_shared_from_this<HttpServerSession>,
      private TcpHandler {
 public:
  // Null `limits` stand for the default ones.
  static std::shared_ptr<HttpServerSession> Start(
      EventLoop* loop, std::shared_ptr<TcpConnection> connection,
      HttpRequestHandler* handler,
      std::shared_ptr<const HttpServerLimits> limits, TimePoint now);

  // Starts no further requests and closes the connection after the response to
  // the last request that has started. An idle connection is closed at once,
  // unless part of a request has been received; that request is then the last.
  void CloseAfterResponse();
  // Closes the connection without a response.
  void Abort();

  bool IsOpen() const { return m_connection != nullptr; }
  // Size of the responses that wait for earlier ones of this connection.
  size_t HeldBytes() const { return m_order.HeldBytes(); }

 private:
  friend class HttpResponder;

  // A complete request that may not start yet.
  struct WaitingRequest {
    HttpRequest request;
    // Whether the caller keeps the connection open after this request.
    bool keep_alive = false;
    TimePoint received;
  };

  enum class TimerKind : uint8_t { kNone, kIdle, kHeader, kBody };

  HttpServerSession(EventLoop* loop, std::shared_ptr<TcpConnection> connection,
                    HttpRequestHandler* handler,
                    std::shared_ptr<const HttpServerLimits> limits);

  void OnConnected(TimePoint) override {}
  void OnData(std::string_view data, TimePoint now) override;
  void OnEnd(ConnectionEnd end, TimePoint now) override;

  // Reads and starts requests from the received data until one must wait or the
  // data is used up.
  void ProcessPending(TimePoint now);
  // Each returns false if nothing further can be done now.
  bool ReadPending(TimePoint now);
  bool StartWaitingRequest(TimePoint now);
  void SetWaitingRequest(ParsedMessage message, TimePoint now);
  void SendContinue();
  // Answers an unreadable request behind the earlier responses and closes.
  void RejectRequest(int status, TimePoint now);
  void Respond(ResponseOrder::RequestId id, HttpResponse response,
               TimePoint now);
  void UpdateReading();
  TimerKind NeededTimer() const;
  Duration TimeoutOf(TimerKind kind) const;
  void ScheduleTimer();
  // Arms the timer that fits the state of the connection.
  void UpdateTimer(TimePoint now);
  void OnTimer(TimePoint now);
  void ReleaseConnection();

  // Unread bytes above which reading from the connection pauses.
  static constexpr size_t kMaxPipelinedBytes = size_t{16} << 10;

  EventLoop* m_loop;
  std::shared_ptr<TcpConnection> m_connection;
  HttpRequestHandler* m_handler;
  const std::shared_ptr<const HttpServerLimits> m_limits;
  HttpReader m_reader;
  std::string m_pending;
  std::optional<WaitingRequest> m_waiting;
  ResponseOrder m_order;
  std::map<ResponseOrder::RequestId, HttpResponderPtr> m_responders;
  // CloseAfterResponse() was called while part of a request was received.
  bool m_close_after_next = false;
  bool m_continue_sent = false;
  bool m_is_processing = false;
  TimerId m_timer = 0;
  TimerKind m_timer_kind = TimerKind::kNone;
  TimePoint m_timer_started;
  // Keeps the object alive while the connection is open.
  std::shared_ptr<HttpServerSession> m_self;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_EVENTIO_HTTP_SERVER_SESSION_H_
