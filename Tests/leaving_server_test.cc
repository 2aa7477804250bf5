// Backend servers that say in their answers that they are leaving.
#define BOOST_TEST_MODULE leaving_server
#include <boost/test/unit_test.hpp>
#include <string>
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

}  // namespace
}  // namespace vanillatiller
