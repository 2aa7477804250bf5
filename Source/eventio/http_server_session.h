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

// Takes the requests of HTTP connections.
class HttpRequestHandler {
 public:
  virtual ~HttpRequestHandler() = default;
  // Respond() is owed, now or later.
  virtual void OnRequest(const std::shared_ptr<HttpServerSession>& session,
                         HttpRequest request, TimePoint now) = 0;
  // The caller closed its connection before its request was answered.
  virtual void OnCallerDisconnected(
      const std::shared_ptr<HttpServerSession>& session, TimePoint now) = 0;
};

struct HttpServerLimits {
  HttpReader::Limits message;
  // Longest time from the first byte of a request to the end of its headers.
  Duration header_timeout = std::chrono::seconds(10);
  // Longest time without a request.
  Duration idle_timeout = std::chrono::seconds(60);
};

// One connection of a caller. Requests are handed on one at a time; those that
// are sent ahead wait.
class HttpServerSession
    : public std::enable_shared_from_this<HttpServerSession>,
      private TcpHandler {
 public:
  static std::shared_ptr<HttpServerSession> Start(
      EventLoop* loop, std::shared_ptr<TcpConnection> connection,
      HttpRequestHandler* handler, const HttpServerLimits& limits,
      TimePoint now);

  // Answers the request that was handed on last.
  void Respond(const HttpResponse& response, TimePoint now);
  // The connection closes after the present answer, or at once if it is idle
  // and nothing of a request has arrived.
  void CloseAfterResponse();
  // Ends the connection without an answer.
  void Abort();

  bool IsOpen() const { return m_connection != nullptr; }
  // A request was handed on and not answered.
  bool IsBusy() const { return m_busy; }

 private:
  HttpServerSession(EventLoop* loop, std::shared_ptr<TcpConnection> connection,
                    HttpRequestHandler* handler,
                    const HttpServerLimits& limits);

  void OnConnected(TimePoint) override {}
  void OnData(std::string_view data, TimePoint now) override;
  void OnEnd(ConnectionEnd end, TimePoint now) override;

  void ReadPending(TimePoint now);
  void HandOn(TimePoint now);
  void RejectUnreadable(int status);
  void WatchIdle(TimePoint now);
  void WatchHeaders(TimePoint now);
  void Drop();

  // Bytes sent ahead by a caller that are held while its request runs.
  static constexpr size_t kMaxReadAheadBytes = size_t{16} << 10;

  EventLoop* m_loop;
  std::shared_ptr<TcpConnection> m_connection;
  HttpRequestHandler* m_handler;
  HttpServerLimits m_limits;
  HttpReader m_reader;
  std::string m_pending;
  bool m_busy = false;
  bool m_is_head = false;
  bool m_keep_alive = true;
  bool m_close_after_answer = false;
  bool m_continue_sent = false;
  TimerId m_timer = 0;
  // Keeps the object while the connection is open.
  std::shared_ptr<HttpServerSession> m_self;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_EVENTIO_HTTP_SERVER_SESSION_H_
