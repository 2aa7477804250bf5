#define BOOST_TEST_MODULE answer_status
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "relay_harness.h"

namespace vanillatiller {
namespace {

// A backend server that answers each request with the same text.
class TextServer {
 public:
  TextServer(EventLoop* loop, std::string answer, bool closes)
      : address{"127.0.0.1", FreeLoopbackPort()},
        m_answer(std::move(answer)),
        m_closes(closes) {
    std::string reason;
    m_listener = TcpListener::Listen(
        loop, address,
        [this](const std::shared_ptr<TcpConnection>& connection, TimePoint) {
          m_callers.push_back(std::make_unique<Caller>(this, connection));
        },
        &reason);
    BOOST_TEST_REQUIRE((m_listener != nullptr), reason);
  }

  const SocketAddress address;

 private:
  struct Caller : TcpHandler {
    Caller(TextServer* owner, std::shared_ptr<TcpConnection> accepted)
        : server(owner), connection(std::move(accepted)) {
      connection->SetHandler(this);
    }
    ~Caller() override {
      if (connection) connection->Close();
    }
    void OnConnected(TimePoint) override {}
    void OnData(std::string_view data, TimePoint) override {
      received += data;
      if (received.find("\r\n\r\n") == std::string::npos) return;
      received.clear();
      connection->Write(server->m_answer);
      if (server->m_closes) connection->CloseAfterFlush();
    }
    void OnEnd(ConnectionEnd, TimePoint) override { connection.reset(); }

    TextServer* server;
    std::shared_ptr<TcpConnection> connection;
    std::string received;
  };

  const std::string m_answer;
  const bool m_closes;
  std::unique_ptr<TcpListener> m_listener;
  std::vector<std::unique_ptr<Caller>> m_callers;
};

// A server in trouble answers with a status that is none. The caller must
// neither get it nor wait for another one until its time is over.
BOOST_AUTO_TEST_CASE(OnlyAStatusOfTheProtocolIsAnAnswer) {
  struct Case {
    const char* status;
    // Of the answer to the caller.
    int expected;
  };
  const std::vector<Case> statuses = {
      {"000", 502}, {"001", 502}, {"099", 502}, {"200", 200}, {"299", 299},
      {"404", 404}, {"500", 500}, {"599", 599}, {"600", 502}, {"999", 502}};
  struct Form {
    const char* what;
    std::string fields;
    bool closes;
  };
  const std::vector<Form> forms = {
      {"length", "Content-Length: 2\r\n\r\nok", false},
      {"no body", "Content-Length: 0\r\n\r\n", false},
      {"chunks", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
       false},
      {"to the end of the connection", "\r\nok", true},
  };
  for (const Case& item : statuses) {
    for (const Form& form : forms) {
      BOOST_TEST_CONTEXT(item.status << ", " << form.what) {
        RelayPair pair;
        TextServer server(&pair.loop,
                          std::string("HTTP/1.1 ") + item.status +
                              " X\r\nTest-Id: r\r\nTest-Digest: d\r\n" +
                              form.fields,
                          form.closes);
        pair.back_settings.server = server.address;
        pair.RestartBack();
        const auto call = pair.Send("/once/a", "r");
        BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return call->is_over; }));
        BOOST_TEST((call->result.end == ExchangeEnd::kAnswered));
        BOOST_TEST(call->result.response.status == item.expected);
        pair.back.reset();
        pair.front.reset();
      }
    }
  }
}

// The same from another node.
BOOST_AUTO_TEST_CASE(OnlyAStatusOfTheProtocolIsDecoded) {
  for (const uint32_t status : {0U, 99U, 100U, 199U, 600U, 4'000'000'000U}) {
    relay::Answer answer;
    answer.set_fate(relay::FATE_ANSWERED);
    answer.set_status(status);
    BOOST_TEST((DecodeAnswer(&answer).outcome == Outcome::kUnknown), status);
  }
  for (const uint32_t status : {200U, 404U, 599U}) {
    relay::Answer answer;
    answer.set_fate(relay::FATE_ANSWERED);
    answer.set_status(status);
    BOOST_TEST((DecodeAnswer(&answer).outcome == Outcome::kComplete), status);
  }
}

}  // namespace
}  // namespace vanillatiller
