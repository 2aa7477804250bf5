#define BOOST_TEST_MODULE spread
#include "spread/spread.h"

#include <boost/test/unit_test.hpp>

#include "fleet_harness.h"

namespace vanillatiller {
namespace {

// Bound in docs/design.md for a configuration change.
constexpr Duration kChangeBound = seconds(11);

std::unique_ptr<Fleet> StartSettledFleet(const FleetOptions& options = {}) {
  auto fleet = std::make_unique<Fleet>(options);
  fleet->Publish(7, "first");
  fleet->StartAll();
  fleet->Run(seconds(15));
  BOOST_TEST_REQUIRE(fleet->AllHaveVersion(7));
  return fleet;
}

bool IsConfirmedEverywhere(const Fleet& fleet) {
  return fleet.AllActive(
      [&](size_t i) { return fleet.nodes[i].spread->IsConfirmed(); });
}

// P8: guards against a change that is not in force on all nodes in time, and
// against reverting to a lower version, under each fault of the service and the
// network. Each fault lasts while versions 8 and 9 are published.
BOOST_AUTO_TEST_CASE(ChangesUnderFaults) {
  struct Case {
    const char* name;
    std::function<void(Fleet*)> start;
    std::function<void(Fleet*)> end;
    // True if the change must be in force within the bound despite the fault.
    bool in_time;
  };
  const auto nothing = [](Fleet*) {};
  const std::vector<Case> cases = {
      {"none", nothing, nothing, true},
      {"service down for hours",
       [](Fleet* fleet) { fleet->service.fault = ServiceStatus::kUnavailable; },
       [](Fleet* fleet) {
         fleet->Run(std::chrono::hours(1));
         fleet->service.fault = ServiceStatus::kValue;
         fleet->Run(seconds(21));
       },
       false},
      {"over the limit",
       [](Fleet* fleet) { fleet->service.fault = ServiceStatus::kRateLimited; },
       [](Fleet* fleet) {
         fleet->service.fault = ServiceStatus::kValue;
         fleet->Run(seconds(21));
       },
       false},
      {"lost deltas", [](Fleet* fleet) { fleet->drop_deltas = true; }, nothing,
       true},
      {"a domain's readers killed",
       [](Fleet* fleet) {
         for (size_t i = 0; i < 8; ++i) {
           if (fleet->nodes[i].spread->IsReader()) fleet->Kill(i);
         }
       },
       nothing, true},
      {"empty VM list",
       [](Fleet* fleet) { fleet->vm_list = [] { return MemberList(); }; },
       nothing, true},
      {"region cut off from the others",
       [](Fleet* fleet) {
         fleet->connected = [](const Member& from, const Member& to) {
           return (from.region == "region-0") == (to.region == "region-0");
         };
       },
       nothing, true},
      {"one node paused for 60 s",
       [](Fleet* fleet) { fleet->Pause(4, seconds(60)); },
       [](Fleet* fleet) { fleet->Run(seconds(61)); }, true},
  };
  for (const Case& c : cases) {
    auto fleet = StartSettledFleet();
    c.start(fleet.get());
    for (const uint64_t version : {8U, 9U}) {
      fleet->Publish(version, "next");
      const auto time = fleet->RunUntil(
          [&] { return fleet->AllHaveVersion(version); }, kChangeBound);
      if (c.in_time) BOOST_TEST(time.has_value(), c.name);
    }
    c.end(fleet.get());
    fleet->Run(kChangeBound);
    BOOST_TEST(fleet->AllHaveVersion(9), c.name);
    BOOST_TEST(fleet->Sum(&Fleet::Node::version_regressions) == 0U, c.name);
  }
}

// The service stops answering the readers of all domains, without a word, and
// goes on to serve all other nodes. A pending watch lasts for 30 s, and no
// other node used to ask, so that a change was in force nowhere for up to 35 s.
BOOST_AUTO_TEST_CASE(ServedNodesFollowWhileNoReaderIsServed) {
  for (const uint32_t nodes_per_domain : {4U, 34U}) {
    FleetOptions options;
    options.nodes_per_domain = nodes_per_domain;
    auto fleet = StartSettledFleet(options);
    for (const Fleet::Node& node : fleet->nodes) {
      if (node.spread->IsReader()) {
        fleet->service.silent_for.insert(node.self.vm);
      }
    }
    for (const uint64_t version : {8U, 9U, 10U}) {
      fleet->Publish(version, "next");
      BOOST_TEST(fleet
                     ->RunUntil([&] { return fleet->AllHaveVersion(version); },
                                kChangeBound)
                     .has_value(),
                 fleet->size() << " nodes, version " << version);
    }
  }
}

// Restarts three nodes, one at a time, while the service is stale. Returns how
// often a node put a lower version in force than it had held before.
uint64_t RegressionsWithStaleService(const SpreadPolicy& policy) {
  FleetOptions options;
  options.spread = policy;
  auto fleet = StartSettledFleet(options);
  fleet->Publish(9, "newest");
  fleet->Run(kChangeBound);
  fleet->service.version = 7;
  fleet->service.text = MakeValue(7, "first");
  fleet->service.ignores_reader_version = true;
  for (const size_t index : {3U, 11U, 20U}) {
    fleet->Kill(index);
    fleet->Run(seconds(1));
    fleet->Start(index);
  }
  fleet->Run(seconds(40));
  BOOST_TEST(fleet->AllHaveVersion(9));
  return fleet->Sum(&Fleet::Node::version_regressions);
}

// P8: guards against reverting to an older value when the service is stale,
// both in running nodes and in nodes that restart without a value. Without the
// rule against lower versions, or without querying peers before trusting the
// service, values would revert; the second case is shown here.
BOOST_AUTO_TEST_CASE(StaleService) {
  BOOST_TEST(RegressionsWithStaleService({}) == 0U);
  SpreadPolicy trusts_service;
  trusts_service.confirming_domains = 0;
  trusts_service.start_jitter = Duration::zero();
  BOOST_TEST(RegressionsWithStaleService(trusts_service) > 0U);
}

// Guards against a node reporting itself as confirmed before peers in two
// failure domains have answered.
BOOST_AUTO_TEST_CASE(UnconfirmedWithoutPeers) {
  auto fleet = StartSettledFleet();
  BOOST_TEST(IsConfirmedEverywhere(*fleet));
  const Member alone = fleet->nodes[6].self;
  bool cut = true;
  fleet->connected = [&](const Member& from, const Member& to) {
    const bool same_domain = from.failure_domain == to.failure_domain;
    return !cut || same_domain ||
           (from.failure_domain != alone.failure_domain &&
            to.failure_domain != alone.failure_domain);
  };
  fleet->Kill(6);
  fleet->Run(seconds(1));
  fleet->Start(6);
  fleet->Run(seconds(60));
  const ConfigSpread& spread = *fleet->nodes[6].spread;
  BOOST_TEST(spread.stamp().version == 7U);
  BOOST_TEST(!spread.IsConfirmed());
  cut = false;
  fleet->Run(seconds(30));
  BOOST_TEST(spread.IsConfirmed());
}

// Guards against two values with the same version going unnoticed, which
// happens when two operators publish changes to the same base. The value in
// force stays, each node that sees the other value reports it, and publishing a
// higher version resolves the conflict.
BOOST_AUTO_TEST_CASE(ConflictingValuesOfOneVersion) {
  auto fleet = StartSettledFleet();
  bool cut = true;
  fleet->connected = [&](const Member& from, const Member& to) {
    return !cut || (from.region == "region-0") == (to.region == "region-0");
  };
  fleet->service.version = 8;
  fleet->service.text = MakeValue(8, "first operator");
  // Only the readers of the first region receive the first operator's value.
  for (size_t i = 0; i < 8; ++i) {
    if (!fleet->nodes[i].spread->IsReader()) continue;
    Membership::Generator rng;
    fleet->nodes[i].spread->OnServiceAnswer(
        {ServiceStatus::kValue, fleet->service.text}, fleet->now(), rng);
  }
  fleet->Publish(8, "second operator");
  fleet->Run(seconds(5));
  cut = false;
  fleet->Run(seconds(10));
  BOOST_TEST(fleet->AllHaveVersion(8));
  BOOST_TEST(fleet->Sum(&Fleet::Node::conflicts) > 0U);
  for (const auto& node : fleet->nodes) {
    const auto& conflict = node.spread->conflict();
    BOOST_TEST(conflict.has_value() == (node.conflicts > 0));
    if (!conflict) continue;
    BOOST_TEST((conflict->in_force == node.spread->stamp()));
    BOOST_TEST((conflict->other.digest != node.spread->stamp().digest));
  }
  fleet->Publish(9, "settled");
  fleet->Run(kChangeBound);
  BOOST_TEST(fleet->AllHaveVersion(9));
  BOOST_TEST(fleet->AllActive([&](size_t i) {
    return !fleet->nodes[i].spread->conflict().has_value();
  }));
}

// The service comes back from a copy of an earlier state. Values are ordered by
// their versions alone, so guards against reverting, against a restarted node
// that takes the older value, and against a change that is missed after it.
BOOST_AUTO_TEST_CASE(ServiceRestoredFromACopy) {
  for (const bool ignores_reader_version : {false, true}) {
    BOOST_TEST_CONTEXT(
        "ignores the reader's version: " << ignores_reader_version) {
      auto fleet = StartSettledFleet();
      fleet->Publish(8, "second");
      fleet->Publish(9, "third");
      fleet->Run(kChangeBound);
      BOOST_TEST_REQUIRE(fleet->AllHaveVersion(9));
      fleet->service.ignores_reader_version = ignores_reader_version;
      fleet->Publish(7, "first");
      fleet->Kill(3);
      fleet->Run(seconds(1));
      fleet->Start(3);
      fleet->Run(seconds(15));
      BOOST_TEST(fleet->AllHaveVersion(9));
      // What was lost is written again, and a change is made.
      fleet->Publish(9, "third");
      fleet->Run(seconds(1));
      BOOST_TEST(fleet->AllHaveVersion(9));
      BOOST_TEST(fleet->Sum(&Fleet::Node::conflicts) == 0U);
      fleet->service.ignores_reader_version = false;
      fleet->Publish(10, "fourth");
      // Readers that got the older value again and again wait for up to 20 s.
      fleet->Run(ignores_reader_version ? seconds(21) : kChangeBound);
      BOOST_TEST(fleet->AllHaveVersion(10));
    }
  }
}

// Guards against a late answer with an older version replacing a newer value.
BOOST_AUTO_TEST_CASE(LateOlderAnswer) {
  auto fleet = StartSettledFleet();
  ConfigSpread& spread = *fleet->nodes[0].spread;
  Membership::Generator rng;
  const auto answer = [](uint64_t version) {
    const std::string text = MakeValue(version, "late");
    return FetchAnswer{{version, Sha256(text)}, true, {}, text};
  };
  spread.OnFetchAnswer("vm-0-0-1", answer(9), fleet->now(), rng);
  BOOST_TEST(spread.stamp().version == 9U);
  spread.OnFetchAnswer("vm-0-0-2", answer(8), fleet->now(), rng);
  spread.OnServiceAnswer({ServiceStatus::kValue, MakeValue(8, "late")},
                         fleet->now(), rng);
  BOOST_TEST(spread.stamp().version == 9U);
}

// Guards against putting parts of an invalid value in force, and against
// reading an invalid value from the service repeatedly without backoff.
BOOST_AUTO_TEST_CASE(InvalidValueIsRefused) {
  auto fleet = StartSettledFleet();
  fleet->Publish(8, "bad");
  const uint64_t reads = fleet->service.reads;
  fleet->Run(seconds(60));
  BOOST_TEST(fleet->AllHaveVersion(7));
  BOOST_TEST(fleet->Sum(&Fleet::Node::refused) > 0U);
  // Two readers in each of six domains, each with exponential backoff.
  BOOST_TEST(fleet->service.reads - reads < 12U * 12U);
  fleet->Publish(9, "good");
  fleet->Run(seconds(21));
  BOOST_TEST(fleet->AllHaveVersion(9));
}

// Guards against accepting a value that differs from the one that the peer
// announced.
BOOST_AUTO_TEST_CASE(PeerValueDoesNotMatchStamp) {
  auto fleet = StartSettledFleet();
  ConfigSpread& spread = *fleet->nodes[0].spread;
  Membership::Generator rng;
  FetchAnswer answer;
  answer.stamp = {99, Sha256("something else")};
  answer.value = MakeValue(8, "other");
  const auto actions =
      spread.OnFetchAnswer("vm-0-0-1", answer, fleet->now(), rng);
  BOOST_TEST(actions.size() == 1U);
  BOOST_TEST(spread.stamp().version == 7U);
}

// Guards against too many simultaneous reads of the service when the whole
// fleet restarts or the service recovers, and against a number of readers that
// grows with the fleet.
BOOST_AUTO_TEST_CASE(ServiceReadsAreBounded) {
  FleetOptions options;
  options.nodes_per_domain = 34;
  auto fleet = StartSettledFleet(options);
  const uint32_t readers = 2 * 6;
  // Each reader watches for 30 s at a time.
  uint64_t reads = fleet->service.reads;
  uint64_t checks = fleet->service.checks;
  fleet->Run(seconds(60));
  BOOST_TEST(fleet->service.reads - reads <= 3U * readers);
  // All other nodes together check three times a second at most.
  BOOST_TEST(fleet->service.checks - checks <= 180U);
  fleet->service.fault = ServiceStatus::kUnavailable;
  fleet->Run(std::chrono::minutes(2));
  reads = fleet->service.reads;
  checks = fleet->service.checks;
  fleet->Run(seconds(20));
  BOOST_TEST(fleet->service.reads - reads <= 3U * readers);
  BOOST_TEST(fleet->service.checks - checks <= 60U);
  for (size_t i = 0; i < fleet->size(); ++i) fleet->Kill(i);
  fleet->Run(seconds(1));
  fleet->service.fault = ServiceStatus::kValue;
  reads = fleet->service.reads;
  fleet->StartAll();
  // Before it knows its peers, every node may consider itself a reader. The
  // start jitter spreads these reads.
  fleet->Run(seconds(1));
  BOOST_TEST(fleet->service.reads - reads <= fleet->size() / 2);
  fleet->Run(seconds(14));
  BOOST_TEST(fleet->AllHaveVersion(7));
  BOOST_TEST(IsConfirmedEverywhere(*fleet));
}

// Guards against sending the full value where a delta is smaller, and against
// storing an unlimited number of deltas.
BOOST_AUTO_TEST_CASE(DeltasAreSentAndBounded) {
  auto fleet = StartSettledFleet();
  for (uint64_t version = 8; version < 48; ++version) {
    fleet->Publish(version, "next");
    fleet->Run(seconds(2));
  }
  BOOST_TEST_REQUIRE(fleet->AllHaveVersion(47));
  const ConfigSpread& spread = *fleet->nodes[0].spread;
  const auto stamp = [](uint64_t version) {
    return ConfigStamp{version, Sha256(MakeValue(version, "next"))};
  };
  const FetchAnswer recent = spread.AnswerFetch({stamp(45)});
  BOOST_TEST(recent.deltas.size() == 2U);
  BOOST_TEST(recent.value.empty());
  const FetchAnswer old = spread.AnswerFetch({stamp(10)});
  BOOST_TEST(old.deltas.empty());
  BOOST_TEST(!old.value.empty());
  // A base with another digest has no delta.
  const FetchAnswer other = spread.AnswerFetch({{45, Sha256("other")}});
  BOOST_TEST(!other.value.empty());
  BOOST_TEST(spread.AnswerFetch({stamp(47)}).value.empty());
}

}  // namespace
}  // namespace vanillatiller
