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

}  // namespace
}  // namespace vanillatiller
