#define BOOST_TEST_MODULE server_directory
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>
#include <string>
#include <utility>
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
  record.revision = {0, revision};
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
  BOOST_TEST(directory.Remove("a", {0, 3}, kStart));
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
  record.revision = {0, 2};
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
  directory.OnSourceAvailable(kStart);
  directory.ApplyList({}, {0, 10}, kStart + milliseconds(10));
  BOOST_TEST(UsableIds(directory, kStart + seconds(1)) == "a,b");
  BOOST_TEST(directory.Apply(MakeRecord("a", 11, 1, 9001),
                             kStart + seconds(1)) == false);
  BOOST_TEST(directory.NextExpiry(kStart + seconds(1)).has_value());
  BOOST_TEST(UsableIds(directory, kStart + seconds(3)) == "a");
  BOOST_TEST_CONTEXT("later removals count at once") {
    directory.Remove("a", {0, 12}, kStart + seconds(4));
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
  directory.ApplyList({MakeRecord("a", 1), MakeRecord("b", 2, 1, 9001)}, {0, 5},
                      kStart);
  directory.Remove("a", {0, 7}, kStart);
  directory.Remove("b", {0, 8}, late);
  BOOST_TEST(!directory.Apply(MakeRecord("a", 1), late));
  BOOST_TEST(UsableIds(directory, late) == "");
  directory.ApplyList({MakeRecord("a", 1)}, {0, 6}, late);
  BOOST_TEST(UsableIds(directory, late) == "");
  BOOST_TEST_CONTEXT("later records and lists count") {
    directory.ApplyList({MakeRecord("c", 3, 1, 9003)}, {0, 9}, late);
    BOOST_TEST(UsableIds(directory, late) == "c");
    BOOST_TEST(directory.Apply(MakeRecord("a", 10), late));
  }
}

// The list of a new era is a copy from before a removal and the beginning of a
// drain. Both servers must stay away until they are written again, or until the
// platform would have dropped the record of a server that has ended.
BOOST_AUTO_TEST_CASE(CopiesOfAnEarlierStateRevealNoServer) {
  struct Case {
    const char* what;
    bool drains;
    // What is written in the new era after its first list, if anything.
    std::optional<ServerRecord> written;
    bool is_removed;
    // Whether the server is usable soon after, and for good.
    bool is_usable;
    bool is_usable_later;
  };
  const auto record = [](uint64_t era, uint64_t revision, uint64_t started_ms,
                         bool draining) {
    ServerRecord made = MakeRecord("a", revision, started_ms);
    made.revision.era = era;
    made.draining = draining;
    return made;
  };
  const std::vector<Case> cases = {
      {"removed, dropped again", false, std::nullopt, true, false, false},
      {"removed, never dropped", false, std::nullopt, false, false, true},
      {"removed, written again", false, record(2, 9, 1, false), false, true,
       true},
      {"removed, started again", false, record(2, 9, 2, false), false, true,
       true},
      {"draining, dropped", true, std::nullopt, true, false, false},
      {"draining, written as draining", true, record(2, 9, 1, true), false,
       false, false},
      {"draining, written as ready", true, record(2, 9, 1, false), false, true,
       true},
      {"draining, started again", true, record(2, 9, 2, false), false, true,
       true},
  };
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      ServerDirectory directory(seconds(6));
      directory.ApplyList({record(1, 4, 1, false)}, {1, 10}, kStart);
      if (item.drains) {
        directory.Apply(record(1, 20, 1, true), kStart);
      } else {
        directory.Remove("a", {1, 20}, kStart);
      }
      TimePoint now = kStart + seconds(1);
      directory.ApplyList({record(2, 4, 1, false)}, {2, 8}, now);
      BOOST_TEST(UsableIds(directory, now) == "");
      if (item.written) directory.Apply(*item.written, now);
      if (item.is_removed) directory.Remove("a", {2, 9}, now + seconds(4));
      directory.Advance(now + seconds(5));
      BOOST_TEST(UsableIds(directory, now + seconds(5)) ==
                 (item.is_usable ? "a" : ""));
      directory.Advance(now + seconds(6));
      BOOST_TEST(UsableIds(directory, now + seconds(6)) ==
                 (item.is_usable_later ? "a" : ""));
    }
  }
}

// A server that joined after the copy was made is missing from it. It stays
// usable until servers have had the time to write their records again.
BOOST_AUTO_TEST_CASE(ServersMissingFromACopyStayForTheGracePeriod) {
  ServerDirectory directory;
  ServerRecord record = MakeRecord("a", 12);
  record.revision.era = 1;
  directory.ApplyList({record}, {1, 12}, kStart);
  directory.OnSourceAvailable(kStart);
  directory.ApplyList({}, {2, 8}, kStart);
  BOOST_TEST(UsableIds(directory, kStart + seconds(2)) == "a");
  BOOST_TEST(UsableIds(directory, kStart + seconds(3)) == "");
  // Its record has a revision that was given out before.
  record.revision = {2, 10};
  BOOST_TEST(directory.Apply(record, kStart + seconds(3)));
  BOOST_TEST(UsableIds(directory, kStart + seconds(3)) == "a");
}

// Records, removals and lists of an earlier era arrive after those of a later
// one, as other nodes may still be in the earlier one.
BOOST_AUTO_TEST_CASE(EarlierErasChangeNothing) {
  ServerDirectory directory;
  ServerRecord record = MakeRecord("a", 4);
  record.revision.era = 2;
  directory.ApplyList({record}, {2, 5}, kStart);
  ServerRecord earlier = record;
  earlier.revision = {1, 90};
  earlier.draining = true;
  BOOST_TEST(!directory.Apply(earlier, kStart));
  BOOST_TEST(!directory.Remove("a", {1, 95}, kStart));
  directory.ApplyList({}, {1, 99}, kStart);
  BOOST_TEST(UsableIds(directory, kStart) == "a");
  BOOST_TEST((directory.revision() == StateRevision{2, 5}));
}

// Servers join, drain and leave while the store comes back from copies at
// random and nodes get lists late or repeatedly. What a node knew to be leaving
// or gone must not be usable because of a copy, within the time in which the
// platform drops the records of ended servers.
BOOST_AUTO_TEST_CASE(LeftServersStayAwayAcrossRandomRestores) {
  static constexpr Duration kLifetime = seconds(6);
  struct Store {
    StateRevision state{1, 1};
    std::map<std::string, ServerRecord> records;
  };
  const auto check = [] {
    Store store;
    std::vector<Store> copies = {store};
    ServerDirectory directory(kLifetime);
    TimePoint now = kStart;
    // Runs that the node knew to be leaving or gone, and since when.
    std::map<std::string, std::pair<uint64_t, TimePoint>> away;
    std::map<std::string, uint64_t> runs;
    const auto write = [&](const std::string& id, bool draining) {
      ServerRecord record =
          MakeRecord(id, 0, runs[id], static_cast<uint16_t>(9000 + id[0]));
      record.draining = draining;
      record.revision = {store.state.era, ++store.state.revision};
      store.records[id] = record;
      return record;
    };
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 7), rc::gen::inRange(0, 3)));
    for (const auto& [kind, server] : steps) {
      const std::string id(1, static_cast<char>('a' + server));
      now += milliseconds(500);
      directory.Advance(now);
      switch (kind) {
        case 0:
          // A new run of the server.
          ++runs[id];
          directory.Apply(write(id, false), now);
          away.erase(id);
          break;
        case 1:
          if (!store.records.contains(id)) break;
          directory.Apply(write(id, true), now);
          away[id] = {runs[id], now};
          break;
        case 2: {
          store.records.erase(id);
          ++store.state.revision;
          directory.Remove(id, store.state, now);
          away[id] = {runs[id], now};
          break;
        }
        case 3:
          copies.push_back(store);
          break;
        case 4: {
          const uint64_t era = store.state.era + 1;
          store = copies[copies.size() - 1 - (server % copies.size())];
          store.state.era = era;
          for (auto& [key, record] : store.records) record.revision.era = era;
          [[fallthrough]];
        }
        default: {
          std::vector<ServerRecord> list;
          for (const auto& [key, record] : store.records) {
            list.push_back(record);
          }
          directory.ApplyList(list, store.state, now);
          break;
        }
      }
      for (const ServerRecord* usable : directory.Usable(now)) {
        const auto found = away.find(usable->id);
        if (found == away.end()) continue;
        const auto& [run, since] = found->second;
        RC_ASSERT(usable->started_ms > run || now - since >= kLifetime);
      }
    }
  };
  BOOST_TEST(rc::check("left servers stay away", check));
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
        directory.ApplyList(history.ListAt(revision), {0, revision}, now);
      } else if (change.removed) {
        directory.Remove(change.id, {0, revision}, now);
        removed_at[change.id] = std::max(removed_at[change.id], revision);
      } else {
        directory.Apply(history.RecordAt(revision), now);
      }
      for (const ServerRecord* record : directory.Usable(now)) {
        RC_ASSERT(record->revision.revision > removed_at[record->id]);
      }
    }
  };
  BOOST_TEST(rc::check("removals hold", check));
}

}  // namespace
}  // namespace vanillatiller
