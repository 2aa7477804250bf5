#define BOOST_TEST_MODULE endless_answer
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "relay_harness.h"

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;

// A backend server that answers requests whose path ends with /ok, and sends
// bytes without end in answer to all others, until their connection closes.
class EndlessServer {
 public:
  EndlessServer(EventLoop* loop, std::string head, const std::string& endless)
      : address{"127.0.0.1", FreeLoopbackPort()},
        m_loop(loop),
        m_head(std::move(head)) {
    while (m_endless.size() < kPieceBytes) m_endless += endless;
    std::string reason;
    m_listener = TcpListener::Listen(
        loop, address,
        [this](std::shared_ptr<TcpConnection> connection, TimePoint) {
          auto caller = std::make_shared<Caller>();
          caller->server = this;
          caller->connection = std::move(connection);
          caller->connection->SetHandler(caller.get());
          m_callers.push_back(caller);
        },
        &reason);
    BOOST_TEST_REQUIRE((m_listener != nullptr), reason);
  }
  ~EndlessServer() {
    for (const auto& caller : m_callers) {
      if (caller->connection) caller->connection->Close();
    }
  }

  const SocketAddress address;
  // Most bytes that one connection has taken.
  size_t most_sent = 0;

 private:
  struct Caller : TcpHandler {
    void OnConnected(TimePoint) override {}
    void OnData(std::string_view data, TimePoint now) override {
      received += data;
      const size_t end = received.find("\r\n\r\n");
      if (end == std::string::npos) return;
      const std::string request = received.substr(0, end);
      received.clear();
      const size_t id_at = request.find("Test-Id: ") + 9;
      const std::string id =
          request.substr(id_at, request.find_first_of("\r\n", id_at) - id_at);
      if (request.find("/ok HTTP/") != std::string::npos) {
        connection->Write("HTTP/1.1 200 OK\r\nTest-Id: " + id +
                          "\r\nTest-Digest: d\r\nContent-Length: 2\r\n\r\nok");
        return;
      }
      connection->Write("HTTP/1.1 200 OK\r\nTest-Id: " + id +
                        "\r\nTest-Digest: d\r\n" + server->m_head);
      Stream(now);
    }
    void OnEnd(ConnectionEnd, TimePoint) override { connection.reset(); }
    void Stream(TimePoint now) {
      if (!connection) return;
      if (connection->UnsentBytes() == 0) {
        connection->Write(server->m_endless);
        sent += server->m_endless.size();
        server->most_sent = std::max(server->most_sent, sent);
      }
      server->m_loop->Schedule(now + milliseconds(1),
                               [this](TimePoint later) { Stream(later); });
    }

    EndlessServer* server = nullptr;
    std::shared_ptr<TcpConnection> connection;
    std::string received;
    size_t sent = 0;
  };

  static constexpr size_t kPieceBytes = size_t{32} << 10;

  EventLoop* m_loop;
  const std::string m_head;
  std::string m_endless;
  std::unique_ptr<TcpListener> m_listener;
  std::vector<std::shared_ptr<Caller>> m_callers;
};

// A server answers many callers with bytes that do not end. Each of them must
// get a final answer that is no success, another client of the node must be
// served beside them, and nothing may stay in memory.
BOOST_AUTO_TEST_CASE(EndlessAnswersHarmNoOtherRequest) {
  struct Case {
    const char* what;
    std::string head;
    std::string endless;
    // What a call may take from its server: the limits of an answer, what its
    // framing adds, and what the sockets hold.
    size_t most_bytes;
  };
  constexpr size_t kSockets = size_t{8} << 20;
  constexpr size_t kBody = size_t{16} << 20;
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<Case> cases = {
      {"head", "X: ", "xxxxxxxx", kSockets},
      {"headers", "", "X: y\r\n", kSockets},
      {"chunks of one byte", chunked, "1\r\nx\r\n", kSockets},
      {"chunks of eight bytes", chunked, "8\r\nxxxxxxxx\r\n",
       2 * kBody + kSockets},
      {"body with a length", "Content-Length: 99999999999\r\n\r\n", "xxxxxxxx",
       kBody + kSockets},
      {"body to the end", "\r\n", "xxxxxxxx", kBody + kSockets},
  };
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      RelayPair pair;
      EndlessServer server(&pair.loop, item.head, item.endless);
      pair.back_settings.server = server.address;
      pair.RestartBack();
      constexpr size_t kCallers = 24;
      std::vector<std::shared_ptr<FakeCall>> endless;
      endless.reserve(kCallers);
      for (size_t i = 0; i < kCallers; ++i) {
        endless.push_back(pair.Send("/once/endless", "e" + std::to_string(i)));
      }
      // One after the other, as a client with one connection sends them.
      for (int i = 0; i < 10; ++i) {
        const auto call = pair.Send("/ok", "o" + std::to_string(i));
        BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return call->is_over; }));
        BOOST_TEST((call->result.end == ExchangeEnd::kAnswered));
        // The few slots of the server may all be taken.
        const int status = call->result.response.status;
        BOOST_TEST((status == 200 || status == 503));
      }
      BOOST_TEST(RunUntil(&pair.loop, [&] {
        return std::all_of(endless.begin(), endless.end(),
                           [](const auto& call) { return call->is_over; });
      }));
      for (const auto& call : endless) {
        BOOST_TEST((call->result.end == ExchangeEnd::kAnswered));
        BOOST_TEST(call->result.response.status >= 500);
      }
      BOOST_TEST(server.most_sent <= item.most_bytes);
      BOOST_TEST(RunUntil(&pair.loop, [&] {
        return pair.back->metrics()->gauges["unfinished_answer_bytes"] == 0 &&
               pair.back->metrics()->gauges["in_flight"] == 0;
      }));
      const auto after = pair.Send("/ok", "after");
      BOOST_TEST(RunUntil(&pair.loop, [&] { return after->is_over; }));
      BOOST_TEST(after->result.response.status == 200);
      pair.back.reset();
      pair.front.reset();
    }
  }
}

}  // namespace
}  // namespace vanillatiller
