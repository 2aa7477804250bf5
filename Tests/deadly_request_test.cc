#define BOOST_TEST_MODULE deadly_request
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "relay_fleet.h"

namespace vanillatiller {
namespace {

// Every server that runs a certain request ends. Its client sends it again with
// a new ID, through any node. Each node alone sees a server that breaks off,
// and sends the request to the next one, so that all servers of the service
// end. Once it has ended three servers, it must be sent to no other.
BOOST_AUTO_TEST_CASE(EndsFewServers) {
  constexpr size_t kNodes = 6;
  constexpr size_t kTries = 12;
  constexpr size_t kMostEnded = 3;
  RelayFleet fleet(std::vector<std::string>(kNodes, "work"));
  size_t ended = 0;
  for (size_t i = 0; i < kTries; ++i) {
    const auto call =
        fleet.Send(i % kNodes, "/work/hold", "try-" + std::to_string(i));
    BOOST_TEST_REQUIRE(RunUntil(&fleet.loop, [&] {
      for (size_t node = 0; node < kNodes; ++node) {
        ended += fleet.server(node).EndHeldRequests();
      }
      return call->is_over;
    }));
    // Others are served all the while.
    const auto other =
        fleet.Send(i % kNodes, "/work/ok", "other-" + std::to_string(i));
    BOOST_TEST_REQUIRE(RunUntil(&fleet.loop, [&] { return other->is_over; }));
    BOOST_TEST(other->result.response.status == 200);
  }
  BOOST_TEST(ended <= kMostEnded);
}

}  // namespace
}  // namespace vanillatiller
