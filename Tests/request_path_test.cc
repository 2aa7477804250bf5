#define BOOST_TEST_MODULE request_path
#include <signal.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <thread>

#include "process_fleet.h"

namespace vanillatiller {
namespace {

constexpr std::string_view kConfig = R"(version = 1
[[rank]]
name = "urgent"
order = 0
protected = true
[[rank]]
name = "normal"
order = 1
[[service]]
name = "permits"
slots = 16
[[service.method]]
name = "show"
rank = "normal"
idempotent = true
timeout_ms = 5000
calls = ["ledger.read"]
[[service]]
name = "ledger"
slots = 16
[[service.method]]
name = "read"
rank = "normal"
idempotent = true
timeout_ms = 5000
calls = ["records.find"]
[[service]]
name = "records"
slots = 16
[[service.method]]
name = "find"
rank = "normal"
idempotent = true
timeout_ms = 5000
)";

std::vector<ProcessFleet::ServerSpec> ChainOfThree() {
  std::vector<ProcessFleet::ServerSpec> servers(3);
  servers[0].vm = "vm-1";
  servers[0].service = "permits";
  servers[0].stub_flags = {"--calls=show=ledger.read"};
  servers[1].vm = "vm-2";
  servers[1].service = "ledger";
  servers[1].stub_flags = {"--calls=read=records.find"};
  servers[2].vm = "vm-3";
  servers[2].service = "records";
  return servers;
}

// Guards against a missing hop in the call chain and against an answer that
// omits part of it.
BOOST_AUTO_TEST_CASE(AnswersThroughThreeServices) {
  ProcessFleet fleet(kConfig, ChainOfThree());
  BOOST_TEST_REQUIRE(fleet.WaitUntilReady(std::chrono::seconds(20)));
  // Send the request to a node of a different service than the called one.
  const auto result = fleet.Post(2, "/permits/show", {}, "{\"spot\":1}");
  BOOST_TEST_REQUIRE(static_cast<bool>(result));
  BOOST_TEST(result->status == 200);
  BOOST_TEST(result->get_header_value("X-Vt-Outcome") == "complete");
  BOOST_TEST(result->get_header_value("X-Vt-Attempts") == "3");
  const auto body = nlohmann::json::parse(result->body);
  BOOST_TEST(body["service"] == "permits");
  BOOST_TEST(body["calls"][0]["service"] == "ledger");
  BOOST_TEST(body["calls"][0]["calls"][0]["service"] == "records");
  BOOST_TEST(body["request"] == body["calls"][0]["calls"][0]["request"]);
}

struct RefusalCase {
  const char* path;
  httplib::Headers headers;
  size_t body_bytes;
  int status;
  const char* reason;
};

// Guards against invalid input that executes a call or crashes the node.
BOOST_AUTO_TEST_CASE(RefusesBadInput) {
  ProcessFleet fleet(kConfig, ChainOfThree());
  BOOST_TEST_REQUIRE(fleet.WaitUntilReady(std::chrono::seconds(20)));
  const std::vector<RefusalCase> cases = {
      {"/nowhere/show", {}, 2, 404, "unknown-service"},
      {"/permits/nothing", {}, 2, 404, "unknown-method"},
      {"/permits/show", {{"X-Vt-Timeout-Ms", "-1"}}, 2, 400, "bad-request"},
      {"/permits/show", {{"X-Vt-Timeout-Ms", "1e9"}}, 2, 400, "bad-request"},
      {"/permits/show", {}, (1 << 20) + 1, 413, "too-large"},
  };
  for (const RefusalCase& entry : cases) {
    const auto result = fleet.Post(0, entry.path, entry.headers,
                                   std::string(entry.body_bytes, 'x'));
    BOOST_TEST_REQUIRE(static_cast<bool>(result), entry.path);
    BOOST_TEST(result->status == entry.status, entry.path);
    BOOST_TEST(result->get_header_value("X-Vt-Reason") == entry.reason);
  }
  BOOST_TEST(ProcessFleet::Get(fleet.server(0).backend_port,
                               "/control/executions") == "{}");
  BOOST_TEST(fleet.Post(0, "/permits/show", {}, "{}")->status == 200);
}

// Guards against a graceful shutdown that drops requests in flight (P7).
BOOST_AUTO_TEST_CASE(PlannedStopFinishesRequestsInFlight) {
  std::vector<ProcessFleet::ServerSpec> servers = ChainOfThree();
  servers[2].stub_flags = {"--service_ms=800"};
  ProcessFleet fleet(kConfig, std::move(servers));
  BOOST_TEST_REQUIRE(fleet.WaitUntilReady(std::chrono::seconds(20)));
  int status = 0;
  std::thread caller([&] {
    const auto result = fleet.Post(0, "/permits/show", {}, "{}");
    if (result) status = result->status;
  });
  // Wait until the call has reached the slow third service.
  const auto wait_deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (ProcessFleet::Get(fleet.server(2).backend_port,
                           "/control/executions") == "{}" &&
         std::chrono::steady_clock::now() < wait_deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  for (const size_t node : {0, 1, 2}) fleet.SignalNode(node, SIGTERM);
  caller.join();
  BOOST_TEST(status == 200);
  for (const size_t node : {0, 1, 2}) {
    BOOST_TEST(fleet.WaitForNodeExit(node, std::chrono::seconds(20)) == 0);
  }
}

}  // namespace
}  // namespace vanillatiller
