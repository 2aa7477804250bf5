#include "store_fleet.h"

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_format.h"

namespace vanillatiller::platform {
namespace {

std::string DomainOf(size_t node) {
  return "domain-" + std::to_string(node % 2);
}

}  // namespace

StoreFleet::StoreFleet(size_t nodes, Duration record_lifetime)
    : store(&loop, nodes), m_nodes(nodes) {
  const uint16_t peer_port = FreeLoopbackPort();
  for (size_t i = 0; i < nodes; ++i) {
    RelaySettings& settings = m_nodes[i].settings;
    const std::string ip = SoakIp(1, i);
    settings.vm = "vm-" + std::to_string(i);
    settings.service = "work";
    settings.locality.vm_ip = ip;
    settings.locality.failure_domain = DomainOf(i);
    settings.locality.regions = {{"domain-0", "region"},
                                 {"domain-1", "region"}};
    settings.locality.peer_port = peer_port;
    settings.caller_listener = {ip, FreeLoopbackPort()};
    settings.peer_listener = {ip, peer_port};
    settings.health_listener = {ip, FreeLoopbackPort()};
    settings.server = {ip, FreeLoopbackPort()};
    settings.names = TestNames();
    settings.record_lifetime = record_lifetime;
    settings.incarnation = 1000 * (i + 1);
    m_nodes[i].server = std::make_unique<FakeServer>(&loop, settings.server);
    PublishServer(i);
  }
}

void StoreFleet::PublishConfig(int version) {
  std::string rules;
  for (int i = 1; i <= version; ++i) {
    rules += (rules.empty() ? "" : ",") +
             absl::StrFormat(
                 R"({"name":"v%d","type":"safe","target_latency_ms":500,)"
                 R"("priority":1,"match":{"prefix":"/v%d/"},"action":{)"
                 R"("service":"work","timeout_ms":2500,"max_attempts":2}})",
                 i, i);
  }
  store.Put(
      "op/config",
      absl::StrFormat(R"({"version":%d,"limits":{"max_header_bytes":16384,)"
                      R"("max_body_bytes":1000,"header_timeout_ms":3000,)"
                      R"("idle_timeout_ms":15000},"listeners":[{"host":)"
                      R"("test.example","rules":[%s]}],"clusters":[]})",
                      version, rules),
      BootClock::now());
}

void StoreFleet::PublishServer(size_t node, const std::string& state) {
  store.Put(
      "servers/server-" + std::to_string(node),
      absl::StrFormat(
          R"({"address":"%s","born":1,"info":{"service":"work",)"
          R"("version":"v","zone":"%s","slots":8},"status":{"state":)"
          R"("%s","sequence":1,"warmup_remaining_ms":0}})",
          m_nodes[node].settings.server.ToString(), DomainOf(node), state),
      BootClock::now());
}

void StoreFleet::Start(size_t index) {
  Node& node = m_nodes.at(index);
  const TimePoint now = BootClock::now();
  node.relay = std::make_unique<Relay>(&loop, node.settings, &log.log, now);
  node.client = std::make_unique<StoreClient>(&loop, store.EntryOf(index),
                                              node.relay.get(), &log.log);
  node.relay->SetFleetStateStore(node.client.get());
  std::string reason;
  BOOST_TEST_REQUIRE(node.relay->Start(&reason), reason);
  node.client->Start(false, now);
}

void StoreFleet::Restart(size_t index) {
  Node& node = m_nodes.at(index);
  node.client.reset();
  node.relay.reset();
  // Lets the loop close the old listeners.
  RunFor(&loop, std::chrono::milliseconds(20));
  ++node.settings.incarnation;
  Start(index);
}

bool StoreFleet::RunUntilInForce(uint64_t version) {
  return RunUntil(&loop, [this, version] {
    for (const Node& node : m_nodes) {
      if (node.relay->config_version() != version) return false;
    }
    return true;
  });
}

std::shared_ptr<FakeCall> StoreFleet::Send(size_t node, const std::string& path,
                                           const std::string& id) {
  return SendTestRequest(&loop, m_nodes.at(node).settings.caller_listener, path,
                         id, std::chrono::seconds(5));
}

}  // namespace vanillatiller::platform
