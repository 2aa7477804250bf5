#ifndef VANILLATILLER_SOURCE_SPREAD_CONFIG_SPREAD_H_
#define VANILLATILLER_SOURCE_SPREAD_CONFIG_SPREAD_H_

#include <boost/random/mersenne_twister.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "membership/membership.h"
#include "spread/config_validator.h"
#include "spread/config_value.h"
#include "spread/delta_codec.h"
#include "spread/messages.h"

namespace vanillatiller {

struct SpreadPolicy {
  uint32_t readers_per_domain = 2;
  // Maximum time for which the service may hold a watch request (long poll).
  Duration watch_timeout = std::chrono::seconds(30);
  // Minimum time between two watch requests of a reader.
  Duration min_watch_interval = std::chrono::seconds(1);
  // Exponential backoff after failures of the service or of a peer, limited to
  // `backoff_max`. The actual delay is between half and all of it, at random.
  Duration backoff_base = std::chrono::milliseconds(500);
  Duration backoff_max = std::chrono::seconds(20);
  Duration fetch_timeout = std::chrono::seconds(2);
  // Maximum random delay before an announced value is fetched.
  Duration fetch_jitter = std::chrono::milliseconds(50);
  // Number of failure domains from which a starting node needs a peer's answer
  // before it trusts the service. 0 disables this check.
  uint32_t confirming_domains = 2;
  // Time without answers from enough confirmed peers after which answers from
  // unconfirmed peers count as well. After a restart of the whole fleet all
  // peers are unconfirmed.
  Duration bootstrap_timeout = std::chrono::milliseconds(1500);
  // Time after which a node that reaches too few peers puts the service's value
  // in force without confirmation.
  Duration isolation_timeout = std::chrono::seconds(12);
  // Delay after which a node that is not a reader and has no value reads the
  // service itself. A random time of up to the same length is added.
  Duration fallback_read_delay = std::chrono::seconds(15);
  // Average time, over the whole fleet, between checks of the service by nodes
  // that are not readers. The service may stop answering the readers while it
  // serves others, and a pending watch does not show that. On average a node
  // checks no more often than once in min_check_period.
  Duration check_interval = std::chrono::milliseconds(400);
  Duration min_check_period = std::chrono::seconds(2);
  // Maximum random delay of the first read, so that nodes that start together
  // do not read at the same time.
  Duration start_jitter = std::chrono::seconds(1);
  // Average time between the queries that a node without a confirmed value
  // sends to further peers.
  Duration bootstrap_query_interval = std::chrono::milliseconds(200);
  uint32_t max_deltas = 16;
  size_t max_delta_bytes = size_t{256} * 1024;
  // Maximum number of conflicting values reported for one version.
  uint32_t max_conflicts = 8;
  // If false, a lower version can replace a higher one. Only for tests that
  // demonstrate what the rule prevents.
  bool refuse_lower_versions = true;
};

struct SpreadCounters {
  // Including checks.
  uint64_t service_reads = 0;
  uint64_t service_failures = 0;
  uint64_t fetches = 0;
  uint64_t fetch_failures = 0;
  uint64_t delta_failures = 0;
  uint64_t refused_values = 0;
  uint64_t lower_versions = 0;
  uint64_t conflicts = 0;
};

// Holds the configuration value in force and never reverts to a lower version.
// Decides whether this node reads the configuration service, when, and from
// which peer to fetch. Performs no I/O; the caller carries out the returned
// actions. Not thread-safe.
class ConfigSpread {
 public:
  class Builder;
  using Generator = boost::random::mt19937_64;

  SpreadActions OnServiceAnswer(const ServiceAnswer& answer, TimePoint now,
                                Generator& rng);
  SpreadActions OnPeerStamp(const PeerStamp& peer, TimePoint now,
                            Generator& rng);
  // `answer` is nullopt if the fetch failed.
  SpreadActions OnFetchAnswer(const std::string& vm,
                              const std::optional<FetchAnswer>& answer,
                              TimePoint now, Generator& rng);
  // Updates the member list, which is the one used for routing.
  void OnMembers(const MemberList& members, TimePoint now);
  SpreadActions OnTick(TimePoint now, Generator& rng);

  // Returns this node's answer to a fetch by a peer.
  FetchAnswer AnswerFetch(const FetchRequest& request) const;

  // nullptr until a value is in force.
  const std::shared_ptr<const ConfigValue>& in_force() const {
    return m_in_force;
  }
  ConfigStamp stamp() const;
  // True once peers in enough failure domains have answered and none reported a
  // higher version than the value in force.
  bool IsConfirmed() const { return m_confirmed; }
  // True if this node is one of the readers that watch the service.
  bool IsReader() const { return m_is_reader; }
  // Position of this node among the readers of its domain, from 0.
  uint32_t reader_index() const { return m_reader_index; }
  // The last value that was seen with the version in force but a different
  // digest.
  const std::optional<ReportConflict>& conflict() const { return m_conflict; }
  const SpreadCounters& counters() const { return m_counters; }

 private:
  struct Delta {
    ConfigStamp base;
    ConfigStamp result;
    std::string text;
  };

  struct Fetch {
    std::string vm;
    ConfigStamp have;
    TimePoint deadline;
  };

  // A peer's version that is higher than the one in force.
  struct Announcement {
    PeerStamp peer;
    TimePoint due;
  };

  ConfigSpread(const Member& self, const SpreadPolicy& policy,
               std::shared_ptr<const DeltaCodec> codec,
               std::shared_ptr<const ConfigValidator> validator);

  // Reading the service.
  void ReadService(TimePoint now, Generator& rng, SpreadActions* actions);
  // Whether a node that is not a reader must read the service now.
  bool IsReadDue(bool needs_value, TimePoint now, Generator& rng);
  Duration DrawCheckDelay(Generator& rng) const;
  Duration NextBackoff(uint32_t failures, Generator& rng) const;

  // Peers.
  void ProcessFetchAnswer(const FetchAnswer& answer, const ConfigStamp& have,
                          const std::string& vm, TimePoint now,
                          SpreadActions* actions);
  void StartFetch(const std::string& vm, const std::string& address,
                  const ConfigStamp& have, TimePoint now,
                  SpreadActions* actions);
  void FetchHighest(TimePoint now, SpreadActions* actions);
  std::optional<std::string> ApplyDeltas(const FetchAnswer& answer) const;
  std::vector<const Delta*> DeltasFrom(const ConfigStamp& base) const;
  const Member* FindMember(const std::string& vm) const;

  // Bootstrap.
  void RecordBootstrapAnswer(const PeerStamp& peer);
  bool HasBootstrapQuorum(TimePoint now) const;
  void QueryBootstrapPeer(TimePoint now, Generator& rng,
                          SpreadActions* actions);
  void UpdateConfirmation(TimePoint now, SpreadActions* actions);

  // The value in force.
  void ValidateAndAdopt(std::string_view text, std::string_view source,
                        SpreadActions* actions);
  void ValidateAndAdoptFromPeer(std::string_view text,
                                const ConfigStamp& announced,
                                std::string_view source,
                                SpreadActions* actions);
  void Adopt(std::string text, const ConfigStamp& offered,
             std::string_view source, SpreadActions* actions);
  void RefuseValue(Reason reason, std::string_view source,
                   SpreadActions* actions);
  void RecordConflict(const ConfigStamp& other, std::string_view source,
                      SpreadActions* actions);
  void StoreDelta(const ConfigValue& base, const ConfigValue& value);

  Member m_self;
  SpreadPolicy m_policy;
  std::shared_ptr<const DeltaCodec> m_codec;
  std::shared_ptr<const ConfigValidator> m_validator;
  std::shared_ptr<const ConfigValue> m_in_force;
  std::deque<Delta> m_deltas;
  size_t m_delta_bytes = 0;
  std::optional<ReportConflict> m_conflict;
  // Digests already reported as conflicting with the value in force.
  std::set<Sha256Digest> m_conflicting;

  // Members that are not failed, except this node.
  std::map<std::string, Member> m_members;
  size_t m_peer_domains = 0;
  bool m_is_reader = false;
  uint32_t m_reader_index = 0;

  bool m_watching = false;
  uint32_t m_service_failures = 0;
  // Consecutive values from the service that did not change the value in force.
  uint32_t m_unchanged_answers = 0;
  TimePoint m_next_read;
  TimePoint m_last_read;
  std::optional<TimePoint> m_fallback_due;
  // Next check by a node that is not a reader.
  std::optional<TimePoint> m_check_due;
  bool m_has_checked = false;

  std::optional<Announcement> m_announced;
  std::optional<Fetch> m_fetch;
  uint32_t m_fetch_failures = 0;
  TimePoint m_next_fetch;

  bool m_confirmed = false;
  bool m_trusts_service = false;
  // A value from the service that is held until enough peers have answered.
  std::optional<std::string> m_pending_service_text;
  uint64_t m_highest_peer_version = 0;
  std::set<std::string> m_answered_domains;
  std::set<std::string> m_confirmed_domains;
  // Outstanding bootstrap queries by VM, with the stamp sent as the base for
  // deltas.
  std::map<std::string, ConfigStamp> m_bootstrap_queries;
  std::optional<TimePoint> m_started;
  std::optional<TimePoint> m_peers_known_since;
  TimePoint m_next_bootstrap_query;
  SpreadCounters m_counters;
};

// Builds a ConfigSpread from its dependencies and a policy.
class ConfigSpread::Builder {
 public:
  Builder& SetSelf(const Member& self);
  Builder& SetPolicy(const SpreadPolicy& policy);
  Builder& SetCodec(std::shared_ptr<const DeltaCodec> codec);
  Builder& SetValidator(std::shared_ptr<const ConfigValidator> validator);

  // Returns nullopt and appends to `findings` if any part is missing or
  // invalid.
  std::optional<ConfigSpread> Build(Findings* findings) const;

 private:
  Member m_self;
  SpreadPolicy m_policy;
  std::shared_ptr<const DeltaCodec> m_codec;
  std::shared_ptr<const ConfigValidator> m_validator;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_SPREAD_CONFIG_SPREAD_H_
