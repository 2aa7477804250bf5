#define BOOST_TEST_MODULE store_reads
#include <boost/test/unit_test.hpp>

#include "platform/store_client.h"
#include "relay_harness.h"

namespace vanillatiller::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time without a disturbance of its own after which a node must keep the time
// bounds again.
constexpr Duration kStableTime = milliseconds(4000);

// Answers reads and brief watches; other watches stay open.
class QuietStore : public HttpRequestHandler {
 public:
  explicit QuietStore(EventLoop* loop)
      : address{"127.0.0.1", FreeLoopbackPort()} {
    std::string reason;
    m_listener = TcpListener::Listen(
        loop, address,
        [this, loop](std::shared_ptr<TcpConnection> connection, TimePoint now) {
          HttpServerSession::Start(loop, std::move(connection), this, {}, now);
        },
        &reason);
  }

  void OnRequest(const HttpResponderPtr& session, HttpRequest request,
                 TimePoint now) override {
    calls.push_back(now);
    const bool is_watch = request.target.starts_with("/-/kv-watch");
    if (is_silent || (is_watch && !request.target.ends_with("wait_ms=1"))) {
      m_waiting.push_back(session);
      return;
    }
    if (request.target.starts_with("/-/kv-key")) {
      session->Respond({404, {}, ""}, now);
      return;
    }
    const char* items = is_watch ? "events" : "items";
    session->Respond({200,
                      {},
                      std::string("{\"") + items +
                          R"(":[],"more_pages":false,"current_rev":10})"},
                     now);
  }
  void OnCallerDisconnected(const HttpResponderPtr&, TimePoint) override {}

  const SocketAddress address;
  bool is_silent = false;
  std::vector<TimePoint> calls;

 private:
  std::unique_ptr<TcpListener> m_listener;
  std::vector<HttpResponderPtr> m_waiting;
};

struct Fixture {
  Fixture()
      : store(&pair.loop),
        network(&pair.loop, entry, store.address),
        client(&pair.loop, entry, pair.front.get(), &pair.log) {}

  // Starts the client. Returns once it waits for changes.
  void Start() {
    client.Start(false, BootClock::now());
    BOOST_TEST_REQUIRE(
        RunUntil(&pair.loop, [&] { return store.calls.size() == 4; }));
  }

  RelayPair pair;
  const SocketAddress entry{"127.0.0.4", FreeLoopbackPort()};
  QuietStore store;
  FaultProxy network;
  StoreClient client;
};

// A kept connection goes dark while it is idle. The call that is made when
// nobody confirms the state any more went there and was lost for its whole
// time-out, long after the disturbance that had silenced the connection.
BOOST_FIXTURE_TEST_CASE(IdleConnectionsAreNotTrusted, Fixture) {
  Start();
  client.Confirm(BootClock::now());
  const TimePoint first = client.ConfirmedAt();
  BOOST_TEST_REQUIRE(
      RunUntil(&pair.loop, [&] { return client.ConfirmedAt() > first; }));
  network.DropTraffic();
  RunFor(&pair.loop, milliseconds(1200));
  const TimePoint asked = BootClock::now();
  client.Confirm(asked);
  BOOST_TEST(
      RunUntil(&pair.loop, [&] { return client.ConfirmedAt() >= asked; }));
  BOOST_TEST(pair.front->metrics()->platform_failures == 0U);
}

// The store does not answer a node for which no reader is served, and answers
// again. The node must have asked by the time at which it counts as
// undisturbed; the pause after a call that timed out used to come on top of the
// time-out, 4.5 s together.
BOOST_FIXTURE_TEST_CASE(BackupAsksAgainWithinTheStableTime, Fixture) {
  Start();
  client.SetReadMode(ReadMode::kBackup, BootClock::now());
  store.is_silent = true;
  network.Reset();
  const size_t before = store.calls.size();
  // Ends the pending watch and begins a series of failures.
  BOOST_TEST_REQUIRE(
      RunUntil(&pair.loop, [&] { return store.calls.size() >= before + 2; }));
  const TimePoint last = store.calls.back();
  BOOST_TEST_REQUIRE(
      RunUntil(&pair.loop, [&] { return store.calls.size() >= before + 3; }));
  BOOST_TEST((store.calls.back() - last < kStableTime));
}

}  // namespace
}  // namespace vanillatiller::platform
