#ifndef VANILLATILLER_SOURCE_EVENTIO_HTTP_SERVER_SESSION_H_
#define VANILLATILLER_SOURCE_EVENTIO_HTTP_SERVER_SESSION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "eventio/event_loop.h"
#include "eventio/http_reader.h"
#include "eventio/response_order.h"
#include "eventio/tcp_connection.h"

namespace vanillatiller {

class HttpServerSession;

// State of a connection that decides which one gives way to others.
struct HttpConnectionStatus {
  enum class Activity : uint8_t {
    // Between requests.
    kIdle,
    // Part of a request has been received.
    kReading,
    // Responses wait for the peer to read them.
    kSending,
    // Requests are being processed.
    kBusy,
  };

  Activity activity = Activity::kBusy;
  // Since when it is idle, or when the request or the responses last made
  // progress.
  TimePoint since;
  // Memory of the request that is being read, or of the responses.
  size_t held_bytes = 0;
};

// Answers one request of an HttpServerSession.
class HttpResponder {
 public:
  HttpResponder(std::shared_ptr<HttpServerSession> session,
                ResponseOrder::RequestId id, TimePoint received,
                ByteCharge charge)
      : m_session(std::move(session)),
        m_id(id),
        m_received(received),
        m_charge(std::move(charge)) {}

  // When the request had been received completely.
  TimePoint received() const { return m_received; }
  // Shares the body of the request, which stays counted for as long as anyone
  // holds it. The rest of the request is counted until this object is gone.
  HeldBytesPtr ShareBody(std::string body);
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
  ByteCharge m_charge;
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
  // The same, and reports it as if the caller had disconnected. Returns false,
  // and does nothing, while a request of the connection is being handed to the
  // handler, which would not expect that.
  bool Drop(TimePoint now);

  // Gives up a request of which a part has been received: answers it with 408,
  // and closes the connection. Returns false if there is none.
  bool GiveUpUnreadRequest(TimePoint now);
  // Counts the received bytes that have not been read from the connection,
  // which happens while requests must wait for others.
  void CountUnreadBytes(TimePoint now);
  // Notes how much of the responses the peer has read.
  void NoteSendProgress(TimePoint now);

  bool IsOpen() const { return m_connection != nullptr; }
  // What the connection is doing, and what it holds.
  HttpConnectionStatus Status() const;
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
    ByteCharge charge;
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
  void NoteProgress(size_t bytes, TimePoint now);
  // Counts what has been received and not been parsed; false if the budget
  // refuses that.
  bool CountPending();
  bool HasUnparsedData() const {
    return !m_incoming.empty() || !m_pending.empty();
  }
  void DiscardUnparsedData();

  // Unread bytes above which reading from the connection pauses.
  static constexpr size_t kMaxPipelinedBytes = size_t{16} << 10;
  // Bytes of a request that count as progress. Fewer may come from a client
  // that only keeps its connection busy.
  static constexpr size_t kProgressBytes = size_t{16} << 10;
  // Capacity of the buffer of unparsed data that a connection keeps.
  static constexpr size_t kMaxIdleBuffer = size_t{4} << 10;
  // Memory of a connection beside its messages.
  static constexpr size_t kConnectionBytes = size_t{6} << 10;

  EventLoop* m_loop;
  std::shared_ptr<TcpConnection> m_connection;
  HttpRequestHandler* m_handler;
  const std::shared_ptr<const HttpServerLimits> m_limits;
  HttpReader m_reader;
  // Data being received; empty between events.
  std::string_view m_incoming;
  // Earlier data that has not been parsed.
  std::string m_pending;
  // Of m_pending, and of what has not been read from the connection.
  ByteCharge m_pending_charge;
  // Of the responses that wait for earlier ones.
  ByteCharge m_held_charge;
  ByteCharge m_connection_charge;
  // Received since m_progress_at.
  size_t m_received_bytes = 0;
  TimePoint m_progress_at;
  // As of m_send_progress_at.
  size_t m_unacknowledged_bytes = 0;
  TimePoint m_send_progress_at;
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
