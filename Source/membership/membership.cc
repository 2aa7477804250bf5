#include "membership/membership.h"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <utility>

namespace vanillatiller {
namespace {

constexpr std::string_view kRelayKey = "membership-relay";
constexpr size_t kMaxNameLength = 128;
// Candidates for indirect probes per tick. More peers than this rarely become
// unresponsive at the same time.
constexpr size_t kIndirectProbersPerTick = 4;
// Number of probe intervals without contact to any peer after which the node
// considers itself isolated rather than its peers failed.
constexpr int kIsolationIntervals = 2;
// Time after its timeout at which a probe without a reported result is
// considered failed.
constexpr Duration kProbeResultMargin = std::chrono::milliseconds(100);

bool IsValidName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameLength;
}

bool IsValidState(MemberState state) {
  return state >= MemberState::kLive && state <= MemberState::kFailed;
}

bool IsValidMember(const Member& member) {
  return IsValidName(member.vm) && IsValidName(member.service) &&
         IsValidName(member.peer_address) &&
         IsValidName(member.failure_domain) && IsValidName(member.region) &&
         IsValidState(member.state);
}

size_t DrawIndex(size_t size, Membership::Generator& rng) {
  return boost::random::uniform_int_distribution<size_t>(0, size - 1)(rng);
}

Duration DrawDuration(Duration limit, Membership::Generator& rng) {
  boost::random::uniform_int_distribution<Duration::rep> draw(0, limit.count());
  return Duration(draw(rng));
}

std::vector<std::string> DrawNames(const std::vector<std::string>& names,
                                   size_t count, Membership::Generator& rng) {
  std::vector<std::string> result;
  if (names.size() <= count) return names;
  while (result.size() < count) {
    const std::string& name = names[DrawIndex(names.size(), rng)];
    if (std::find(result.begin(), result.end(), name) == result.end()) {
      result.push_back(name);
    }
  }
  return result;
}

// True if the entries are equal in the fields that matter for routing.
bool IsSameForRouting(const Member& first, const Member& second) {
  return first.state == second.state &&
         first.incarnation == second.incarnation &&
         first.peer_address == second.peer_address &&
         first.service == second.service;
}

}  // namespace

Membership::Membership(const Member& self, const MembershipPolicy& policy)
    : m_policy(policy), m_self_vm(self.vm) {
  m_table.Put(self);
  Enqueue(self, m_policy.transmissions);
}

MembershipActions Membership::OnVmList(std::span<const Member> list,
                                       TimePoint now) {
  const bool apply_leaving = IsPlausible(list);
  if (!apply_leaving) ++m_counters.implausible_vm_lists;
  m_listed_vms.clear();
  for (const Member& listed : list) {
    if (!IsValidMember(listed)) {
      ++m_counters.invalid_updates;
      continue;
    }
    m_listed_vms.insert(listed.vm);
    MergeListedMember(listed, apply_leaving, now);
  }
  return {};
}

MembershipActions Membership::OnProbeResult(const ProbeResult& result,
                                            TimePoint now) {
  MembershipActions actions;
  if (IsFromAnotherVm(result)) {
    ++m_counters.misdirected_messages;
    HandleProbeFailure(result.probe_id, now, &actions);
    return actions;
  }
  if (result.reached) {
    m_last_contact = now;
    HandleProbeSuccess(result.probe_id, now);
  }
  if (result.answer) {
    const ExchangeMessage& answer = *result.answer;
    MergeAll(answer.updates, now);
    if (!answer.bucket_digests.empty()) {
      SendNewerEntries(answer, &actions);
    } else if (answer.member_digest != 0 &&
               answer.member_digest != m_table.Digest()) {
      CompareTables(answer.from_vm, now, &actions);
    }
  }
  if (!result.reached) HandleProbeFailure(result.probe_id, now, &actions);
  return actions;
}

// True if a different VM answered at the address of the probed one. Answers to
// indirect probes have no sender name.
bool Membership::IsFromAnotherVm(const ProbeResult& result) const {
  const auto found = m_probes.find(result.probe_id);
  if (found == m_probes.end() || !result.answer) return false;
  const std::string& sender = result.answer->from_vm;
  return !sender.empty() && sender != found->second.vm;
}

ExchangeOutcome Membership::OnExchange(const ExchangeMessage& request,
                                       TimePoint now) {
  ExchangeOutcome outcome;
  if (!request.to_vm.empty() && request.to_vm != m_self_vm) {
    ++m_counters.misdirected_messages;
    outcome.answer.from_vm = m_self_vm;
    return outcome;
  }
  m_last_contact = now;
  MergeAll(request.updates, now);
  outcome.answer = MakeMessage();
  // A sender that is listed as failed or suspect can refute its entry.
  AttachEntry(request.from_vm, &outcome.answer);
  const bool mentions_self = std::any_of(
      request.updates.begin(), request.updates.end(),
      [this](const Member& update) { return update.vm == m_self_vm; });
  if (mentions_self) outcome.answer.updates.push_back(self());
  if (!request.want_members) return outcome;
  const size_t first_bucket = m_counters.table_comparisons++;
  MemberList entries = m_table.EntriesOfDifferingBuckets(
      request.bucket_digests, m_policy.max_sync_updates, first_bucket);
  outcome.answer.updates.insert(outcome.answer.updates.end(), entries.begin(),
                                entries.end());
  outcome.answer.bucket_digests = m_table.BucketDigests();
  return outcome;
}

MembershipActions Membership::OnLocalBackend(bool healthy, bool leaving,
                                             TimePoint now) {
  MembershipActions actions;
  m_backend_healthy = healthy;
  if (!leaving || self().state == MemberState::kLeaving) return actions;
  AnnounceSelf(MemberState::kLeaving, self().sequence + 1);
  m_last_change = now;
  m_urgent_until = now + m_policy.urgent_gossip_time;
  Publish(&actions);
  return actions;
}

MembershipActions Membership::OnTick(TimePoint now, Generator& rng) {
  MembershipActions actions;
  DetectPause(now);
  LeaveSelfPreservationIfDue(now);
  m_indirect_probers = DrawNames(m_neighbours, kIndirectProbersPerTick, rng);
  ExpireProbes(now, &actions);
  ExpireSuspicions(now);
  DropTombstones(now);
  RefreshRing(now, rng);
  ChooseTargets(now, rng);
  SendDueProbes(now, &actions);
  Gossip(now, &actions);
  Relay(now, rng, &actions);
  Reconnect(now, rng, &actions);
  Synchronize(now, rng, &actions);
  Publish(&actions);
  return actions;
}

void Membership::RequestGossip() {
  const uint32_t fanout = std::max(1U, m_policy.gossip_fanout);
  m_gossip_rounds = (m_policy.transmissions + fanout - 1) / fanout;
}

bool Membership::IsRelay() const {
  const auto found = m_relays.find(self().region);
  if (found == m_relays.end()) return false;
  const auto& names = found->second;
  return std::find(names.begin(), names.end(), m_self_vm) != names.end();
}

// --- Updates ---------------------------------------------------------------

void Membership::MergeAll(const MemberList& updates, TimePoint now) {
  for (const Member& update : updates) Merge(update, now);
}

bool Membership::Merge(const Member& update, TimePoint now) {
  if (!IsValidMember(update)) {
    ++m_counters.invalid_updates;
    return false;
  }
  if (update.vm == m_self_vm) {
    MergeSelfUpdate(update, now);
    return false;
  }
  const Member* entry = m_table.Find(update.vm);
  if (entry != nullptr && !Supersedes(update, *entry)) return false;
  ApplyUpdate(update, now);
  return true;
}

// Handles an update about this node from a peer. A newer incarnation means that
// this process was superseded. An update of an older incarnation is answered by
// disseminating the current entry again, and one that is not newer than that
// entry is otherwise ignored. A leaving mark set by the platform is adopted,
// and any other state is refuted.
void Membership::MergeSelfUpdate(const Member& update, TimePoint now) {
  const Member& own = self();
  if (update.incarnation > own.incarnation) {
    m_superseded = true;
    return;
  }
  if (!Supersedes(update, own)) {
    if (update.incarnation < own.incarnation) {
      Enqueue(own, m_policy.transmissions);
    }
    return;
  }
  m_urgent_until = now + m_policy.urgent_gossip_time;
  if (update.state == MemberState::kLeaving) {
    AnnounceSelf(MemberState::kLeaving, update.sequence + 1);
    return;
  }
  ++m_counters.refutations;
  AnnounceSelf(own.state, update.sequence + 1);
}

void Membership::AnnounceSelf(MemberState state, uint64_t sequence) {
  Member own = self();
  m_table_changed |= own.state != state;
  own.state = state;
  own.sequence = sequence;
  m_table.Put(own);
  Enqueue(own, m_policy.transmissions);
}

// Stores a newer entry of another member and enqueues it for dissemination.
void Membership::ApplyUpdate(const Member& update, TimePoint now) {
  const Member* before = m_table.Find(update.vm);
  const bool was_known = before != nullptr;
  const bool was_failed = was_known && before->state == MemberState::kFailed;
  const bool was_leaving = was_known && before->state == MemberState::kLeaving;
  const bool is_failed = update.state == MemberState::kFailed;
  m_table_changed |= !was_known || !IsSameForRouting(*before, update);
  m_ring_changed |= !was_known || was_failed != is_failed;
  const bool is_join = update.state == MemberState::kLive &&
                       (!was_known || before->state == MemberState::kLive);
  if (!is_join) m_urgent_until = now + m_policy.urgent_gossip_time;
  m_table.Put(update);
  m_last_change = now;
  Enqueue(update,
          is_join ? m_policy.join_transmissions : m_policy.transmissions);
  if (is_failed) m_failed_at[update.vm] = now;
  if (!is_failed) m_failed_at.erase(update.vm);
  if (update.state != MemberState::kSuspect) m_suspicions.erase(update.vm);
  if (is_failed && was_known && !was_leaving) RecordLoss(update.vm, now);
  if (update.state != MemberState::kSuspect) return;
  RecordLoss(update.vm, now);
  const Duration timeout =
      m_policy.suspicion_timeout * m_policy.received_suspicion_factor;
  m_suspicions.try_emplace(update.vm, Suspicion{false, now + timeout});
}

void Membership::Enqueue(const Member& member, uint32_t transmissions) {
  m_updates.Push(member.vm, transmissions);
  if (member.region != self().region) return;
  for (auto& [region, queue] : m_remote_updates) {
    queue.Push(member.vm, m_policy.relay_transmissions);
  }
}

// False for a list that newly marks a large share of the members as leaving.
// The leaving marks of such a list are assumed to be wrong and are ignored.
bool Membership::IsPlausible(std::span<const Member> list) const {
  size_t newly_leaving = 0;
  for (const Member& listed : list) {
    if (listed.state != MemberState::kLeaving) continue;
    const Member* entry = m_table.Find(listed.vm);
    if (entry == nullptr || entry->state == MemberState::kLive) ++newly_leaving;
  }
  const double share = m_policy.self_preservation_share;
  const double members = static_cast<double>(m_table.entries().size());
  return newly_leaving <= m_policy.self_preservation_min_losses ||
         static_cast<double>(newly_leaving) <= share * members;
}

void Membership::MergeListedMember(const Member& listed, bool apply_leaving,
                                   TimePoint now) {
  const bool leaving = apply_leaving && listed.state == MemberState::kLeaving;
  const Member* entry = m_table.Find(listed.vm);
  if (entry == nullptr) {
    Member added = listed;
    added.incarnation = 0;
    added.sequence = 0;
    added.state = leaving ? MemberState::kLeaving : MemberState::kLive;
    ApplyUpdate(added, now);
    return;
  }
  if (!leaving || entry->state == MemberState::kFailed) return;
  Member marked = *entry;
  marked.state = MemberState::kLeaving;
  Merge(marked, now);
}

// --- Messages --------------------------------------------------------------

// Probes and answers carry the pending updates without counting them as
// transmissions: their receivers depend on the ring, whereas gossip has to
// reach every neighbour.
ExchangeMessage Membership::MakeMessage() const {
  return MakeMessage(m_updates.Peek(m_policy.max_updates));
}

ExchangeMessage Membership::MakeMessage(
    const std::vector<std::string>& names) const {
  ExchangeMessage message;
  message.from_vm = m_self_vm;
  message.member_digest = m_table.Digest();
  for (const std::string& vm : names) {
    const Member* entry = m_table.Find(vm);
    if (entry != nullptr) message.updates.push_back(*entry);
  }
  return message;
}

// Attaches the entry of the receiving member if it is suspect, failed or known
// only from the VM list, so that the member can answer with a newer entry.
void Membership::AttachEntry(std::string_view vm,
                             ExchangeMessage* message) const {
  const Member* entry = m_table.Find(vm);
  if (entry == nullptr) return;
  const bool is_confirmed_active = entry->state == MemberState::kLive ||
                                   entry->state == MemberState::kLeaving;
  if (is_confirmed_active && entry->incarnation != 0) return;
  message->updates.push_back(*entry);
}

SendProbe Membership::MakeProbe(const Member& target) {
  SendProbe probe;
  probe.probe_id = m_next_probe_id++;
  probe.vm = target.vm;
  probe.address = target.peer_address;
  probe.timeout = ScaleTimeout(m_policy.probe_timeout);
  probe.message = MakeMessage();
  probe.message.to_vm = target.vm;
  AttachEntry(target.vm, &probe.message);
  return probe;
}

// Requests a table comparison with `vm`, rate-limited to one per sync_interval.
// Unless a comparison was requested explicitly, the table must not have changed
// for stable_time.
void Membership::CompareTables(const std::string& vm, TimePoint now,
                               MembershipActions* actions) {
  const Member* peer = m_table.Find(vm);
  if (peer == nullptr || now < m_next_sync) return;
  if (!m_sync_requested && now < m_last_change + m_policy.stable_time) return;
  m_sync_requested = false;
  m_next_sync = now + m_policy.sync_interval;
  ++m_counters.table_comparisons;
  SendProbe request = MakeProbe(*peer);
  request.timeout = m_policy.sync_interval;
  request.message.want_members = true;
  request.message.bucket_digests = m_table.BucketDigests();
  actions->emplace_back(std::move(request));
}

// Called after merging the peer's entries; sends the entries that the peer does
// not have.
void Membership::SendNewerEntries(const ExchangeMessage& answer,
                                  MembershipActions* actions) {
  const Member* peer = m_table.Find(answer.from_vm);
  if (peer == nullptr) return;
  MemberList entries = m_table.EntriesOfDifferingBuckets(
      answer.bucket_digests, m_policy.max_sync_updates,
      m_counters.table_comparisons);
  std::erase_if(entries, [&answer](const Member& entry) {
    return std::find(answer.updates.begin(), answer.updates.end(), entry) !=
           answer.updates.end();
  });
  if (entries.empty()) return;
  SendProbe request = MakeProbe(*peer);
  request.timeout = m_policy.sync_interval;
  request.message.updates = std::move(entries);
  actions->emplace_back(std::move(request));
}

// --- Failure detection -----------------------------------------------------

void Membership::HandleProbeSuccess(uint64_t probe_id, TimePoint now) {
  const auto found = m_probes.find(probe_id);
  if (found == m_probes.end()) return;
  const std::string vm = found->second.vm;
  std::erase_if(m_probes,
                [&vm](const auto& item) { return item.second.vm == vm; });
  const auto suspicion = m_suspicions.find(vm);
  if (suspicion == m_suspicions.end()) return;
  // The refutation may still be in transit, so the suspicion gets the longer
  // timeout of one received from a peer.
  suspicion->second = {false, now + m_policy.suspicion_timeout *
                                        m_policy.received_suspicion_factor};
}

void Membership::HandleProbeFailure(uint64_t probe_id, TimePoint now,
                                    MembershipActions* actions) {
  const auto found = m_probes.find(probe_id);
  if (found == m_probes.end()) return;
  Probe& probe = found->second;
  if (probe.outstanding > 1) {
    --probe.outstanding;
    return;
  }
  const std::string vm = probe.vm;
  const bool confirming = probe.confirming;
  m_probes.erase(found);
  if (confirming) {
    Suspect(vm, now);
  } else {
    ConfirmFailure(vm, now, actions);
  }
}

// Probes an unresponsive peer on a new connection and through other peers. All
// these probes share one ID; the peer is suspected when the last one has
// failed.
void Membership::ConfirmFailure(const std::string& vm, TimePoint now,
                                MembershipActions* actions) {
  const Member* target = m_table.Find(vm);
  if (target == nullptr || target->state == MemberState::kFailed) return;
  ++m_counters.confirmations;
  SendProbe direct = MakeProbe(*target);
  direct.fresh_connection = true;
  const Duration timeout = ScaleTimeout(m_policy.confirm_timeout);
  direct.timeout = timeout;
  Probe probe;
  probe.vm = vm;
  probe.confirming = true;
  probe.deadline = now + timeout + kProbeResultMargin;
  const uint64_t probe_id = direct.probe_id;
  const std::string target_address = target->peer_address;
  actions->emplace_back(std::move(direct));
  for (const std::string& name : m_indirect_probers) {
    if (probe.outstanding > m_policy.indirect_probers) break;
    const Member* helper = m_table.Find(name);
    if (name == vm || helper == nullptr) continue;
    if (helper->state != MemberState::kLive) continue;
    ++probe.outstanding;
    actions->emplace_back(
        SendIndirectProbe{probe_id, name, helper->peer_address, vm,
                          target_address, m_policy.confirm_timeout});
  }
  m_probes[probe_id] = probe;
}

void Membership::Suspect(const std::string& vm, TimePoint now) {
  const Member* entry = m_table.Find(vm);
  if (entry == nullptr || entry->state == MemberState::kFailed) return;
  if (IsIsolated(now)) EnterSelfPreservation(now);
  if (m_in_self_preservation) return;
  const TimePoint deadline = now + ScaleTimeout(m_policy.suspicion_timeout);
  const auto known = m_suspicions.find(vm);
  if (known != m_suspicions.end()) {
    const bool was_detected_locally = known->second.detected_locally;
    known->second.detected_locally = true;
    if (!was_detected_locally) {
      known->second.deadline = std::min(known->second.deadline, deadline);
    }
    return;
  }
  ++m_counters.suspicions;
  m_suspicions[vm] = {true, deadline};
  if (entry->state == MemberState::kLeaving) return;
  Member suspect = *entry;
  suspect.state = MemberState::kSuspect;
  ApplyUpdate(suspect, now);
}

void Membership::DeclareFailed(const std::string& vm, TimePoint now) {
  const Member* entry = m_table.Find(vm);
  if (entry == nullptr || entry->state == MemberState::kFailed) return;
  ++m_counters.failures_declared;
  Member failed = *entry;
  failed.state = MemberState::kFailed;
  ApplyUpdate(failed, now);
}

// With a single peer, a failed peer cannot be distinguished from a network
// failure, and the peer is assumed to have failed.
bool Membership::IsIsolated(TimePoint now) const {
  if (m_ring.others().size() < 2) return false;
  return now > m_last_contact + kIsolationIntervals * m_policy.probe_interval;
}

void Membership::RecordLoss(const std::string& vm, TimePoint now) {
  const Member* entry = m_table.Find(vm);
  if (entry == nullptr || entry->region != self().region) return;
  const bool known =
      std::any_of(m_losses.begin(), m_losses.end(),
                  [&vm](const LostMember& loss) { return loss.vm == vm; });
  if (!known) m_losses.push_back({now, vm});
  if (now >= m_self_preservation_allowed_from && HasLostLargeShare(now)) {
    EnterSelfPreservation(now);
  }
}

bool Membership::HasLostLargeShare(TimePoint now) {
  while (!m_losses.empty() &&
         m_losses.front().time + m_policy.loss_window < now) {
    m_losses.pop_front();
  }
  const auto lost = static_cast<size_t>(std::count_if(
      m_losses.begin(), m_losses.end(), [this](const LostMember& loss) {
        const Member* entry = m_table.Find(loss.vm);
        return entry != nullptr && (entry->state == MemberState::kSuspect ||
                                    entry->state == MemberState::kFailed);
      }));
  if (lost <= m_policy.self_preservation_min_losses) return false;
  const double members = static_cast<double>(m_ring.others().size() + 1);
  return static_cast<double>(lost) > m_policy.self_preservation_share * members;
}

void Membership::EnterSelfPreservation(TimePoint now) {
  if (m_in_self_preservation) return;
  ++m_counters.self_preservation_entries;
  m_in_self_preservation = true;
  m_self_preservation_since = now;
  m_sync_requested = true;
}

// Leaves self-preservation after its minimum time if a peer was contacted in
// the meantime. Remaining suspicions get the full suspicion timeout again.
void Membership::LeaveSelfPreservationIfDue(TimePoint now) {
  if (!m_in_self_preservation) return;
  if (now < m_self_preservation_since + m_policy.self_preservation_time) return;
  if (m_last_contact <= m_self_preservation_since) return;
  if (IsIsolated(now)) return;
  m_in_self_preservation = false;
  m_losses.clear();
  m_self_preservation_allowed_from = now + m_policy.self_preservation_cooldown;
  for (auto& [vm, suspicion] : m_suspicions) {
    suspicion.deadline = now + m_policy.suspicion_timeout;
  }
}

// --- Steps of a tick -------------------------------------------------------

void Membership::DetectPause(TimePoint now) {
  const bool paused =
      m_last_tick && now > *m_last_tick + m_policy.pause_threshold;
  const bool first = !m_last_tick;
  if (!first && now > *m_last_tick + m_policy.slow_threshold) {
    m_slow_until = now + m_policy.slow_time;
  }
  m_last_tick = now;
  if (first) m_last_contact = now;
  if (!paused) return;
  m_probes.clear();
  for (Target& target : m_targets) target.due = now;
  m_in_self_preservation = false;
  EnterSelfPreservation(now);
}

// Extends timeouts while the node is short of CPU time, since missing answers
// are then likely caused by the node itself (after Dadgar, Phillips and Currey,
// "Lifeguard", DSN-W 2018).
Duration Membership::ScaleTimeout(Duration duration) const {
  const bool is_slow = m_last_tick && *m_last_tick < m_slow_until;
  return is_slow ? duration * m_policy.slow_factor : duration;
}

void Membership::ExpireProbes(TimePoint now, MembershipActions* actions) {
  std::vector<uint64_t> expired;
  for (auto& [id, probe] : m_probes) {
    if (probe.deadline <= now) {
      probe.outstanding = 1;
      expired.push_back(id);
    }
  }
  for (const uint64_t id : expired) HandleProbeFailure(id, now, actions);
}

void Membership::ExpireSuspicions(TimePoint now) {
  if (!m_suspicions.empty() && IsIsolated(now)) EnterSelfPreservation(now);
  if (m_in_self_preservation) return;
  std::vector<std::string> expired;
  for (const auto& [vm, suspicion] : m_suspicions) {
    if (suspicion.deadline <= now) expired.push_back(vm);
  }
  for (const std::string& vm : expired) {
    const Member* entry = m_table.Find(vm);
    const bool is_local = entry != nullptr && entry->region == self().region;
    if (is_local && !m_in_self_preservation) DeclareFailed(vm, now);
    if (!m_in_self_preservation) m_suspicions.erase(vm);
  }
}

void Membership::DropTombstones(TimePoint now) {
  for (auto item = m_failed_at.begin(); item != m_failed_at.end();) {
    const bool expired = item->second + m_policy.tombstone_time <= now;
    if (!expired || m_listed_vms.contains(item->first)) {
      ++item;
      continue;
    }
    m_table.Remove(item->first);
    item = m_failed_at.erase(item);
  }
}

void Membership::RefreshRing(TimePoint now, Generator& rng) {
  if (!m_ring_changed) return;
  m_ring_changed = false;
  m_ring.Rebuild(m_table, self().region, m_self_vm);
  m_relays.clear();
  std::set<std::string> regions;
  for (const auto& [vm, member] : m_table.entries()) {
    regions.insert(member.region);
  }
  const MemberList members = m_table.Routable();
  for (const std::string& region : regions) {
    m_relays[region] = ChooseByRendezvous(members, kRelayKey, region, "",
                                          m_policy.relays_per_region);
    if (region != self().region) m_remote_updates.try_emplace(region);
  }
  if (m_policy.strategy != ProbeStrategy::kRandom) {
    m_next_target_selection = now;
  }
  ChooseNeighbours();
  m_indirect_probers = DrawNames(m_neighbours, kIndirectProbersPerTick, rng);
}

// Selects the peers that this node gossips with. The set is bounded, so that
// the number of connections does not grow with the fleet. Each node selects its
// set by rendezvous hashing, which yields a random graph that changes little
// when members join and leave. Including the ring successors makes it
// connected.
void Membership::ChooseNeighbours() {
  m_neighbours = m_ring.Successors(m_policy.successors);
  std::vector<std::pair<uint64_t, std::string>> weighted;
  for (const std::string& vm : m_ring.others()) {
    weighted.emplace_back(RendezvousWeight(m_self_vm, vm), vm);
  }
  std::sort(weighted.rbegin(), weighted.rend());
  for (auto& [weight, vm] : weighted) {
    if (m_neighbours.size() >= m_policy.neighbours) return;
    const bool known = std::find(m_neighbours.begin(), m_neighbours.end(),
                                 vm) != m_neighbours.end();
    if (!known) m_neighbours.push_back(std::move(vm));
  }
}

// Selects the probe targets again when the ring has changed, or for kRandom in
// each round. Retained targets keep their due time except with kRandom.
void Membership::ChooseTargets(TimePoint now, Generator& rng) {
  if (now < m_next_target_selection) return;
  const Duration interval = m_policy.probe_interval;
  std::vector<std::string> names;
  switch (m_policy.strategy) {
    case ProbeStrategy::kRing:
      names = m_ring.Successors(m_policy.successors);
      break;
    case ProbeStrategy::kAllPeers:
      names = m_ring.others();
      break;
    case ProbeStrategy::kRandom:
      names = DrawNames(m_ring.others(), m_policy.successors, rng);
      break;
    case ProbeStrategy::kByDistance:
      names = m_ring.AtDoublingDistances();
      break;
  }
  const bool is_random = m_policy.strategy == ProbeStrategy::kRandom;
  m_next_target_selection = is_random ? now + interval : TimePoint::max();
  std::vector<Target> targets;
  Duration own_interval = interval;
  for (std::string& name : names) {
    const auto kept = std::find_if(
        m_targets.begin(), m_targets.end(),
        [&name](const Target& target) { return target.vm == name; });
    TimePoint due = now;
    if (!is_random) due += DrawDuration(interval, rng);
    if (!is_random && kept != m_targets.end()) due = kept->due;
    targets.push_back({std::move(name), own_interval, due});
    if (m_policy.strategy == ProbeStrategy::kByDistance) {
      own_interval += interval;
    }
  }
  m_targets = std::move(targets);
}

void Membership::SendDueProbes(TimePoint now, MembershipActions* actions) {
  for (Target& target : m_targets) {
    if (now < target.due) continue;
    target.due = std::max(target.due + target.interval, now);
    const bool pending = std::any_of(
        m_probes.begin(), m_probes.end(),
        [&target](const auto& item) { return item.second.vm == target.vm; });
    const Member* member = m_table.Find(target.vm);
    if (pending || member == nullptr) continue;
    if (member->state == MemberState::kFailed) continue;
    SendProbe request = MakeProbe(*member);
    ++m_counters.probes;
    Probe probe;
    probe.vm = target.vm;
    probe.deadline = now + request.timeout + kProbeResultMargin;
    m_probes[request.probe_id] = probe;
    actions->emplace_back(std::move(request));
  }
}

void Membership::Gossip(TimePoint now, MembershipActions* actions) {
  if (m_updates.IsEmpty() && m_gossip_rounds == 0) return;
  const bool is_urgent = m_gossip_rounds > 0 || now < m_urgent_until;
  const Duration interval =
      is_urgent ? m_policy.gossip_interval : m_policy.join_gossip_interval;
  if (now < m_last_gossip + interval) return;
  m_last_gossip = now;
  if (m_gossip_rounds > 0) --m_gossip_rounds;
  const size_t count =
      std::min<size_t>(m_policy.gossip_fanout, m_neighbours.size());
  for (size_t i = 0; i < count; ++i) {
    const Member* peer = m_table.Find(NextNeighbour());
    if (peer == nullptr) continue;
    ++m_counters.gossip_messages;
    SendProbe request = MakeProbe(*peer);
    request.message = MakeMessage(m_updates.Take(m_policy.max_updates));
    request.message.to_vm = peer->vm;
    AttachEntry(peer->vm, &request.message);
    actions->emplace_back(std::move(request));
  }
}

// Iterates round-robin over the neighbours, so that an update sent as often as
// there are neighbours reaches all of them. Independent random selection
// occasionally misses a node that is a neighbour of few others.
const std::string& Membership::NextNeighbour() {
  m_next_neighbour = (m_next_neighbour + 1) % m_neighbours.size();
  return m_neighbours[m_next_neighbour];
}

void Membership::Relay(TimePoint now, Generator& rng,
                       MembershipActions* actions) {
  if (!IsRelay() || m_remote_updates.empty()) return;
  for (const auto& [region, queue] : m_remote_updates) {
    if (!queue.IsEmpty()) SendToRelay(region, rng, actions);
  }
  if (now < m_next_relay) return;
  m_next_relay = now + m_policy.relay_interval;
  auto next = m_remote_updates.begin();
  std::advance(next, m_next_remote_region++ % m_remote_updates.size());
  SendToRelay(next->first, rng, actions);
}

void Membership::SendToRelay(const std::string& region, Generator& rng,
                             MembershipActions* actions) {
  const auto found = m_relays.find(region);
  if (found == m_relays.end() || found->second.empty()) return;
  const auto& names = found->second;
  const Member* peer = m_table.Find(names[DrawIndex(names.size(), rng)]);
  if (peer == nullptr) return;
  SendProbe request;
  request.probe_id = m_next_probe_id++;
  request.vm = peer->vm;
  request.address = peer->peer_address;
  request.timeout = m_policy.relay_interval;
  request.message =
      MakeMessage(m_remote_updates[region].Take(m_policy.max_updates));
  request.message.to_vm = peer->vm;
  AttachEntry(peer->vm, &request.message);
  ++m_counters.relay_messages;
  actions->emplace_back(std::move(request));
}

// Probes, with a probability that limits the total rate of the region, one
// failed member of the region that is still in the VM list.
void Membership::Reconnect(TimePoint now, Generator& rng,
                           MembershipActions* actions) {
  if (now < m_next_reconnect) return;
  const Duration interval = m_policy.reconnect_interval;
  m_next_reconnect = now + interval / 2 + DrawDuration(interval, rng);
  const size_t peers = m_ring.others().size() + 1;
  if (DrawIndex(peers, rng) >= m_policy.reconnects_per_region) return;
  std::vector<std::string> candidates;
  for (const auto& [vm, time] : m_failed_at) {
    const Member* entry = m_table.Find(vm);
    if (entry == nullptr || entry->region != self().region) continue;
    if (m_listed_vms.contains(vm)) candidates.push_back(vm);
  }
  if (candidates.empty()) return;
  const Member* peer =
      m_table.Find(candidates[DrawIndex(candidates.size(), rng)]);
  actions->emplace_back(MakeProbe(*peer));
}

// Compares tables with a random neighbour if a comparison was requested,
// without waiting for the digests to differ.
void Membership::Synchronize(TimePoint now, Generator& rng,
                             MembershipActions* actions) {
  if (!m_sync_requested || m_neighbours.empty()) return;
  const auto& names = m_neighbours;
  CompareTables(names[DrawIndex(names.size(), rng)], now, actions);
}

void Membership::Publish(MembershipActions* actions) {
  if (!m_table_changed) return;
  m_table_changed = false;
  actions->emplace_back(PublishTable{m_table.Routable()});
}

// --- Builder ---------------------------------------------------------------

Membership::Builder& Membership::Builder::SetSelf(const Member& self) {
  m_self = self;
  return *this;
}

Membership::Builder& Membership::Builder::SetPolicy(
    const MembershipPolicy& policy) {
  m_policy = policy;
  return *this;
}

std::optional<Membership> Membership::Builder::Build(Findings* findings) const {
  const size_t before = findings->size();
  const auto report = [findings](const char* text) {
    findings->push_back({"membership", 0, 0, text});
  };
  if (!IsValidMember(m_self)) {
    report("the node's own entry has an empty, overlong or invalid field");
  }
  if (m_self.incarnation == 0) report("the node's incarnation is 0");
  if (m_policy.probe_interval <= Duration::zero()) {
    report("the probe interval is not above 0");
  }
  if (m_policy.gossip_interval <= Duration::zero()) {
    report("the gossip interval is not above 0");
  }
  if (m_policy.successors == 0) report("the number of successors is 0");
  if (findings->size() != before) return std::nullopt;
  return Membership(m_self, m_policy);
}

}  // namespace vanillatiller
