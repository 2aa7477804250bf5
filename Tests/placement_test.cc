#define BOOST_TEST_MODULE placement
#include <array>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "relay/relay.h"

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;

constexpr uint32_t kSlots = 20;
constexpr uint16_t kPeerPort = 8000;
const TimePoint kStart{std::chrono::seconds(1000)};

// One server of a service in each of six failure domains, with two domains per
// region.
struct Fleet {
  Fleet() : placement(MakeLocality()) {
    for (size_t i = 0; i < 6; ++i) {
      ServerRecord record;
      record.id = "s" + std::to_string(i);
      record.service = "work";
      record.address = {"10.0.0." + std::to_string(i + 1), 9000};
      record.failure_domain = "d" + std::to_string(i);
      record.slots = kSlots;
      servers.push_back(record);
    }
    Update(kStart);
  }

  static Locality MakeLocality() {
    Locality locality;
    locality.vm_ip = "10.0.0.99";
    locality.failure_domain = "d0";
    for (int i = 0; i < 6; ++i) {
      locality.regions["d" + std::to_string(i)] = "r" + std::to_string(i / 2);
    }
    locality.peer_port = kPeerPort;
    return locality;
  }

  void Update(TimePoint now) {
    std::vector<const ServerRecord*> usable;
    for (const ServerRecord& record : servers) usable.push_back(&record);
    placement.Update(usable, now);
  }

  const Candidate* Pick(TimePoint now,
                        std::span<const std::string> excluded = {},
                        const CallTraits& call = {}) {
    return placement.Pick("work", call, excluded, now, &random);
  }

  // Reports the load of server `index` from its node.
  void Report(size_t index, uint32_t taken, TimePoint now) {
    const SocketAddress node{"10.0.0." + std::to_string(index + 1), kPeerPort};
    for (const Candidate* candidate : placement.FindByNode(node)) {
      candidate->state->OnReport({taken, 0, kSlots, false}, now);
    }
  }

  std::vector<ServerRecord> servers;
  Placement placement;
  Placement::Generator random{1};
};

// Server selection when `taken` slots are in use at each server.
BOOST_AUTO_TEST_CASE(OverflowsByDistance) {
  struct Case {
    const char* what;
    std::array<uint32_t, 6> taken;
    const char* expected;
  };
  const std::vector<Case> cases = {
      {"idle: own domain", {0, 0, 0, 0, 0, 0}, "s0"},
      {"half used: own domain", {10, 0, 0, 0, 0, 0}, "s0"},
      {"own domain full: same region", {20, 5, 0, 0, 0, 0}, "s1"},
      {"no call crosses regions while a near server has room",
       {20, 15, 0, 0, 0, 0},
       "s1"},
      {"region three quarters used: own domain", {15, 15, 20, 20, 20, 0}, "s0"},
      {"region full: other region", {24, 24, 20, 20, 20, 0}, "s5"},
      {"all overloaded: least loaded", {40, 36, 60, 60, 60, 60}, "s1"},
  };
  for (const Case& item : cases) {
    Fleet fleet;
    for (size_t i = 0; i < 6; ++i) fleet.Report(i, item.taken[i], kStart);
    BOOST_TEST_CONTEXT(item.what) {
      BOOST_TEST(fleet.Pick(kStart)->id == item.expected);
    }
  }
}

// The local region has no free slot and another region is idle. Small or most
// important calls cross regions; large ones queue for up to about the usual
// time of a call.
BOOST_AUTO_TEST_CASE(LargeMessagesQueueBeforeCrossingRegions) {
  struct Case {
    const char* what;
    CallTraits call;
    uint32_t taken_near;
    const char* expected;
  };
  const std::vector<Case> cases = {
      {"small", {0.3, 1}, kSlots + 5, "s5"},
      {"large", {5, 1}, kSlots + 5, "s0"},
      {"large, most urgent", {5, 0}, kSlots + 8, "s5"},
      {"large, a long queue", {5, 1}, 5 * kSlots / 2, "s5"},
  };
  for (const Case& item : cases) {
    Fleet fleet;
    const uint32_t near = item.taken_near;
    const std::array<uint32_t, 6> taken = {near, near + 10, 9, 9, 9, 0};
    for (size_t i = 0; i < 6; ++i) fleet.Report(i, taken[i], kStart);
    BOOST_TEST_CONTEXT(item.what) {
      BOOST_TEST(fleet.Pick(kStart, {}, item.call)->id == item.expected);
    }
  }
}

// In a burst of twice the local region's capacity, only the calls that exceed
// its slots may cross regions.
BOOST_AUTO_TEST_CASE(BurstCrossesRegionsOnlyBeyondCapacity) {
  Fleet fleet;
  std::map<std::string, int> calls;
  for (uint32_t i = 0; i < 4 * kSlots; ++i) {
    const Candidate* server = fleet.Pick(kStart);
    server->state->OnSent();
    ++calls[server->id];
  }
  BOOST_TEST(calls["s0"] + calls["s1"] >= 2 * static_cast<int>(kSlots) - 4);
  BOOST_TEST(calls["s0"] + calls["s1"] <= 3 * static_cast<int>(kSlots));
}

BOOST_AUTO_TEST_CASE(AvoidsExcludedEjectedAndLeavingServers) {
  Fleet fleet;
  const std::vector<std::string> excluded = {"s0"};
  BOOST_TEST(fleet.Pick(kStart, excluded)->id == "s1");
  const Candidate* own = fleet.Pick(kStart);
  for (int i = 0; i < 3; ++i) {
    own->state->OnSent();
    own->state->OnFailure(PeerFailure::kUnreachable, kStart);
  }
  BOOST_TEST(fleet.Pick(kStart)->id == "s1");
  const std::vector<std::string> others = {"s1", "s2", "s3", "s4", "s5"};
  BOOST_TEST_CONTEXT("an ejected server is better than none") {
    BOOST_TEST(fleet.Pick(kStart, others)->id == "s0");
  }
  Fleet leaving;
  leaving.Pick(kStart)->state->OnReport({0, 0, kSlots, true}, kStart);
  BOOST_TEST(leaving.Pick(kStart)->id == "s1");
  BOOST_TEST_CONTEXT("a node that restarted in place is tried again") {
    BOOST_TEST(leaving.Pick(kStart + std::chrono::seconds(5))->id == "s0");
  }
}

BOOST_AUTO_TEST_CASE(KeepsStateOfRemainingServers) {
  Fleet fleet;
  fleet.Report(0, kSlots, kStart);
  fleet.servers.pop_back();
  fleet.Update(kStart + milliseconds(10));
  BOOST_TEST(fleet.Pick(kStart + milliseconds(10))->id == "s1");
  BOOST_TEST(fleet.placement.CountServers("work") == 5U);
  BOOST_TEST(fleet.placement.CountServers("other") == 0U);
  BOOST_TEST((fleet.placement.Pick("other", {}, {}, kStart, &fleet.random) ==
              nullptr));
}

}  // namespace
}  // namespace vanillatiller
