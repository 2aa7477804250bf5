#define BOOST_TEST_MODULE operators
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "fleetconfig/fleetconfig.h"
#include "process_fleet.h"

namespace vanillatiller {
namespace {

constexpr std::string_view kConfig = R"(version = 1
[[rank]]
name = "urgent"
order = 0
protected = true
[[tenant]]
name = "press-a"
[[service]]
name = "permits"
slots = 16
[[service.method]]
name = "show"
rank = "urgent"
idempotent = true
timeout_ms = 5000
calls = ["records.find"]
[[service]]
name = "records"
slots = 16
[[service.method]]
name = "find"
rank = "urgent"
idempotent = true
timeout_ms = 5000
)";

struct CommandResult {
  int status = -1;
  std::string out;
};

// Runs vtctl and captures its standard output. Standard error is inherited.
CommandResult RunVtctl(const std::string& arguments) {
  const std::string command = VT_VTCTL_BINARY " " + arguments;
  CommandResult result;
  FILE* pipe = popen(command.c_str(), "r");
  char buffer[4096];
  size_t length = 0;
  while ((length = fread(buffer, 1, sizeof(buffer), pipe)) > 0) {
    result.out.append(buffer, length);
  }
  const int status = pclose(pipe);
  result.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return result;
}

std::string PeerAddress(ProcessFleet& fleet, size_t index) {
  return "127.0.0.1:" + std::to_string(fleet.server(index).peer_port);
}

// Two services in a chain; the second one runs on two nodes.
std::vector<ProcessFleet::ServerSpec> TestServers() {
  std::vector<ProcessFleet::ServerSpec> servers(3);
  servers[0] = {.vm = "vm-1", .service = "permits"};
  servers[0].stub_flags = {"--calls=show=records.find"};
  servers[1] = {.vm = "vm-2", .service = "records"};
  servers[2] = {.vm = "vm-3", .service = "records"};
  servers[2].failure_domain = "north-2";
  return servers;
}

std::string WriteNote(uint64_t from, uint64_t to, bool is_initial) {
  Findings findings;
  FleetConfig before = *LoadFleetConfig(kConfig, "config", &findings);
  FleetConfig after = before;
  before.version = from;
  after.version = to;
  if (is_initial) {
    before.tenants.clear();
  } else {
    after.tenants[0].weight = 5;
  }
  char path[] = "/tmp/vanillatiller-note-XXXXXX";
  close(mkstemp(path));
  std::ofstream(path) << FormatNote(DiffNote(before, after));
  return path;
}

// Guards against requests missing from the counters, against metrics or status
// that are not served, and against commands that fail on running nodes.
BOOST_AUTO_TEST_CASE(CommandsWorkOnRunningNodes) {
  ProcessFleet fleet(kConfig, TestServers());
  BOOST_TEST_REQUIRE(fleet.WaitUntilReady(std::chrono::seconds(20)));
  constexpr int kRequests = 10;
  for (int i = 0; i < kRequests; ++i) {
    const auto answer =
        fleet.Post(0, "/permits/show", {{"X-Vt-Tenant", "press-a"}}, "{}");
    BOOST_TEST_REQUIRE((answer && answer->status == 200));
  }
  const std::string nodes = "--nodes=" + PeerAddress(fleet, 0) + "," +
                            PeerAddress(fleet, 1) + "," + PeerAddress(fleet, 2);

  const std::string metrics =
      ProcessFleet::Get(fleet.server(0).admin_port, "/metrics");
  for (const std::string line :
       {"edge_calls_total{caller=\"\",callee=\"permits\",rank=\"urgent\"} 10\n",
        "edge_calls_total{caller=\"permits\",callee=\"records\","
        "rank=\"urgent\"} 10\n",
        "request_latency_seconds_count{tenant=\"press-a\",service=\"permits\","
        "rank=\"urgent\"} 10\n",
        "vanillatiller_offered_total 10\n", "vanillatiller_slots 16\n"}) {
    BOOST_TEST(metrics.find(line) != std::string::npos, line << metrics);
  }

  const CommandResult status = RunVtctl("status --json " + nodes);
  BOOST_TEST(status.status == 0);
  const auto json = nlohmann::json::parse(status.out, nullptr, false);
  BOOST_TEST_REQUIRE(json.is_object());
  BOOST_TEST(json["nodes"].size() == 3U);
  BOOST_TEST(json["nodes"][0]["complete"] == 2 * kRequests);

  const CommandResult histogram = RunVtctl("histogram --json " + nodes);
  const auto histograms =
      nlohmann::json::parse(histogram.out, nullptr, false)["histograms"];
  BOOST_TEST_REQUIRE(histograms.size() == 2U);
  BOOST_TEST(histograms[0]["latency"]["count"] == kRequests);
  BOOST_TEST(RunVtctl("members " + nodes).status == 0);

  // The note that created version 1 is in force; the note for version 2 is not.
  BOOST_TEST(RunVtctl("verify " + WriteNote(0, 1, true) + " " + nodes).status ==
             0);
  const CommandResult differs =
      RunVtctl("verify --deadline=1s " + WriteNote(1, 2, false) + " " + nodes);
  BOOST_TEST(differs.status == 2);
  BOOST_TEST(
      differs.out.find("changed tenant \"press-a\" has different fields") !=
      std::string::npos);

  BOOST_TEST(RunVtctl("drain " + PeerAddress(fleet, 2)).status == 0);
  BOOST_TEST(fleet.WaitForNodeExit(2, std::chrono::seconds(20)) == 0);
  BOOST_TEST(RunVtctl("status --timeout=1s " + nodes).status == 3);
}

// Guards against an overload of the last service of the chain that is
// attributed to the network or to another service. 16 concurrent requests
// compete for 4 slots with a service time of 50 ms, so the slots are occupied
// on any machine.
BOOST_AUTO_TEST_CASE(DiagnoseReportsTheOverloadedService) {
  std::string config(kConfig);
  const size_t slots = config.rfind("slots = 16");
  config.replace(slots, 10, "slots = 2");
  auto servers = TestServers();
  for (size_t i : {1, 2}) {
    servers[i].stub_flags = {"--service_ms=50", "--slots=2"};
  }
  ProcessFleet fleet(config, servers);
  BOOST_TEST_REQUIRE(fleet.WaitUntilReady(std::chrono::seconds(20)));
  std::atomic<bool> stop_callers{false};
  constexpr int kCallers = 16;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] {
      while (!stop_callers) {
        fleet.Post(0, "/permits/show", {{"X-Vt-Tenant", "press-a"}}, "{}");
      }
    });
  }
  const CommandResult result =
      RunVtctl("diagnose --json --window=4s --nodes=" + PeerAddress(fleet, 0) +
               "," + PeerAddress(fleet, 1) + "," + PeerAddress(fleet, 2));
  stop_callers = true;
  for (std::thread& caller : callers) caller.join();
  BOOST_TEST_MESSAGE(result.out);
  BOOST_TEST(result.status == 2, result.out);
  const auto diagnosis = nlohmann::json::parse(result.out, nullptr, false);
  BOOST_TEST_REQUIRE(diagnosis.is_object());
  BOOST_TEST_REQUIRE(diagnosis["origins"].size() == 1U, result.out);
  BOOST_TEST(diagnosis["origins"][0]["service"] == "records", result.out);
  for (const auto& edge : diagnosis["edges"]) {
    if (edge["callee"] != "records") continue;
    // On a machine with a saturated CPU, network transit may be slow as well.
    const bool is_overload =
        edge["verdict"] == "overload" || edge["verdict"] == "both";
    BOOST_TEST(is_overload, result.out);
  }
}

}  // namespace
}  // namespace vanillatiller
