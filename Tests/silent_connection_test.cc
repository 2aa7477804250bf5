#define BOOST_TEST_MODULE silent_connection
#include <signal.h>

#include <boost/test/unit_test.hpp>
#include <chrono>

#include "process_fleet.h"

namespace vanillatiller {
namespace {

constexpr std::string_view kConfig = R"(version = 1
[[rank]]
name = "normal"
order = 0
[[service]]
name = "ledger"
slots = 16
[[service.method]]
name = "read"
rank = "normal"
idempotent = true
timeout_ms = 10000
[[service]]
name = "permits"
slots = 16
[[service.method]]
name = "show"
rank = "normal"
idempotent = true
timeout_ms = 10000
)";

std::vector<ProcessFleet::ServerSpec> Servers() {
  std::vector<ProcessFleet::ServerSpec> servers(2);
  servers[0].vm = "vm-1";
  servers[0].service = "permits";
  servers[1].vm = "vm-2";
  servers[1].service = "ledger";
  servers[1].behind_relay = true;
  return servers;
}

std::chrono::milliseconds TimeUntilAnswered(const ProcessFleet& fleet,
                                            std::chrono::seconds limit) {
  const auto start = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - start < limit) {
    const auto result = fleet.Post(0, "/ledger/read", {}, "{}");
    if (result && result->status == 200) break;
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - start);
}

// Guards against a connection that stays silent permanently while new ones
// would work. Without the connection monitor, all calls to the peer keep using
// it until their deadline.
BOOST_AUTO_TEST_CASE(SilentConnectionIsReplaced) {
  ProcessFleet fleet(kConfig, Servers());
  BOOST_TEST_REQUIRE(fleet.WaitUntilReady(std::chrono::seconds(20)));
  BOOST_TEST(fleet.Post(0, "/ledger/read", {}, "{}")->status == 200);
  for (int round = 0; round < 2; ++round) {
    BOOST_TEST(ProcessFleet::PostControl(fleet.server(1).relay_control_port,
                                         "/control/silence", ""));
    const auto time = TimeUntilAnswered(fleet, std::chrono::seconds(9));
    BOOST_TEST(time.count() < 5000);
  }
}

// Guards against replacing the connection of a slow backend server, which would
// abort its running calls.
BOOST_AUTO_TEST_CASE(SlowServerKeepsItsConnection) {
  std::vector<ProcessFleet::ServerSpec> servers = Servers();
  servers[1].stub_flags = {"--service_ms=3000"};
  ProcessFleet fleet(kConfig, std::move(servers));
  BOOST_TEST_REQUIRE(fleet.WaitUntilReady(std::chrono::seconds(20)));
  const auto result = fleet.Post(0, "/ledger/read", {}, "{}");
  BOOST_TEST_REQUIRE(static_cast<bool>(result));
  BOOST_TEST(result->status == 200);
  BOOST_TEST(result->get_header_value("X-Vt-Attempts") == "1");
}

}  // namespace
}  // namespace vanillatiller
