#include "eventio/http_client_session.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "base/base.h"

namespace vanillatiller {
namespace {

uint32_t HashId(std::string_view id) {
  return static_cast<uint32_t>(HashBytes(id));
}

// Returns the idle timeout from a "Keep-Alive: timeout=SECONDS" field.
std::optional<std::chrono::seconds> ParseKeepAlive(std::string_view value) {
  constexpr std::string_view kName = "timeout=";
  const size_t at = value.find(kName);
  if (at == std::string_view::npos) return std::nullopt;
  std::string_view digits = value.substr(at + kName.size());
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  uint32_t seconds = 0;
  if (!absl::SimpleAtoi(std::string(digits), &seconds)) return std::nullopt;
  return std::chrono::seconds(seconds);
}

}  // namespace

HttpClientSession::HttpClientSession(EventLoop* loop,
                                     const SocketAddress& address,
                                     std::string id_header,
                                     HttpReader::Limits limits, ByteUse use)
    : m_loop(loop),
      m_address(address),
      m_id_header(std::move(id_header)),
      m_reader(HttpReader::Kind::kResponses, limits,
               ByteCharge(&loop->memory(), use)) {}

void HttpClientSession::Send(const HttpRequest& request, Done done,
                             TimePoint now) {
  Send(request, Hold(request.body, &m_loop->memory(), ByteUse::kOutput),
       std::move(done), now);
}

void HttpClientSession::Send(const HttpRequest& request, HeldBytesPtr body,
                             Done done, TimePoint now) {
  m_done = std::move(done);
  ++m_exchanges;
  m_skipped_responses = 0;
  m_reader.ExpectNoBody(request.method == "HEAD");
  m_request_id =
      m_id_header.empty() ? "" : request.headers.Find(m_id_header).value_or("");
  if (!m_request_id.empty()) m_carried_ids.push_back(HashId(m_request_id));
  const size_t body_bytes = body ? body->size() : 0;
  m_unsent_head = FormatRequestHead(request, body_bytes);
  if (body_bytes > kMaxJoinedBytes) {
    m_unsent_body = std::move(body);
  } else if (body_bytes > 0) {
    m_unsent_head += body->text();
  }
  if (m_connection && m_connection->IsOpen()) {
    m_reusable = false;
    WriteUnsent();
    return;
  }
  m_connection = TcpConnection::Connect(m_loop, m_address, this);
  m_connect_timer = m_loop->Schedule(
      now + kConnectTimeout, [weak = weak_from_this()](TimePoint later) {
        if (const auto self = weak.lock()) {
          self->Close();
          self->Finish({ExchangeEnd::kNotSent, {}}, later);
        }
      });
}

void HttpClientSession::OnConnected(TimePoint) {
  m_loop->Cancel(&m_connect_timer);
  WriteUnsent();
}

void HttpClientSession::WriteUnsent() {
  m_connection->Write(std::exchange(m_unsent_head, {}));
  if (m_unsent_body) m_connection->Write(std::exchange(m_unsent_body, {}));
}

void HttpClientSession::OnData(std::string_view data, TimePoint now) {
  const std::shared_ptr<HttpClientSession> self = shared_from_this();
  while (!data.empty()) {
    // Data without a pending request cannot be matched to one.
    if (!m_done) {
      Close();
      return;
    }
    switch (m_reader.Read(&data)) {
      case HttpReader::Result::kNeedsMore:
        return;
      case HttpReader::Result::kMessage:
        if (!HandleResponse(!data.empty(), now)) return;
        break;
      case HttpReader::Result::kError:
        Fail(ExchangeEnd::kNoAnswer, now);
        return;
      case HttpReader::Result::kTooLarge:
      case HttpReader::Result::kNoMemory:
        Fail(ExchangeEnd::kTooLarge, now);
        return;
    }
  }
}

HttpClientSession::Match HttpClientSession::MatchResponse(
    const ParsedMessage& message) const {
  if (m_id_header.empty()) return Match::kOwn;
  const auto id = message.headers.Find(m_id_header);
  if (id) return *id == m_request_id ? Match::kOwn : Match::kOther;
  const bool is_first = m_exchanges == 1 && m_skipped_responses == 0;
  const bool needs_id = !m_request_id.empty() && !is_first;
  return needs_id ? Match::kUnknown : Match::kOwn;
}

bool HttpClientSession::HandleResponse(bool more_data, TimePoint now) {
  ParsedMessage message = m_reader.Take();
  const bool is_interim = !IsFinalHttpStatus(message.status);
  const Match match = is_interim ? Match::kOther : MatchResponse(message);
  if (match == Match::kUnknown) {
    Fail(ExchangeEnd::kNoAnswer, now);
    return false;
  }
  if (match == Match::kOther) {
    if (++m_skipped_responses <= kMaxSkippedResponses) return true;
    Fail(ExchangeEnd::kTooLarge, now);
    return false;
  }
  m_reusable =
      message.keep_alive && !more_data && m_connection->UnsentBytes() == 0;
  UpdateReuseDeadline(message, now);
  if (!m_reusable) Close();
  Deliver(std::move(message), now);
  return m_connection != nullptr;
}

void HttpClientSession::Deliver(ParsedMessage message, TimePoint now) {
  Finish({ExchangeEnd::kAnswered,
          HttpResponse{message.status, std::move(message.headers),
                       std::move(message.body)}},
         now);
}

void HttpClientSession::Fail(ExchangeEnd end, TimePoint now) {
  Close();
  Finish({end, {}}, now);
}

void HttpClientSession::UpdateReuseDeadline(const ParsedMessage& message,
                                            TimePoint now) {
  Duration reuse = kDefaultReuseTimeout;
  if (const auto field = message.headers.Find("keep-alive")) {
    if (const auto timeout = ParseKeepAlive(*field)) {
      reuse = *timeout - std::min<Duration>(kIdleTimeoutMargin, *timeout / 2);
    }
  }
  m_reuse_deadline = now + reuse;
}

void HttpClientSession::OnEnd(ConnectionEnd end, TimePoint now) {
  const std::shared_ptr<HttpClientSession> self = shared_from_this();
  const bool was_sent = m_unsent_head.empty();
  m_connection.reset();
  m_reusable = false;
  m_loop->Cancel(&m_connect_timer);
  if (!m_done) return;
  if (!was_sent) {
    Finish({ExchangeEnd::kNotSent, {}}, now);
    return;
  }
  // Only an orderly close completes a response without Content-Length.
  if (end == ConnectionEnd::kClosed &&
      m_reader.ReadEof() == HttpReader::Result::kMessage) {
    ParsedMessage message = m_reader.Take();
    if (MatchResponse(message) == Match::kOwn) {
      Deliver(std::move(message), now);
      return;
    }
  }
  Finish({ExchangeEnd::kNoAnswer, {}}, now);
}

void HttpClientSession::Finish(ExchangeResult result, TimePoint now) {
  if (Done done = std::exchange(m_done, nullptr)) done(std::move(result), now);
}

void HttpClientSession::Abort() {
  m_done = nullptr;
  Close();
}

void HttpClientSession::Close() {
  m_reusable = false;
  m_loop->Cancel(&m_connect_timer);
  if (!m_connection) return;
  m_connection->Close();
  m_connection.reset();
}

bool HttpClientSession::IsReusable(TimePoint now) const {
  return m_connection && m_reusable && now < m_reuse_deadline &&
         m_carried_ids.size() < kMaxCarriedIds;
}

bool HttpClientSession::HasCarried(std::string_view request_id) const {
  if (request_id.empty()) return m_exchanges > 0;
  return std::find(m_carried_ids.begin(), m_carried_ids.end(),
                   HashId(request_id)) != m_carried_ids.end();
}

}  // namespace vanillatiller
