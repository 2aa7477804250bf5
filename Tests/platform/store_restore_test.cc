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
    // Most nodes learn of changes from readers by now.
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

}  // namespace
}  // namespace vanillatiller::platform
