#ifndef VANILLATILLER_SOURCE_EVENTIO_HTTP_CLIENT_SESSION_H_
#define VANILLATILLER_SOURCE_EVENTIO_HTTP_CLIENT_SESSION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "eventio/event_loop.h"
#include "eventio/http_reader.h"
#include "eventio/tcp_connection.h"

namespace vanillatiller {

// How an exchange on an HTTP connection ended.
enum class ExchangeEnd : uint8_t {
  // The response is complete.
  kAnswered = 1,
  // The connection was not made; nothing was sent.
  kNotSent = 2,
  // The request was sent and no complete, readable response came.
  kNoAnswer = 3,
};

struct ExchangeResult {
  ExchangeEnd end = ExchangeEnd::kNoAnswer;
  // For kAnswered.
  HttpResponse response;
};

// One connection to an HTTP server, with one exchange at a time.
class HttpClientSession
    : public std::enable_shared_from_this<HttpClientSession>,
      private TcpHandler {
 public:
  using Done = std::function<void(ExchangeResult, TimePoint now)>;

  // `id_header` names the header field that a server echoes; responses with
  // another value belong to another request. Empty: responses are not matched.
  HttpClientSession(EventLoop* loop, const SocketAddress& address,
                    std::string id_header);
  ~HttpClientSession() override { Close(); }

  // Sends `request`, once the connection is made. `done` is called once, unless
  // Abort() comes first.
  void Send(const HttpRequest& request, Done done, TimePoint now);
  // Ends the connection; the exchange under way gets no result.
  void Abort();

  // The connection may carry another exchange at `now`.
  bool IsReusable(TimePoint now) const;

 private:
  void OnConnected(TimePoint now) override;
  void OnData(std::string_view data, TimePoint now) override;
  void OnEnd(ConnectionEnd end, TimePoint now) override;

  void TakeMessage(bool more_data, TimePoint now);
  void Finish(ExchangeResult result, TimePoint now);
  void Close();
  void NoteKeepAlive(const ReadMessage& message, TimePoint now);

  // Longest time for a connection to be made.
  static constexpr Duration kConnectTimeout = std::chrono::seconds(1);
  // Idle time after which a connection is not used again, where the server
  // names none. Servers often close idle connections after 5 s.
  static constexpr Duration kDefaultIdleReuse = std::chrono::seconds(4);
  // Kept free of a server's idle timeout, so that a request does not cross the
  // server's close.
  static constexpr Duration kIdleMargin = std::chrono::milliseconds(1500);

  EventLoop* m_loop;
  const SocketAddress m_address;
  const std::string m_id_header;
  std::shared_ptr<TcpConnection> m_connection;
  HttpReader m_reader;
  std::string m_unsent;
  std::string m_request_id;
  Done m_done;
  TimerId m_connect_timer = 0;
  bool m_reusable = false;
  TimePoint m_reusable_until;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_EVENTIO_HTTP_CLIENT_SESSION_H_
