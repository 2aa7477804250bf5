#include "spread/config_spread.h"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <utility>

namespace vanillatiller {
namespace {

constexpr std::string_view kReaderKey = "config-reader";
constexpr std::string_view kServiceName = "service";
// Number of doublings after which the backoff has reached its maximum with any
// policy.
constexpr uint32_t kMaxBackoffDoublings = 16;

Duration DrawDuration(Duration limit, ConfigSpread::Generator& rng) {
  if (limit <= Duration::zero()) return Duration::zero();
  boost::random::uniform_int_distribution<Duration::rep> draw(0, limit.count());
  return Duration(draw(rng));
}

}  // namespace

ConfigSpread::ConfigSpread(const Member& self, const SpreadPolicy& policy,
                           std::shared_ptr<const DeltaCodec> codec,
                           std::shared_ptr<const ConfigValidator> validator)
    : m_self(self),
      m_policy(policy),
      m_codec(std::move(codec)),
      m_validator(std::move(validator)) {
  m_confirmed = policy.confirming_domains == 0;
  m_trusts_service = m_confirmed;
}

ConfigStamp ConfigSpread::stamp() const {
  return m_in_force ? m_in_force->stamp : ConfigStamp{};
}

// --- Reading the service -----------------------------------------------------

SpreadActions ConfigSpread::OnServiceAnswer(const ServiceAnswer& answer,
                                            TimePoint now, Generator& rng) {
  SpreadActions actions;
  m_watching = false;
  const bool failed = answer.status == ServiceStatus::kUnavailable ||
                      answer.status == ServiceStatus::kRateLimited;
  if (failed) {
    ++m_counters.service_failures;
    m_next_read = now + NextBackoff(m_service_failures++, rng);
    return actions;
  }
  m_service_failures = 0;
  m_next_read = std::max(now, m_last_read + m_policy.min_watch_interval);
  if (answer.status == ServiceStatus::kNotModified) {
    m_unchanged_answers = 0;
    return actions;
  }
  if (!m_trusts_service) {
    m_pending_service_text = answer.text;
    return actions;
  }
  const ConfigStamp before = stamp();
  ValidateAndAdopt(answer.text, kServiceName, &actions);
  if (stamp() != before) {
    m_unchanged_answers = 0;
    return actions;
  }
  // A stale service, or one with an invalid value, returns it again
  // immediately, so back off.
  m_next_read += NextBackoff(m_unchanged_answers++, rng);
  return actions;
}

// Sends a watch request if this node is a reader. Any other node reads the
// service at once if it still has no value after the fallback delay, and now
// and then to check that the readers miss nothing.
void ConfigSpread::ReadService(TimePoint now, Generator& rng,
                               SpreadActions* actions) {
  if (m_watching || now < m_next_read) return;
  const bool needs_value = !m_in_force && !m_pending_service_text;
  if (!m_is_reader && !IsReadDue(needs_value, now, rng)) return;
  m_has_checked = m_has_checked || m_check_due;
  m_check_due.reset();
  m_watching = true;
  m_last_read = now;
  ++m_counters.service_reads;
  const bool may_wait = m_is_reader && !needs_value;
  const Duration wait = may_wait ? m_policy.watch_timeout : Duration::zero();
  actions->emplace_back(WatchService{stamp().version, wait});
}

bool ConfigSpread::IsReadDue(bool needs_value, TimePoint now, Generator& rng) {
  if (!needs_value) {
    if (!m_check_due) m_check_due = now + DrawCheckDelay(rng);
    return now >= *m_check_due;
  }
  if (!m_fallback_due) {
    m_fallback_due = now + m_policy.fallback_read_delay +
                     DrawDuration(m_policy.fallback_read_delay, rng);
  }
  return now >= *m_fallback_due;
}

// The delays of all nodes together give one check each check_interval, also
// just after all nodes have started.
Duration ConfigSpread::DrawCheckDelay(Generator& rng) const {
  const Duration average = std::max(
      m_policy.min_check_period,
      m_policy.check_interval * static_cast<int64_t>(m_members.size() + 1));
  const Duration least = m_has_checked ? average / 2 : Duration::zero();
  return least + DrawDuration(average, rng);
}

// --- Peers -------------------------------------------------------------------

SpreadActions ConfigSpread::OnPeerStamp(const PeerStamp& peer, TimePoint now,
                                        Generator& rng) {
  SpreadActions actions;
  if (!m_confirmed) RecordBootstrapAnswer(peer);
  const ConfigStamp own = stamp();
  if (peer.stamp.version == 0 || peer.stamp.version < own.version) {
    return actions;
  }
  if (peer.stamp.version == own.version) {
    if (peer.stamp.digest != own.digest) {
      RecordConflict(peer.stamp, peer.vm, &actions);
    }
    return actions;
  }
  const bool is_newer =
      !m_announced || peer.stamp.version > m_announced->peer.stamp.version;
  if (is_newer) {
    m_announced =
        Announcement{peer, now + DrawDuration(m_policy.fetch_jitter, rng)};
  }
  FetchHighest(now, &actions);
  return actions;
}

SpreadActions ConfigSpread::OnFetchAnswer(
    const std::string& vm, const std::optional<FetchAnswer>& answer,
    TimePoint now, Generator& rng) {
  SpreadActions actions;
  const bool is_fetch = m_fetch && m_fetch->vm == vm;
  ConfigStamp have;
  if (const auto asked = m_bootstrap_queries.find(vm);
      asked != m_bootstrap_queries.end()) {
    have = asked->second;
    m_bootstrap_queries.erase(asked);
  }
  if (is_fetch) {
    have = m_fetch->have;
    m_fetch.reset();
    if (m_announced && m_announced->peer.vm == vm) m_announced.reset();
  }
  const ConfigStamp before = stamp();
  if (!answer) ++m_counters.fetch_failures;
  if (answer) {
    const Member* peer = FindMember(vm);
    if (peer != nullptr) {
      RecordBootstrapAnswer({vm, peer->peer_address, peer->failure_domain,
                             answer->stamp, answer->confirmed});
    }
    ProcessFetchAnswer(*answer, have, vm, now, &actions);
    UpdateConfirmation(now, &actions);
  }
  if (stamp() != before) m_fetch_failures = 0;
  if (is_fetch && stamp() == before) {
    m_next_fetch = now + NextBackoff(m_fetch_failures++, rng);
  }
  FetchHighest(now, &actions);
  return actions;
}

void ConfigSpread::ProcessFetchAnswer(const FetchAnswer& answer,
                                      const ConfigStamp& have,
                                      const std::string& vm, TimePoint now,
                                      SpreadActions* actions) {
  const ConfigStamp own = stamp();
  const bool is_lower = answer.stamp.version <= own.version;
  if (is_lower &&
      (m_policy.refuse_lower_versions || answer.stamp.version == 0)) {
    return;
  }
  if (!answer.value.empty()) {
    ValidateAndAdoptFromPeer(answer.value, answer.stamp, vm, actions);
    return;
  }
  if (answer.deltas.empty()) return;
  std::optional<std::string> text;
  if (have == own) text = ApplyDeltas(answer);
  if (text && Sha256(*text) == answer.stamp.digest) {
    ValidateAndAdoptFromPeer(*text, answer.stamp, vm, actions);
    return;
  }
  ++m_counters.delta_failures;
  // A delta is missing or does not apply: request the full value from the same
  // peer.
  const Member* peer = FindMember(vm);
  if (peer == nullptr || have.version == 0 || m_fetch) return;
  StartFetch(vm, peer->peer_address, {}, now, actions);
}

std::optional<std::string> ConfigSpread::ApplyDeltas(
    const FetchAnswer& answer) const {
  if (!m_in_force) return std::nullopt;
  std::string text = m_in_force->text;
  for (const std::string& delta : answer.deltas) {
    std::optional<std::string> next = m_codec->Apply(text, delta);
    if (!next) return std::nullopt;
    text = std::move(*next);
  }
  return text;
}

// Fetches the highest announced version, one fetch at a time.
void ConfigSpread::FetchHighest(TimePoint now, SpreadActions* actions) {
  if (m_fetch || !m_announced) return;
  if (m_announced->peer.stamp.version <= stamp().version) {
    m_announced.reset();
    return;
  }
  if (now < m_announced->due || now < m_next_fetch) return;
  const PeerStamp& peer = m_announced->peer;
  StartFetch(peer.vm, peer.address, stamp(), now, actions);
}

void ConfigSpread::StartFetch(const std::string& vm, const std::string& address,
                              const ConfigStamp& have, TimePoint now,
                              SpreadActions* actions) {
  m_fetch = Fetch{vm, have, now + m_policy.fetch_timeout};
  ++m_counters.fetches;
  actions->emplace_back(
      FetchFromPeer{vm, address, {have}, m_policy.fetch_timeout});
}

FetchAnswer ConfigSpread::AnswerFetch(const FetchRequest& request) const {
  FetchAnswer answer;
  answer.stamp = stamp();
  answer.confirmed = m_confirmed;
  if (!m_in_force || request.have.version >= answer.stamp.version) {
    return answer;
  }
  size_t bytes = 0;
  for (const Delta* delta : DeltasFrom(request.have)) {
    answer.deltas.push_back(delta->text);
    bytes += delta->text.size();
  }
  if (!answer.deltas.empty() && bytes < m_in_force->text.size()) return answer;
  answer.deltas.clear();
  answer.value = m_in_force->text;
  return answer;
}

// Returns the chain of deltas from `base` to the value in force, or nothing if
// a delta is missing.
std::vector<const ConfigSpread::Delta*> ConfigSpread::DeltasFrom(
    const ConfigStamp& base) const {
  std::vector<const Delta*> chain;
  for (const Delta& delta : m_deltas) {
    const ConfigStamp& end = chain.empty() ? base : chain.back()->result;
    if (delta.base == end) chain.push_back(&delta);
  }
  const bool is_complete = !chain.empty() && chain.back()->result == stamp();
  if (!is_complete) chain.clear();
  return chain;
}

// --- Bootstrap ---------------------------------------------------------------

void ConfigSpread::OnMembers(const MemberList& members, TimePoint now) {
  m_members.clear();
  std::set<std::string> domains;
  for (const Member& member : members) {
    if (member.vm == m_self.vm || member.state == MemberState::kFailed) {
      continue;
    }
    m_members[member.vm] = member;
    domains.insert(member.failure_domain);
  }
  m_peer_domains = domains.size();
  if (!m_peers_known_since && m_peer_domains > 0) m_peers_known_since = now;
  const auto readers =
      ChooseByRendezvous(members, kReaderKey, m_self.region,
                         m_self.failure_domain, m_policy.readers_per_domain);
  const auto own = std::find(readers.begin(), readers.end(), m_self.vm);
  m_is_reader = own != readers.end();
  m_reader_index = static_cast<uint32_t>(own - readers.begin());
}

const Member* ConfigSpread::FindMember(const std::string& vm) const {
  const auto found = m_members.find(vm);
  if (found == m_members.end()) return nullptr;
  return &found->second;
}

void ConfigSpread::RecordBootstrapAnswer(const PeerStamp& peer) {
  if (m_confirmed) return;
  m_highest_peer_version = std::max(m_highest_peer_version, peer.stamp.version);
  m_answered_domains.insert(peer.failure_domain);
  if (peer.confirmed) m_confirmed_domains.insert(peer.failure_domain);
}

// True if peers in enough failure domains have answered. After
// bootstrap_timeout unconfirmed peers count as well, since the whole fleet may
// just have started, and a fleet with fewer failure domains than required needs
// answers only from those that exist.
bool ConfigSpread::HasBootstrapQuorum(TimePoint now) const {
  const size_t required = m_policy.confirming_domains;
  if (m_confirmed_domains.size() >= required) return true;
  if (!m_peers_known_since) return false;
  if (now < *m_peers_known_since + m_policy.bootstrap_timeout) return false;
  return m_answered_domains.size() >=
         std::min(required, std::max<size_t>(m_peer_domains, 1));
}

// Queries a random peer in a failure domain without a confirmed answer, about
// once per bootstrap_query_interval.
void ConfigSpread::QueryBootstrapPeer(TimePoint now, Generator& rng,
                                      SpreadActions* actions) {
  if (m_confirmed || m_members.empty() || now < m_next_bootstrap_query) return;
  m_next_bootstrap_query = now + m_policy.bootstrap_query_interval / 2 +
                           DrawDuration(m_policy.bootstrap_query_interval, rng);
  std::vector<const Member*> candidates;
  for (const auto& [vm, member] : m_members) {
    const bool answered = m_confirmed_domains.contains(member.failure_domain);
    if (!answered && !m_bootstrap_queries.contains(vm)) {
      candidates.push_back(&member);
    }
  }
  if (candidates.empty()) {
    m_bootstrap_queries.clear();
    return;
  }
  boost::random::uniform_int_distribution<size_t> draw(0,
                                                       candidates.size() - 1);
  const Member& peer = *candidates[draw(rng)];
  m_bootstrap_queries[peer.vm] = stamp();
  ++m_counters.fetches;
  actions->emplace_back(FetchFromPeer{
      peer.vm, peer.peer_address, {stamp()}, m_policy.fetch_timeout});
}

// Decides whether the service is trusted and whether the value in force is
// confirmed. Puts a held value in force once the service is trusted.
void ConfigSpread::UpdateConfirmation(TimePoint now, SpreadActions* actions) {
  if (m_confirmed) return;
  const bool has_quorum = HasBootstrapQuorum(now);
  const bool is_isolated =
      m_started && now >= *m_started + m_policy.isolation_timeout;
  if (has_quorum || is_isolated) m_trusts_service = true;
  if (m_trusts_service && m_pending_service_text) {
    const std::string text = std::move(*m_pending_service_text);
    m_pending_service_text.reset();
    ValidateAndAdopt(text, kServiceName, actions);
  }
  const bool is_current =
      m_in_force && stamp().version >= m_highest_peer_version;
  m_confirmed = has_quorum && is_current;
}

// --- The value in force ------------------------------------------------------

// Validates and adopts a value from the service.
void ConfigSpread::ValidateAndAdopt(std::string_view text,
                                    std::string_view source,
                                    SpreadActions* actions) {
  Reason reason;
  std::optional<ValidatedValue> value = m_validator->Validate(text, &reason);
  if (!value) {
    RefuseValue(std::move(reason), source, actions);
    return;
  }
  const ConfigStamp offered{value->version, Sha256(value->text)};
  Adopt(std::move(value->text), offered, source, actions);
}

// Validates and adopts a value from a peer. Its version and digest must match
// the announced ones.
void ConfigSpread::ValidateAndAdoptFromPeer(std::string_view text,
                                            const ConfigStamp& announced,
                                            std::string_view source,
                                            SpreadActions* actions) {
  Reason reason;
  std::optional<ValidatedValue> value = m_validator->Validate(text, &reason);
  if (!value) {
    RefuseValue(std::move(reason), source, actions);
    return;
  }
  const ConfigStamp offered{value->version, Sha256(value->text)};
  if (offered != announced) {
    RefuseValue({RefusalCode::kIncompleteAnswer,
                 "the value is not the one that the peer announced"},
                source, actions);
    return;
  }
  Adopt(std::move(value->text), offered, source, actions);
}

void ConfigSpread::RefuseValue(Reason reason, std::string_view source,
                               SpreadActions* actions) {
  ++m_counters.refused_values;
  actions->emplace_back(
      ReportRefusedValue{std::move(reason), std::string(source)});
}

void ConfigSpread::Adopt(std::string text, const ConfigStamp& offered,
                         std::string_view source, SpreadActions* actions) {
  const ConfigStamp own = stamp();
  if (offered == own) return;
  if (m_in_force && offered.version == own.version) {
    RecordConflict(offered, source, actions);
    return;
  }
  if (offered.version < own.version) {
    ++m_counters.lower_versions;
    if (m_policy.refuse_lower_versions) return;
  }
  auto value = std::make_shared<const ConfigValue>(
      ConfigValue{offered, std::move(text)});
  if (m_in_force) StoreDelta(*m_in_force, *value);
  m_in_force = std::move(value);
  m_conflict.reset();
  m_conflicting.clear();
  actions->emplace_back(PutInForce{m_in_force});
}

// Keeps the value in force, since nothing indicates which of the two values is
// correct. Each conflicting digest is reported once.
void ConfigSpread::RecordConflict(const ConfigStamp& other,
                                  std::string_view source,
                                  SpreadActions* actions) {
  const bool is_new = m_conflicting.size() < m_policy.max_conflicts &&
                      m_conflicting.insert(other.digest).second;
  if (!is_new) return;
  ++m_counters.conflicts;
  m_conflict = ReportConflict{stamp(), other, std::string(source)};
  actions->emplace_back(*m_conflict);
}

void ConfigSpread::StoreDelta(const ConfigValue& base,
                              const ConfigValue& value) {
  std::optional<std::string> text = m_codec->Diff(base.text, value.text);
  if (!text || text->size() > m_policy.max_delta_bytes) {
    // Older deltas cannot be used across a gap in the chain.
    m_deltas.clear();
    m_delta_bytes = 0;
    return;
  }
  m_delta_bytes += text->size();
  m_deltas.push_back({base.stamp, value.stamp, std::move(*text)});
  while (m_deltas.size() > m_policy.max_deltas ||
         m_delta_bytes > m_policy.max_delta_bytes) {
    m_delta_bytes -= m_deltas.front().text.size();
    m_deltas.pop_front();
  }
}

// --- Tick --------------------------------------------------------------------

SpreadActions ConfigSpread::OnTick(TimePoint now, Generator& rng) {
  SpreadActions actions;
  if (!m_started) {
    m_started = now;
    // Keeps nodes that start together from reading the service at the same
    // time.
    m_next_read = now + DrawDuration(m_policy.start_jitter, rng);
    m_next_bootstrap_query =
        now + DrawDuration(m_policy.bootstrap_query_interval, rng);
  }
  if (m_fetch && now >= m_fetch->deadline + m_policy.fetch_timeout) {
    m_fetch.reset();
  }
  QueryBootstrapPeer(now, rng, &actions);
  UpdateConfirmation(now, &actions);
  FetchHighest(now, &actions);
  ReadService(now, rng, &actions);
  return actions;
}

Duration ConfigSpread::NextBackoff(uint32_t failures, Generator& rng) const {
  const uint32_t doublings = std::min(failures, kMaxBackoffDoublings);
  const Duration full =
      std::min(m_policy.backoff_max, m_policy.backoff_base * (1U << doublings));
  return full / 2 + DrawDuration(full / 2, rng);
}

// --- Builder -----------------------------------------------------------------

ConfigSpread::Builder& ConfigSpread::Builder::SetSelf(const Member& self) {
  m_self = self;
  return *this;
}

ConfigSpread::Builder& ConfigSpread::Builder::SetPolicy(
    const SpreadPolicy& policy) {
  m_policy = policy;
  return *this;
}

ConfigSpread::Builder& ConfigSpread::Builder::SetCodec(
    std::shared_ptr<const DeltaCodec> codec) {
  m_codec = std::move(codec);
  return *this;
}

ConfigSpread::Builder& ConfigSpread::Builder::SetValidator(
    std::shared_ptr<const ConfigValidator> validator) {
  m_validator = std::move(validator);
  return *this;
}

std::optional<ConfigSpread> ConfigSpread::Builder::Build(
    Findings* findings) const {
  const size_t before = findings->size();
  const auto report = [findings](const char* text) {
    findings->push_back({"spread", 0, 0, text});
  };
  if (m_self.vm.empty() || m_self.failure_domain.empty()) {
    report("the node's own entry has no VM name or no failure domain");
  }
  if (!m_validator) report("there is no validator");
  if (!m_codec) report("there is no delta codec");
  if (m_policy.backoff_base <= Duration::zero()) {
    report("the backoff base is not above 0");
  }
  if (findings->size() != before) return std::nullopt;
  return ConfigSpread(m_self, m_policy, m_codec, m_validator);
}

}  // namespace vanillatiller
