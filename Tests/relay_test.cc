#define BOOST_TEST_MODULE relay
#include "relay/relay.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "relay_harness.h"

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;

std::string HeaderOf(const HttpHeaders& headers, std::string_view name) {
  return std::string(headers.Find(name).value_or("(none)"));
}

BOOST_AUTO_TEST_CASE(ForwardsARequestAndItsResponse) {
  RelayPair pair;
  const auto call = pair.Send("/ok", "r1");
  BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return call->is_over; }));
  const HttpResponse& answer = call->result.response;
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(answer.body == "body-r1");
  BOOST_TEST(HeaderOf(answer.headers, "Test-Digest") == "digest-r1");
  BOOST_TEST(HeaderOf(answer.headers, "Test-Id") == "r1");
  BOOST_TEST_REQUIRE(pair.server.arrivals.size() == 1U);
  const HttpHeaders& seen = pair.server.arrivals[0].request.headers;
  BOOST_TEST(HeaderOf(seen, "Test-From") == "shop");
  BOOST_TEST(HeaderOf(seen, "Test-Server") == "server-1");
  BOOST_TEST(std::stoi(HeaderOf(seen, "Test-Time-Left")) <= 5000);
}

// Callers may send any bytes in header values and paths. A request whose text
// is not UTF-8 made the frame between nodes unreadable, which ended the
// connection with all calls on it.
BOOST_AUTO_TEST_CASE(ForwardsTextThatIsNotUtf8) {
  RelayPair pair;
  RawClient client(&pair.loop, pair.front_settings.caller_listener);
  client.Write(
      RequestText("GET", "/\xff/ok", "r1", "", "X-Name: \xe9t\xe9\r\n"));
  BOOST_TEST_REQUIRE(RunUntil(
      &pair.loop, [&] { return !client.received.empty() || client.is_ended; }));
  BOOST_TEST(client.received.find("body-r1") != std::string::npos);
  BOOST_TEST_REQUIRE(pair.server.arrivals.size() == 1U);
  const HttpRequest& seen = pair.server.arrivals[0].request;
  BOOST_TEST(seen.target == "/\xff/ok");
  BOOST_TEST(HeaderOf(seen.headers, "X-Name") == "\xe9t\xe9");
  BOOST_TEST(pair.network.accepted() == 1U);
}

// Values that overflow the clock were read as negative times.
BOOST_AUTO_TEST_CASE(AcceptsAnyRemainingTime) {
  for (const char* left :
       {"18446744073709551615", "9223372036854775807", "9999999999999"}) {
    BOOST_TEST_CONTEXT(left) {
      RelayPair pair;
      RawClient client(&pair.loop, pair.front_settings.caller_listener);
      std::string text = RequestText("GET", "/ok", "r1");
      text.replace(text.find("5000"), 4, left);
      client.Write(text);
      BOOST_TEST_REQUIRE(
          RunUntil(&pair.loop, [&] { return !client.received.empty(); }));
      BOOST_TEST(client.received.find("body-r1") != std::string::npos);
    }
  }
}

BOOST_AUTO_TEST_CASE(RespondsWhenNoRetryIsPossible) {
  struct Case {
    const char* what;
    const char* path;
    int status;
    size_t arrivals;
  };
  const std::vector<Case> cases = {
      {"refused once more", "/shed", 503, 1},
      {"refused, not idempotent", "/once/shed", 503, 1},
      {"failed, not idempotent", "/once/fail", 500, 1},
  };
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      RelayPair pair;
      const auto call = pair.Send(item.path, "r1");
      BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return call->is_over; }));
      BOOST_TEST(call->result.response.status == item.status);
      BOOST_TEST(pair.server.arrivals.size() == item.arrivals);
    }
  }
}

// The server fails a request and no other server is left. The request may have
// run, so it must not be answered with a refusal.
BOOST_AUTO_TEST_CASE(AFailedRequestIsNeverRefused) {
  RelayPair pair;
  const auto call = pair.Send("/fail", "r1");
  BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return call->is_over; }));
  BOOST_TEST(call->result.response.status == 500);
  BOOST_TEST(HeaderOf(call->result.response.headers, "Retry-After") ==
             "(none)");
}

// The server fails a request either because a nested call was refused, or for a
// reason of its own. A retry can help only in the second case; in the first it
// would send the same calls to the overloaded service again.
BOOST_AUTO_TEST_CASE(DoesNotRetryFailuresOfDownstreamOverload) {
  struct Case {
    const char* what;
    const char* nested_path;
    size_t attempts;
  };
  const std::vector<Case> cases = {{"nested call refused", "/shed", 1},
                                   {"nested call answered", "/ok", 2}};
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      RelayPair pair;
      pair.AddServer("server-2");
      const auto call = pair.Send("/hold", "r1");
      BOOST_TEST_REQUIRE(
          RunUntil(&pair.loop, [&] { return pair.server.held() == 1; }));
      const auto nested = pair.SendFromServer(item.nested_path, "r1.n1");
      BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return nested->is_over; }));
      pair.server.FailHeldRequests(BootClock::now());
      RunFor(&pair.loop, milliseconds(100));
      const auto is_attempt = [](const FakeServer::Arrival& arrival) {
        return arrival.id == "r1";
      };
      BOOST_TEST(std::count_if(pair.server.arrivals.begin(),
                               pair.server.arrivals.end(), is_attempt) ==
                 static_cast<ptrdiff_t>(item.attempts));
      BOOST_TEST(call->is_over == (item.attempts == 1));
      pair.server.FailHeldRequests(BootClock::now());
    }
  }
}

BOOST_AUTO_TEST_CASE(AbortsIdempotentCallsOfDisconnectedCallers) {
  RelayPair pair;
  const auto safe = pair.Send("/hold", "safe");
  const auto once = pair.Send("/once/hold", "once");
  BOOST_TEST_REQUIRE(
      RunUntil(&pair.loop, [&] { return pair.server.held() == 2; }));
  safe->session->Abort();
  once->session->Abort();
  BOOST_TEST_REQUIRE(
      RunUntil(&pair.loop, [&] { return !pair.server.disconnected.empty(); }));
  RunFor(&pair.loop, milliseconds(100));
  BOOST_TEST(pair.server.disconnected == std::vector<std::string>{"safe"},
             boost::test_tools::per_element());
}

// With two slots, a third request is queued at the node rather than at the
// server, and starts when a slot is free.
BOOST_AUTO_TEST_CASE(ServerGetsNoMoreThanItsSlots) {
  RelayPair pair;
  std::vector<std::shared_ptr<FakeCall>> calls;
  calls.reserve(3);
  for (int i = 0; i < 3; ++i) {
    calls.push_back(pair.Send("/hold", "r" + std::to_string(i)));
  }
  BOOST_TEST_REQUIRE(
      RunUntil(&pair.loop, [&] { return pair.server.held() == 2; }));
  RunFor(&pair.loop, milliseconds(100));
  BOOST_TEST(pair.server.arrivals.size() == 2U);
  pair.server.ReleaseHeldRequests(BootClock::now());
  BOOST_TEST_REQUIRE(
      RunUntil(&pair.loop, [&] { return pair.server.held() == 1; }));
  pair.server.ReleaseHeldRequests(BootClock::now());
  BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] {
    return calls[0]->is_over && calls[1]->is_over && calls[2]->is_over;
  }));
}

// The connection between the nodes is reset or becomes silent while a
// non-idempotent request runs. Guards against losing its answer.
BOOST_AUTO_TEST_CASE(AnswersSurviveConnectionLossBetweenNodes) {
  struct Case {
    const char* what;
    void (FaultProxy::*disturb)();
  };
  const std::vector<Case> cases = {{"reset", &FaultProxy::Reset},
                                   {"silence", &FaultProxy::DropTraffic}};
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      RelayPair pair;
      const auto call = pair.Send("/once/hold", "r1");
      BOOST_TEST_REQUIRE(
          RunUntil(&pair.loop, [&] { return pair.server.held() == 1; }));
      (pair.network.*item.disturb)();
      BOOST_TEST_REQUIRE(
          RunUntil(&pair.loop, [&] { return pair.network.accepted() == 2; }));
      RunFor(&pair.loop, milliseconds(50));
      pair.server.ReleaseHeldRequests(BootClock::now());
      BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return call->is_over; }));
      BOOST_TEST(call->result.response.status == 200);
      BOOST_TEST(pair.server.arrivals.size() == 1U);
    }
  }
}

// An answer sent on a connection that was already silent must be sent again on
// the next one.
BOOST_AUTO_TEST_CASE(ResendsAnswersLostOnASilentConnection) {
  RelayPair pair;
  const auto call = pair.Send("/once/hold", "r1");
  BOOST_TEST_REQUIRE(
      RunUntil(&pair.loop, [&] { return pair.server.held() == 1; }));
  pair.network.DropTraffic();
  pair.server.ReleaseHeldRequests(BootClock::now());
  BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return call->is_over; }));
  BOOST_TEST(call->result.response.status == 200);
  BOOST_TEST(pair.server.arrivals.size() == 1U);
}

// The server's node restarts during a call. The outcome of the call is unknown,
// so it must be neither retried nor refused.
BOOST_AUTO_TEST_CASE(RestartedNodeLeavesTheOutcomeUnknown) {
  RelayPair pair;
  const auto call = pair.Send("/once/hold", "r1");
  BOOST_TEST_REQUIRE(
      RunUntil(&pair.loop, [&] { return pair.server.held() == 1; }));
  pair.RestartBack();
  pair.network.Reset();
  BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return call->is_over; }));
  BOOST_TEST(call->result.response.status == 502);
  BOOST_TEST(pair.server.arrivals.size() == 1U);
}

// Requests that reach a node before it has routes are queued for a limited
// time; a queued request whose caller disconnects must not run.
BOOST_AUTO_TEST_CASE(RequestsWaitForTheFirstRoutes) {
  RelayPair pair;
  pair.RestartFront();
  const auto served = pair.Send("/ok", "served");
  const auto gone = pair.Send("/ok", "gone");
  RunFor(&pair.loop, milliseconds(100));
  BOOST_TEST(!served->is_over);
  gone->session->Abort();
  RunFor(&pair.loop, milliseconds(50));
  pair.ApplyTestConfig(pair.front.get());
  BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return served->is_over; }));
  BOOST_TEST(served->result.response.status == 200);
  BOOST_TEST(pair.server.arrivals.size() == 1U);

  pair.RestartFront();
  const auto refused = pair.Send("/ok", "refused", milliseconds(800));
  BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return refused->is_over; }));
  BOOST_TEST(refused->result.response.status == 503);
  BOOST_TEST(HeaderOf(refused->result.response.headers, "Retry-After") !=
             "(none)");
}

// Tests the harness itself under AddressSanitizer: one side of a silenced
// connection is destroyed and the connections are cut, while the other side
// still sends.
BOOST_AUTO_TEST_CASE(NetworkCutsBothSidesOfSilencedConnections) {
  RelayPair pair;
  const auto call = pair.Send("/once/hold", "r1");
  BOOST_TEST_REQUIRE(
      RunUntil(&pair.loop, [&] { return pair.server.held() == 1; }));
  pair.network.DropTraffic();
  pair.RestartFront();
  pair.network.Reset();
  pair.server.ReleaseHeldRequests(BootClock::now());
  RunFor(&pair.loop, milliseconds(100));
  BOOST_TEST(pair.server.arrivals.size() == 1U);
}

BOOST_AUTO_TEST_CASE(StopsGracefully) {
  RelayPair pair;
  BOOST_TEST(pair.ReadinessStatus(pair.front_settings.health_listener) == 200);
  const auto running = pair.Send("/hold", "running");
  BOOST_TEST_REQUIRE(
      RunUntil(&pair.loop, [&] { return pair.server.held() == 1; }));
  bool is_stopped = false;
  pair.front->Stop([&] { is_stopped = true; }, BootClock::now());
  BOOST_TEST(pair.ReadinessStatus(pair.front_settings.health_listener) == 503);
  const auto early = pair.Send("/ok", "early");
  BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return early->is_over; }));
  BOOST_TEST(early->result.response.status == 200);
  // The notice period for callers has ended.
  RunFor(&pair.loop, milliseconds(3000));
  BOOST_TEST(!is_stopped);
  const auto late = pair.Send("/ok", "late");
  BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return late->is_over; }));
  BOOST_TEST(late->result.response.status == 503);
  BOOST_TEST(HeaderOf(late->result.response.headers, "Retry-After") !=
             "(none)");
  pair.server.ReleaseHeldRequests(BootClock::now());
  BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return running->is_over; }));
  BOOST_TEST(running->result.response.status == 200);
  BOOST_TEST(RunUntil(&pair.loop, [&] { return is_stopped; }));
}

// A paused node reads the caller's second connection first and answers that the
// call was not received. It then reads the call from the first connection and
// must not run it.
BOOST_AUTO_TEST_CASE(DelayedFramesOfAnEarlierConnectionRunNoCall) {
  struct Case {
    const char* what;
    uint64_t late_connection;
  };
  const std::vector<Case> cases = {{"older connection", 1},
                                   {"frames sent again", 2}};
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      RelayPair pair;
      RawPeer second(&pair.loop, pair.back_settings.peer_listener);
      RawPeer first(&pair.loop, pair.back_settings.peer_listener);
      BOOST_TEST_REQUIRE(
          RunUntil(&pair.loop, [&] { return first.is_up && second.is_up; }));
      second.Send(HelloFrame(2, {5}));
      BOOST_TEST_REQUIRE(
          RunUntil(&pair.loop, [&] { return second.received.size() == 2; }));
      BOOST_TEST((second.received[1].answer().fate() == relay::FATE_NOT_RUN));
      first.Send(HelloFrame(item.late_connection, {}));
      first.Send(CallFrame(5));
      RunFor(&pair.loop, milliseconds(100));
      BOOST_TEST(pair.server.arrivals.empty());
    }
  }
}

// Fleet state without a platform.
class FakeFleetStateStore : public FleetStateStore {
 public:
  FakeFleetStateStore(bool is_unreachable, uint64_t revision)
      : m_is_unreachable(is_unreachable), m_revision(revision) {}

  bool IsPlatformUnreachable() const override { return m_is_unreachable; }
  relay::View View() const override {
    relay::View view;
    view.set_directory_revision(m_revision);
    return view;
  }
  relay::Snapshot MakeSnapshot() const override {
    relay::Snapshot snapshot;
    snapshot.set_directory_revision(m_revision);
    return snapshot;
  }
  void ApplySnapshot(const relay::Snapshot& snapshot, TimePoint) override {
    m_revision = snapshot.directory_revision();
  }

 private:
  const bool m_is_unreachable;
  uint64_t m_revision;
};

// A node that cannot read the platform must obtain a snapshot from a peer,
// regardless of which side opened the connection. A node that can read it must
// not request one.
BOOST_AUTO_TEST_CASE(NodesWithoutPlatformTakeSnapshotsFromPeers) {
  struct Case {
    const char* what;
    bool front_unreachable;
    bool back_unreachable;
    uint64_t expected_front;
    uint64_t expected_back;
  };
  const std::vector<Case> cases = {
      {"the called node cannot read the platform", false, true, 20, 20},
      {"the called node can read the platform", false, false, 20, 5},
      {"neither node can read the platform", true, true, 20, 20},
  };
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      RelayPair pair;
      FakeFleetStateStore front(item.front_unreachable, 20);
      FakeFleetStateStore back(item.back_unreachable, 5);
      pair.front->SetFleetStateStore(&front);
      pair.back->SetFleetStateStore(&back);
      const auto call = pair.Send("/ok", "r1");
      BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return call->is_over; }));
      RunFor(&pair.loop, milliseconds(100));
      BOOST_TEST(front.View().directory_revision() == item.expected_front);
      BOOST_TEST(back.View().directory_revision() == item.expected_back);
    }
  }
  BOOST_TEST_CONTEXT("the calling node cannot read the platform") {
    RelayPair pair;
    FakeFleetStateStore front(true, 5);
    FakeFleetStateStore back(false, 20);
    pair.front->SetFleetStateStore(&front);
    pair.back->SetFleetStateStore(&back);
    const auto call = pair.Send("/ok", "r1");
    BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return call->is_over; }));
    BOOST_TEST(RunUntil(
        &pair.loop, [&] { return front.View().directory_revision() == 20; }));
  }
}

}  // namespace
}  // namespace vanillatiller
