#ifndef VANILLATILLER_TESTS_FLEET_HARNESS_H_
#define VANILLATILLER_TESTS_FLEET_HARNESS_H_

// Discrete-event simulation of many nodes in virtual time. Runs the Membership
// and ConfigSpread of each node against a simulated network, configuration
// service and VM list.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "spread/spread.h"

namespace vanillatiller {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Value text: "VERSION:LABEL:PADDING". A delta is "BASE>VERSION:LABEL".
inline std::string MakeValue(uint64_t version, const std::string& label) {
  return absl::StrCat(version, ":", label, ":", std::string(500, 'x'));
}

class FakeValidator : public ConfigValidator {
 public:
  std::optional<ValidatedValue> Validate(std::string_view text,
                                         Reason* reason) const override {
    const std::string copy(text);
    const std::vector<std::string> parts = absl::StrSplit(copy, ':');
    uint64_t version = 0;
    if (parts.size() != 3 || parts[1] == "bad" ||
        !absl::SimpleAtoi(parts[0], &version)) {
      *reason = {RefusalCode::kBadRequest, "bad value"};
      return std::nullopt;
    }
    return ValidatedValue{version, copy};
  }
};

class FakeCodec : public DeltaCodec {
 public:
  std::optional<std::string> Diff(std::string_view base,
                                  std::string_view value) const override {
    const std::string target(value.substr(0, value.rfind(':')));
    return absl::StrCat(std::string(base.substr(0, base.find(':'))), ">",
                        target);
  }
  std::optional<std::string> Apply(std::string_view base,
                                   std::string_view delta) const override {
    const size_t mark = delta.find('>');
    if (base.substr(0, base.find(':')) != delta.substr(0, mark)) {
      return std::nullopt;
    }
    return absl::StrCat(std::string(delta.substr(mark + 1)), ":",
                        std::string(500, 'x'));
  }
};

struct FleetOptions {
  uint32_t regions = 3;
  uint32_t domains_per_region = 2;
  uint32_t nodes_per_domain = 4;
  MembershipPolicy membership;
  SpreadPolicy spread;
  uint64_t seed = 20261204;
};

class Fleet {
 public:
  struct Node {
    Member self;
    std::optional<Membership> membership;
    std::optional<ConfigSpread> spread;
    MemberList routed;
    bool up = false;
    bool paused = false;
    // Incremented at each start, so that events of earlier runs are dropped.
    uint64_t run = 0;
    uint64_t messages = 0;
    uint64_t bytes = 0;
    uint64_t highest_version = 0;
    // Number of values put in force with a lower version than an earlier value
    // of this VM.
    uint64_t version_regressions = 0;
    uint64_t conflicts = 0;
    uint64_t refused = 0;
  };

  // Simulated configuration service.
  struct Service {
    std::string text;
    uint64_t version = 0;
    ServiceStatus fault = ServiceStatus::kValue;
    // If true, returns its value even if the reader has the same or a higher
    // version, as a stale replica does.
    bool ignores_reader_version = false;
    // VMs whose requests it does not answer.
    std::set<std::string> silent_for;
    // Watches and first reads, and reads by nodes that have a value and do not
    // wait for the next one.
    uint64_t reads = 0;
    uint64_t checks = 0;
  };

  explicit Fleet(const FleetOptions& options)
      : m_options(options), m_rng(options.seed) {
    for (uint32_t r = 0; r < options.regions; ++r) {
      for (uint32_t d = 0; d < options.domains_per_region; ++d) {
        for (uint32_t i = 0; i < options.nodes_per_domain; ++i)
          AddNode(r, d, i);
      }
    }
    vm_list = [this] {
      MemberList list;
      for (const Node& node : nodes) list.push_back(node.self);
      return list;
    };
  }

  std::vector<Node> nodes;
  Service service;
  // Returns the VM list that the platform currently provides.
  std::function<MemberList()> vm_list;
  // Returns false for a pair of nodes that the network does not connect.
  std::function<bool(const Member&, const Member&)> connected =
      [](const Member&, const Member&) { return true; };
  // Connections that deliver nothing until they are replaced, as pairs of the
  // sender's and the target's VM.
  std::set<std::pair<std::string, std::string>> silent;
  // Called for each request between nodes.
  std::function<void(const Member&, const Member&)> on_message;
  bool drop_deltas = false;
  Duration vm_list_interval = seconds(2);

  TimePoint now() const { return m_now; }
  size_t size() const { return nodes.size(); }

  void Publish(uint64_t version, const std::string& label) {
    service.version = version;
    service.text = MakeValue(version, label);
    for (auto& release : std::exchange(m_watches, {})) Schedule({}, release);
  }

  void StartAll() {
    for (size_t i = 0; i < size(); ++i) Start(i);
  }

  void Start(size_t index) {
    Node& node = nodes[index];
    Findings findings;
    node.self.incarnation = ++m_incarnation;
    node.membership = Membership::Builder()
                          .SetSelf(node.self)
                          .SetPolicy(m_options.membership)
                          .Build(&findings);
    node.spread = ConfigSpread::Builder()
                      .SetSelf(node.self)
                      .SetPolicy(m_options.spread)
                      .SetCodec(std::make_shared<FakeCodec>())
                      .SetValidator(std::make_shared<FakeValidator>())
                      .Build(&findings);
    if (!findings.empty()) throw std::logic_error(FormatFindings(findings));
    node.up = true;
    node.paused = false;
    ++node.run;
    node.routed.clear();
    ScheduleForRun(index, Jitter(milliseconds(100)),
                   [this, index] { Tick(index); });
    ScheduleForRun(index, Jitter(milliseconds(300)),
                   [this, index] { ReadVms(index); });
  }

  // Stops the VM without notice; peers no longer get any answer.
  void Kill(size_t index) { nodes[index].up = false; }

  void Pause(size_t index, Duration time) {
    nodes[index].paused = true;
    ScheduleForRun(index, time, [this, index] { nodes[index].paused = false; });
  }

  void Leave(size_t index) {
    Handle(index, nodes[index].membership->OnLocalBackend(true, true, m_now));
  }

  void Run(Duration time) {
    const TimePoint end = m_now + time;
    while (!m_events.empty() && m_events.top().time <= end) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.time;
      event.action();
    }
    m_now = end;
  }

  // Runs until `done` returns true. Returns the elapsed time, or nullopt after
  // `limit`.
  std::optional<Duration> RunUntil(const std::function<bool()>& done,
                                   Duration limit) {
    const TimePoint start = m_now;
    while (m_now < start + limit) {
      if (done()) return m_now - start;
      Run(milliseconds(10));
    }
    return std::nullopt;
  }

  bool IsActive(size_t index) const {
    return nodes[index].up && !nodes[index].paused;
  }

  // Returns the state of `target` in the routing table of `observer`, or
  // kFailed if it is absent.
  MemberState ObservedState(size_t observer, size_t target) const {
    for (const Member& member : nodes[observer].routed) {
      if (member.vm == nodes[target].self.vm) return member.state;
    }
    return MemberState::kFailed;
  }

  // True if `predicate` holds for every active node other than `except`.
  bool AllActive(const std::function<bool(size_t)>& predicate,
                 size_t except = SIZE_MAX) const {
    for (size_t i = 0; i < size(); ++i) {
      if (i != except && IsActive(i) && !predicate(i)) return false;
    }
    return true;
  }

  bool IsRemovedEverywhere(size_t target) const {
    return AllActive(
        [&](size_t i) {
          return ObservedState(i, target) == MemberState::kFailed;
        },
        target);
  }

  bool AllSeeAllLive() const {
    return AllActive([&](size_t i) {
      for (size_t j = 0; j < size(); ++j) {
        if (IsActive(j) && ObservedState(i, j) != MemberState::kLive) {
          return false;
        }
      }
      return true;
    });
  }

  bool AllHaveVersion(uint64_t version) const {
    return AllActive(
        [&](size_t i) { return nodes[i].spread->stamp().version == version; });
  }

  uint64_t Sum(uint64_t Node::*field) const {
    uint64_t sum = 0;
    for (const Node& node : nodes) sum += node.*field;
    return sum;
  }

 private:
  using Action = std::function<void()>;

  // Time after which a request that is not answered counts as failed, beside
  // the time for which it may wait.
  static constexpr Duration kReadTimeout = seconds(5);

  struct Event {
    TimePoint time;
    uint64_t order = 0;
    Action action;
    bool operator<(const Event& other) const {
      return std::pair(other.time, other.order) < std::pair(time, order);
    }
  };

  void AddNode(uint32_t region, uint32_t domain, uint32_t number) {
    Node node;
    node.self.region = absl::StrCat("region-", region);
    node.self.failure_domain = absl::StrCat(node.self.region, "-", domain);
    node.self.vm = absl::StrCat("vm-", region, "-", domain, "-", number);
    node.self.service = absl::StrCat("service-", number % 4);
    node.self.peer_address = node.self.vm;
    m_index[node.self.vm] = nodes.size();
    nodes.push_back(node);
  }

  void Schedule(Duration delay, Action action) {
    m_events.push({m_now + delay, m_order++, std::move(action)});
  }

  // Schedules `action`, which is dropped if the node has stopped or restarted
  // in the meantime. It also runs while the node is paused, so callers check
  // that.
  void ScheduleForRun(size_t index, Duration delay, Action action) {
    const uint64_t run = nodes[index].run;
    Schedule(delay, [this, index, run, action] {
      Node& node = nodes[index];
      if (!node.up || node.run != run) return;
      action();
    });
  }

  Duration Jitter(Duration limit) {
    return Duration(static_cast<int64_t>(m_rng() % limit.count()));
  }
  Duration Jitter(milliseconds limit) { return Jitter(Duration(limit)); }

  Duration Latency(const Member& from, const Member& to) {
    if (from.region != to.region) return milliseconds(30);
    return milliseconds(1);
  }

  void Tick(size_t index) {
    ScheduleForRun(index, milliseconds(100), [this, index] { Tick(index); });
    Node& node = nodes[index];
    if (node.paused) return;
    Handle(index, node.membership->OnTick(m_now, m_rng));
    Handle(index, node.spread->OnTick(m_now, m_rng));
  }

  void ReadVms(size_t index) {
    ScheduleForRun(index, vm_list_interval, [this, index] { ReadVms(index); });
    if (nodes[index].paused) return;
    Handle(index, nodes[index].membership->OnVmList(vm_list(), m_now));
  }

  void Handle(size_t index, const MembershipActions& actions) {
    for (const MembershipAction& action : actions) {
      if (const auto* probe = std::get_if<SendProbe>(&action)) {
        Deliver(index, *probe);
      } else if (const auto* ask = std::get_if<SendIndirectProbe>(&action)) {
        DeliverIndirect(index, *ask);
      } else {
        nodes[index].routed = std::get<PublishTable>(action).members;
        nodes[index].spread->OnMembers(nodes[index].routed, m_now);
      }
    }
  }

  // Simulates a request: runs `serve` at the target and the reply that it
  // returns at the sender, or `fail` at the sender after the timeout.
  void Call(size_t from, const std::string& address, bool fresh,
            Duration timeout, const std::function<Action(size_t)>& serve,
            const Action& fail) {
    const size_t to = m_index.at(address);
    const Member& sender = nodes[from].self;
    const Member& target = nodes[to].self;
    if (on_message) on_message(sender, target);
    if (fresh) silent.erase({sender.vm, target.vm});
    const bool lost =
        !connected(sender, target) || silent.contains({sender.vm, target.vm});
    const Duration latency = Latency(sender, target);
    if (lost) {
      ScheduleForRun(from, timeout, fail);
      return;
    }
    Schedule(latency, [=, this] {
      if (!IsActive(to)) {
        ScheduleForRun(from, timeout, fail);
        return;
      }
      const Action reply = serve(to);
      ScheduleForRun(from, latency, [this, from, to, reply, fail] {
        if (nodes[from].paused) return;
        connected(nodes[to].self, nodes[from].self) ? reply() : fail();
      });
    });
  }

  void Count(size_t index, const ExchangeMessage& message) {
    Node& node = nodes[index];
    ++node.messages;
    node.bytes +=
        150 + 80 * message.updates.size() + 8 * message.bucket_digests.size();
  }

  PeerStamp StampOf(size_t index) const {
    const Node& node = nodes[index];
    return {node.self.vm, node.self.peer_address, node.self.failure_domain,
            node.spread->stamp(), node.spread->IsConfirmed()};
  }

  void Deliver(size_t from, const SendProbe& probe) {
    Count(from, probe.message);
    const auto serve = [this, from, probe, stamp = StampOf(from)](size_t to) {
      Node& target = nodes[to];
      auto outcome = target.membership->OnExchange(probe.message, m_now);
      Handle(to, target.spread->OnPeerStamp(stamp, m_now, m_rng));
      Handle(to, outcome.actions);
      Count(to, outcome.answer);
      return Action(
          [this, from, probe, answer = outcome.answer, own = StampOf(to)] {
            Node& node = nodes[from];
            Handle(from, node.membership->OnProbeResult(
                             {probe.probe_id, true, answer}, m_now));
            Handle(from, node.spread->OnPeerStamp(own, m_now, m_rng));
          });
    };
    Call(from, probe.address, probe.fresh_connection, probe.timeout, serve,
         [this, from, probe] { ReportProbeFailure(from, probe.probe_id); });
  }

  void DeliverIndirect(size_t from, const SendIndirectProbe& ask) {
    const auto fail = [this, from, ask] {
      ReportProbeFailure(from, ask.probe_id);
    };
    const auto serve = [this, from, ask, fail](size_t via) {
      const size_t to = m_index.at(ask.target_address);
      const bool reached =
          IsActive(to) && connected(nodes[via].self, nodes[to].self);
      if (!reached) return Action(fail);
      ExchangeMessage answer;
      answer.updates.push_back(nodes[to].membership->self());
      return Action([this, from, ask, answer] {
        Handle(from, nodes[from].membership->OnProbeResult(
                         {ask.probe_id, true, answer}, m_now));
      });
    };
    Call(from, ask.via_address, false, ask.timeout, serve, fail);
  }

  void ReportProbeFailure(size_t index, uint64_t probe_id) {
    if (nodes[index].paused) return;
    Handle(index, nodes[index].membership->OnProbeResult(
                      {probe_id, false, std::nullopt}, m_now));
  }

  void Handle(size_t index, const SpreadActions& actions) {
    Node& node = nodes[index];
    for (const SpreadAction& action : actions) {
      if (const auto* watch = std::get_if<WatchService>(&action)) {
        Watch(index, *watch);
      } else if (const auto* fetch = std::get_if<FetchFromPeer>(&action)) {
        Fetch(index, *fetch);
      } else if (const auto* put = std::get_if<PutInForce>(&action)) {
        const uint64_t version = put->value->stamp.version;
        if (version < node.highest_version) ++node.version_regressions;
        node.highest_version = std::max(node.highest_version, version);
        node.membership->RequestGossip();
      } else if (std::holds_alternative<ReportConflict>(action)) {
        ++node.conflicts;
      } else {
        ++node.refused;
      }
    }
  }

  void Watch(size_t index, const WatchService& watch) {
    const bool is_check =
        watch.wait == Duration::zero() && watch.after_version > 0;
    ++(is_check ? service.checks : service.reads);
    const auto answer_after = [this, index](Duration time,
                                            const ServiceAnswer& result) {
      ScheduleForRun(index, time, [this, index, result] {
        Node& node = nodes[index];
        Handle(index, node.spread->OnServiceAnswer(result, m_now, m_rng));
      });
    };
    const auto answer = [this, index, answer_after](ServiceAnswer result) {
      if (service.silent_for.contains(nodes[index].self.vm)) {
        result = {ServiceStatus::kUnavailable, ""};
        answer_after(kReadTimeout, result);
        return;
      }
      answer_after(milliseconds(3), result);
    };
    if (service.fault != ServiceStatus::kValue) {
      answer({service.fault, ""});
      return;
    }
    const auto is_newer = [this, watch] {
      return service.version > watch.after_version ||
             (service.ignores_reader_version && service.version > 0);
    };
    if (is_newer()) {
      answer({ServiceStatus::kValue, service.text});
      return;
    }
    auto done = std::make_shared<bool>(false);
    const Action release = [this, done, is_newer, answer] {
      if (std::exchange(*done, true)) return;
      if (is_newer() && service.fault == ServiceStatus::kValue) {
        answer({ServiceStatus::kValue, service.text});
      } else {
        answer({ServiceStatus::kNotModified, ""});
      }
    };
    m_watches.push_back(release);
    Schedule(watch.wait, release);
  }

  void Fetch(size_t index, const FetchFromPeer& fetch) {
    nodes[index].bytes += 150;
    ++nodes[index].messages;
    const auto serve = [this, index, fetch](size_t to) {
      FetchAnswer answer = nodes[to].spread->AnswerFetch(fetch.request);
      nodes[to].bytes += 150 + answer.value.size();
      for (const std::string& delta : answer.deltas) {
        nodes[to].bytes += delta.size();
      }
      if (drop_deltas && !answer.deltas.empty()) answer.deltas.pop_back();
      if (drop_deltas && answer.value.empty() && answer.stamp.version != 0) {
        answer.deltas.push_back("lost");
      }
      return Action([this, index, fetch, answer] {
        Handle(index, nodes[index].spread->OnFetchAnswer(fetch.vm, answer,
                                                         m_now, m_rng));
      });
    };
    Call(index, fetch.address, false, fetch.timeout, serve,
         [this, index, fetch] {
           if (nodes[index].paused) return;
           Handle(index, nodes[index].spread->OnFetchAnswer(
                             fetch.vm, std::nullopt, m_now, m_rng));
         });
  }

  FleetOptions m_options;
  Membership::Generator m_rng;
  TimePoint m_now{std::chrono::hours(1)};
  uint64_t m_order = 0;
  uint64_t m_incarnation = 0;
  std::map<std::string, size_t> m_index;
  std::priority_queue<Event> m_events;
  std::vector<Action> m_watches;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_TESTS_FLEET_HARNESS_H_
