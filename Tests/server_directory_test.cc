#define BOOST_TEST_MODULE server_directory
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <map>
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

// A copy of a record, or a list, from before a removal arrives when the node
// has long forgotten the server. It must not be used again.
BOOST_AUTO_TEST_CASE(IgnoresCopiesFromBeforeAForgottenRemoval) {
  const TimePoint late = kStart + seconds(120);
  ServerDirectory directory;
  directory.ApplyList({MakeRecord("a", 1), MakeRecord("b", 2, 1, 9001)}, 5,
                      kStart);
  directory.Remove("a", 7, kStart);
  directory.Remove("b", 8, late);
  BOOST_TEST(!directory.Apply(MakeRecord("a", 1), late));
  BOOST_TEST(UsableIds(directory, late) == "");
  directory.ApplyList({MakeRecord("a", 1)}, 6, late);
  BOOST_TEST(UsableIds(directory, late) == "");
  BOOST_TEST_CONTEXT("later records and lists count") {
    directory.ApplyList({MakeRecord("c", 3, 1, 9003)}, 9, late);
    BOOST_TEST(UsableIds(directory, late) == "c");
    BOOST_TEST(directory.Apply(MakeRecord("a", 10), late));
  }
}

// The platform's list over time: the revisions at which a server was written
// or removed.
struct ListHistory {
  struct Change {
    std::string id;
    bool removed = false;
  };
  // The change at revision i + 1.
  std::vector<Change> changes;

  std::vector<ServerRecord> ListAt(uint64_t revision) const {
    std::map<std::string, uint64_t> live;
    for (uint64_t at = 1; at <= revision; ++at) {
      const Change& change = changes.at(at - 1);
      if (change.removed) {
        live.erase(change.id);
      } else {
        live[change.id] = at;
      }
    }
    std::vector<ServerRecord> list;
    list.reserve(live.size());
    for (const auto& [id, at] : live) list.push_back(RecordAt(at));
    return list;
  }
  ServerRecord RecordAt(uint64_t revision) const {
    const std::string& id = changes.at(revision - 1).id;
    return MakeRecord(id, revision, 1, static_cast<uint16_t>(9000 + id[0]));
  }
};

// Lists and single changes of random histories arrive late, repeatedly and in
// any order, over minutes. A removal that the node has applied must hold until
// the server is written again. Guards against servers that left being used
// again.
BOOST_AUTO_TEST_CASE(AppliedRemovalsHoldInAnyOrderOfMessages) {
  const auto check = [] {
    ListHistory history;
    const auto steps =
        *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 8));
    for (const int step : steps) {
      history.changes.push_back(
          {std::string(1, static_cast<char>('a' + step / 2)), step % 2 == 1});
    }
    ServerDirectory directory;
    std::map<std::string, uint64_t> removed_at;
    TimePoint now = kStart;
    const auto messages = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(1, 41), rc::gen::inRange(0, 5)));
    for (const auto& [at, kind] : messages) {
      const auto revision = static_cast<uint64_t>(at);
      const ListHistory::Change& change = history.changes.at(revision - 1);
      if (kind == 0) now += seconds(25);
      if (kind == 1) {
        directory.ApplyList(history.ListAt(revision), revision, now);
      } else if (change.removed) {
        directory.Remove(change.id, revision, now);
        removed_at[change.id] = std::max(removed_at[change.id], revision);
      } else {
        directory.Apply(history.RecordAt(revision), now);
      }
      for (const ServerRecord* record : directory.Usable(now)) {
        RC_ASSERT(record->revision > removed_at[record->id]);
      }
    }
  };
  BOOST_TEST(rc::check("removals hold", check));
}

}  // namespace
}  // namespace vanillatiller
