#include "eventio/http_server_session.h"

#include <algorithm>
#include <utility>

namespace vanillatiller {

void HttpResponder::Respond(HttpResponse response, TimePoint now) {
  // The session must outlive the call, which drops its reference to this.
  const std::shared_ptr<HttpServerSession> session = m_session;
  session->Respond(m_id, std::move(response), now);
}

HeldBytesPtr HttpResponder::ShareBody(std::string body) {
  ByteCharge charge = m_charge.Split(body.capacity());
  return std::make_shared<const HeldBytes>(std::move(body), std::move(charge));
}

void HttpResponder::CloseAfterResponse() { m_session->CloseAfterResponse(); }

void HttpResponder::Abort() {
  const std::shared_ptr<HttpServerSession> session = m_session;
  session->Abort();
}

std::shared_ptr<HttpServerSession> HttpServerSession::Start(
    EventLoop* loop, std::shared_ptr<TcpConnection> connection,
    HttpRequestHandler* handler, std::shared_ptr<const HttpServerLimits> limits,
    TimePoint now) {
  if (!limits) limits = std::make_shared<const HttpServerLimits>();
  std::shared_ptr<HttpServerSession> session(new HttpServerSession(
      loop, std::move(connection), handler, std::move(limits)));
  session->m_self = session;
  session->m_progress_at = session->m_send_progress_at = now;
  session->m_connection->SetHandler(session.get());
  session->UpdateTimer(now);
  return session;
}

HttpServerSession::HttpServerSession(
    EventLoop* loop, std::shared_ptr<TcpConnection> connection,
    HttpRequestHandler* handler, std::shared_ptr<const HttpServerLimits> limits)
    : m_loop(loop),
      m_connection(std::move(connection)),
      m_handler(handler),
      m_limits(std::move(limits)),
      m_reader(HttpReader::Kind::kRequests, m_limits->message,
               ByteCharge(&loop->memory(), ByteUse::kOrdinaryRequest)),
      m_pending_charge(&loop->memory(), ByteUse::kOrdinaryRequest),
      m_held_charge(&loop->memory(), ByteUse::kOutput),
      m_connection_charge(&loop->memory(), ByteUse::kOrdinaryRequest) {
  m_connection_charge.Resize(kConnectionBytes);
}

void HttpServerSession::OnData(std::string_view data, TimePoint now) {
  const std::shared_ptr<HttpServerSession> self = shared_from_this();
  if (m_pending.empty()) {
    m_incoming = data;
  } else {
    m_pending += data;
  }
  NoteProgress(data.size(), now);
  ProcessPending(now);
}

void HttpServerSession::NoteProgress(size_t bytes, TimePoint now) {
  m_received_bytes += bytes;
  if (m_reader.IsInMessage() && m_received_bytes < kProgressBytes) return;
  m_received_bytes = 0;
  m_progress_at = now;
}

void HttpServerSession::ProcessPending(TimePoint now) {
  if (m_is_processing) return;
  const std::shared_ptr<HttpServerSession> self = shared_from_this();
  m_is_processing = true;
  while (m_connection && !m_order.IsClosing()) {
    if (!(m_waiting ? StartWaitingRequest(now) : ReadPending(now))) break;
  }
  m_is_processing = false;
  if (!m_connection) return;
  if (m_order.IsClosing()) {
    // These requests count as not received. Reading goes on, so that a
    // disconnected caller is noticed.
    DiscardUnparsedData();
    m_waiting.reset();
  }
  m_pending += std::exchange(m_incoming, {});
  if (m_pending.empty() && m_pending.capacity() > kMaxIdleBuffer) {
    m_pending = {};
  }
  if (!m_order.IsClosing() && !CountPending()) RejectRequest(503, now);
  if (!m_connection) return;
  UpdateReading();
  UpdateTimer(now);
}

bool HttpServerSession::ReadPending(TimePoint now) {
  if (!HasUnparsedData()) return false;
  if (!m_reader.IsInMessage()) m_reader.SetLimits(m_limits->message);
  const bool is_incoming = m_pending.empty();
  std::string_view data = is_incoming ? m_incoming : m_pending;
  const HttpReader::Result result = m_reader.Read(&data);
  if (is_incoming) {
    m_incoming = data;
  } else {
    m_pending.erase(0, m_pending.size() - data.size());
  }
  switch (result) {
    case HttpReader::Result::kNeedsMore:
      SendContinue();
      return false;
    case HttpReader::Result::kMessage:
      SetWaitingRequest(m_reader.Take(), now);
      return true;
    case HttpReader::Result::kError:
      RejectRequest(400, now);
      return false;
    case HttpReader::Result::kTooLarge:
      RejectRequest(m_reader.AreHeadersComplete() ? 413 : 431, now);
      return false;
    case HttpReader::Result::kNoMemory:
      RejectRequest(503, now);
      return false;
  }
  return false;
}

void HttpServerSession::SendContinue() {
  // An interim response must not precede the responses to earlier requests.
  if (!m_reader.AreHeadersComplete() || m_continue_sent || !m_order.IsEmpty() ||
      !m_reader.Current().headers.Find("expect")) {
    return;
  }
  m_continue_sent = true;
  m_connection->Write("HTTP/1.1 100 Continue\r\n\r\n");
}

void HttpServerSession::SetWaitingRequest(ParsedMessage message,
                                          TimePoint now) {
  m_waiting =
      WaitingRequest{{std::move(message.method), std::move(message.target),
                      std::move(message.headers), std::move(message.body)},
                     message.keep_alive,
                     now,
                     std::move(message.charge)};
  m_continue_sent = false;
  // The header timeout of the next request starts anew.
  m_loop->Cancel(&m_timer);
}

bool HttpServerSession::StartWaitingRequest(TimePoint now) {
  const bool is_idempotent = m_handler->IsIdempotent(m_waiting->request);
  if (!m_order.MayStart(is_idempotent)) return false;
  WaitingRequest waiting = *std::exchange(m_waiting, std::nullopt);
  const ResponseOrder::RequestId id =
      m_order.Start(is_idempotent, waiting.request.method == "HEAD");
  if (!waiting.keep_alive || m_close_after_next) m_order.Close();
  const auto responder = std::make_shared<HttpResponder>(
      shared_from_this(), id, waiting.received, std::move(waiting.charge));
  m_responders[id] = responder;
  m_handler->OnRequest(responder, std::move(waiting.request), now);
  return true;
}

void HttpServerSession::RejectRequest(int status, TimePoint now) {
  const ResponseOrder::RequestId id = m_order.Start(false, false);
  m_order.Close();
  HttpResponse response =
      m_handler->Reject(status, m_reader.Current().headers, now);
  // The response may have to wait for earlier ones.
  m_reader.Discard();
  DiscardUnparsedData();
  m_waiting.reset();
  Respond(id, std::move(response), now);
}

bool HttpServerSession::GiveUpUnreadRequest(TimePoint now) {
  // The request that is being processed is not given up for itself.
  if (m_is_processing || !m_connection || !m_reader.IsInMessage()) return false;
  RejectRequest(408, now);
  return true;
}

void HttpServerSession::DiscardUnparsedData() {
  m_incoming = {};
  m_pending = {};
  m_pending_charge.Resize(0);
}

bool HttpServerSession::CountPending() {
  size_t bytes = m_pending.empty() ? 0 : m_pending.capacity();
  if (!m_connection->IsReading()) bytes += m_connection->UnreadBytes();
  return m_pending_charge.TryResize(bytes);
}

void HttpServerSession::CountUnreadBytes(TimePoint now) {
  if (!m_connection || m_is_processing || m_order.IsClosing()) return;
  if (CountPending()) return;
  const std::shared_ptr<HttpServerSession> self = shared_from_this();
  RejectRequest(503, now);
}

HttpConnectionStatus HttpServerSession::Status() const {
  using Activity = HttpConnectionStatus::Activity;
  const size_t unsent = m_connection->UnsentBytes();
  if (unsent > 0) return {Activity::kSending, m_send_progress_at, unsent};
  if (m_reader.IsInMessage()) {
    return {Activity::kReading, m_progress_at, m_reader.HeldBytes()};
  }
  const bool is_idle = m_order.IsEmpty() && !m_waiting && !HasUnparsedData();
  return {is_idle ? Activity::kIdle : Activity::kBusy, m_progress_at, 0};
}

void HttpServerSession::NoteSendProgress(TimePoint now) {
  if (!m_connection) return;
  if (m_connection->UnsentBytes() == 0) {
    m_unacknowledged_bytes = 0;
    m_send_progress_at = now;
    return;
  }
  const size_t bytes = m_connection->UnacknowledgedBytes();
  const bool has_progressed = bytes + kProgressBytes <= m_unacknowledged_bytes;
  // Further responses are no progress.
  m_unacknowledged_bytes = std::max(bytes, m_unacknowledged_bytes);
  if (!has_progressed) return;
  m_unacknowledged_bytes = bytes;
  m_send_progress_at = now;
}

void HttpServerSession::Respond(ResponseOrder::RequestId id,
                                HttpResponse response, TimePoint now) {
  m_responders.erase(id);
  if (!m_connection) return;
  const std::shared_ptr<HttpServerSession> self = shared_from_this();
  for (const ResponseOrder::ReadyResponse& ready :
       m_order.OnResponse(id, std::move(response))) {
    m_connection->Write(
        FormatResponse(ready.response, !ready.is_last, !ready.is_head));
    if (!ready.is_last) continue;
    m_connection->CloseAfterFlush();
    ReleaseConnection();
    return;
  }
  m_held_charge.Resize(m_order.HeldBytes());
  m_progress_at = now;
  UpdateTimer(now);
  // Deferred, because Respond() may be called from the request handler.
  if (!m_is_processing && (m_waiting || !m_pending.empty())) {
    m_loop->Schedule(now,
                     [self](TimePoint later) { self->ProcessPending(later); });
  }
}

void HttpServerSession::CloseAfterResponse() {
  const std::shared_ptr<HttpServerSession> self = shared_from_this();
  if (!m_connection) return;
  if (!m_order.IsEmpty()) {
    m_order.Close();
    return;
  }
  m_close_after_next = true;
  if (m_waiting || m_reader.IsInMessage() || HasUnparsedData()) return;
  m_connection->CloseAfterFlush();
  ReleaseConnection();
}

void HttpServerSession::Abort() {
  const std::shared_ptr<HttpServerSession> self = shared_from_this();
  if (!m_connection) return;
  m_connection->Close();
  ReleaseConnection();
}

bool HttpServerSession::Drop(TimePoint now) {
  if (!m_connection || m_is_processing) return false;
  m_connection->Close();
  OnEnd(ConnectionEnd::kFailed, now);
  return true;
}

void HttpServerSession::OnEnd(ConnectionEnd, TimePoint now) {
  const std::shared_ptr<HttpServerSession> self = shared_from_this();
  const auto unanswered = std::exchange(m_responders, {});
  ReleaseConnection();
  for (const auto& [id, responder] : unanswered) {
    m_handler->OnCallerDisconnected(responder, now);
  }
}

void HttpServerSession::ReleaseConnection() {
  m_loop->Cancel(&m_timer);
  m_connection.reset();
  DiscardUnparsedData();
  m_held_charge.Resize(0);
  m_connection_charge.Resize(0);
  m_reader.Discard();
  m_waiting.reset();
  m_responders.clear();
  // May destroy this object once the calling function drops its reference.
  m_self.reset();
}

void HttpServerSession::UpdateReading() {
  if (m_pending.size() > kMaxPipelinedBytes) {
    m_connection->PauseReading();
  } else {
    m_connection->ResumeReading();
  }
}

HttpServerSession::TimerKind HttpServerSession::NeededTimer() const {
  if (m_order.IsClosing() || m_waiting) return TimerKind::kNone;
  if (m_reader.IsInMessage()) {
    return m_reader.AreHeadersComplete() ? TimerKind::kBody
                                         : TimerKind::kHeader;
  }
  return m_order.IsEmpty() && !HasUnparsedData() ? TimerKind::kIdle
                                                 : TimerKind::kNone;
}

void HttpServerSession::UpdateTimer(TimePoint now) {
  const TimerKind kind = NeededTimer();
  // The header timeout runs from the first byte, whatever follows.
  if (kind == TimerKind::kHeader && kind == m_timer_kind && m_timer != 0) {
    return;
  }
  m_loop->Cancel(&m_timer);
  m_timer_kind = kind;
  if (kind == TimerKind::kNone) return;
  m_timer_started = now;
  ScheduleTimer();
}

Duration HttpServerSession::TimeoutOf(TimerKind kind) const {
  return kind == TimerKind::kHeader ? m_limits->header_timeout
                                    : m_limits->idle_timeout;
}

void HttpServerSession::ScheduleTimer() {
  m_timer = m_loop->Schedule(
      m_timer_started + TimeoutOf(m_timer_kind),
      [self = shared_from_this()](TimePoint later) { self->OnTimer(later); });
}

void HttpServerSession::OnTimer(TimePoint now) {
  m_timer = 0;
  if (!m_connection) return;
  // The limits have been raised since.
  if (now < m_timer_started + TimeoutOf(m_timer_kind)) {
    ScheduleTimer();
    return;
  }
  if (m_timer_kind == TimerKind::kIdle) {
    CloseAfterResponse();
    return;
  }
  RejectRequest(408, now);
}

}  // namespace vanillatiller
