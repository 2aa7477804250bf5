#define BOOST_TEST_MODULE server_directory
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "relay/relay.h"

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};

ServerRecord MakeRecord(const std::string& id, uint64_t revision,
                        uint64_t started_ms = 1, uint16_t port = 9000) {
  ServerRecord record;
  record.id = id;
  record.service = "work";
  record.address = {"10.0.0.1", port};
  record.revision = revision;
  record.started_ms = started_ms;
  return record;
}

std::string UsableIds(const ServerDirectory& directory, TimePoint now) {
  std::string ids;
  for (const ServerRecord* record : directory.Usable(now)) {
    ids += (ids.empty() ? "" : ",") + record->id;
  }
  return ids;
}

BOOST_AUTO_TEST_CASE(RemovedServersAreUnusableAtOnce) {
  ServerDirectory directory;
  BOOST_TEST(directory.Apply(MakeRecord("a", 1), kStart));
  BOOST_TEST(!directory.Apply(MakeRecord("a", 2), kStart));
  BOOST_TEST(directory.Remove("a", 3, kStart));
  BOOST_TEST(UsableIds(directory, kStart) == "");
  BOOST_TEST_CONTEXT("a copy from before the removal") {
    BOOST_TEST(!directory.Apply(MakeRecord("a", 2), kStart));
    BOOST_TEST(UsableIds(directory, kStart) == "");
  }
}

BOOST_AUTO_TEST_CASE(DrainingServersAreNotUsable) {
  ServerDirectory directory;
  ServerRecord record = MakeRecord("a", 1);
  directory.Apply(record, kStart);
  record.draining = true;
  record.revision = 2;
  BOOST_TEST(directory.Apply(record, kStart));
  BOOST_TEST(UsableIds(directory, kStart) == "");
  BOOST_TEST((directory.FindByAddress(record.address, kStart) != nullptr));
}

// Records expire during an outage of the list, and live servers renew them
// within two seconds after it. Guards against dropping live servers in between.
BOOST_AUTO_TEST_CASE(ExpiredRecordsStayUsableUntilTheRenewalDeadline) {
  ServerDirectory directory;
  directory.Apply(MakeRecord("a", 1, 1, 9001), kStart);
  directory.Apply(MakeRecord("b", 2, 1, 9002), kStart);
  directory.OnSourceRestored(kStart);
  directory.ApplyList({}, 10, kStart + milliseconds(10));
  BOOST_TEST(UsableIds(directory, kStart + seconds(1)) == "a,b");
  BOOST_TEST(directory.Apply(MakeRecord("a", 11, 1, 9001),
                             kStart + seconds(1)) == false);
  BOOST_TEST(directory.NextExpiry(kStart + seconds(1)).has_value());
  BOOST_TEST(UsableIds(directory, kStart + seconds(3)) == "a");
  BOOST_TEST_CONTEXT("later removals count at once") {
    directory.Remove("a", 12, kStart + seconds(4));
    BOOST_TEST(UsableIds(directory, kStart + seconds(4)) == "");
  }
}

BOOST_AUTO_TEST_CASE(LatestStartedServerOwnsItsAddress) {
  ServerDirectory directory;
  directory.Apply(MakeRecord("old", 1, 100), kStart);
  directory.Apply(MakeRecord("new", 2, 200), kStart);
  BOOST_TEST(UsableIds(directory, kStart) == "new");
  BOOST_TEST(directory.FindByAddress({"10.0.0.1", 9000}, kStart)->id == "new");
}

BOOST_AUTO_TEST_CASE(IgnoresDelayedRecordsFromBeforeARestart) {
  ServerDirectory directory;
  directory.Apply(MakeRecord("a", 1, 200), kStart);
  ServerRecord late = MakeRecord("a", 2, 100);
  late.draining = true;
  BOOST_TEST(!directory.Apply(late, kStart));
  BOOST_TEST(UsableIds(directory, kStart) == "a");
  BOOST_TEST(directory.Apply(MakeRecord("a", 3, 300), kStart));
}

}  // namespace
}  // namespace vanillatiller
