// Backend servers that say in their answers that they are leaving.
#define BOOST_TEST_MODULE leaving_server
#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "relay_fleet.h"

namespace vanillatiller {
namespace {

// The platform's list may be older than what the server says, or out of reach.
// The server went on getting requests from nodes that had passed on its answer.
BOOST_AUTO_TEST_CASE(LeavingServerGetsNothingWhileItIsListedAsReady) {
  RelayFleet fleet({"work", "work", "rest"});
  fleet.server(0).notice = {{"Test-Leaving", "1"}};
  // The server of the own VM is preferred.
  const auto first = fleet.Send(0, "/work/ok", "first");
  BOOST_TEST_REQUIRE(fleet.RunUntilOver({first}));
  BOOST_TEST_REQUIRE(fleet.server(0).arrivals.size() == 1U);
  for (const uint64_t revision : {2U, 3U}) {
    fleet.ApplyList(revision);
    for (size_t caller = 0; caller < 3; ++caller) {
      const auto calls =
          fleet.SendMany(caller, 5, "/work/ok",
                         std::to_string(revision) + std::to_string(caller));
      BOOST_TEST_REQUIRE(fleet.RunUntilOver(calls));
      for (const auto& call : calls) {
        BOOST_TEST(call->result.response.status == 200);
      }
    }
  }
  BOOST_TEST(fleet.server(0).arrivals.size() == 1U);
}

// A server that starts again under its ID is used again; an entry of the run
// that left, or of one before it, is not.
BOOST_AUTO_TEST_CASE(OnlyThatRunOfTheServerIsLeaving) {
  RelayFleet fleet({"work", "rest"});
  fleet.server(0).notice = {{"Test-Leaving", "1"}};
  const auto first = fleet.Send(1, "/work/ok", "first");
  BOOST_TEST_REQUIRE(fleet.RunUntilOver({first}));
  fleet.server(0).notice.clear();
  struct Case {
    uint64_t started_ms;
    int status;
  };
  for (const Case& item :
       std::vector<Case>{{1, 503}, {0, 503}, {2, 200}, {1, 200}}) {
    BOOST_TEST_CONTEXT("started at " << item.started_ms) {
      static uint64_t revision = 1;
      ServerRecord record = fleet.RecordOf(0);
      record.started_ms = item.started_ms;
      record.revision = {0, ++revision};
      for (size_t node = 0; node < 2; ++node) {
        fleet.relay(node).ApplyServer(record, BootClock::now());
      }
      const auto call =
          fleet.Send(1, "/work/ok", "r" + std::to_string(revision));
      BOOST_TEST_REQUIRE(fleet.RunUntilOver({call}));
      BOOST_TEST(call->result.response.status == item.status);
    }
  }
}

// The mark comes with any answer that is the server's, and only with its value.
BOOST_AUTO_TEST_CASE(MarkComesWithAnyAnswer) {
  struct Case {
    const char* path;
    const char* value;
    bool leaves;
  };
  for (const Case& item : std::vector<Case>{{"/once/shed", "1", true},
                                            {"/once/fail", "1", true},
                                            {"/once/ok", "0", false},
                                            {"/once/ok", "", false}}) {
    BOOST_TEST_CONTEXT(item.path << ' ' << item.value) {
      RelayFleet fleet({"work", "rest"});
      fleet.server(0).notice = {{"Test-Leaving", item.value}};
      const auto first = fleet.Send(1, item.path, "first");
      BOOST_TEST_REQUIRE(fleet.RunUntilOver({first}));
      const auto second = fleet.Send(1, "/work/ok", "second");
      BOOST_TEST_REQUIRE(fleet.RunUntilOver({second}));
      BOOST_TEST(second->result.response.status == (item.leaves ? 503 : 200));
    }
  }
}

// Requests that wait beside the server when it says that it leaves go to
// another one. What runs there goes on, and is not run again.
BOOST_AUTO_TEST_CASE(QueuedRequestsGoToAnotherServer) {
  RelayFleet fleet({"work", "work"});
  // As many as the preferred server has slots; more are queued beside it.
  const auto held = fleet.SendMany(0, 64, "/once/hold", "h");
  BOOST_TEST_REQUIRE(RunUntil(&fleet.loop, [&] {
    return fleet.server(0).held() + fleet.server(1).held() == 64;
  }));
  const size_t before = fleet.server(0).arrivals.size();
  const auto queued = fleet.SendMany(0, 10, "/once/ok", "q");
  fleet.server(0).notice = {{"Test-Leaving", "1"}};
  fleet.server(0).ReleaseHeldRequests(BootClock::now());
  fleet.server(1).ReleaseHeldRequests(BootClock::now());
  BOOST_TEST_REQUIRE(fleet.RunUntilOver(held));
  BOOST_TEST_REQUIRE(fleet.RunUntilOver(queued));
  for (const auto& call : queued) {
    BOOST_TEST(call->result.response.status == 200);
  }
  for (const auto& call : held) {
    BOOST_TEST(call->result.response.status == 200);
  }
  const auto later = fleet.SendMany(0, 10, "/once/ok", "l");
  BOOST_TEST_REQUIRE(fleet.RunUntilOver(later));
  BOOST_TEST(fleet.server(0).arrivals.size() <= before + 10);
  BOOST_TEST(
      fleet.server(0).arrivals.size() + fleet.server(1).arrivals.size() == 84U);
}

// The last server of a service leaves: requests are refused as not run, with a
// time after which to return.
BOOST_AUTO_TEST_CASE(LastServerOfAServiceLeaves) {
  RelayFleet fleet({"work", "rest"});
  fleet.server(0).notice = {{"Test-Leaving", "1"}};
  const auto first = fleet.Send(1, "/once/ok", "first");
  BOOST_TEST_REQUIRE(fleet.RunUntilOver({first}));
  const auto calls = fleet.SendMany(1, 5, "/once/ok", "r");
  BOOST_TEST_REQUIRE(fleet.RunUntilOver(calls));
  for (const auto& call : calls) {
    BOOST_TEST(call->result.response.status == 503);
    BOOST_TEST(call->result.response.headers.Find("Retry-After").has_value());
  }
  BOOST_TEST(fleet.server(0).arrivals.size() == 1U);
}

// A node that has not called the server yet, or whose node beside the server
// has restarted, is told no later than with its first call.
BOOST_AUTO_TEST_CASE(OtherNodesSendNoSecondRequest) {
  RelayFleet fleet({"work", "work", "rest", "rest"});
  fleet.server(0).notice = {{"Test-Leaving", "1"}};
  const auto first = fleet.Send(0, "/work/ok", "first");
  BOOST_TEST_REQUIRE(fleet.RunUntilOver({first}));
  for (size_t caller = 1; caller < 4; ++caller) {
    const auto calls =
        fleet.SendMany(caller, 5, "/work/ok", "r" + std::to_string(caller));
    BOOST_TEST_REQUIRE(fleet.RunUntilOver(calls));
  }
  BOOST_TEST(fleet.server(0).arrivals.size() == 1U);
  fleet.Restart(0);
  for (size_t caller = 1; caller < 4; ++caller) {
    const auto calls =
        fleet.SendMany(caller, 5, "/work/ok", "s" + std::to_string(caller));
    BOOST_TEST_REQUIRE(fleet.RunUntilOver(calls));
  }
  BOOST_TEST(fleet.server(0).arrivals.size() == 1U);
}

// Random lists, single records, removals and marks. A run of a server that is
// marked, and any before it, must never be usable.
BOOST_AUTO_TEST_CASE(MarkedServersStayAwayInAnyOrderOfLists) {
  const auto check = [] {
    ServerDirectory directory;
    std::map<std::string, uint64_t> marked;
    TimePoint now{std::chrono::hours(1)};
    uint64_t revision = 0;
    const auto steps =
        *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange(0, 3),
                           rc::gen::inRange(1, 5)));
    for (const auto& [kind, server, started] : steps) {
      now += std::chrono::milliseconds(400);
      const auto started_ms = static_cast<uint64_t>(started);
      ServerRecord record;
      record.id = "server-" + std::to_string(server);
      record.address = {"10.0.0.1", static_cast<uint16_t>(9000 + server)};
      record.started_ms = started_ms;
      record.revision = {0, ++revision};
      switch (kind) {
        case 0:
          directory.MarkLeaving({record.id, started_ms}, now);
          marked[record.id] = std::max(marked[record.id], started_ms);
          break;
        case 1:
          directory.Remove(record.id, {0, revision}, now);
          break;
        case 2:
          directory.ApplyList({record}, {0, revision}, now);
          break;
        case 3:
          directory.OnSourceAvailable(now);
          break;
        default:
          directory.Apply(record, now);
          break;
      }
      for (const ServerRecord* usable : directory.Usable(now)) {
        RC_ASSERT(usable->started_ms > marked[usable->id]);
      }
    }
  };
  BOOST_TEST(rc::check("marked servers stay away", check));
}

}  // namespace
}  // namespace vanillatiller
