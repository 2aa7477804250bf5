#ifndef VANILLATILLER_SOURCE_EVENTIO_HTTP_CLIENT_SESSION_H_
#define VANILLATILLER_SOURCE_EVENTIO_HTTP_CLIENT_SESSION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "eventio/event_loop.h"
#include "eventio/http_reader.h"
#include "eventio/tcp_connection.h"

namespace vanillatiller {

// Result of an HTTP exchange.
enum class ExchangeEnd : uint8_t {
  // A complete response was received.
  kAnswered = 1,
  // The connection could not be established; nothing was sent.
  kNotSent = 2,
  // The request was sent, but no complete and valid response was received.
  kNoAnswer = 3,
  // As kNoAnswer; what was received exceeds a limit.
  kTooLarge = 4,
};

struct ExchangeResult {
  ExchangeEnd end = ExchangeEnd::kNoAnswer;
  // Set for kAnswered.
  HttpResponse response;
};

// HTTP client on one connection, with one exchange at a time.
class HttpClientSession
    : public std::enable_shared_from_this<HttpClientSession>,
      private TcpHandler {
 public:
  using Done = std::function<void(ExchangeResult, TimePoint now)>;

  // `id_header` names the request header that the server echoes; see
  // MatchResponse(). If empty, responses are not matched. A response beyond
  // `limits` ends the exchange and the connection. Responses that are being
  // read are counted as `use`.
  HttpClientSession(EventLoop* loop, const SocketAddress& address,
                    std::string id_header, HttpReader::Limits limits = {},
                    ByteUse use = ByteUse::kServerAnswer);
  ~HttpClientSession() override { Close(); }

  // Sends `request`, connecting first if necessary. `done` is called once
  // unless Abort() is called first.
  void Send(const HttpRequest& request, Done done, TimePoint now);
  // The same with a body that others share; that of `request` is ignored. Null
  // stands for an empty body.
  void Send(const HttpRequest& request, HeldBytesPtr body, Done done,
            TimePoint now);
  // Closes the connection without reporting the result of a pending exchange.
  void Abort();

  // Whether the connection can be used for another exchange at `now`.
  bool IsReusable(TimePoint now) const;
  // Whether the connection has carried a request with this ID, or any request
  // if the ID is empty. The ID does not tell a late copy of the earlier answer
  // from the answer to a further request, which must use another connection.
  bool HasCarried(std::string_view request_id) const;

 private:
  void OnConnected(TimePoint now) override;
  void OnData(std::string_view data, TimePoint now) override;
  void OnEnd(ConnectionEnd end, TimePoint now) override;

  // Whether a response belongs to the current request.
  enum class Match : uint8_t { kOwn, kOther, kUnknown };

  // A response with a different ID belongs to another request, such as a late
  // copy on a connection that is in use again. One without an ID cannot be told
  // from such a copy unless it is the first on its connection.
  Match MatchResponse(const ParsedMessage& message) const;
  // Handles a complete message; false if the connection was closed.
  bool HandleResponse(bool more_data, TimePoint now);
  void Deliver(ParsedMessage message, TimePoint now);
  void Fail(ExchangeEnd end, TimePoint now);
  void Finish(ExchangeResult result, TimePoint now);
  void Close();
  void WriteUnsent();
  void UpdateReuseDeadline(const ParsedMessage& message, TimePoint now);

  // Responses that are skipped in one exchange: interim responses and late
  // responses to earlier requests. Beyond this, the server is not usable.
  static constexpr uint32_t kMaxSkippedResponses = 16;
  // Requests with an ID that a connection carries at most, which bounds the
  // memory for their IDs.
  static constexpr size_t kMaxCarriedIds = 256;
  // Bodies up to this size are written together with their head.
  static constexpr size_t kMaxJoinedBytes = size_t{16} << 10;
  // Timeout for establishing a connection.
  static constexpr Duration kConnectTimeout = std::chrono::seconds(1);
  // Idle time after which a connection is not reused if the server sends no
  // Keep-Alive timeout. Servers often close idle connections after 5 s.
  static constexpr Duration kDefaultReuseTimeout = std::chrono::seconds(4);
  // Subtracted from the server's idle timeout, so that a request does not race
  // with the server closing the connection.
  static constexpr Duration kIdleTimeoutMargin =
      std::chrono::milliseconds(1500);

  EventLoop* m_loop;
  const SocketAddress m_address;
  const std::string m_id_header;
  std::shared_ptr<TcpConnection> m_connection;
  HttpReader m_reader;
  // Head, with a small body, and a larger body; empty once sent.
  std::string m_unsent_head;
  HeldBytesPtr m_unsent_body;
  std::string m_request_id;
  Done m_done;
  uint32_t m_exchanges = 0;
  // Hashes of the IDs of all requests sent on the connection.
  std::vector<uint32_t> m_carried_ids;
  uint32_t m_skipped_responses = 0;
  TimerId m_connect_timer = 0;
  bool m_reusable = false;
  TimePoint m_reuse_deadline;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_EVENTIO_HTTP_CLIENT_SESSION_H_
