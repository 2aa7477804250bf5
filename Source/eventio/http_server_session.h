#ifndef VANILLATILLER_SOURCE_EVENTIO_HTTP_SERVER_SESSION_H_
#define VANILLATILLER_SOURCE_EVENTIO_HTTP_SERVER_SESSION_H_

#include <functional>
#include <memory>
#include <string>

#include "eventio/event_loop.h"
#include "eventio/http_reader.h"
#include "eventio/tcp_connection.h"

namespace vanillatiller {

class HttpServerSession;

// Handles the requests received on HTTP connections.
class HttpRequestHandler {
 public:
  virtual ~HttpRequestHandler() = default;
  // The handler must call Respond(), now or later.
  virtual void OnRequest(const std::shared_ptr<HttpServerSession>& session,
                         HttpRequest request, TimePoint now) = 0;
  // The caller closed its connection before its request was answered.
  virtual void OnCallerDisconnected(
      const std::shared_ptr<HttpServerSession>& session, TimePoint now) = 0;
};

struct HttpServerLimits {
  HttpReader::Limits message;
  // Timeout from the first byte of a request to the end of its headers.
  Duration header_timeout = std::chrono::seconds(10);
  // Timeout for a connection without a request.
  Duration idle_timeout = std::chrono::seconds(60);
};

// Server side of one HTTP connection. Requests are dispatched one at a time;
// pipelined requests are queued.
class HttpServerSession
    : public std::enable_shared_from_this<HttpServerSession>,
      private TcpHandler {
 public:
  static std::shared_ptr<HttpServerSession> Start(
      EventLoop* loop, std::shared_ptr<TcpConnection> connection,
      HttpRequestHandler* handler, const HttpServerLimits& limits,
      TimePoint now);

  // Responds to the most recently dispatched request.
  void Respond(const HttpResponse& response, TimePoint now);
  // Closes the connection after the current response, or at once if it is idle
  // and no part of a request has been received.
  void CloseAfterResponse();
  // Closes the connection without a response.
  void Abort();

  bool IsOpen() const { return m_connection != nullptr; }
  // Whether a dispatched request is awaiting its response.
  bool IsBusy() const { return m_busy; }

 private:
  HttpServerSession(EventLoop* loop, std::shared_ptr<TcpConnection> connection,
                    HttpRequestHandler* handler,
                    const HttpServerLimits& limits);

  void OnConnected(TimePoint) override {}
  void OnData(std::string_view data, TimePoint now) override;
  void OnEnd(ConnectionEnd end, TimePoint now) override;

  void ParsePending(TimePoint now);
  void DispatchRequest(TimePoint now);
  void RejectRequest(int status);
  void StartIdleTimer(TimePoint now);
  void StartHeaderTimer(TimePoint now);
  void ReleaseConnection();

  // Pipelined bytes buffered while a request runs; reading pauses above this.
  static constexpr size_t kMaxPipelinedBytes = size_t{16} << 10;

  EventLoop* m_loop;
  std::shared_ptr<TcpConnection> m_connection;
  HttpRequestHandler* m_handler;
  HttpServerLimits m_limits;
  HttpReader m_reader;
  std::string m_pending;
  bool m_busy = false;
  bool m_is_head = false;
  bool m_keep_alive = true;
  bool m_close_after_response = false;
  bool m_continue_sent = false;
  TimerId m_timer = 0;
  // Keeps the object alive while the connection is open.
  std::shared_ptr<HttpServerSession> m_self;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_EVENTIO_HTTP_SERVER_SESSION_H_
