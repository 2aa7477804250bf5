#define BOOST_TEST_MODULE eventio
#include "eventio/eventio.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <vector>

#include "relay_harness.h"

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;

// Writes a fixed response to each connection, then keeps it open, closes it or
// resets it.
class ScriptedServer {
 public:
  enum class Ending : uint8_t { kKeepOpen, kClose, kReset };

  ScriptedServer(EventLoop* loop, std::string script, Ending ending)
      : m_loop(loop), m_script(std::move(script)), m_ending(ending) {
    std::string reason;
    address = {"127.0.0.1", FreeLoopbackPort()};
    m_listener = TcpListener::Listen(
        loop, address,
        [this](const std::shared_ptr<TcpConnection>& connection, TimePoint) {
          connection->SetHandler(&m_ignoring_handler);
          m_connections.push_back(connection);
          // Closing a socket with unread data sends a reset.
          if (m_ending == Ending::kReset) {
            m_loop->Schedule(BootClock::now(), [connection](TimePoint) {
              connection->PauseReading();
            });
          }
          m_loop->Schedule(BootClock::now() + milliseconds(30),
                           [this, connection](TimePoint) { Play(connection); });
        },
        &reason);
    BOOST_TEST_REQUIRE((m_listener != nullptr), reason);
  }

  SocketAddress address;

 private:
  class IgnoringHandler : public TcpHandler {
    void OnConnected(TimePoint) override {}
    void OnData(std::string_view, TimePoint) override {}
    void OnEnd(ConnectionEnd, TimePoint) override {}
  };

  void Play(const std::shared_ptr<TcpConnection>& connection) {
    connection->Write(m_script);
    if (m_ending == Ending::kClose) connection->CloseAfterFlush();
    if (m_ending == Ending::kReset) connection->Close();
  }

  EventLoop* m_loop;
  const std::string m_script;
  const Ending m_ending;
  IgnoringHandler m_ignoring_handler;
  std::unique_ptr<TcpListener> m_listener;
  std::vector<std::shared_ptr<TcpConnection>> m_connections;
};

ExchangeResult Exchange(const std::string& script,
                        ScriptedServer::Ending ending) {
  EventLoop loop;
  ScriptedServer server(&loop, script, ending);
  auto session =
      std::make_shared<HttpClientSession>(&loop, server.address, "Test-Id");
  HttpRequest request;
  request.method = "GET";
  request.target = "/";
  request.headers.Add("Test-Id", "mine");
  ExchangeResult result;
  bool is_over = false;
  session->Send(
      request,
      [&](ExchangeResult got, TimePoint) {
        result = std::move(got);
        is_over = true;
      },
      BootClock::now());
  BOOST_TEST_REQUIRE(RunUntil(&loop, [&] { return is_over; }));
  return result;
}

// Only a complete response with the request's own ID may be accepted.
// Truncated, reset, ambiguous or mismatched responses must not be reported as
// answers.
BOOST_AUTO_TEST_CASE(AcceptsOnlyCompleteMatchingResponse) {
  using Ending = ScriptedServer::Ending;
  struct Case {
    const char* what;
    std::string script;
    Ending ending;
    ExchangeEnd expected;
    std::string body;
  };
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::vector<Case> cases = {
      {"with a length", ok + "Test-Id: mine\r\nContent-Length: 3\r\n\r\nabc",
       Ending::kKeepOpen, ExchangeEnd::kAnswered, "abc"},
      {"in chunks",
       ok + "Test-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n0\r\n\r\n",
       Ending::kKeepOpen, ExchangeEnd::kAnswered, "abc"},
      {"without a length, closed in order", ok + "Test-Id: mine\r\n\r\nabc",
       Ending::kClose, ExchangeEnd::kAnswered, "abc"},
      {"without a length, reset", ok + "Test-Id: mine\r\n\r\nabc",
       Ending::kReset, ExchangeEnd::kNoAnswer, ""},
      {"cut short", ok + "Test-Id: mine\r\nContent-Length: 9\r\n\r\nabc",
       Ending::kClose, ExchangeEnd::kNoAnswer, ""},
      {"chunks cut short",
       ok + "Test-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
       Ending::kClose, ExchangeEnd::kNoAnswer, ""},
      {"no answer at all", "", Ending::kClose, ExchangeEnd::kNoAnswer, ""},
      {"not HTTP", "garbage\r\n\r\n", Ending::kKeepOpen, ExchangeEnd::kNoAnswer,
       ""},
      {"two lengths",
       ok + "Test-Id: mine\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n"
            "abcd",
       Ending::kKeepOpen, ExchangeEnd::kNoAnswer, ""},
      {"a late answer to another request first",
       ok + "Test-Id: other\r\nContent-Length: 3\r\n\r\nxyz" + ok +
           "Test-Id: mine\r\nContent-Length: 3\r\n\r\nabc",
       Ending::kKeepOpen, ExchangeEnd::kAnswered, "abc"},
      {"only an answer to another request",
       ok + "Test-Id: other\r\nContent-Length: 3\r\n\r\nxyz", Ending::kClose,
       ExchangeEnd::kNoAnswer, ""},
      {"informational answer first",
       "HTTP/1.1 102 Processing\r\n\r\n" + ok +
           "Test-Id: mine\r\nContent-Length: 3\r\n\r\nabc",
       Ending::kKeepOpen, ExchangeEnd::kAnswered, "abc"},
  };
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      const ExchangeResult result = Exchange(item.script, item.ending);
      BOOST_TEST((result.end == item.expected));
      BOOST_TEST(result.response.body == item.body);
    }
  }
}

// Sends each piece of a script on the next received request, or the last piece
// without end, as long as the client reads.
class StreamingServer : private TcpHandler {
 public:
  StreamingServer(EventLoop* loop, std::vector<std::string> pieces,
                  bool is_endless)
      : m_loop(loop), m_pieces(std::move(pieces)), m_is_endless(is_endless) {
    std::string reason;
    address = {"127.0.0.1", FreeLoopbackPort()};
    m_listener = TcpListener::Listen(
        loop, address,
        [this](const std::shared_ptr<TcpConnection>& connection, TimePoint) {
          connection->SetHandler(this);
          m_connection = connection;
        },
        &reason);
    BOOST_TEST_REQUIRE((m_listener != nullptr), reason);
  }

  SocketAddress address;
  size_t sent_bytes = 0;
  bool is_ended = false;

 private:
  void OnConnected(TimePoint) override {}
  void OnData(std::string_view, TimePoint now) override {
    if (m_next < m_pieces.size()) Send(m_pieces.at(m_next++));
    if (m_is_endless) Stream(now);
  }
  void OnEnd(ConnectionEnd, TimePoint) override {
    is_ended = true;
    m_connection.reset();
  }
  void Send(const std::string& text) {
    sent_bytes += text.size();
    m_connection->Write(text);
  }
  void Stream(TimePoint now) {
    if (!m_connection) return;
    constexpr int kRepeats = 20;
    for (int i = 0; i < kRepeats && m_connection->UnsentBytes() == 0; ++i) {
      Send(m_pieces.back());
    }
    m_loop->Schedule(now + milliseconds(1),
                     [this](TimePoint later) { Stream(later); });
  }

  EventLoop* m_loop;
  const std::vector<std::string> m_pieces;
  const bool m_is_endless;
  size_t m_next = 0;
  std::unique_ptr<TcpListener> m_listener;
  std::shared_ptr<TcpConnection> m_connection;
};

// A faulty server sends bytes without end until the caller closes. The exchange
// must end at its limits; what the process holds stays bounded.
BOOST_AUTO_TEST_CASE(EndlessResponsesEndAtTheLimit) {
  struct Case {
    const char* what;
    std::string head;
    std::string endless;
  };
  const std::string ok = "HTTP/1.1 200 OK\r\nTest-Id: mine\r\n";
  const std::string filler(1000, 'x');
  const std::vector<Case> cases = {
      {"status line", "HTTP/1.1 200 ", filler},
      {"one header value", ok + "X: ", filler},
      {"headers", ok, "X: " + filler + "\r\n"},
      {"body until the end of the connection", ok + "\r\n", filler},
      {"body with a length", ok + "Content-Length: 999999999\r\n\r\n", filler},
      {"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n",
       "3e8\r\n" + filler + "\r\n"},
      {"chunks of one byte", ok + "Transfer-Encoding: chunked\r\n\r\n",
       "1\r\nx\r\n"},
      {"chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n3e8;",
       filler},
      {"trailers", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
       "X: " + filler + "\r\n"},
      {"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
      {"responses to other requests", "",
       "HTTP/1.1 200 OK\r\nTest-Id: other\r\nContent-Length: 1\r\n\r\nx"},
      {"not HTTP", "", filler},
      {"empty lines", "", "\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n"},
  };
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      EventLoop loop;
      StreamingServer server(&loop, {item.head + item.endless, item.endless},
                             true);
      // Answers that are being read may take a quarter of it.
      loop.memory().SetCapacity(size_t{240} << 10);
      auto session = std::make_shared<HttpClientSession>(
          &loop, server.address, "Test-Id",
          HttpReader::Limits{size_t{64} << 10, size_t{1} << 20});
      HttpRequest request;
      request.method = "GET";
      request.target = "/";
      request.headers.Add("Test-Id", "mine");
      ExchangeResult result;
      bool is_over = false;
      session->Send(
          request,
          [&](ExchangeResult got, TimePoint) {
            result = std::move(got);
            is_over = true;
          },
          BootClock::now());
      BOOST_TEST_REQUIRE(RunUntil(&loop, [&] { return is_over; }));
      BOOST_TEST((result.end == ExchangeEnd::kNoAnswer ||
                  result.end == ExchangeEnd::kTooLarge));
      BOOST_TEST(RunUntil(&loop, [&] { return server.is_ended; }));
      // The limits, and what the sockets hold.
      BOOST_TEST(server.sent_bytes < size_t{8} << 20);
      session.reset();
      BOOST_TEST(loop.memory().used(ByteUse::kServerAnswer) == 0U);
    }
  }
}

// A server sends a second copy of a response when its connection is in use
// again. The next request must not get it, with or without an ID on it.
BOOST_AUTO_TEST_CASE(LateCopyIsNotTheNextResponse) {
  const auto response = [](const std::string& id, const std::string& body) {
    return "HTTP/1.1 200 OK\r\n" +
           (id.empty() ? "" : "Test-Id: " + id + "\r\n") +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  };
  struct Case {
    const char* what;
    std::string second_id;
    std::string second_answer;
    ExchangeEnd expected;
  };
  const std::vector<Case> cases = {
      {"copy with its ID", "r2",
       response("r1", "first") + response("r2", "mine"),
       ExchangeEnd::kAnswered},
      {"copy without an ID", "r2", response("", "first"),
       ExchangeEnd::kNoAnswer},
      {"request without an ID", "",
       response("r1", "first") + response("", "mine"), ExchangeEnd::kAnswered},
  };
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      EventLoop loop;
      StreamingServer server(
          &loop, {response("r1", "first"), item.second_answer}, false);
      auto session =
          std::make_shared<HttpClientSession>(&loop, server.address, "Test-Id");
      ExchangeResult result;
      for (const std::string& id : {std::string("r1"), item.second_id}) {
        HttpRequest request;
        request.method = "GET";
        request.target = "/";
        if (!id.empty()) request.headers.Add("Test-Id", id);
        bool is_over = false;
        session->Send(
            request,
            [&](ExchangeResult got, TimePoint) {
              result = std::move(got);
              is_over = true;
            },
            BootClock::now());
        BOOST_TEST_REQUIRE(RunUntil(&loop, [&] { return is_over; }));
      }
      BOOST_TEST((result.end == item.expected));
      BOOST_TEST(result.response.body ==
                 (item.expected == ExchangeEnd::kAnswered ? "mine" : ""));
    }
  }
}

BOOST_AUTO_TEST_CASE(FailedConnectReportsNotSent) {
  EventLoop loop;
  auto session = std::make_shared<HttpClientSession>(
      &loop, SocketAddress{"127.0.0.1", FreeLoopbackPort()}, "");
  ExchangeResult result;
  bool is_over = false;
  session->Send(
      HttpRequest{"GET", "/", {}, ""},
      [&](ExchangeResult got, TimePoint) {
        result = std::move(got);
        is_over = true;
      },
      BootClock::now());
  BOOST_TEST_REQUIRE(RunUntil(&loop, [&] { return is_over; }));
  BOOST_TEST((result.end == ExchangeEnd::kNotSent));
}

// Requests with ambiguous framing or exceeded limits must be rejected, however
// the input is split.
BOOST_AUTO_TEST_CASE(ParsesRequestsStrictly) {
  struct Case {
    const char* what;
    std::string text;
    HttpReader::Result expected;
    std::string body;
  };
  using Result = HttpReader::Result;
  const std::vector<Case> cases = {
      {"no body", "GET /a HTTP/1.1\r\nAccept: x\r\n\r\n", Result::kMessage, ""},
      {"length", "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi",
       Result::kMessage, "hi"},
      {"chunks",
       "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
       "2\r\nhi\r\n0\r\n\r\n",
       Result::kMessage, "hi"},
      {"length and chunks",
       "POST /a HTTP/1.1\r\nContent-Length: 2\r\n"
       "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
       Result::kError, ""},
      {"space before the colon", "GET /a HTTP/1.1\r\nAccept : x\r\n\r\n",
       Result::kError, ""},
      {"bad length", "POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
       Result::kError, ""},
      {"headers too long",
       "GET /a HTTP/1.1\r\nX: " + std::string(300, 'x') + "\r\n\r\n",
       Result::kTooLarge, ""},
      {"body too long",
       "POST /a HTTP/1.1\r\nContent-Length: 300\r\n\r\n" +
           std::string(300, 'x'),
       Result::kTooLarge, ""},
  };
  for (const Case& item : cases) {
    for (size_t piece = 1; piece <= item.text.size(); piece += 7) {
      BOOST_TEST_CONTEXT(item.what << ", pieces of " << piece) {
        HttpReader reader(HttpReader::Kind::kRequests, {200, 200});
        Result result = Result::kNeedsMore;
        std::string_view left = item.text;
        while (!left.empty() && result == Result::kNeedsMore) {
          std::string_view data = left.substr(0, piece);
          left.remove_prefix(data.size());
          result = reader.Read(&data);
        }
        BOOST_TEST((result == item.expected));
        if (result == Result::kMessage) {
          BOOST_TEST(reader.Take().body == item.body);
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(RemovesConnectionFields) {
  HttpHeaders headers;
  headers.Add("Connection", "close, X-Private");
  headers.Add("X-Private", "1");
  headers.Add("Transfer-Encoding", "chunked");
  headers.Add("X-Kept", "2");
  headers.RemoveConnectionFields();
  BOOST_TEST_REQUIRE(headers.fields().size() == 1U);
  BOOST_TEST(headers.fields()[0].name == "X-Kept");
}

}  // namespace
}  // namespace vanillatiller
