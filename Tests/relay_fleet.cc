#include "relay_fleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace vanillatiller {
namespace {

constexpr uint32_t kSlots = 64;

RelayRoute MakeRoute(const std::string& name, const std::string& service,
                     bool idempotent, uint32_t rank) {
  RelayRoute route;
  route.name = name;
  route.authority = "test.example";
  route.prefix = "/" + name + "/";
  route.idempotent = idempotent;
  route.rank = rank;
  route.timeout = std::chrono::seconds(5);
  route.max_attempts = 2;
  route.shares = {{service, 1}};
  return route;
}

RelayConfig TestConfig() {
  RelayConfig config;
  config.version = 1;
  config.routes = {
      MakeRoute("work", "work", true, 1), MakeRoute("rest", "rest", true, 1),
      MakeRoute("once", "work", false, 1), MakeRoute("urgent", "work", true, 0),
      MakeRoute("bulk", "work", true, 3)};
  return config;
}

std::string IpOf(size_t node) { return "127.0.1." + std::to_string(node + 1); }

}  // namespace

RelayFleet::RelayFleet(const std::vector<std::string>& services)
    : m_nodes(services.size()) {
  const uint16_t peer_port = FreeLoopbackPort();
  for (size_t i = 0; i < m_nodes.size(); ++i) {
    Node& node = m_nodes[i];
    node.service = services[i];
    node.server_id = "server-" + std::to_string(i);
    RelaySettings& settings = node.settings;
    settings.vm = "vm-" + std::to_string(i);
    settings.service = node.service;
    settings.locality.vm_ip = IpOf(i);
    settings.locality.failure_domain = "domain";
    settings.locality.regions = {{"domain", "region"}};
    settings.locality.peer_port = peer_port;
    settings.caller_listener = {IpOf(i), FreeLoopbackPort()};
    settings.peer_listener = {IpOf(i), peer_port};
    settings.health_listener = {IpOf(i), FreeLoopbackPort()};
    settings.server = {IpOf(i), FreeLoopbackPort()};
    settings.names = TestNames();
    settings.incarnation = 1000 * (i + 1);
    node.server = std::make_unique<FakeServer>(&loop, settings.server);
  }
  for (Node& node : m_nodes) Start(&node);
}

RelayFleet::~RelayFleet() = default;

void RelayFleet::Start(Node* node) {
  const TimePoint now = BootClock::now();
  node->relay = std::make_unique<Relay>(&loop, node->settings, &log.log, now);
  std::string reason;
  BOOST_TEST_REQUIRE(node->relay->Start(&reason), reason);
  node->relay->ApplyConfig(TestConfig(), now);
  std::vector<ServerRecord> list;
  for (size_t i = 0; i < m_nodes.size(); ++i) list.push_back(RecordOf(i));
  node->relay->ApplyServers(list, {0, 1}, now);
}

ServerRecord RelayFleet::RecordOf(size_t node) const {
  ServerRecord record;
  record.id = m_nodes.at(node).server_id;
  record.service = m_nodes.at(node).service;
  record.address = m_nodes.at(node).settings.server;
  record.failure_domain = "domain";
  record.slots = kSlots;
  record.started_ms = 1;
  record.revision = {0, 1};
  return record;
}

void RelayFleet::ApplyList(uint64_t revision) {
  std::vector<ServerRecord> list;
  for (size_t i = 0; i < m_nodes.size(); ++i) {
    list.push_back(RecordOf(i));
    list.back().revision = {0, revision};
  }
  for (Node& node : m_nodes) {
    node.relay->ApplyServers(list, {0, revision}, BootClock::now());
  }
}

std::shared_ptr<FakeCall> RelayFleet::Send(size_t node, const std::string& path,
                                           const std::string& id,
                                           Duration time_left) {
  return SendTestRequest(&loop, m_nodes.at(node).settings.caller_listener, path,
                         id, time_left);
}

std::vector<std::shared_ptr<FakeCall>> RelayFleet::SendMany(
    size_t node, size_t count, const std::string& path,
    const std::string& prefix) {
  std::vector<std::shared_ptr<FakeCall>> calls;
  for (size_t i = 0; i < count; ++i) {
    calls.push_back(Send(node, path, prefix + std::to_string(i)));
  }
  return calls;
}

bool RelayFleet::RunUntilOver(
    const std::vector<std::shared_ptr<FakeCall>>& calls) {
  return RunUntil(&loop, [&calls] {
    return std::all_of(calls.begin(), calls.end(),
                       [](const auto& call) { return call->is_over; });
  });
}

void RelayFleet::Restart(size_t node) {
  Node& restarted = m_nodes.at(node);
  restarted.relay.reset();
  // Lets the loop close the old listeners.
  RunFor(&loop, std::chrono::milliseconds(20));
  ++restarted.settings.incarnation;
  Start(&restarted);
}

size_t MostArrivals(const FakeServer& server, Duration window) {
  size_t most = 0;
  const auto& arrivals = server.arrivals;
  for (size_t first = 0, next = 0; first < arrivals.size(); ++first) {
    while (next < arrivals.size() &&
           arrivals[next].at - arrivals[first].at < window) {
      ++next;
    }
    most = std::max(most, next - first);
  }
  return most;
}

}  // namespace vanillatiller
