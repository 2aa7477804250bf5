#define BOOST_TEST_MODULE at_most_once
#include <signal.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>
#include <thread>

#include "process_fleet.h"

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kConfig = R"(version = 1
[[rank]]
name = "normal"
order = 0
[[service]]
name = "permits"
slots = 64
[[service.method]]
name = "book"
rank = "normal"
idempotent = false
timeout_ms = 3000
calls = ["ledger.charge"]
[[service.method]]
name = "show"
rank = "normal"
idempotent = true
timeout_ms = 3000
[[service]]
name = "ledger"
slots = 64
[[service.method]]
name = "charge"
rank = "normal"
idempotent = false
timeout_ms = 3000
)";

constexpr milliseconds kRefusalDelay{100};
// ID in requests that are only sent to wait for fleet startup.
constexpr const char* kWarmUpId = "warm-up";
constexpr size_t kEntry = 0;
constexpr size_t kOtherEntry = 1;
constexpr size_t kCallee = 2;
constexpr size_t kOtherCallee = 3;

// Two entry nodes, and two servers of "ledger" behind network relays.
std::vector<ProcessFleet::ServerSpec> Servers(int service_ms) {
  std::vector<ProcessFleet::ServerSpec> servers(4);
  const std::string service = "--service_ms=" + std::to_string(service_ms);
  for (size_t i = 0; i < servers.size(); ++i) {
    const bool is_callee = i >= kCallee;
    servers[i].vm = "vm-" + std::to_string(i);
    servers[i].service = is_callee ? "ledger" : "permits";
    servers[i].behind_relay = is_callee;
    servers[i].stub_flags = {is_callee ? service
                                       : "--calls=show=ledger.charge"};
  }
  return servers;
}

std::vector<ProcessFleet::ServerSpec> OneCallee(int service_ms) {
  std::vector<ProcessFleet::ServerSpec> servers = Servers(service_ms);
  servers.pop_back();
  return servers;
}

struct Answer {
  int status = 0;
  std::string outcome;
  std::string reason;
  std::string ticket;
  std::string body;
};

Answer Send(const ProcessFleet& fleet, size_t node, const std::string& id,
            const std::string& ticket,
            const std::string& path = "/ledger/charge") {
  httplib::Headers headers;
  if (!ticket.empty()) headers.emplace("X-Vt-Ticket", ticket);
  const auto result =
      fleet.Post(node, path, headers, "{\"id\":\"" + id + "\"}");
  if (!result) return {};
  return {result->status, result->get_header_value("X-Vt-Outcome"),
          result->get_header_value("X-Vt-Reason"),
          result->get_header_value("X-Vt-Ticket"), result->body};
}

std::string FetchTicket(const ProcessFleet& fleet, size_t node) {
  return Send(fleet, node, "ticket", "").ticket;
}

// Number of executions on all backend servers, by the ID in the body.
std::map<std::string, int> Executions(ProcessFleet& fleet, size_t servers) {
  std::map<std::string, int> counts;
  for (size_t i = kCallee; i < servers; ++i) {
    std::istringstream lines(
        ProcessFleet::Get(fleet.server(i).backend_port, "/executions"));
    for (std::string line; std::getline(lines, line);) {
      ++counts[line.substr(0, line.find(' '))];
    }
  }
  counts.erase(kWarmUpId);
  return counts;
}

// Waits until both entry nodes are connected to the callees.
bool WaitUntilServing(ProcessFleet& fleet) {
  if (!fleet.WaitUntilReady(seconds(20))) return false;
  for (const size_t node : {kEntry, kOtherEntry}) {
    int tries = 0;
    while (Send(fleet, node, kWarmUpId, FetchTicket(fleet, node)).outcome !=
           "complete") {
      if (++tries > 100) return false;
      std::this_thread::sleep_for(milliseconds(50));
    }
  }
  return true;
}

bool WaitForExecution(ProcessFleet& fleet, size_t servers,
                      const std::string& id) {
  for (int i = 0; i < 1000; ++i) {
    if (Executions(fleet, servers).contains(id)) return true;
    std::this_thread::sleep_for(milliseconds(5));
  }
  return false;
}

// Guards against executing a non-idempotent request without a ticket, executing
// it twice with one ticket, and returning the answer of another request.
BOOST_AUTO_TEST_CASE(Tickets) {
  ProcessFleet fleet(kConfig, OneCallee(5));
  BOOST_TEST_REQUIRE(WaitUntilServing(fleet));
  const Answer refused = Send(fleet, kEntry, "a", "");
  BOOST_TEST(refused.status == 409);
  BOOST_TEST(refused.outcome == "not-run");
  BOOST_TEST(refused.reason == "ticket-required");
  const Answer first = Send(fleet, kEntry, "a", refused.ticket);
  BOOST_TEST(first.outcome == "complete");
  BOOST_TEST((!first.ticket.empty() && first.ticket != refused.ticket));
  // The other node forwards the duplicate to the issuer.
  const Answer duplicate = Send(fleet, kOtherEntry, "a", refused.ticket);
  BOOST_TEST(duplicate.outcome == "complete");
  BOOST_TEST(duplicate.body == first.body);
  const Answer other_body = Send(fleet, kOtherEntry, "b", refused.ticket);
  BOOST_TEST(other_body.outcome == "not-run");
  BOOST_TEST(other_body.reason == "ticket-invalid");
  std::string forged = first.ticket;
  forged.back() = forged.back() == 'A' ? 'Q' : 'A';
  BOOST_TEST(Send(fleet, kEntry, "c", forged).reason == "ticket-invalid");
  BOOST_TEST(Send(fleet, kEntry, "d", "x").reason == "ticket-invalid");
  BOOST_TEST((Executions(fleet, 3) == std::map<std::string, int>{{"a", 1}}));
}

// Guards against a restarted issuer that reports "not run" for a ticket of its
// previous incarnation, or executes the request again.
BOOST_AUTO_TEST_CASE(TicketOfRestartedIssuer) {
  ProcessFleet fleet(kConfig, OneCallee(5));
  BOOST_TEST_REQUIRE(WaitUntilServing(fleet));
  const std::string ticket = FetchTicket(fleet, kEntry);
  BOOST_TEST(Send(fleet, kEntry, "a", ticket).outcome == "complete");
  fleet.SignalNode(kEntry, SIGKILL);
  fleet.WaitForNodeExit(kEntry, seconds(5));
  fleet.StartNode(kEntry);
  BOOST_TEST_REQUIRE(WaitUntilServing(fleet));
  const Answer answer = Send(fleet, kEntry, "a", ticket);
  BOOST_TEST(answer.outcome == "unknown");
  BOOST_TEST(answer.reason == "unknown-incarnation");
  BOOST_TEST(Executions(fleet, 3)["a"] == 1);
}

// Guards against executing a duplicate while the original request is running.
BOOST_AUTO_TEST_CASE(DuplicateWaitsForRunningRequest) {
  ProcessFleet fleet(kConfig, OneCallee(300));
  BOOST_TEST_REQUIRE(WaitUntilServing(fleet));
  const std::string ticket = FetchTicket(fleet, kEntry);
  std::vector<Answer> answers(3);
  std::vector<std::thread> callers;
  for (size_t i = 0; i < answers.size(); ++i) {
    callers.emplace_back(
        [&, i] { answers[i] = Send(fleet, i % 2, "a", ticket); });
  }
  for (std::thread& caller : callers) caller.join();
  for (const Answer& answer : answers) {
    BOOST_TEST(answer.outcome == "complete");
    BOOST_TEST(answer.body == answers[0].body);
  }
  BOOST_TEST(Executions(fleet, 3)["a"] == 1);
}

// Guards against a second execution, or a lost answer, when the connection
// stops responding while the call is running. The fence must fetch the answer.
BOOST_AUTO_TEST_CASE(AnswerLostAfterExecution) {
  ProcessFleet fleet(kConfig, Servers(700));
  BOOST_TEST_REQUIRE(WaitUntilServing(fleet));
  const std::string ticket = FetchTicket(fleet, kEntry);
  Answer answer;
  std::thread caller([&] { answer = Send(fleet, kEntry, "a", ticket); });
  BOOST_TEST(WaitForExecution(fleet, 4, "a"));
  for (const size_t callee : {kCallee, kOtherCallee}) {
    ProcessFleet::PostControl(fleet.server(callee).relay_control_port,
                              "/control/silence", "");
  }
  caller.join();
  BOOST_TEST(answer.outcome == "complete");
  BOOST_TEST(Executions(fleet, 4)["a"] == 1);
}

// Guards against a paused node that executes a call after the outcome was
// reported to the caller. The cancellation does not reach the node, so it can
// detect the expired call only by the deadline on its own clock.
BOOST_AUTO_TEST_CASE(ResumedCalleeRefusesExpiredCalls) {
  ProcessFleet fleet(kConfig, OneCallee(5));
  BOOST_TEST_REQUIRE(WaitUntilServing(fleet));
  const std::string ticket = FetchTicket(fleet, kEntry);
  fleet.SignalNode(kCallee, SIGSTOP);
  Answer answer;
  std::thread caller([&] { answer = Send(fleet, kEntry, "a", ticket); });
  std::this_thread::sleep_for(milliseconds(200));
  ProcessFleet::PostControl(fleet.server(kCallee).relay_control_port,
                            "/control/cut", "");
  caller.join();
  BOOST_TEST(answer.outcome == "unknown");
  fleet.SignalNode(kCallee, SIGCONT);
  std::this_thread::sleep_for(milliseconds(1500));
  BOOST_TEST(Executions(fleet, 3)["a"] == 0);
}

// Guards against a second execution on another server, and against a false
// "not run", when the node is killed while its backend server executes the
// call.
BOOST_AUTO_TEST_CASE(CalleeKilledDuringExecution) {
  ProcessFleet fleet(kConfig, OneCallee(500));
  BOOST_TEST_REQUIRE(WaitUntilServing(fleet));
  const std::string ticket = FetchTicket(fleet, kEntry);
  Answer answer;
  std::thread caller([&] { answer = Send(fleet, kEntry, "a", ticket); });
  BOOST_TEST(WaitForExecution(fleet, 3, "a"));
  fleet.SignalNode(kCallee, SIGKILL);
  fleet.WaitForNodeExit(kCallee, seconds(5));
  fleet.StartNode(kCallee);
  caller.join();
  BOOST_TEST(answer.outcome == "unknown");
  BOOST_TEST(Send(fleet, kOtherEntry, "a", ticket).outcome == "unknown");
  BOOST_TEST(Executions(fleet, 3)["a"] == 1);
}

// Guards against a non-idempotent call made by an idempotent method, which a
// retry of the idempotent call would execute again. The backend server makes
// the call without a declaration in the configuration.
BOOST_AUTO_TEST_CASE(NonIdempotentBelowIdempotentIsRefused) {
  ProcessFleet fleet(kConfig, OneCallee(5));
  BOOST_TEST_REQUIRE(WaitUntilServing(fleet));
  const Answer answer = Send(fleet, kEntry, "a", "", "/permits/show");
  BOOST_TEST(answer.reason == "not-idempotent");
  BOOST_TEST(Executions(fleet, 3).empty());
}

// Sends requests sequentially and returns their outcomes. A request with an
// unknown outcome is sent once more with the same ticket.
std::multimap<std::string, std::string> MakeRequests(const ProcessFleet& fleet,
                                                     const std::string& name,
                                                     size_t node, int count) {
  std::multimap<std::string, std::string> outcomes;
  std::string ticket = FetchTicket(fleet, node);
  for (int i = 0; i < count; ++i) {
    const std::string id = name + std::to_string(i);
    Answer answer = Send(fleet, node, id, ticket);
    outcomes.emplace(id, answer.outcome);
    if (answer.outcome == "unknown") {
      answer = Send(fleet, 1 - node, id, ticket);
      outcomes.emplace(id, answer.outcome);
    }
    // A refusal is immediate, while the injected fault lasts longer; the delay
    // keeps the requests from all being refused during one fault.
    if (answer.outcome == "not-run") std::this_thread::sleep_for(kRefusalDelay);
    ticket = answer.ticket.empty() ? FetchTicket(fleet, node) : answer.ticket;
  }
  return outcomes;
}

void InjectFault(ProcessFleet& fleet, size_t servers, std::mt19937& random) {
  const size_t callee = kCallee + random() % (servers - kCallee);
  switch (random() % 3) {
    case 0:
      ProcessFleet::PostControl(fleet.server(callee).relay_control_port,
                                "/control/silence", "");
      return;
    case 1:
      fleet.SignalNode(callee, SIGSTOP);
      std::this_thread::sleep_for(milliseconds(100 + random() % 1500));
      fleet.SignalNode(callee, SIGCONT);
      return;
    default:
      fleet.SignalNode(callee, SIGKILL);
      fleet.WaitForNodeExit(callee, seconds(5));
      fleet.StartNode(callee);
  }
}

// Sends requests under random faults and checks their outcomes against the
// recorded executions. Returns the number of requests per outcome.
std::map<std::string, int> CheckUnderFaults(
    std::vector<ProcessFleet::ServerSpec> specs) {
  const size_t servers = specs.size();
  ProcessFleet fleet(kConfig, std::move(specs));
  BOOST_TEST_REQUIRE(WaitUntilServing(fleet));
  std::vector<std::multimap<std::string, std::string>> outcomes(8);
  std::vector<std::thread> callers;
  for (size_t i = 0; i < outcomes.size(); ++i) {
    callers.emplace_back([&, i] {
      const std::string name = "c" + std::to_string(i) + "-";
      outcomes[i] = MakeRequests(fleet, name, i % 2, 25);
    });
  }
  std::mt19937 random(20261204);
  for (int i = 0; i < 10; ++i) {
    InjectFault(fleet, servers, random);
    std::this_thread::sleep_for(milliseconds(200));
  }
  for (std::thread& caller : callers) caller.join();
  std::this_thread::sleep_for(milliseconds(500));

  const std::map<std::string, int> executions = Executions(fleet, servers);
  std::map<std::string, int> totals;
  for (const auto& [id, count] : executions) BOOST_TEST(count == 1, id);
  for (const auto& part : outcomes) {
    for (const auto& [id, outcome] : part) {
      ++totals[outcome];
      if (outcome == "not-run") BOOST_TEST(executions.count(id) == 0U, id);
      if (outcome == "complete") BOOST_TEST(executions.count(id) == 1U, id);
    }
  }
  for (const auto& [outcome, count] : totals) {
    BOOST_TEST_MESSAGE(outcome << ": " << count);
  }
  return totals;
}

// Guards against double execution and a false "not run" under lost answers,
// pauses and restarts in random order (P4, P5). With a second server available,
// most calls complete.
BOOST_AUTO_TEST_CASE(RandomFaultsWithTwoServers) {
  BOOST_TEST(CheckUnderFaults(Servers(20))["complete"] > 100);
}

// The same checks with a single server, where calls cannot be retried on
// another server and some must be reported as "not run".
BOOST_AUTO_TEST_CASE(RandomFaultsWithOneServer) {
  BOOST_TEST(CheckUnderFaults(OneCallee(20))["not-run"] > 0);
}

}  // namespace
}  // namespace vanillatiller
