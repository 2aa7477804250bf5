// Backend servers that name in their answers how many requests a second they
// take from all nodes together.
#define BOOST_TEST_MODULE server_limit
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "relay_fleet.h"

namespace vanillatiller {
namespace {

// The window over which the users count, and what they allow within it.
constexpr Duration kWindow = std::chrono::seconds(4);
constexpr double kAllowedFactor = 1.5;
constexpr double kAllowedRequests = 5;

size_t Allowed(double limit) {
  return static_cast<size_t>(kAllowedFactor * limit * 4 + kAllowedRequests);
}

void SetLimit(FakeServer* server, const std::string& value) {
  server->notice = {{"Test-Rate-Limit", value}};
}

// Each node passes on an answer in which the server names its limit.
void LearnLimit(RelayFleet* fleet, const std::vector<size_t>& callers) {
  std::vector<std::shared_ptr<FakeCall>> calls;
  for (const size_t caller : callers) {
    calls.push_back(
        fleet->Send(caller, "/work/ok", "first-" + std::to_string(caller)));
    BOOST_TEST_REQUIRE(fleet->RunUntilOver(calls));
  }
}

// A server that names a limit got the requests of all nodes nevertheless.
BOOST_AUTO_TEST_CASE(LimitHoldsOverTheSumOfAllNodes) {
  RelayFleet fleet({"work", "rest", "rest"});
  SetLimit(&fleet.server(0), "2");
  LearnLimit(&fleet, {1});
  std::vector<std::shared_ptr<FakeCall>> calls;
  for (size_t caller = 0; caller < 3; ++caller) {
    const auto sent =
        fleet.SendMany(caller, 20, "/work/ok", std::to_string(caller) + "-");
    calls.insert(calls.end(), sent.begin(), sent.end());
  }
  BOOST_TEST_REQUIRE(fleet.RunUntilOver(calls));
  BOOST_TEST(MostArrivals(fleet.server(0), kWindow) <= Allowed(2));
}

// The node beside the server restarts and knows nothing of the limit. The
// server answers nothing meanwhile, so only the callers' nodes can tell.
BOOST_AUTO_TEST_CASE(LimitHoldsAcrossARestartOfTheServersNode) {
  RelayFleet fleet({"work", "rest"});
  SetLimit(&fleet.server(0), "2");
  LearnLimit(&fleet, {1});
  fleet.Restart(0);
  const auto held = fleet.SendMany(1, 40, "/work/hold", "r");
  RunFor(&fleet.loop, std::chrono::milliseconds(1500));
  BOOST_TEST(MostArrivals(fleet.server(0), kWindow) <= Allowed(2));
}

// What a limited server does not take goes to another one of the service.
BOOST_AUTO_TEST_CASE(OtherServersTakeWhatTheLimitedOneDoesNot) {
  RelayFleet fleet({"work", "work", "rest"});
  SetLimit(&fleet.server(0), "1");
  // The server of the own VM is preferred.
  LearnLimit(&fleet, {0});
  BOOST_TEST_REQUIRE(fleet.server(0).arrivals.size() == 1U);
  for (const char* path : {"/work/ok", "/once/ok"}) {
    for (size_t caller = 0; caller < 3; ++caller) {
      const auto calls = fleet.SendMany(
          caller, 20, path, std::string(path) + std::to_string(caller) + "-");
      BOOST_TEST_REQUIRE(fleet.RunUntilOver(calls));
      for (const auto& call : calls) {
        BOOST_TEST(call->result.response.status == 200);
      }
    }
  }
  BOOST_TEST(MostArrivals(fleet.server(0), kWindow) <= Allowed(1));
}

// What fits nowhere is refused as not run, with a time after which to return,
// long before its deadline, and never runs.
BOOST_AUTO_TEST_CASE(WhatFitsNowhereIsRefusedEarly) {
  RelayFleet fleet({"work", "rest"});
  SetLimit(&fleet.server(0), "2");
  LearnLimit(&fleet, {1});
  const TimePoint sent = BootClock::now();
  const auto calls = fleet.SendMany(1, 30, "/once/ok", "r");
  BOOST_TEST_REQUIRE(fleet.RunUntilOver(calls));
  BOOST_TEST((BootClock::now() - sent < std::chrono::milliseconds(2500)));
  size_t served = 0;
  for (const auto& call : calls) {
    const HttpResponse& answer = call->result.response;
    if (answer.status == 200) {
      ++served;
      continue;
    }
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(answer.headers.Find("Retry-After").has_value());
  }
  BOOST_TEST(fleet.server(0).arrivals.size() == 1 + served);
}

// A limit comes with refusals and failures as well.
BOOST_AUTO_TEST_CASE(LimitComesWithAnyAnswer) {
  for (const char* end : {"shed", "fail"}) {
    BOOST_TEST_CONTEXT(end) {
      RelayFleet fleet({"work", "rest"});
      SetLimit(&fleet.server(0), "2");
      const auto first = fleet.Send(1, std::string("/once/") + end, "first");
      BOOST_TEST_REQUIRE(fleet.RunUntilOver({first}));
      const auto calls = fleet.SendMany(1, 40, "/work/ok", "r");
      BOOST_TEST_REQUIRE(fleet.RunUntilOver(calls));
      BOOST_TEST(MostArrivals(fleet.server(0), kWindow) <= Allowed(2));
    }
  }
}

// Requests that were queued when the server named its limit count as well.
BOOST_AUTO_TEST_CASE(QueuedRequestsFollowANewLimit) {
  RelayFleet fleet({"work", "rest"});
  // As many as the server has slots, and 40 more.
  const auto held = fleet.SendMany(1, 104, "/work/hold", "h");
  BOOST_TEST_REQUIRE(
      RunUntil(&fleet.loop, [&] { return fleet.server(0).held() == 64; }));
  SetLimit(&fleet.server(0), "2");
  fleet.server(0).ReleaseHeldRequests(BootClock::now());
  RunFor(&fleet.loop, std::chrono::milliseconds(1500));
  BOOST_TEST(fleet.server(0).arrivals.size() <= 64 + Allowed(2));
}

// A server at a limit of 0 gets some requests, and all of them once its answers
// no longer name a limit.
BOOST_AUTO_TEST_CASE(EndOfALimitIsNoticed) {
  RelayFleet fleet({"work", "rest"});
  SetLimit(&fleet.server(0), "0");
  LearnLimit(&fleet, {1});
  fleet.server(0).notice.clear();
  for (int sent = 0; sent < 500 && fleet.server(0).arrivals.size() == 1;
       ++sent) {
    const auto call = fleet.Send(1, "/work/ok", "p" + std::to_string(sent));
    BOOST_TEST_REQUIRE(fleet.RunUntilOver({call}));
    RunFor(&fleet.loop, std::chrono::milliseconds(20));
  }
  BOOST_TEST_REQUIRE(fleet.server(0).arrivals.size() > 1U);
  const auto calls = fleet.SendMany(1, 40, "/work/ok", "r");
  BOOST_TEST_REQUIRE(fleet.RunUntilOver(calls));
  for (const auto& call : calls) {
    BOOST_TEST(call->result.response.status == 200);
  }
}

// A value that cannot be read neither sets nor ends a limit, and is logged.
BOOST_AUTO_TEST_CASE(UnreadableLimitChangesNothing) {
  RelayFleet fleet({"work", "rest"});
  SetLimit(&fleet.server(0), "none");
  LearnLimit(&fleet, {1});
  const auto before = fleet.SendMany(1, 20, "/work/ok", "a");
  BOOST_TEST_REQUIRE(fleet.RunUntilOver(before));
  BOOST_TEST(fleet.server(0).arrivals.size() == 21U);
  SetLimit(&fleet.server(0), "2");
  LearnLimit(&fleet, {1});
  SetLimit(&fleet.server(0), "-1");
  const size_t arrivals = fleet.server(0).arrivals.size();
  const auto after = fleet.SendMany(1, 40, "/work/ok", "b");
  BOOST_TEST_REQUIRE(fleet.RunUntilOver(after));
  BOOST_TEST(fleet.server(0).arrivals.size() <= arrivals + Allowed(2));
}

// Refusals name the limit and the request whose answer named it.
BOOST_AUTO_TEST_CASE(RefusalsNameTheirLimit) {
  RelayFleet fleet({"work", "rest"});
  SetLimit(&fleet.server(0), "2");
  LearnLimit(&fleet, {1});
  const auto calls = fleet.SendMany(1, 20, "/work/ok", "r");
  BOOST_TEST_REQUIRE(fleet.RunUntilOver(calls));
  fleet.log.log.Flush();
  const std::string text = fleet.log.Read();
  BOOST_TEST(text.find("event=server-limit vm=test server=server-0 limit=2 "
                       "before=none source=answer request=first-1 ") !=
             std::string::npos);
  const size_t at = text.find("event=rate-limited vm=test request=r");
  BOOST_TEST_REQUIRE(at != std::string::npos);
  const std::string line = text.substr(at, text.find('\n', at) - at);
  BOOST_TEST(line.find(" server=server-0 limit=2 limit_request=") !=
             std::string::npos);
  BOOST_TEST(text.find(" reason=rate-limited ") != std::string::npos);
}

// Only one process can listen at the address at which other nodes reach the
// node of a VM, so no two nodes send to a server at the same time.
BOOST_AUTO_TEST_CASE(OneNodeSendsToAServer) {
  RelayFleet fleet({"work"});
  EventLog log(-1, "test");
  Relay second(&fleet.loop, fleet.settings(0), &log, BootClock::now());
  std::string reason;
  BOOST_TEST(!second.Start(&reason));
  BOOST_TEST(!reason.empty());
}

}  // namespace
}  // namespace vanillatiller
