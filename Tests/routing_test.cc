#define BOOST_TEST_MODULE routing
#include "routing/routing.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

Member MakeMember(const std::string& vm, const std::string& domain,
                  const std::string& region) {
  Member member;
  member.vm = vm;
  member.service = "ledger";
  member.peer_address = vm;
  member.failure_domain = domain;
  member.region = region;
  member.incarnation = 1;
  return member;
}

// Two servers in each of two failure domains of two regions.
MemberList SmallFleet() {
  MemberList members;
  for (const char* region : {"a", "b"}) {
    for (const char* domain : {"1", "2"}) {
      for (const char* server : {"x", "y"}) {
        const std::string place = std::string(region) + domain;
        members.push_back(MakeMember(place + server, place, region));
      }
    }
  }
  return members;
}

std::shared_ptr<const FleetConfig> Config(uint64_t link_bytes) {
  FleetConfig config;
  ServiceConfig service;
  service.name = "ledger";
  service.slots = 10;
  config.services.push_back(service);
  config.links.push_back({"a", "b", link_bytes});
  return std::make_shared<const FleetConfig>(config);
}

class Fixture {
 public:
  Fixture() { Rebuild(kStart); }

  void Rebuild(TimePoint now) {
    m_table = RoutingTable::Builder()
                  .Self(MakeMember("self", "a1", "a"))
                  .Members(members)
                  .Config(config)
                  .Previous(m_table)
                  .Build(now);
  }

  std::optional<PeerChoice> Pick(TimePoint now, uint64_t bytes = 1) {
    return m_table->Pick({"ledger", bytes, excluded}, now, random, &reason);
  }

  // Counts the selected peers over 10,000 picks without outstanding attempts.
  std::map<std::string, int> Shares(TimePoint now) {
    std::map<std::string, int> shares;
    for (int i = 0; i < 10000; ++i) {
      const auto choice = Pick(now);
      if (choice) ++shares[choice->member.vm];
    }
    return shares;
  }

  std::shared_ptr<PeerState> StateOf(const std::string& vm, TimePoint now) {
    std::vector<std::string> others;
    for (const Member& member : members) {
      if (member.vm != vm) others.push_back(member.vm);
    }
    const auto choice =
        m_table->Pick({"ledger", 0, others}, now, random, &reason);
    return choice ? choice->state : nullptr;
  }

  void Fill(const std::string& vm, TimePoint now) {
    const auto state = StateOf(vm, now);
    state->OnSent();
    state->OnAnswer({10, 0, 10, false}, now);
  }

  MemberList members = SmallFleet();
  std::shared_ptr<const FleetConfig> config = Config(1'000'000'000);
  std::vector<std::string> excluded;
  RoutingTable::Generator random{20261204};
  Reason reason;

 private:
  std::shared_ptr<const RoutingTable> m_table;
};

// Guards against traffic that leaves the failure domain although it has
// capacity.
BOOST_FIXTURE_TEST_CASE(PrefersNearestTierWithRoom, Fixture) {
  BOOST_TEST(Shares(kStart).size() == 2U);
  for (const char* vm : {"a1x", "a1y"}) Fill(vm, kStart);
  for (const auto& [vm, count] : Shares(kStart)) {
    BOOST_TEST(vm.starts_with("a2"), vm);
  }
  for (const char* vm : {"a2x", "a2y"}) Fill(vm, kStart);
  for (const auto& [vm, count] : Shares(kStart)) {
    BOOST_TEST(vm.starts_with("b"), vm);
  }
}

// Guards against spillover to another region beyond the link's byte budget.
BOOST_FIXTURE_TEST_CASE(OtherRegionStaysWithinLinkBudget, Fixture) {
  // Four nodes of region "a" share 4,000 bytes a second.
  config = Config(4000);
  Rebuild(kStart);
  excluded = {"a1x", "a1y", "a2x", "a2y"};
  int taken = 0;
  while (Pick(kStart, 100) && taken < 1000) ++taken;
  BOOST_TEST(taken == 10);
  BOOST_TEST((reason.code == RefusalCode::kLinkBudget));
  BOOST_TEST(Pick(kStart + seconds(1), 100).has_value());
}

// Guards against calls to a peer that fails repeatedly, and against ejections
// that leave a service without peers.
BOOST_FIXTURE_TEST_CASE(EjectionIsLimited, Fixture) {
  const auto fail = [&](const char* vm) {
    const auto state = StateOf(vm, kStart);
    for (int i = 0; i < 3; ++i) {
      state->OnSent();
      state->OnFailure(PeerFailure::kUnreachable, kStart);
    }
  };
  fail("a1x");
  BOOST_TEST(Shares(kStart).count("a1x") == 0U);
  BOOST_TEST(Shares(kStart + seconds(2)).count("a1x") == 1U);
  fail("a1x");
  fail("a1y");
  BOOST_TEST(Shares(kStart).size() == 2U);
}

// Guards against new calls to a leaving server (P6) after any answer of its
// node has reported that it is leaving.
BOOST_FIXTURE_TEST_CASE(LeavingPeerReceivesNoCalls, Fixture) {
  const auto state = StateOf("a1x", kStart);
  state->OnSent();
  state->OnAnswer({0, 0, 10, true}, kStart);
  BOOST_TEST(Shares(kStart).count("a1x") == 0U);
  members[0].state = MemberState::kLeaving;
  Rebuild(kStart);
  BOOST_TEST(Shares(kStart).count("a1x") == 0U);
}

// Guards against a newly added server that gets its full share of the traffic
// immediately.
BOOST_FIXTURE_TEST_CASE(NewPeerSlowStarts, Fixture) {
  members.push_back(MakeMember("a1z", "a1", "a"));
  Rebuild(kStart);
  const auto cold = Shares(kStart);
  const auto warm = Shares(kStart + seconds(10));
  const auto share = [](std::map<std::string, int> shares) {
    return shares["a1z"];
  };
  BOOST_TEST(share(cold) < 1500);
  BOOST_TEST(share(warm) > 2800);
}

// Guards against peer state that is lost when the routing table is rebuilt.
BOOST_FIXTURE_TEST_CASE(RebuildKeepsPeerState, Fixture) {
  Fill("a1x", kStart);
  Rebuild(kStart + milliseconds(10));
  const auto shares = Shares(kStart + milliseconds(20));
  BOOST_TEST(shares.count("a1y") == 1U);
  BOOST_TEST(StateOf("a1x", kStart)->Load(10, kStart) > 0.9);
}

// Guards against a number of connections that grows with the fleet, and against
// subsets that leave servers without callers.
BOOST_AUTO_TEST_CASE(SubsetsAreBoundedAndSpread) {
  constexpr int kServers = 300;
  MemberList members;
  for (int i = 0; i < kServers; ++i) {
    members.push_back(MakeMember("vm-" + std::to_string(i), "a1", "a"));
  }
  RoutingTable::Generator random{7};
  std::map<std::string, int> callers;
  for (int i = 0; i < kServers; ++i) {
    const auto table = RoutingTable::Builder()
                           .Self(members[i])
                           .Members(members)
                           .SubsetSize(6)
                           .Build(kStart);
    BOOST_TEST(table->PeerCount("ledger") == 6U);
    std::set<std::string> seen;
    Reason reason;
    for (int k = 0; k < 200; ++k) {
      seen.insert(
          table->Pick({"ledger", 0, {}}, kStart, random, &reason)->member.vm);
    }
    for (const std::string& vm : seen) ++callers[vm];
  }
  // With 6 random callers per server on average, the probability that a server
  // has none is 0.25%.
  BOOST_TEST(callers.size() >= 295U);
}

struct SilenceCase {
  const char* name;
  bool open_answered;
  bool new_answered;
  std::optional<ConnectionAction::Kind> expected;
};

// Guards against a silent connection that is mistaken for a dead server, and
// against replacing the connection of a slow server while calls are running.
BOOST_AUTO_TEST_CASE(SilentConnections) {
  const std::vector<SilenceCase> cases = {
      {"slow peer", true, true, std::nullopt},
      {"silent connection", false, true, ConnectionAction::Kind::kReplace},
      {"dead peer", false, false, ConnectionAction::Kind::kUnreachable},
      {"new connections refused", true, false, std::nullopt},
  };
  for (const SilenceCase& entry : cases) {
    ConnectionMonitor monitor = ConnectionMonitor::Builder()
                                    .SilenceTimeout(milliseconds(500))
                                    .ProbeInterval(seconds(2))
                                    .Build();
    monitor.OnSent("p", kStart);
    BOOST_TEST(monitor.OnTick(kStart + milliseconds(499)).empty());
    BOOST_TEST(monitor.OnTick(kStart + milliseconds(500)).size() == 1U);
    // Only one probe is in flight at a time.
    BOOST_TEST(monitor.OnTick(kStart + milliseconds(900)).empty());
    const auto action =
        monitor.OnProbeResult("p", entry.open_answered, entry.new_answered,
                              kStart + milliseconds(1000));
    BOOST_TEST(action.has_value() == entry.expected.has_value(), entry.name);
    if (action) BOOST_TEST((action->kind == *entry.expected), entry.name);
    // Probes are rate limited because each one opens a new connection.
    BOOST_TEST(monitor.OnTick(kStart + milliseconds(2400)).empty());
  }
}

// Guards against probes of connections that are idle or making progress.
BOOST_AUTO_TEST_CASE(ProgressAndIdlenessNeedNoProbe) {
  ConnectionMonitor monitor = ConnectionMonitor::Builder().Build();
  monitor.OnSent("p", kStart);
  monitor.OnSent("p", kStart);
  monitor.OnProgress("p", kStart + milliseconds(400));
  monitor.OnEnded("p");
  BOOST_TEST(monitor.OnTick(kStart + milliseconds(800)).empty());
  monitor.OnEnded("p");
  BOOST_TEST(monitor.OnTick(kStart + seconds(60)).empty());
}

}  // namespace
}  // namespace vanillatiller
