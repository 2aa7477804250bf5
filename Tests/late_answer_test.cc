// Answers that a faulty server writes again on a connection that is in use.
// Guards against a refusal of an earlier request being taken for the answer to
// one that runs: its caller is told that it did not run, or it runs again.
#define BOOST_TEST_MODULE late_answer
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "relay/relay.h"
#include "relay_harness.h"

namespace vanillatiller {
namespace {

// What the server does with one request.
struct Behavior {
  // Status of its answer; 200 means that the request runs.
  int status = 200;
  // Earlier answers on the connection that are written again before it.
  size_t copies = 0;
  // Written again directly behind the answer.
  bool repeats_at_once = false;
};

// Backend server that writes earlier answers of a connection again.
class RepeatingServer {
 public:
  explicit RepeatingServer(EventLoop* loop) {
    address = {"127.0.0.1", FreeLoopbackPort()};
    std::string reason;
    m_listener = TcpListener::Listen(
        loop, address,
        [this](std::shared_ptr<TcpConnection> connection, TimePoint) {
          m_connections.push_back(
              std::make_unique<Connection>(this, std::move(connection)));
        },
        &reason);
    BOOST_TEST_REQUIRE((m_listener != nullptr), reason);
  }

  SocketAddress address;
  // By order of arrival; further requests run.
  std::vector<Behavior> behaviors;
  // IDs of the requests that ran and of all requests.
  std::vector<std::string> runs;
  std::vector<std::string> arrivals;
  size_t connections() const { return m_connections.size(); }

 private:
  class Connection : public TcpHandler {
   public:
    Connection(RepeatingServer* server,
               std::shared_ptr<TcpConnection> connection)
        : m_server(server),
          m_connection(std::move(connection)),
          m_reader(HttpReader::Kind::kRequests, {}) {
      m_connection->SetHandler(this);
    }
    ~Connection() override {
      if (m_connection) m_connection->Close();
    }

   private:
    void OnConnected(TimePoint) override {}
    void OnData(std::string_view data, TimePoint) override {
      while (m_connection && !data.empty()) {
        if (m_reader.Read(&data) != HttpReader::Result::kMessage) return;
        const std::string id(
            m_reader.Take().headers.Find("Test-Id").value_or(""));
        Answer(m_server->Next(id), id);
      }
    }
    void OnEnd(ConnectionEnd, TimePoint) override { m_connection.reset(); }

    void Answer(const Behavior& behavior, const std::string& id) {
      for (size_t i = 0; i < behavior.copies && i < m_answers.size(); ++i) {
        m_connection->Write(m_answers[m_answers.size() - 1 - i]);
      }
      HttpResponse response;
      response.status = behavior.status;
      response.headers.Add("Test-Id", id);
      response.headers.Add("Test-Digest", "d");
      response.body = std::to_string(m_server->arrivals.size());
      if (behavior.status != 200) response.headers.Add("Test-Not-Run", "1");
      m_answers.push_back(FormatResponse(response, true, true));
      m_connection->Write(m_answers.back());
      if (behavior.repeats_at_once) m_connection->Write(m_answers.back());
    }

    RepeatingServer* m_server;
    std::shared_ptr<TcpConnection> m_connection;
    HttpReader m_reader;
    std::vector<std::string> m_answers;
  };

  Behavior Next(const std::string& id) {
    const size_t index = arrivals.size();
    arrivals.push_back(id);
    const Behavior behavior =
        index < behaviors.size() ? behaviors[index] : Behavior{};
    if (behavior.status == 200) runs.push_back(id);
    return behavior;
  }

  std::unique_ptr<TcpListener> m_listener;
  std::vector<std::unique_ptr<Connection>> m_connections;
};

// The server refuses a request. The same request comes again, with the same ID,
// from its caller or because the router tries a second server behind the same
// node. The server then writes the first refusal again and runs it.
BOOST_AUTO_TEST_CASE(EarlierRefusalIsNotTheAnswer) {
  struct Case {
    const char* what;
    int status;
    // Whether the first refusal is written again at once or while the request
    // runs.
    bool at_once;
    bool has_second_server;
    const char* second_id;
  };
  const std::vector<Case> cases = {
      {"503 while the request runs", 503, false, false, "r1"},
      {"503 behind the first", 503, true, false, "r1"},
      {"429 while the request runs", 429, false, false, "r1"},
      {"421 while the request runs", 421, false, false, "r1"},
      {"sent again by the router", 503, false, true, "r1"},
      {"another request", 503, false, false, "r2"},
  };
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      RelayPair pair;
      RepeatingServer server(&pair.loop);
      server.behaviors = {{item.status, 0, item.at_once},
                          {200, item.at_once ? 0U : 1U, false}};
      pair.back_settings.server = server.address;
      pair.RestartBack();
      if (item.has_second_server) pair.AddServer("server-2");
      auto call = pair.Send("/once/a", "r1");
      BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return call->is_over; }));
      if (!item.has_second_server) {
        BOOST_TEST(call->result.response.status == 503);
        call = pair.Send("/once/a", item.second_id);
        BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return call->is_over; }));
      }
      BOOST_TEST(call->result.response.status == 200);
      BOOST_TEST(call->result.response.body == "2");
      BOOST_TEST(server.runs == std::vector<std::string>{item.second_id},
                 boost::test_tools::per_element());
    }
  }
}

// A refusal without an ID on a connection in use may be a copy, too.
BOOST_AUTO_TEST_CASE(RefusalWithoutAnIdProvesNothingOnAConnectionInUse) {
  RelayPair pair;
  RepeatingServer server(&pair.loop);
  server.behaviors = {{503, 0, false}, {200, 1, false}};
  pair.back_settings.server = server.address;
  pair.back_settings.names.request_id = "Other-Id";
  pair.RestartBack();
  const auto first = pair.Send("/once/a", "r1");
  BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return first->is_over; }));
  const auto second = pair.Send("/once/a", "r2");
  BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return second->is_over; }));
  BOOST_TEST(second->result.response.status == 200);
  BOOST_TEST(second->result.response.body == "2");
}

// Requests with few IDs in random order, and a server that repeats earlier
// answers of a connection. Each request must get the answer that the server
// gave to it.
BOOST_AUTO_TEST_CASE(EachRequestGetsItsOwnAnswer) {
  constexpr size_t kIds = 3;
  const auto check = [] {
    using Exchange = std::tuple<size_t, bool, size_t, bool>;
    const auto exchanges =
        *rc::gen::container<std::vector<Exchange>>(rc::gen::tuple(
            rc::gen::inRange<size_t>(0, kIds), rc::gen::arbitrary<bool>(),
            rc::gen::inRange<size_t>(0, 4), rc::gen::arbitrary<bool>()));
    EventLoop loop;
    EventLog log(-1, "test");
    RelayMetrics metrics;
    const ProtocolNames names = TestNames();
    RepeatingServer server(&loop);
    CallExecutor executor(&loop, server.address, &names, &log, &metrics,
                          BootClock::now());
    for (const auto& [id, runs, copies, repeats] : exchanges) {
      server.behaviors.push_back({runs ? 200 : 503, copies, repeats});
      relay::Call call;
      call.set_declared_slots(2);
      call.set_method("GET");
      call.set_target("/a");
      call.set_time_left_us(5'000'000);
      relay::Header* header = call.add_headers();
      header->set_name("Test-Id");
      header->set_value(std::to_string(id));
      std::optional<CallResult> result;
      executor.Start(
          {call, nullptr},
          [&](CallResult got, TimePoint) { result = std::move(got); },
          BootClock::now());
      RC_ASSERT(RunUntil(&loop, [&] { return result.has_value(); }));
      RC_ASSERT(server.arrivals.size() == server.behaviors.size());
      if (!runs) {
        RC_ASSERT((result->outcome == Outcome::kNotRun));
        continue;
      }
      RC_ASSERT((result->outcome == Outcome::kComplete));
      RC_ASSERT(result->response.body ==
                std::to_string(server.arrivals.size()));
    }
  };
  BOOST_TEST(rc::check("each request gets its own answer", check));
}

// Connections are still reused.
BOOST_AUTO_TEST_CASE(RequestsWithNewIdsShareAConnection) {
  RelayPair pair;
  RepeatingServer server(&pair.loop);
  pair.back_settings.server = server.address;
  pair.RestartBack();
  constexpr int kRequests = 40;
  for (int i = 0; i < kRequests; ++i) {
    const auto call = pair.Send("/once/a", "r" + std::to_string(i));
    BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return call->is_over; }));
    BOOST_TEST(call->result.response.status == 200);
  }
  BOOST_TEST(server.connections() == 1U);
}

}  // namespace
}  // namespace vanillatiller
