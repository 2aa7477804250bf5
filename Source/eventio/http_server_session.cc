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
  session->StartIdleTimer(now);
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
    if (m_pending.size() > kMaxPipelinedBytes) m_connection->PauseReading();
    return;
  }
  ParsePending(now);
}

void HttpServerSession::ParsePending(TimePoint now) {
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
      DispatchRequest(now);
      return;
    case HttpReader::Result::kError:
      RejectRequest(400);
      return;
    case HttpReader::Result::kTooLarge:
      RejectRequest(m_reader.AreHeadersComplete() ? 413 : 431);
      return;
  }
  if (!was_in_message && m_reader.IsInMessage()) StartHeaderTimer(now);
  if (!m_reader.AreHeadersComplete()) return;
  m_loop->Cancel(&m_timer);
  const auto expect = m_reader.Current().headers.Find("expect");
  if (expect && !m_continue_sent) {
    m_continue_sent = true;
    m_connection->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void HttpServerSession::DispatchRequest(TimePoint now) {
  m_loop->Cancel(&m_timer);
  m_continue_sent = false;
  ParsedMessage message = m_reader.Take();
  m_busy = true;
  m_keep_alive = message.keep_alive;
  m_is_head = message.method == "HEAD";
  m_handler->OnRequest(
      shared_from_this(),
      HttpRequest{std::move(message.method), std::move(message.target),
                  std::move(message.headers), std::move(message.body)},
      now);
}

void HttpServerSession::RejectRequest(int status) {
  m_connection->Write(
      FormatResponse(HttpResponse{status, {}, {}}, false, true));
  m_connection->CloseAfterFlush();
  ReleaseConnection();
}

void HttpServerSession::Respond(const HttpResponse& response, TimePoint now) {
  if (!m_busy || !m_connection) return;
  const std::shared_ptr<HttpServerSession> self = shared_from_this();
  m_busy = false;
  const bool keep_alive = m_keep_alive && !m_close_after_response;
  m_connection->Write(FormatResponse(response, keep_alive, !m_is_head));
  if (!keep_alive) {
    m_connection->CloseAfterFlush();
    ReleaseConnection();
    return;
  }
  StartIdleTimer(now);
  m_connection->ResumeReading();
  // Deferred, because Respond() may be called from the request handler.
  if (!m_pending.empty()) {
    m_loop->Schedule(now,
                     [self](TimePoint later) { self->ParsePending(later); });
  }
}

void HttpServerSession::CloseAfterResponse() {
  const std::shared_ptr<HttpServerSession> self = shared_from_this();
  m_close_after_response = true;
  if (m_busy || !m_connection || m_reader.IsInMessage() || !m_pending.empty()) {
    return;
  }
  m_connection->CloseAfterFlush();
  ReleaseConnection();
}

void HttpServerSession::Abort() {
  const std::shared_ptr<HttpServerSession> self = shared_from_this();
  if (!m_connection) return;
  m_connection->Close();
  ReleaseConnection();
}

void HttpServerSession::OnEnd(ConnectionEnd, TimePoint now) {
  const std::shared_ptr<HttpServerSession> self = shared_from_this();
  ReleaseConnection();
  if (m_busy) m_handler->OnCallerDisconnected(self, now);
}

void HttpServerSession::ReleaseConnection() {
  m_loop->Cancel(&m_timer);
  m_connection.reset();
  m_pending.clear();
  // May destroy this object once the calling function drops its reference.
  m_self.reset();
}

void HttpServerSession::StartIdleTimer(TimePoint now) {
  m_loop->Cancel(&m_timer);
  m_timer = m_loop->Schedule(
      now + m_limits.idle_timeout,
      [self = shared_from_this()](TimePoint) { self->CloseAfterResponse(); });
}

void HttpServerSession::StartHeaderTimer(TimePoint now) {
  m_loop->Cancel(&m_timer);
  m_timer = m_loop->Schedule(now + m_limits.header_timeout,
                             [self = shared_from_this()](TimePoint) {
                               if (self->m_connection) {
                                 self->RejectRequest(408);
                               }
                             });
}

}  // namespace vanillatiller
