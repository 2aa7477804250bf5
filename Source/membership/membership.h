#ifndef VANILLATILLER_SOURCE_MEMBERSHIP_MEMBERSHIP_H_
#define VANILLATILLER_SOURCE_MEMBERSHIP_MEMBERSHIP_H_

// Public header of the membership library, which tracks the VMs of the fleet
// and their state.

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

// Selects the peers that a node probes. Only kRing is used in production; the
// other strategies exist for the comparison in docs/decisions/membership.md.
enum class ProbeStrategy : uint8_t {
  // The next `successors` members on the ring of the node's region.
  kRing = 0,
  // Every member of the region.
  kAllPeers = 1,
  // `successors` members chosen at random for each round (Das, Gupta and
  // Motivala, "SWIM", DSN 2002).
  kRandom = 2,
  // Members at ring distances 1, 2, 4, ..., with an interval that grows with
  // the distance (after Mizutani, IEEE Access 2021).
  kByDistance = 3,
};

struct MembershipPolicy {
  ProbeStrategy strategy = ProbeStrategy::kRing;
  // Time between two probes of the same peer.
  Duration probe_interval = std::chrono::milliseconds(500);
  // Number of peers that a node probes.
  uint32_t successors = 3;
  Duration probe_timeout = std::chrono::milliseconds(250);
  // Number of peers asked to probe an unresponsive peer; 0 disables indirect
  // probes.
  uint32_t indirect_probers = 2;
  // Timeout of the confirmation stage: the probe on a new connection and the
  // indirect probes.
  Duration confirm_timeout = std::chrono::milliseconds(350);
  // Time in which a suspected member can refute the suspicion.
  Duration suspicion_timeout = std::chrono::milliseconds(800);
  // Multiplier of `suspicion_timeout` for a suspicion that a node received from
  // a peer instead of detecting it itself.
  uint32_t received_suspicion_factor = 3;
  // Time between gossip rounds while updates about suspected, failed, refuting
  // or leaving members are being disseminated.
  Duration gossip_interval = std::chrono::milliseconds(100);
  // Time between gossip rounds while only joins are pending. Joins are less
  // urgent because nodes also learn of them from the VM list.
  Duration join_gossip_interval = std::chrono::milliseconds(600);
  // Time for which an urgent update keeps the gossip interval short.
  Duration urgent_gossip_time = std::chrono::milliseconds(600);
  // Number of peers that a node gossips with, including its successors.
  uint32_t neighbours = 10;
  // Number of peers that receive the pending updates in one gossip round.
  uint32_t gossip_fanout = 3;
  // Number of times that a node sends an update within its region. Bounds the
  // traffic caused by a change.
  uint32_t transmissions = 12;
  // The same for joins. The limit is lower because the VM list also contains
  // new members, and a start of the whole fleet causes many joins at once.
  uint32_t join_transmissions = 4;
  // Number of times that a relay sends an update to each other region.
  uint32_t relay_transmissions = 2;
  // Maximum number of updates in a message.
  uint32_t max_updates = 20;
  // Maximum number of updates in an answer to a table comparison.
  uint32_t max_sync_updates = 256;
  uint32_t relays_per_region = 3;
  // Time between two periodic exchanges of a relay with a relay of another
  // region.
  Duration relay_interval = std::chrono::seconds(1);
  // Tables that still differ after `stable_time` without a change are compared,
  // at most once per `sync_interval`.
  Duration stable_time = std::chrono::seconds(2);
  Duration sync_interval = std::chrono::seconds(4);
  // The nodes of a region together probe about `reconnects_per_region` failed
  // members per `reconnect_interval`, chosen among those that are still in the
  // VM list. This reconnects the two sides of a healed partition.
  Duration reconnect_interval = std::chrono::seconds(4);
  uint32_t reconnects_per_region = 8;
  // Delay between two ticks from which the process is considered to have been
  // paused.
  Duration pause_threshold = std::chrono::milliseconds(1500);
  // Delay between two ticks from which the node is considered short of CPU
  // time. For `slow_time` after that, its probe and suspicion timeouts are
  // multiplied by `slow_factor`.
  Duration slow_threshold = std::chrono::milliseconds(250);
  Duration slow_time = std::chrono::seconds(5);
  int slow_factor = 4;
  // Share of the region's members, suspected or failed within `loss_window`,
  // above which the node enters self-preservation: it assumes that it may be
  // cut off itself and declares no member failed. 1 disables this rule.
  double self_preservation_share = 0.25;
  // Number of lost members up to which the share does not apply.
  uint32_t self_preservation_min_losses = 3;
  Duration loss_window = std::chrono::seconds(3);
  // Minimum duration of self-preservation, after which a node that has contact
  // with other members leaves it.
  Duration self_preservation_time = std::chrono::seconds(5);
  // Time after leaving self-preservation in which a large loss does not trigger
  // it again.
  Duration self_preservation_cooldown = std::chrono::seconds(30);
  // Time for which a failed member that is not in the VM list is kept.
  Duration tombstone_time = std::chrono::minutes(10);
};

// Counters since process start.
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
  // Messages from or to a VM whose address another VM uses.
  uint64_t misdirected_messages = 0;
  // VM lists whose leaving marks were ignored as implausible.
  uint64_t implausible_vm_lists = 0;
};

// Membership protocol: maintains the member table and decides which peers to
// probe and which updates to send to them. Performs no I/O and reads no clock;
// the caller carries out the returned actions. Not thread-safe.
//
// Every node probes its successors on a ring of its region. The probe interval
// bounds the worst-case detection time, and the number of successors bounds the
// traffic. An unresponsive peer is probed again on a new connection and through
// other peers, then suspected, and then declared failed unless it refutes the
// suspicion with a higher sequence. Updates are disseminated by gossip within a
// region and by relays between regions. Only nodes of the same region declare a
// member failed, so a partition between regions causes no failure declarations.
class Membership {
 public:
  class Builder;
  using Generator = boost::random::mt19937_64;

  // Merges the platform's VM list, which can add VMs and mark them as leaving.
  // It neither revives a failed member nor removes any member.
  MembershipActions OnVmList(std::span<const Member> list, TimePoint now);

  // Handles the result of a SendProbe or SendIndirectProbe. From probes that
  // timed out or were discarded after a pause, only the updates are used.
  MembershipActions OnProbeResult(const ProbeResult& result, TimePoint now);

  // Handles a request from a peer; the caller sends the answer back to it.
  ExchangeOutcome OnExchange(const ExchangeMessage& request, TimePoint now);

  // Reports the state of the node's own backend server. `leaving` is final for
  // this incarnation. An unhealthy backend server does not make the member
  // failed: its node refuses calls as not run, and routing reacts to that.
  MembershipActions OnLocalBackend(bool healthy, bool leaving, TimePoint now);

  // Must be called at least every gossip_interval.
  MembershipActions OnTick(TimePoint now, Generator& rng);

  // Runs the next gossip rounds even if no update is pending, so that data that
  // the caller attaches to messages is disseminated as fast as an update.
  void RequestGossip();

  const MemberTable& table() const { return m_table; }
  const Member& self() const { return *m_table.Find(m_self_vm); }
  bool IsBackendHealthy() const { return m_backend_healthy; }
  // True while the node declares no member failed because it may be cut off
  // itself.
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

  // A probe of `vm` without a result so far.
  struct Probe {
    std::string vm;
    // True for the confirmation stage: a probe on a new connection together
    // with indirect probes.
    bool confirming = false;
    uint32_t outstanding = 1;
    TimePoint deadline;
  };

  struct Suspicion {
    // True if probes of this node failed; false if the suspicion was received
    // from a peer.
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
  // Pending updates about members of this region, by destination region.
  std::map<std::string, UpdateQueue> m_remote_updates;
  ProbeRing m_ring;
  std::vector<Target> m_targets;
  std::vector<std::string> m_neighbours;
  size_t m_next_neighbour = 0;
  // Relay VMs by region.
  std::map<std::string, std::vector<std::string>> m_relays;
  std::map<uint64_t, Probe> m_probes;
  std::map<std::string, Suspicion> m_suspicions;
  std::map<std::string, TimePoint> m_failed_at;
  std::set<std::string, std::less<>> m_listed_vms;
  std::deque<LostMember> m_losses;
  // Candidates for indirect probes, chosen at random at each tick.
  std::vector<std::string> m_indirect_probers;
  uint64_t m_next_probe_id = 1;
  uint32_t m_gossip_rounds = 0;
  size_t m_next_remote_region = 0;
  bool m_backend_healthy = true;
  bool m_in_self_preservation = false;
  bool m_superseded = false;
  bool m_ring_changed = true;
  bool m_table_changed = true;
  // True if a table comparison with any peer is due regardless of digests,
  // after the start or on entry to self-preservation.
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

// Builds a Membership from validated settings.
class Membership::Builder {
 public:
  // The node's own entry: VM name, service, peer address, failure domain,
  // region and an incarnation above 0.
  Builder& SetSelf(const Member& self);
  Builder& SetPolicy(const MembershipPolicy& policy);

  // Returns nullopt and appends to `findings` if any setting is invalid.
  std::optional<Membership> Build(Findings* findings) const;

 private:
  Member m_self;
  MembershipPolicy m_policy;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_MEMBERSHIP_MEMBERSHIP_H_
