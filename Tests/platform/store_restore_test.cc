// The platform's store comes back from a copy of an earlier state: what was
// written since is gone, and revisions are given out again.
#define BOOST_TEST_MODULE store_restore
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "store_fleet.h"

namespace vanillatiller::platform {
namespace {

using std::chrono::milliseconds;

// A fleet that follows its readers, with version 3 in force. The store has
// given out many revisions since version 1.
struct RestoredFleet {
  explicit RestoredFleet(size_t nodes) : fleet(nodes) {
    fleet.PublishConfig(1);
    copy = fleet.store.revision();
    for (size_t i = 0; i < nodes; ++i) fleet.Start(i);
    BOOST_TEST_REQUIRE(fleet.RunUntilInForce(1));
    fleet.PublishConfig(2);
    for (int i = 0; i < 20; ++i) fleet.PublishServer(0);
    fleet.PublishConfig(3);
    BOOST_TEST_REQUIRE(fleet.RunUntilInForce(3));
    // Readers report changes to most nodes by now.
    RunFor(&fleet.loop, milliseconds(2500));
  }

  StoreFleet fleet;
  uint64_t copy = 0;
};

// Nodes took changes that came at revisions given out again for known ones, and
// went on to call their state current.
BOOST_AUTO_TEST_CASE(ChangesAfterARestoreAreInForceInTime) {
  for (const size_t nodes : {1U, 6U}) {
    BOOST_TEST_CONTEXT(nodes << " nodes") {
      RestoredFleet restored(nodes);
      StoreFleet& fleet = restored.fleet;
      fleet.store.Restore(restored.copy);
      RunFor(&fleet.loop, milliseconds(700));
      // What was lost is written again, and a change is made.
      fleet.PublishConfig(3);
      fleet.PublishConfig(4);
      BOOST_TEST(fleet.RunUntilInForce(4));
    }
  }
}

// The copy has an earlier version. What was in force stays in force, on nodes
// that run, and a node that starts in the new era gets it from the others.
BOOST_AUTO_TEST_CASE(VersionsInForceDoNotGetOlder) {
  RestoredFleet restored(4);
  StoreFleet& fleet = restored.fleet;
  fleet.store.Restore(restored.copy);
  RunFor(&fleet.loop, milliseconds(1500));
  for (size_t i = 0; i < fleet.size(); ++i) {
    BOOST_TEST(DirectoryOf(fleet.client(i).View()).era == 2U);
    BOOST_TEST(fleet.relay(i).config_version() == 3U);
  }
  fleet.Restart(0);
  BOOST_TEST(fleet.RunUntilInForce(3));
  BOOST_TEST_CONTEXT("the same version, written again, confirms") {
    fleet.PublishConfig(3);
    RunFor(&fleet.loop, milliseconds(1500));
    for (size_t i = 0; i < fleet.size(); ++i) {
      BOOST_TEST(fleet.relay(i).config_version() == 3U);
      BOOST_TEST((BootClock::now() - fleet.client(i).ConfirmedAt() <
                  milliseconds(2500)));
    }
  }
}

// Two restores, the second before what the first one lost was written again.
BOOST_AUTO_TEST_CASE(ChangesAfterTwoRestoresAreInForce) {
  RestoredFleet restored(5);
  StoreFleet& fleet = restored.fleet;
  fleet.store.Restore(restored.copy + 5);
  RunFor(&fleet.loop, milliseconds(400));
  fleet.PublishServer(1);
  fleet.store.Restore(restored.copy);
  fleet.PublishConfig(3);
  fleet.PublishConfig(5);
  BOOST_TEST(fleet.RunUntilInForce(5));
  for (size_t i = 0; i < fleet.size(); ++i) {
    BOOST_TEST(DirectoryOf(fleet.client(i).View()).era == 3U);
  }
}

std::shared_ptr<FakeCall> AskForUnknownRoute(StoreFleet* fleet, size_t node) {
  static int count = 0;
  return fleet->Send(node, "/unknown/ok", "u" + std::to_string(++count));
}

// Until what it lost has been written again, the store does not know the newest
// version itself. A node must not say on its word that there is no such route.
BOOST_AUTO_TEST_CASE(RestoredStoreDeniesNothingAtOnce) {
  RestoredFleet restored(2);
  StoreFleet& fleet = restored.fleet;
  const auto before = AskForUnknownRoute(&fleet, 0);
  BOOST_TEST_REQUIRE(RunUntil(&fleet.loop, [&] { return before->is_over; }));
  BOOST_TEST(before->result.response.status == 404);
  // Nobody is served for longer than a confirmation counts.
  for (size_t i = 0; i < 2; ++i) {
    fleet.store.SetService(i, SoakStore::Service::kBusy);
  }
  RunFor(&fleet.loop, milliseconds(2600));
  fleet.store.Restore(restored.copy);
  for (size_t i = 0; i < 2; ++i) {
    fleet.store.SetService(i, SoakStore::Service::kServes);
  }
  BOOST_TEST_REQUIRE(RunUntil(&fleet.loop, [&] {
    return DirectoryOf(fleet.client(0).View()).era == 2;
  }));
  const auto during = AskForUnknownRoute(&fleet, 0);
  BOOST_TEST_REQUIRE(RunUntil(&fleet.loop, [&] { return during->is_over; }));
  BOOST_TEST(during->result.response.status == 503);
  RunFor(&fleet.loop, milliseconds(4000));
  const auto after = AskForUnknownRoute(&fleet, 0);
  BOOST_TEST_REQUIRE(RunUntil(&fleet.loop, [&] { return after->is_over; }));
  BOOST_TEST(after->result.response.status == 404);
}

// A server left, another one began to drain and a third one joined after the
// copy was made. The first two stand in it as ready, the third is missing.
BOOST_AUTO_TEST_CASE(ListOfTheCopyIsOld) {
  StoreFleet fleet(5);
  fleet.PublishConfig(1);
  fleet.store.Remove("servers/server-2", BootClock::now());
  for (size_t i = 0; i < 5; ++i) fleet.Start(i);
  BOOST_TEST_REQUIRE(fleet.RunUntilInForce(1));
  const uint64_t copy = fleet.store.revision();
  fleet.PublishServer(2);
  fleet.PublishServer(1, "draining");
  fleet.store.Remove("servers/server-0", BootClock::now());
  RunFor(&fleet.loop, milliseconds(1500));
  const auto arrivals = [&fleet](size_t server) {
    return fleet.server(server).arrivals.size();
  };
  fleet.store.Restore(copy);
  BOOST_TEST_REQUIRE(RunUntil(&fleet.loop, [&] {
    for (size_t i = 0; i < 5; ++i) {
      if (DirectoryOf(fleet.client(i).View()).era != 2) return false;
    }
    return true;
  }));
  const size_t left = arrivals(0);
  const size_t draining = arrivals(1);
  const size_t joined = arrivals(2);
  int count = 0;
  const auto send_from_all = [&](int rounds) {
    std::vector<std::shared_ptr<FakeCall>> calls;
    for (int i = 0; i < rounds; ++i) {
      for (size_t node = 0; node < 5; ++node) {
        calls.push_back(
            fleet.Send(node, "/v1/ok", "r" + std::to_string(++count)));
      }
    }
    BOOST_TEST_REQUIRE(RunUntil(&fleet.loop, [&] {
      for (const auto& call : calls) {
        if (!call->is_over) return false;
      }
      return true;
    }));
    for (const auto& call : calls) {
      BOOST_TEST(call->result.response.status == 200);
    }
  };
  send_from_all(5);
  BOOST_TEST(arrivals(0) == left);
  BOOST_TEST(arrivals(1) == draining);
  BOOST_TEST(arrivals(2) > joined);
  BOOST_TEST_CONTEXT("and as they write again") {
    fleet.PublishServer(1, "draining");
    fleet.PublishServer(2);
    fleet.store.Remove("servers/server-0", BootClock::now());
    RunFor(&fleet.loop, milliseconds(3000));
    send_from_all(5);
    BOOST_TEST(arrivals(0) == left);
    BOOST_TEST(arrivals(1) == draining);
  }
}

// A server that runs had lapsed before the restore. It is used again once its
// record has been written in the new era.
BOOST_AUTO_TEST_CASE(LapsedServerThatRunsIsUsedAgain) {
  StoreFleet fleet(2);
  fleet.PublishConfig(1);
  for (size_t i = 0; i < 2; ++i) fleet.Start(i);
  BOOST_TEST_REQUIRE(fleet.RunUntilInForce(1));
  const uint64_t copy = fleet.store.revision();
  fleet.store.Remove("servers/server-1", BootClock::now());
  RunFor(&fleet.loop, milliseconds(1500));
  fleet.store.Restore(copy);
  BOOST_TEST_REQUIRE(RunUntil(&fleet.loop, [&] {
    return DirectoryOf(fleet.client(1).View()).era == 2;
  }));
  RunFor(&fleet.loop, milliseconds(600));
  fleet.PublishServer(1);
  for (int i = 0; i < 100 && fleet.server(1).arrivals.empty(); ++i) {
    const auto call = fleet.Send(1, "/v1/ok", "r" + std::to_string(i));
    BOOST_TEST_REQUIRE(RunUntil(&fleet.loop, [&] { return call->is_over; }));
    RunFor(&fleet.loop, milliseconds(20));
  }
  BOOST_TEST(!fleet.server(1).arrivals.empty());
}

// The same, and its record does not change, as the server has nothing else to
// say. The platform would have dropped the record of a server that has ended.
BOOST_AUTO_TEST_CASE(RecordThatOutlivesItsLeaseCounts) {
  StoreFleet fleet(2, milliseconds(1500));
  fleet.PublishConfig(1);
  for (size_t i = 0; i < 2; ++i) fleet.Start(i);
  BOOST_TEST_REQUIRE(fleet.RunUntilInForce(1));
  const uint64_t copy = fleet.store.revision();
  fleet.store.Remove("servers/server-1", BootClock::now());
  RunFor(&fleet.loop, milliseconds(1500));
  fleet.store.Restore(copy);
  for (int i = 0; i < 300 && fleet.server(1).arrivals.empty(); ++i) {
    const auto call = fleet.Send(1, "/v1/ok", "r" + std::to_string(i));
    BOOST_TEST_REQUIRE(RunUntil(&fleet.loop, [&] { return call->is_over; }));
    RunFor(&fleet.loop, milliseconds(20));
  }
  BOOST_TEST(!fleet.server(1).arrivals.empty());
}

}  // namespace
}  // namespace vanillatiller::platform
