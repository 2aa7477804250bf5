#define BOOST_TEST_MODULE fleet_state
#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "relay/relay.h"

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};

SocketAddress AddressOf(size_t index) {
  return {"10.0." + std::to_string(index / 250) + "." +
              std::to_string(index % 250 + 1),
          8300};
}

// A node in one of three regions with two failure domains each.
FleetNode MakeNode(size_t index) {
  return {AddressOf(index), "domain-" + std::to_string(index % 6),
          "region-" + std::to_string(index % 3)};
}

std::vector<FleetNode> MakeNodes(size_t count) {
  std::vector<FleetNode> nodes;
  nodes.reserve(count);
  for (size_t i = 0; i < count; ++i) nodes.push_back(MakeNode(i));
  return nodes;
}

std::set<SocketAddress> ReadersOf(size_t count, TimePoint now) {
  std::set<SocketAddress> readers;
  for (size_t i = 0; i < count; ++i) {
    ReaderSelection selection(MakeNode(i));
    selection.SetNodes(MakeNodes(count));
    const auto selected = selection.Select(now);
    BOOST_TEST(selected.size() == ReaderSelection::kMaxFeeds);
    readers.insert(selected.begin(), selected.end());
  }
  return readers;
}

// The number of readers, and so of calls to the platform, must not grow with
// the fleet.
BOOST_AUTO_TEST_CASE(OneReaderForEachFailureDomain) {
  for (const size_t count : {12U, 98U, 1100U}) {
    BOOST_TEST_CONTEXT(count << " nodes") {
      BOOST_TEST(ReadersOf(count, kStart).size() == 6U);
    }
  }
}

BOOST_AUTO_TEST_CASE(ReadersComeFromDifferentPlaces) {
  const std::vector<FleetNode> nodes = MakeNodes(60);
  for (size_t i = 0; i < nodes.size(); ++i) {
    ReaderSelection selection(MakeNode(i));
    selection.SetNodes(nodes);
    const auto selected = selection.Select(kStart);
    BOOST_TEST_REQUIRE(selected.size() == 2U);
    BOOST_TEST((selected[0] != selected[1]));
    const auto find = [&nodes](const SocketAddress& address) {
      return *std::find_if(nodes.begin(), nodes.end(),
                           [&address](const FleetNode& node) {
                             return node.address == address;
                           });
    };
    BOOST_TEST(find(selected[0]).region == nodes[i].region);
    BOOST_TEST(find(selected[0]).failure_domain !=
               find(selected[1]).failure_domain);
  }
}

BOOST_AUTO_TEST_CASE(FailedReaderIsReplacedAndUsedAgain) {
  ReaderSelection selection(MakeNode(0));
  selection.SetNodes(MakeNodes(60));
  const SocketAddress first = selection.Select(kStart).front();
  selection.Avoid(first, kStart);
  const auto after = selection.Select(kStart + milliseconds(1));
  BOOST_TEST(after.size() == 2U);
  BOOST_TEST((std::find(after.begin(), after.end(), first) == after.end()));
  BOOST_TEST((selection.Select(kStart + seconds(10)).front() == first));
}

// A node starts before its server is listed. It must not watch the platform all
// that time if others do.
BOOST_AUTO_TEST_CASE(UnlistedNodeHasReaders) {
  ReaderSelection selection(MakeNode(70));
  selection.SetNodes(MakeNodes(60));
  BOOST_TEST(selection.Select(kStart).size() == 2U);
  selection.SetNodes({});
  BOOST_TEST(selection.Select(kStart).empty());
}

// The platform's store with its state and one value for each key.
struct FakePlatform {
  StateRevision state{1, 1};
  // The changes of each era. The log of a later one begins with what the copy
  // had that the store came back from.
  std::map<uint64_t, std::vector<ChangedItem>> logs;
  // Each state that the store has been in, and since when.
  std::vector<std::pair<TimePoint, StateRevision>> states;
  // Reads and watches that returned, and calls for a confirmation.
  size_t calls = 0;
  size_t confirmations = 0;

  void Change(const std::string& key, TimePoint now) {
    ++state.revision;
    logs[state.era].push_back({key, state, false});
    states.emplace_back(now, state);
  }
  // Comes back from a copy that lacks the last `lost` changes.
  void Restore(size_t lost, TimePoint now) {
    std::vector<ChangedItem> log = logs[state.era];
    log.resize(log.size() - std::min(lost, log.size()));
    ++state.era;
    state.revision = log.empty() ? 1 : log.back().revision.revision;
    for (ChangedItem& change : log) change.revision.era = state.era;
    logs[state.era] = std::move(log);
    states.emplace_back(now, state);
  }
  // The state after all changes before `time`.
  StateRevision StateAt(TimePoint time) const {
    StateRevision last{1, 1};
    for (const auto& [since, reached] : states) {
      if (since < time) last = reached;
    }
    return last;
  }
  // The changes that bring a node from one state to a later one.
  std::vector<ChangedItem> Changes(const StateRevision& from,
                                   const StateRevision& to) const {
    std::vector<ChangedItem> changes;
    const auto log = logs.find(to.era);
    if (log == logs.end()) return changes;
    for (const ChangedItem& change : log->second) {
      if (change.revision > from && change.revision <= to) {
        changes.push_back(change);
      }
    }
    return changes;
  }
  // Revision of the last change of each key between two states.
  std::map<std::string, StateRevision> LastChanges(
      const StateRevision& from, const StateRevision& to) const {
    std::map<std::string, StateRevision> last;
    for (const ChangedItem& change : Changes(from, to)) {
      last[change.key] = change.revision;
    }
    return last;
  }
};

// How the platform treats the calls of a node.
enum class Serving : uint8_t { kAnswers, kSilent, kRefuses };

// One node: the exchange with a store client that sees the platform through a
// watch and through calls that are answered at once. The watch polls in each
// step but costs a call only when it returns. Calls take their time, and are
// repeated as the store client does it.
class FakeNode : public FleetStateStore, private FleetStateTransport {
 public:
  // Delivers a frame to another node.
  using Deliver =
      std::function<void(const SocketAddress& to, const relay::Frame& frame)>;

  FakeNode(size_t index, uint64_t incarnation, FakePlatform* platform,
           EventLog* log, Deliver deliver)
      : m_platform(platform),
        m_deliver(std::move(deliver)),
        m_address(AddressOf(index)),
        m_exchange(MakeNode(index), incarnation, this, log) {
    m_exchange.SetStore(this);
  }

  // The first read of everything.
  void Start(const std::vector<FleetNode>& nodes, TimePoint now) {
    if (serving == Serving::kAnswers) {
      ++m_platform->calls;
      Advance(m_platform->state, now);
    }
    for (const FleetNode& node : nodes) {
      if (node.address != m_address) m_connected_nodes.push_back(node.address);
    }
    m_exchange.SetNodes(nodes, now);
  }
  void Step(TimePoint now) {
    if (m_watch && serving != Serving::kAnswers) {
      // A silent platform never answers what is pending; a refusal ends it.
      m_watch->is_dark = true;
      if (serving == Serving::kRefuses) m_watch.reset();
    }
    if (m_watch && now >= m_watch->end) {
      m_watch.reset();
      if (m_mode != ReadMode::kFromPeers) Ask(kWatchTimeout, now);
    }
    if (m_call) ContinueCall(now);
    if (m_next_call && now >= *m_next_call) {
      m_next_call.reset();
      if (m_mode == ReadMode::kFromPeers) {
        m_backoff.OnSuccess();
      } else {
        Ask(kWatchTimeout, now);
      }
    }
    if (m_mode != ReadMode::kFromPeers) Watch(now);
    if (now - m_last_tick >= milliseconds(200)) {
      m_last_tick = now;
      m_exchange.Tick(now);
    }
  }
  void OnFrame(const SocketAddress& from, const relay::Frame& frame,
               bool is_from_provider, TimePoint now) {
    if (is_from_provider) {
      m_exchange.OnNodeFrame(from, frame, now);
      return;
    }
    m_exchange.OnFrame(
        frame,
        [this, from](const relay::Frame& reply) { m_deliver(from, reply); },
        now);
  }

  // Silence is noticed only after a call has timed out.
  bool IsPlatformUnreachable() const override {
    return m_backoff.failures() > 0;
  }
  // The connections to the platform go dark; new ones work.
  void SilenceConnections() {
    m_is_connection_dark = true;
    if (m_watch) m_watch->is_dark = true;
  }
  TimePoint ConfirmedAt() const override { return m_confirmed_at; }
  void Confirm(TimePoint now) override {
    if (IsPlatformUnreachable()) return;
    Ask(kConfirmTimeout, now);
  }
  void OnConfirmed(TimePoint confirmed_at, TimePoint now) override {
    if (confirmed_at <= m_confirmed_at) return;
    BOOST_TEST((confirmed_at <= now));
    // A confirmation must be true: all changes up to then are known here.
    BOOST_TEST((m_state >= m_platform->StateAt(confirmed_at)));
    m_confirmed_at = confirmed_at;
    if (m_listener) m_listener({m_state, m_state, {}}, now);
  }
  relay::View View() const override {
    relay::View view;
    SetDirectory(m_state, &view);
    return view;
  }
  relay::Snapshot MakeSnapshot() const override {
    relay::Snapshot snapshot;
    snapshot.set_directory_era(m_state.era);
    snapshot.set_directory_revision(m_state.revision);
    snapshot.set_is_complete(true);
    return snapshot;
  }
  void ApplySnapshot(const relay::Snapshot& snapshot, TimePoint now) override {
    Advance({snapshot.directory_era(), snapshot.directory_revision()}, now);
  }
  void SetListener(Listener listener) override {
    m_listener = std::move(listener);
  }
  void SetReadMode(ReadMode mode, TimePoint now) override {
    const ReadMode before = std::exchange(m_mode, mode);
    if (mode == ReadMode::kFromPeers || m_call || m_watch) return;
    // A watch begins with a call that is answered at once.
    if (!m_next_call || (mode == ReadMode::kReader && before != mode)) {
      m_next_call.reset();
      Ask(kWatchTimeout, now);
    }
  }
  void ApplyFeed(const relay::Feed& feed, TimePoint now) override {
    BOOST_TEST(feed.era() == m_state.era);
    BOOST_TEST(feed.from_revision() <= m_state.revision);
    const StateRevision to{feed.era(), feed.to_revision()};
    std::set<StateRevision> changed;
    for (const relay::Item& item : feed.changes()) {
      changed.insert(RevisionOf(item));
    }
    // The last change of each key must have been sent.
    for (const auto& [key, revision] : m_platform->LastChanges(m_state, to)) {
      BOOST_TEST(changed.contains(revision));
    }
    Advance(to, now);
  }
  std::optional<relay::Item> FindItem(const std::string& key) const override {
    relay::Item item;
    item.set_key(key);
    for (const ChangedItem& change : m_platform->Changes({}, m_state)) {
      if (change.key == key) SetRevision(change.revision, &item);
    }
    return item;
  }

  Serving serving = Serving::kAnswers;
  const StateRevision& state() const { return m_state; }
  // The store ends what is pending when it comes back from a copy, or its
  // answers get lost.
  void OnStoreRestored(bool loses_answers) {
    if (!m_watch) return;
    m_watch->is_dark = true;
    if (!loses_answers) m_watch.reset();
  }
  ReadMode mode() const { return m_mode; }

 private:
  void SendToNode(const SocketAddress& node,
                  const relay::Frame& frame) override {
    m_deliver(node, frame);
  }
  bool KeepConnected(const SocketAddress&, TimePoint) override { return true; }
  // A fleet with traffic: each node has connections to all others.
  std::vector<SocketAddress> ConnectedNodes() const override {
    return m_connected_nodes;
  }

  struct Call {
    TimePoint sent;
    Duration timeout{};
    Duration answer_time{};
    bool is_lost = false;
  };

  // A watch that brings changes until it ends, unless it went dark.
  struct PendingWatch {
    TimePoint end;
    bool is_dark = false;
  };

  // Starts a call that is answered at once, unless one is pending.
  void Ask(Duration timeout, TimePoint now) {
    if (m_call) return;
    const bool is_new_connection =
        now - m_last_answer >= ReadBackoff::kMaxIdleConnection;
    if (is_new_connection) m_is_connection_dark = false;
    m_call = Call{now, timeout,
                  is_new_connection ? kAnswerTime + kConnectTime : kAnswerTime};
  }
  void ContinueCall(TimePoint now) {
    const Duration taken = now - m_call->sent;
    // A silent platform does not answer later what was sent meanwhile.
    m_call->is_lost =
        m_call->is_lost || m_is_connection_dark || serving == Serving::kSilent;
    const bool is_lost = m_call->is_lost;
    if (taken < (is_lost ? m_call->timeout : m_call->answer_time)) return;
    const Call call = *std::exchange(m_call, std::nullopt);
    if (is_lost || serving == Serving::kRefuses) {
      // The connection is closed.
      m_is_connection_dark = false;
      m_last_answer = {};
      m_next_call = now + m_backoff.OnFailure(m_mode, !is_lost, call.sent, now);
      return;
    }
    m_last_answer = now;
    m_backoff.OnSuccess();
    ++m_platform->confirmations;
    Advance(m_platform->state, now);
    OnConfirmed(call.sent, now);
    if (!m_watch && m_mode != ReadMode::kFromPeers) {
      m_watch = PendingWatch{now + kWatchWait};
    }
  }
  void Watch(TimePoint now) {
    if (!m_watch || m_watch->is_dark || m_platform->state <= m_state) return;
    ++m_platform->calls;
    Advance(m_platform->state, now);
  }
  void Advance(const StateRevision& state, TimePoint now) {
    if (state <= m_state) return;
    FleetStateChanges changes{m_state, state,
                              m_platform->Changes(m_state, state)};
    // See StoreClient::BeginEra().
    if (state.era != m_state.era) m_confirmed_at = {};
    m_state = state;
    if (m_listener) m_listener(changes, now);
  }

  FakePlatform* m_platform;
  Deliver m_deliver;
  const SocketAddress m_address;
  std::vector<SocketAddress> m_connected_nodes;
  Listener m_listener;
  StateRevision m_state;
  ReadMode m_mode = ReadMode::kReader;
  // A round trip, and what a new connection adds.
  static constexpr Duration kAnswerTime = milliseconds(40);
  static constexpr Duration kConnectTime = milliseconds(80);
  static constexpr Duration kWatchTimeout = milliseconds(1500);
  static constexpr Duration kConfirmTimeout = milliseconds(1000);
  static constexpr Duration kWatchWait = milliseconds(21500);

  TimePoint m_last_tick;
  TimePoint m_confirmed_at;
  std::optional<Call> m_call;
  std::optional<TimePoint> m_next_call;
  TimePoint m_last_answer;
  // Whether the connection that would be used again is dark.
  bool m_is_connection_dark = false;
  std::optional<PendingWatch> m_watch;
  ReadBackoff m_backoff;
  FleetStateExchange m_exchange;
};

// A fleet in simulated time, with cut links and frozen nodes.
class FakeFleet {
 public:
  explicit FakeFleet(size_t count)
      : m_log(-1, "test"), m_nodes_list(MakeNodes(count)), m_nodes(count) {
    for (size_t i = 0; i < count; ++i) Restart(i);
  }

  void Restart(size_t index) {
    auto node = std::make_unique<FakeNode>(
        index, ++m_last_incarnation, &platform, &m_log,
        [this, index](const SocketAddress& to, const relay::Frame& frame) {
          m_frames.push_back(
              {now + kDelay, index, IndexOf(to), frame, frame.has_feed()});
        });
    node->serving =
        unreadable.contains(index) ? Serving::kSilent : Serving::kAnswers;
    m_nodes[index] = std::move(node);
    m_nodes[index]->Start(m_nodes_list, now);
  }

  void Run(Duration time) {
    for (const TimePoint end = now + time; now < end; now += kStep) {
      std::vector<Pending> due;
      for (const Pending& frame : m_frames) {
        if (frame.at <= now) due.push_back(frame);
      }
      std::erase_if(m_frames,
                    [this](const Pending& frame) { return frame.at <= now; });
      for (const Pending& frame : due) {
        if (IsCut(frame.from, frame.to)) continue;
        m_nodes[frame.to]->OnFrame(AddressOf(frame.from), frame.frame,
                                   frame.is_feed, now);
      }
      for (size_t i = 0; i < m_nodes.size(); ++i) {
        if (!frozen.contains(i)) m_nodes[i]->Step(now);
      }
    }
  }
  void SetReadable(size_t index, bool is_readable) {
    SetServing(index, is_readable ? Serving::kAnswers : Serving::kSilent);
  }
  void SetServing(size_t index, Serving serving) {
    if (serving == Serving::kAnswers) {
      unreadable.erase(index);
    } else {
      unreadable.insert(index);
    }
    m_nodes[index]->serving = serving;
  }
  std::vector<size_t> Readers() const {
    std::vector<size_t> readers;
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      if (m_nodes[i]->mode() != ReadMode::kFromPeers) readers.push_back(i);
    }
    return readers;
  }
  FakeNode& node(size_t index) { return *m_nodes[index]; }
  size_t size() const { return m_nodes.size(); }
  // The platform's store comes back from a copy that lacks some changes.
  void RestoreStore(size_t lost) {
    platform.Restore(lost, now);
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      m_nodes[i]->OnStoreRestored(i % 2 == 0);
    }
  }
  // Whether all nodes that run know the newest revision.
  bool AllKnowNewest() const {
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      if (!frozen.contains(i) && m_nodes[i]->state() < platform.state) {
        return false;
      }
    }
    return true;
  }

  // Whether all nodes that the platform answers know the newest revision.
  bool ServedKnowNewest() const {
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      if (!IsDisturbed(i) && m_nodes[i]->state() < platform.state) {
        return false;
      }
    }
    return true;
  }
  bool IsDisturbed(size_t index) const {
    return frozen.contains(index) || isolated.contains(index) ||
           unreadable.contains(index);
  }

  FakePlatform platform;
  TimePoint now = kStart;
  std::set<size_t> frozen;
  // Nodes that the platform does not answer.
  std::set<size_t> unreadable;
  // Nodes that no other node reaches.
  std::set<size_t> isolated;

 private:
  struct Pending {
    TimePoint at;
    size_t from = 0;
    size_t to = 0;
    relay::Frame frame;
    // Feeds go to subscribers, all else to the node that was called.
    bool is_feed = false;
  };

  static constexpr Duration kStep = milliseconds(20);
  static constexpr Duration kDelay = milliseconds(40);

  size_t IndexOf(const SocketAddress& address) const {
    for (size_t i = 0; i < m_nodes_list.size(); ++i) {
      if (m_nodes_list[i].address == address) return i;
    }
    return 0;
  }
  bool IsCut(size_t from, size_t to) const {
    return frozen.contains(from) || frozen.contains(to) ||
           isolated.contains(from) || isolated.contains(to);
  }

  EventLog m_log;
  const std::vector<FleetNode> m_nodes_list;
  std::vector<std::unique_ptr<FakeNode>> m_nodes;
  std::deque<Pending> m_frames;
  uint64_t m_last_incarnation = 0;
};

// Time in which all nodes must know of a change: the shortest bound of the
// users' deployments for configurations and leaving servers.
constexpr Duration kChangeBound = milliseconds(2500);
// Time without a disturbance after which this holds for a node.
constexpr Duration kStableTime = milliseconds(4000);

// Each node used to watch the platform: calls grew with nodes times changes.
BOOST_AUTO_TEST_CASE(CallsDoNotGrowWithTheFleet) {
  for (const size_t count : {24U, 96U}) {
    BOOST_TEST_CONTEXT(count << " nodes") {
      FakeFleet fleet(count);
      fleet.Run(seconds(3));
      BOOST_TEST(fleet.Readers().size() == 6U);
      const size_t before = fleet.platform.calls;
      const size_t confirmed_before = fleet.platform.confirmations;
      const TimePoint start = fleet.now;
      for (int i = 0; i < 10; ++i) {
        fleet.platform.Change("servers/a", fleet.now);
        // Sooner than the next subscription, which would report it, too.
        fleet.Run(milliseconds(300));
        BOOST_TEST(fleet.AllKnowNewest());
        // Not a multiple of the period of subscriptions.
        fleet.Run(milliseconds(770));
      }
      BOOST_TEST(fleet.platform.calls - before <= 60U);
      // As if one node asked for all, at most twice a second.
      BOOST_TEST(fleet.platform.confirmations - confirmed_before <=
                 static_cast<size_t>((fleet.now - start) / milliseconds(500)));
    }
  }
}

// Each row takes out readers just before a change. The others must learn of it
// in time.
BOOST_AUTO_TEST_CASE(ChangesArriveWhileReadersFail) {
  struct Case {
    const char* what;
    std::function<void(FakeFleet*, size_t reader)> fail;
    size_t readers;
  };
  const std::vector<Case> cases = {
      {"one frozen",
       [](FakeFleet* fleet, size_t i) { fleet->frozen.insert(i); }, 1},
      {"all frozen",
       [](FakeFleet* fleet, size_t i) { fleet->frozen.insert(i); }, 6},
      {"all but one silently cut off from the platform",
       [](FakeFleet* fleet, size_t i) { fleet->SetReadable(i, false); }, 5},
      {"all restarted", [](FakeFleet* fleet, size_t i) { fleet->Restart(i); },
       6},
      {"half cut off from the other nodes",
       [](FakeFleet* fleet, size_t i) { fleet->isolated.insert(i); }, 3},
  };
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      FakeFleet fleet(36);
      fleet.Run(seconds(3));
      const std::vector<size_t> readers = fleet.Readers();
      BOOST_TEST_REQUIRE(readers.size() == 6U);
      for (size_t i = 0; i < item.readers; ++i) item.fail(&fleet, readers[i]);
      fleet.Run(milliseconds(20));
      fleet.platform.Change("op/config", fleet.now);
      fleet.Run(kChangeBound);
      BOOST_TEST(fleet.AllKnowNewest());
      BOOST_TEST_CONTEXT("after the failure") {
        fleet.frozen.clear();
        fleet.isolated.clear();
        for (size_t i = 0; i < fleet.size(); ++i) fleet.SetReadable(i, true);
        fleet.Run(seconds(12));
        fleet.platform.Change("op/config", fleet.now);
        fleet.Run(seconds(1));
        BOOST_TEST(fleet.AllKnowNewest());
        BOOST_TEST(fleet.Readers().size() == 6U);
      }
    }
  }
}

// The platform stops answering all nodes that read it for the others, without a
// word, just before a change. A pending watch used to count as current for as
// long as it could be pending, 21 s, so that the other nodes, which the
// platform serves, stayed with the earlier configuration.
BOOST_AUTO_TEST_CASE(ServedNodesFollowWhileNoReaderIsServed) {
  for (const size_t count : {9U, 36U}) {
    BOOST_TEST_CONTEXT(count << " nodes") {
      FakeFleet fleet(count);
      fleet.Run(seconds(3));
      for (const size_t reader : fleet.Readers()) {
        fleet.SetReadable(reader, false);
      }
      fleet.Run(milliseconds(20));
      fleet.platform.Change("op/config", fleet.now);
      fleet.Run(kChangeBound);
      BOOST_TEST(fleet.ServedKnowNewest());
      // Other readers are selected, and the nodes stop reading for themselves.
      fleet.Run(seconds(4));
      BOOST_TEST(fleet.AllKnowNewest());
      size_t served_readers = 0;
      for (const size_t reader : fleet.Readers()) {
        if (!fleet.unreadable.contains(reader)) ++served_readers;
      }
      BOOST_TEST(served_readers <= 6U);
    }
  }
}

// The store comes back from a copy of an earlier state, and a change is made.
// Nodes that followed others took its revision, which is given out again, for a
// known one.
BOOST_AUTO_TEST_CASE(ChangesArriveAfterARestore) {
  for (const size_t lost : {0U, 1U, 9U, 50U}) {
    BOOST_TEST_CONTEXT(lost << " changes lost") {
      FakeFleet fleet(36);
      for (int i = 0; i < 20; ++i) {
        fleet.platform.Change("servers/a", fleet.now);
        fleet.Run(milliseconds(200));
      }
      fleet.RestoreStore(lost);
      fleet.Run(milliseconds(100));
      fleet.platform.Change("op/config", fleet.now);
      fleet.Run(kChangeBound);
      BOOST_TEST(fleet.AllKnowNewest());
      BOOST_TEST_CONTEXT("once more, soon after") {
        fleet.RestoreStore(1);
        fleet.platform.Change("op/config", fleet.now);
        fleet.Run(kChangeBound);
        BOOST_TEST(fleet.AllKnowNewest());
        fleet.Run(seconds(4));
        BOOST_TEST(fleet.Readers().size() <= 6U);
      }
    }
  }
}

// A report that was confirmed in an earlier era must not confirm a state of the
// present one, which need not include it.
BOOST_AUTO_TEST_CASE(ConfirmationsHoldWithinTheirEra) {
  FakeFleet fleet(12);
  fleet.Run(seconds(3));
  const std::vector<size_t> readers = fleet.Readers();
  BOOST_TEST_REQUIRE(readers.size() >= 2U);
  size_t follower = 0;
  while (fleet.node(follower).mode() != ReadMode::kFromPeers) ++follower;
  // Only the follower has read the state of the new era.
  for (size_t i = 0; i < fleet.size(); ++i) fleet.SetReadable(i, false);
  fleet.platform.Restore(0, fleet.now);
  relay::Snapshot snapshot;
  snapshot.set_directory_era(fleet.platform.state.era);
  snapshot.set_directory_revision(fleet.platform.state.revision);
  fleet.node(follower).ApplySnapshot(snapshot, fleet.now);
  BOOST_TEST((fleet.node(follower).ConfirmedAt() == TimePoint{}));
  fleet.Run(milliseconds(1200));
  BOOST_TEST((fleet.node(follower).ConfirmedAt() == TimePoint{}));
}

// The store lost a version with the restore, and a node that has read
// everything since has the one before. The changes of the present era do not
// hold it, so a reader that has the later one must send a snapshot.
BOOST_AUTO_TEST_CASE(LostVersionReachesNodesThatStartInTheEra) {
  struct Store : FleetStateStore {
    bool IsPlatformUnreachable() const override { return false; }
    relay::View View() const override {
      relay::View view;
      SetDirectory({2, 5}, &view);
      view.set_config_version(3);
      return view;
    }
    relay::Snapshot MakeSnapshot() const override { return {}; }
    void ApplySnapshot(const relay::Snapshot&, TimePoint) override {}
  };
  struct Transport : FleetStateTransport {
    void SendToNode(const SocketAddress&, const relay::Frame&) override {}
    bool KeepConnected(const SocketAddress&, TimePoint) override {
      return true;
    }
    std::vector<SocketAddress> ConnectedNodes() const override { return {}; }
  };
  EventLog log(-1, "test");
  Store store;
  Transport transport;
  FleetStateExchange exchange(MakeNode(0), 1, &transport, &log);
  exchange.SetStore(&store);
  for (const uint64_t version : {1U, 3U}) {
    BOOST_TEST_CONTEXT("subscriber with version " << version) {
      size_t snapshots = 0;
      relay::Frame frame;
      frame.mutable_subscribe()->set_incarnation(2);
      SetDirectory({2, 5}, frame.mutable_subscribe()->mutable_view());
      frame.mutable_subscribe()->mutable_view()->set_config_version(version);
      // The first subscription is reported to in any case.
      for (int i = 0; i < 2; ++i) {
        exchange.OnFrame(
            frame,
            [&snapshots](const relay::Frame& reply) {
              snapshots += reply.has_snapshot() ? 1 : 0;
            },
            kStart);
      }
      BOOST_TEST(snapshots == (version == 1 ? 1U : 0U));
    }
  }
}

// A frozen or cut off provider's last report must not count for longer than
// what it confirmed.
BOOST_AUTO_TEST_CASE(ConfirmationsEndWithTheirAge) {
  FakeFleet fleet(36);
  fleet.Run(seconds(3));
  for (size_t i = 0; i < fleet.size(); ++i) fleet.SetReadable(i, false);
  fleet.Run(seconds(4));
  for (size_t i = 0; i < fleet.size(); ++i) {
    BOOST_TEST((fleet.now - fleet.node(i).ConfirmedAt() >= seconds(4)));
    BOOST_TEST((fleet.node(i).mode() != ReadMode::kFromPeers));
  }
}

void SilenceOthers(FakeFleet* fleet, size_t node) {
  for (size_t i = 0; i < fleet->size(); ++i) {
    if (i != node) fleet->SetServing(i, Serving::kSilent);
  }
}

// The platform serves a node again, and no other one for long after. That node
// must know of changes by the time at which it counts as undisturbed. Pauses
// used to come on top of time-outs, and kept connections that had gone dark
// cost a time-out more.
BOOST_AUTO_TEST_CASE(NodeThatIsServedAgainFollowsInTime) {
  struct Case {
    const char* what;
    std::function<void(FakeFleet*, size_t node)> fail;
    std::function<void(FakeFleet*, size_t node)> end;
  };
  const auto serve = [](FakeFleet* fleet, size_t i) {
    fleet->SetServing(i, Serving::kAnswers);
  };
  const std::vector<Case> cases = {
      {"silent",
       [](FakeFleet* fleet, size_t i) {
         fleet->SetServing(i, Serving::kSilent);
       },
       serve},
      {"refused",
       [](FakeFleet* fleet, size_t i) {
         fleet->SetServing(i, Serving::kRefuses);
       },
       serve},
      {"dark connections", [](FakeFleet*, size_t) {},
       [](FakeFleet* fleet, size_t i) { fleet->node(i).SilenceConnections(); }},
  };
  for (const Case& item : cases) {
    for (Duration away{}; away < seconds(10); away += milliseconds(100)) {
      BOOST_TEST_CONTEXT(item.what << ", " << ToMilliseconds(away) << " ms") {
        FakeFleet fleet(18);
        fleet.Run(seconds(3));
        size_t node = 0;
        while (fleet.node(node).mode() != ReadMode::kFromPeers) ++node;
        item.fail(&fleet, node);
        SilenceOthers(&fleet, node);
        fleet.Run(away);
        item.end(&fleet, node);
        fleet.Run(kStableTime - kChangeBound);
        fleet.platform.Change("op/config", fleet.now);
        fleet.Run(kChangeBound);
        BOOST_TEST((fleet.node(node).state() == fleet.platform.state));
      }
    }
  }
}

// A node has read the platform, follows again, and its connections go dark.
// When its readers fail later, the node must not lose a time-out to a
// connection that it has kept since then.
BOOST_AUTO_TEST_CASE(KeptConnectionsThatWentDarkCostNoTimeout) {
  for (Duration served = milliseconds(100); served < seconds(4);
       served += milliseconds(100)) {
    BOOST_TEST_CONTEXT("readers served for " << ToMilliseconds(served)
                                             << " ms") {
      FakeFleet fleet(18);
      fleet.Run(seconds(3));
      size_t node = 0;
      while (fleet.node(node).mode() != ReadMode::kFromPeers) ++node;
      SilenceOthers(&fleet, node);
      fleet.Run(seconds(4));
      BOOST_TEST((fleet.node(node).mode() != ReadMode::kFromPeers));
      for (size_t i = 0; i < fleet.size(); ++i) fleet.SetReadable(i, true);
      while (fleet.node(node).mode() != ReadMode::kFromPeers) {
        fleet.Run(milliseconds(20));
      }
      const TimePoint dark = fleet.now;
      fleet.node(node).SilenceConnections();
      fleet.Run(served);
      SilenceOthers(&fleet, node);
      const TimePoint earliest = dark + kStableTime - kChangeBound;
      fleet.Run(std::max(earliest - fleet.now, Duration(milliseconds(20))));
      fleet.platform.Change("op/config", fleet.now);
      fleet.Run(kChangeBound);
      BOOST_TEST((fleet.node(node).state() == fleet.platform.state));
    }
  }
}

// One random step: what happens, to which node, and the time until the next.
struct FaultStep {
  size_t fault = 0;
  size_t node = 0;
  Duration pause{};
};

void SetServingOfReaders(FakeFleet* fleet, Serving serving) {
  for (const size_t reader : fleet->Readers()) {
    fleet->SetServing(reader, serving);
  }
}

void ServeAll(FakeFleet* fleet, size_t) {
  for (size_t i = 0; i < fleet->size(); ++i) {
    fleet->SetServing(i, Serving::kAnswers);
  }
}

struct RandomFault {
  void (*apply)(FakeFleet* fleet, size_t node);
  // Whether it disturbs the node at that moment, beside what lasts.
  bool disturbs = false;
};

const RandomFault kRandomFaults[] = {
    {[](FakeFleet* fleet, size_t i) { fleet->frozen.insert(i); }},
    {[](FakeFleet* fleet, size_t i) { fleet->frozen.erase(i); }},
    {[](FakeFleet* fleet, size_t i) {
      fleet->SetServing(i, Serving::kSilent);
    }},
    {[](FakeFleet* fleet, size_t i) {
      fleet->SetServing(i, Serving::kRefuses);
    }},
    {[](FakeFleet* fleet, size_t i) {
      fleet->SetServing(i, Serving::kAnswers);
    }},
    {[](FakeFleet* fleet, size_t) {
      SetServingOfReaders(fleet, Serving::kSilent);
    }},
    {[](FakeFleet* fleet, size_t) {
      SetServingOfReaders(fleet, Serving::kRefuses);
    }},
    {&ServeAll},
    {&ServeAll},
    {[](FakeFleet* fleet, size_t i) { fleet->isolated.insert(i); }},
    {[](FakeFleet* fleet, size_t i) { fleet->isolated.erase(i); }},
    {[](FakeFleet* fleet, size_t i) { fleet->node(i).SilenceConnections(); },
     true},
    {[](FakeFleet* fleet, size_t i) { fleet->Restart(i); }, true},
    {[](FakeFleet* fleet, size_t i) {
      fleet->platform.Change("servers/" + std::to_string(i), fleet->now);
    }},
    {[](FakeFleet* fleet, size_t) {
      fleet->platform.Change("op/config", fleet->now);
    }},
    {[](FakeFleet* fleet, size_t i) { fleet->RestoreStore(i); }},
};

rc::Gen<FaultStep> AnyStep(size_t nodes) {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange<size_t>(0, std::size(kRandomFaults)),
                     rc::gen::inRange<size_t>(0, nodes),
                     rc::gen::element(100, 300, 900)),
      [](const std::tuple<size_t, size_t, int>& drawn) {
        return FaultStep{std::get<0>(drawn), std::get<1>(drawn),
                         milliseconds(std::get<2>(drawn))};
      });
}

// Random series of freezes, restarts, cuts, failures of the platform for some
// nodes, restores of its store, and changes. A node must never go back to an
// earlier state. A node
// that has been undisturbed for some time must know of each change in time,
// whatever befalls the others. Once the failures end, all nodes must know of
// all changes in time.
BOOST_AUTO_TEST_CASE(AllChangesArriveAfterRandomFailures) {
  const auto check = [] {
    FakeFleet fleet(18);
    fleet.Run(seconds(1));
    const auto steps =
        *rc::gen::container<std::vector<FaultStep>>(AnyStep(fleet.size()));
    std::vector<StateRevision> seen(fleet.size());
    std::vector<TimePoint> last_disturbed(fleet.size());
    for (const FaultStep& step : steps) {
      const RandomFault& fault = kRandomFaults[step.fault];
      // A restarted node knows nothing.
      const FakeNode* before = &fleet.node(step.node);
      fault.apply(&fleet, step.node);
      if (&fleet.node(step.node) != before) seen[step.node] = {};
      if (fault.disturbs) last_disturbed[step.node] = fleet.now;
      for (const TimePoint end = fleet.now + step.pause; fleet.now < end;) {
        fleet.Run(milliseconds(100));
        for (size_t i = 0; i < fleet.size(); ++i) {
          RC_ASSERT(fleet.node(i).state() >= seen[i]);
          seen[i] = fleet.node(i).state();
          if (fleet.IsDisturbed(i)) last_disturbed[i] = fleet.now;
          if (fleet.now - last_disturbed[i] < kStableTime) continue;
          RC_ASSERT(seen[i] >=
                    fleet.platform.StateAt(fleet.now - kChangeBound));
        }
      }
    }
    fleet.frozen.clear();
    fleet.isolated.clear();
    ServeAll(&fleet, 0);
    fleet.platform.Change("op/config", fleet.now);
    fleet.Run(kChangeBound);
    RC_ASSERT(fleet.AllKnowNewest());
  };
  BOOST_TEST(rc::check("all changes arrive", check));
}

}  // namespace
}  // namespace vanillatiller
