#include "eventio/http_server_session.h"

#include <utility>

#include "absl/strings/match.h"

namespace vanillatiller {

std::shared_ptr<HttpServerSession> HttpServerSession::Start(
    EventLoop* loop, std::shared_ptr<TcpConnection> connection,
    HttpRequestHandler* handler, const HttpServerLimits& limits,
    TimePoint now) {
  std::shared_ptr<HttpServerSession> session(
      new HttpServerSession(loop, std::move(connection), handler, limits));
  session->m_self = session;
  session->m_connection->SetHandler(session.get());
  session->WatchIdle(now);
  return session;
}

HttpServerSession::HttpServerSession(EventLoop* loop,
                                     std::shared_ptr<TcpConnection> connection,
                                     HttpRequestHandler* handler,
                                     const HttpServerLimits& limits)
    : m_loop(loop),
      m_connection(std::move(connection)),
      m_handler(handler),
      m_limits(limits),
      m_reader(HttpReader::Kind::kRequests, limits.message) {}

void HttpServerSession::OnData(std::string_view data, TimePoint now) {
  m_pending += data;
  if (m_busy) {
    if (m_pending.size() > kMaxReadAheadBytes) m_connection->PauseReading();
    return;
  }
  ReadPending(now);
}

void HttpServerSession::ReadPending(TimePoint now) {
  const std::shared_ptr<HttpServerSession> self = shared_from_this();
  if (m_pending.empty() || m_busy || !m_connection) return;
  const bool was_in_message = m_reader.IsInMessage();
  std::string_view data = m_pending;
  const HttpReader::Result result = m_reader.Read(&data);
  m_pending.erase(0, m_pending.size() - data.size());
  switch (result) {
    case HttpReader::Result::kNeedsMore:
      break;
    case HttpReader::Result::kMessage:
      HandOn(now);
      return;
    case HttpReader::Result::kError:
      RejectUnreadable(400);
      return;
    case HttpReader::Result::kTooLarge:
      RejectUnreadable(m_reader.AreHeadersComplete() ? 413 : 431);
      return;
  }
  if (!was_in_message && m_reader.IsInMessage()) WatchHeaders(now);
  if (!m_reader.AreHeadersComplete()) return;
  m_loop->Cancel(&m_timer);
  const auto expect = m_reader.Current().headers.Find("expect");
  if (expect && !m_continue_sent) {
    m_continue_sent = true;
    m_connection->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void HttpServerSession::HandOn(TimePoint now) {
  m_loop->Cancel(&m_timer);
  m_continue_sent = false;
  ReadMessage message = m_reader.Take();
  m_busy = true;
  m_keep_alive = message.keep_alive;
  m_is_head = message.method == "HEAD";
  m_handler->OnRequest(
      shared_from_this(),
      HttpRequest{std::move(message.method), std::move(message.target),
                  std::move(message.headers), std::move(message.body)},
      now);
}

void HttpServerSession::RejectUnreadable(int status) {
  m_connection->Write(
      FormatResponse(HttpResponse{status, {}, {}}, false, true));
  m_connection->CloseAfterFlush();
  Drop();
}

void HttpServerSession::Respond(const HttpResponse& response, TimePoint now) {
  if (!m_busy || !m_connection) return;
  const std::shared_ptr<HttpServerSession> self = shared_from_this();
  m_busy = false;
  const bool keep_alive = m_keep_alive && !m_close_after_answer;
  m_connection->Write(FormatResponse(response, keep_alive, !m_is_head));
  if (!keep_alive) {
    m_connection->CloseAfterFlush();
    Drop();
    return;
  }
  WatchIdle(now);
  m_connection->ResumeReading();
  // Not from within the handler of the request that was just answered.
  if (!m_pending.empty()) {
    m_loop->Schedule(now,
                     [self](TimePoint later) { self->ReadPending(later); });
  }
}

void HttpServerSession::CloseAfterResponse() {
  const std::shared_ptr<HttpServerSession> self = shared_from_this();
  m_close_after_answer = true;
  if (m_busy || !m_connection || m_reader.IsInMessage() || !m_pending.empty()) {
    return;
  }
  m_connection->CloseAfterFlush();
  Drop();
}

void HttpServerSession::Abort() {
  const std::shared_ptr<HttpServerSession> self = shared_from_this();
  if (!m_connection) return;
  m_connection->Close();
  Drop();
}

void HttpServerSession::OnEnd(ConnectionEnd, TimePoint now) {
  const std::shared_ptr<HttpServerSession> self = shared_from_this();
  Drop();
  if (m_busy) m_handler->OnCallerDisconnected(self, now);
}

void HttpServerSession::Drop() {
  m_loop->Cancel(&m_timer);
  m_connection.reset();
  m_pending.clear();
  // May end this object once the caller's own reference goes.
  m_self.reset();
}

void HttpServerSession::WatchIdle(TimePoint now) {
  m_loop->Cancel(&m_timer);
  m_timer = m_loop->Schedule(
      now + m_limits.idle_timeout,
      [self = shared_from_this()](TimePoint) { self->CloseAfterResponse(); });
}

void HttpServerSession::WatchHeaders(TimePoint now) {
  m_loop->Cancel(&m_timer);
  m_timer = m_loop->Schedule(now + m_limits.header_timeout,
                             [self = shared_from_this()](TimePoint) {
                               if (self->m_connection) {
                                 self->RejectUnreadable(408);
                               }
                             });
}

}  // namespace vanillatiller
