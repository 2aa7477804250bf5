#ifndef VANILLATILLER_SOURCE_MEMBERSHIP_MEMBERSHIP_H_
#define VANILLATILLER_SOURCE_MEMBERSHIP_MEMBERSHIP_H_

// Public header of the membership library: which VMs there are and what is
// known of them.

#include <boost/random/mersenne_twister.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "membership/member.h"        // IWYU pragma: export
#include "membership/member_table.h"  // IWYU pragma: export
#include "membership/messages.h"      // IWYU pragma: export
#include "membership/probe_ring.h"    // IWYU pragma: export
#include "membership/update_queue.h"  // IWYU pragma: export

namespace vanillatiller {

// Chooses the peers that a node probes. The alternatives to kRing exist for
// the comparison in docs/decisions/membership.md.
enum class ProbeStrategy : uint8_t {
  // The next `successors` members on the ring of the node's region.
  kRing = 0,
  // Every member of the region.
  kAllPeers = 1,
  // `successors` members drawn at random for each round (Das, Gupta and
  // Motivala, "SWIM", DSN 2002).
  kRandom = 2,
  // Members at ring distances 1, 2, 4, ..., with an interval that grows with
  // the distance (after Mizutani, IEEE Access 2021).
  kByDistance = 3,
};

struct MembershipPolicy {
  ProbeStrategy strategy = ProbeStrategy::kRing;
  // Each probed peer is probed once in this time.
  Duration probe_interval = std::chrono::milliseconds(500);
  // Peers that one node probes.
  uint32_t successors = 3;
  Duration probe_timeout = std::chrono::milliseconds(250);
  // Peers asked to probe a silent one; 0 turns indirect probes off.
  uint32_t indirect_probers = 2;
  // Time for the probe on a new connection and the indirect probes.
  Duration confirm_timeout = std::chrono::milliseconds(350);
  // Time that a suspected member has to refute.
  Duration suspicion_timeout = std::chrono::milliseconds(800);
  // A node that only heard of a suspicion waits this many times longer.
  uint32_t received_suspicion_factor = 3;
  // Time between gossip rounds while news of a suspected, failed, refuting or
  // leaving member is under way.
  Duration gossip_interval = std::chrono::milliseconds(100);
  // Time between gossip rounds while only arrivals are pending; the VM list
  // names those as well.
  Duration join_gossip_interval = std::chrono::milliseconds(600);
  // How long urgent news keeps the gossip rounds short.
  Duration urgent_gossip_time = std::chrono::milliseconds(600);
  // Peers that one node gossips with, its successors among them.
  uint32_t neighbours = 10;
  // Peers that get the pending updates in one gossip round.
  uint32_t gossip_fanout = 3;
  // Times that one node sends one update within its region, which bounds the
  // cost of a change.
  uint32_t transmissions = 12;
  // The same for arrivals, which the VM list names as well; a start of the
  // whole fleet is many arrivals at once.
  uint32_t join_transmissions = 4;
  // Times that one relay sends one update to each other region.
  uint32_t relay_transmissions = 2;
  // Updates in one message.
  uint32_t max_updates = 20;
  // Updates in one answer to a comparison of tables.
  uint32_t max_sync_updates = 256;
  uint32_t relays_per_region = 3;
  // A relay exchanges with a relay of another region once in this time.
  Duration relay_interval = std::chrono::seconds(1);
  // Tables that differ while nothing changes for `quiet_time` are compared, at
  // most once in `sync_interval`.
  Duration stable_time = std::chrono::seconds(2);
  Duration sync_interval = std::chrono::seconds(4);
  // In this time about `reconnects_per_region` contacts are made in the region
  // with failed members that the VM list still names, so that the halves of a
  // healed partition find each other.
  Duration reconnect_interval = std::chrono::seconds(4);
  uint32_t reconnects_per_region = 8;
  // A tick that comes this long after the last one means that the process was
  // paused.
  Duration pause_threshold = std::chrono::milliseconds(1500);
  // A tick that comes this long after the last one shows that the node gets too
  // little processor time; for `slow_time` it waits `slow_factor` times longer
  // before it suspects a peer.
  Duration slow_threshold = std::chrono::milliseconds(250);
  Duration slow_time = std::chrono::seconds(5);
  int slow_factor = 4;
  // Share of the region's members, suspected or failed within `doubt_window`,
  // above which the node doubts its own view. 1 turns this rule off.
  double self_preservation_share = 0.25;
  // Members lost at once that never cause doubt.
  uint32_t self_preservation_min_losses = 3;
  Duration loss_window = std::chrono::seconds(3);
  // Shortest time in doubt; then a node that has contact with others resumes.
  Duration self_preservation_time = std::chrono::seconds(5);
  // After that, a large loss is believed for this long.
  Duration self_preservation_cooldown = std::chrono::seconds(30);
  // How long a failed member that the VM list does not name is remembered.
  Duration tombstone_time = std::chrono::minutes(10);
};

// Counts since the start.
struct MembershipCounters {
  uint64_t probes = 0;
  uint64_t confirmations = 0;
  uint64_t suspicions = 0;
  uint64_t failures_declared = 0;
  uint64_t refutations = 0;
  uint64_t gossip_messages = 0;
  uint64_t relay_messages = 0;
  uint64_t table_comparisons = 0;
  uint64_t self_preservation_entries = 0;
  uint64_t invalid_updates = 0;
  // Messages of or for a VM that shares an address with another one.
  uint64_t misdirected_messages = 0;
  // VM lists whose leaving marks were passed over as implausible.
  uint64_t implausible_vm_lists = 0;
};

// Decides which members there are, which peers to probe, what to tell whom.
// Not thread-safe.
//
// Every node probes its successors on a ring of its region, which bounds the
// worst detection time by the interval and the cost by the number of
// successors. A silent peer is probed once more on a new connection and through
// other peers, then suspected, then declared failed unless it refutes with a
// higher sequence. Updates travel by gossip within a region and by relays
// between regions. Only nodes of the same region declare a member failed, so a
// partition between regions fails nobody.
class Membership {
 public:
  class Builder;
  using Generator = boost::random::mt19937_64;

  // The platform's VM list. It adds VMs and marks them leaving; it neither
  // revives a failed member nor removes one.
  MembershipActions OnVmList(std::span<const Member> list, TimePoint now);

  // Result of a SendProbe or SendIndirectProbe. The results of probes that
  // timed out or were discarded after a pause only contribute their updates.
  MembershipActions OnProbeResult(const ProbeResult& result, TimePoint now);

  // A message from a peer; the answer goes back to it.
  ExchangeOutcome OnExchange(const ExchangeMessage& request, TimePoint now);

  // The node's view of its own backend server. `leaving` is final for this
  // incarnation. An unhealthy backend server is not a failed member: its node
  // refuses work as not run and routing reacts to that.
  MembershipActions OnLocalBackend(bool healthy, bool leaving, TimePoint now);

  // Call at least every gossip_interval.
  MembershipActions OnTick(TimePoint now, Generator& rng);

  // Makes the next gossip rounds take place even with no update pending, so
  // that what the caller attaches to messages spreads as fast as an update.
  void RequestGossip();

  const MemberTable& table() const { return m_table; }
  const Member& self() const { return *m_table.Find(m_self_vm); }
  bool IsBackendHealthy() const { return m_backend_healthy; }
  // True while the node declares nothing failed because it may itself be cut
  // off.
  bool IsInSelfPreservation() const { return m_in_self_preservation; }
  // True if this node exchanges updates with other regions.
  bool IsRelay() const;
  // True if a newer incarnation of this VM exists.
  bool IsSuperseded() const { return m_superseded; }
  const MembershipCounters& counters() const { return m_counters; }

 private:
  struct Target {
    std::string vm;
    Duration interval{};
    TimePoint due;
  };

  // A probe that was sent to `vm` and has no result yet.
  struct Probe {
    std::string vm;
    // Second stage: a new connection and indirect probes.
    bool confirming = false;
    uint32_t outstanding = 1;
    TimePoint deadline;
  };

  struct Suspicion {
    // True if this node's own probes failed.
    bool detected_locally = false;
    TimePoint deadline;
  };

  struct LostMember {
    TimePoint time;
    std::string vm;
  };

  Membership(const Member& self, const MembershipPolicy& policy);

  // Updates.
  bool Merge(const Member& update, TimePoint now);
  void MergeAll(const MemberList& updates, TimePoint now);
  void MergeSelfUpdate(const Member& update, TimePoint now);
  void ApplyUpdate(const Member& update, TimePoint now);
  void AnnounceSelf(MemberState state, uint64_t sequence);
  void Enqueue(const Member& member, uint32_t transmissions);
  bool IsPlausible(std::span<const Member> list) const;
  void MergeListedMember(const Member& listed, bool apply_leaving,
                         TimePoint now);

  // Messages.
  ExchangeMessage MakeMessage() const;
  ExchangeMessage MakeMessage(const std::vector<std::string>& names) const;
  void AttachEntry(std::string_view vm, ExchangeMessage* message) const;
  SendProbe MakeProbe(const Member& target);
  void CompareTables(const std::string& vm, TimePoint now,
                     MembershipActions* actions);
  void SendNewerEntries(const ExchangeMessage& answer,
                        MembershipActions* actions);

  // Failure detection.
  bool IsFromAnotherVm(const ProbeResult& result) const;
  void HandleProbeSuccess(uint64_t probe_id, TimePoint now);
  void HandleProbeFailure(uint64_t probe_id, TimePoint now,
                          MembershipActions* actions);
  void ConfirmFailure(const std::string& vm, TimePoint now,
                      MembershipActions* actions);
  void Suspect(const std::string& vm, TimePoint now);
  void DeclareFailed(const std::string& vm, TimePoint now);
  bool IsIsolated(TimePoint now) const;
  void RecordLoss(const std::string& vm, TimePoint now);
  bool HasLostLargeShare(TimePoint now);
  void EnterSelfPreservation(TimePoint now);
  void LeaveSelfPreservationIfDue(TimePoint now);

  // Steps of a tick.
  void DetectPause(TimePoint now);
  Duration ScaleTimeout(Duration duration) const;
  void ExpireProbes(TimePoint now, MembershipActions* actions);
  void ExpireSuspicions(TimePoint now);
  void DropTombstones(TimePoint now);
  void RefreshRing(TimePoint now, Generator& rng);
  void ChooseNeighbours();
  void ChooseTargets(TimePoint now, Generator& rng);
  void SendDueProbes(TimePoint now, MembershipActions* actions);
  const std::string& NextNeighbour();
  void Gossip(TimePoint now, MembershipActions* actions);
  void Relay(TimePoint now, Generator& rng, MembershipActions* actions);
  void Reconnect(TimePoint now, Generator& rng, MembershipActions* actions);
  void Synchronize(TimePoint now, Generator& rng, MembershipActions* actions);
  void Publish(MembershipActions* actions);

  void SendToRelay(const std::string& region, Generator& rng,
                   MembershipActions* actions);

  MembershipPolicy m_policy;
  std::string m_self_vm;
  MemberTable m_table;
  UpdateQueue m_updates;
  // Updates about members of this region, for each other region.
  std::map<std::string, UpdateQueue> m_remote_updates;
  ProbeRing m_ring;
  std::vector<Target> m_targets;
  std::vector<std::string> m_neighbours;
  size_t m_next_neighbour = 0;
  // Relays of every region.
  std::map<std::string, std::vector<std::string>> m_relays;
  std::map<uint64_t, Probe> m_probes;
  std::map<std::string, Suspicion> m_suspicions;
  std::map<std::string, TimePoint> m_failed_at;
  std::set<std::string, std::less<>> m_listed_vms;
  std::deque<LostMember> m_losses;
  // Peers to ask for an indirect probe, drawn at each tick.
  std::vector<std::string> m_indirect_probers;
  uint64_t m_next_probe_id = 1;
  uint32_t m_gossip_rounds = 0;
  size_t m_next_remote_region = 0;
  bool m_backend_healthy = true;
  bool m_in_self_preservation = false;
  bool m_superseded = false;
  bool m_ring_changed = true;
  bool m_table_changed = true;
  // Asks any peer for a comparison of tables: after the start and a pause.
  bool m_sync_requested = true;
  std::optional<TimePoint> m_last_tick;
  TimePoint m_last_contact;
  TimePoint m_last_change;
  TimePoint m_self_preservation_since;
  TimePoint m_self_preservation_allowed_from;
  TimePoint m_last_gossip;
  TimePoint m_urgent_until;
  TimePoint m_slow_until;
  TimePoint m_next_relay;
  TimePoint m_next_reconnect;
  TimePoint m_next_sync;
  TimePoint m_next_target_selection;
  MembershipCounters m_counters;
};

// Collects the settings of a Membership.
class Membership::Builder {
 public:
  // The node's own entry: VM name, service, peer address, failure domain,
  // region and an incarnation above 0.
  Builder& SetSelf(const Member& self);
  Builder& SetPolicy(const MembershipPolicy& policy);

  // nullopt if there is any finding.
  std::optional<Membership> Build(Findings* findings) const;

 private:
  Member m_self;
  MembershipPolicy m_policy;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_MEMBERSHIP_MEMBERSHIP_H_
