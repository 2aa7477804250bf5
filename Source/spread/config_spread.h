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
  // How long the service may hold a watch.
  Duration watch_timeout = std::chrono::seconds(30);
  // Shortest time between two watches of one reader.
  Duration min_watch_interval = std::chrono::seconds(1);
  // Backoff after failures of the service or of a peer; doubles up to the
  // maximum, with a random share of one half to all of it.
  Duration backoff_base = std::chrono::milliseconds(500);
  Duration backoff_max = std::chrono::seconds(20);
  Duration fetch_timeout = std::chrono::seconds(2);
  // Values heard of are fetched within this time, at random.
  Duration fetch_jitter = std::chrono::milliseconds(50);
  // Failure domains whose peers a node without a value asks before it believes
  // the service. 0 turns the question off.
  uint32_t confirming_domains = 2;
  // After this time without enough confirmed peers, unconfirmed ones count as
  // well: in a restart of the whole fleet there are no others.
  Duration bootstrap_timeout = std::chrono::milliseconds(1500);
  // After this time a node that reaches too few peers puts the service's value
  // in force unconfirmed.
  Duration isolation_timeout = std::chrono::seconds(12);
  // A node that is no reader and still has no value reads the service after
  // this time, plus up to as much again at random.
  Duration fallback_read_delay = std::chrono::seconds(15);
  // Reads of nodes that start together are spread over this time.
  Duration start_jitter = std::chrono::seconds(1);
  // A node without a confirmed value asks one more peer about once in this
  // time.
  Duration bootstrap_query_interval = std::chrono::milliseconds(200);
  uint32_t max_deltas = 16;
  size_t max_delta_bytes = size_t{256} * 1024;
  // Conflicting values reported for one version.
  uint32_t max_conflicts = 8;
  // False lets a lower version replace a higher one. Only for tests that show
  // what the rule prevents.
  bool refuse_lower_versions = true;
};

struct SpreadCounters {
  uint64_t service_reads = 0;
  uint64_t service_failures = 0;
  uint64_t fetches = 0;
  uint64_t fetch_failures = 0;
  uint64_t delta_failures = 0;
  uint64_t refused_values = 0;
  uint64_t lower_versions = 0;
  uint64_t conflicts = 0;
};

// Holds the value in force and never goes back to a lower version. Decides who
// reads the service, when, and from which peer to fetch. Not thread-safe.
class ConfigSpread {
 public:
  class Builder;
  using Generator = boost::random::mt19937_64;

  SpreadActions OnServiceAnswer(const ServiceAnswer& answer, TimePoint now,
                                Generator& rng);
  SpreadActions OnPeerStamp(const PeerStamp& peer, TimePoint now,
                            Generator& rng);
  // `answer` is nullopt if the peer did not answer.
  SpreadActions OnFetchAnswer(const std::string& vm,
                              const std::optional<FetchAnswer>& answer,
                              TimePoint now, Generator& rng);
  // The member list in use for routing.
  void OnMembers(const MemberList& members, TimePoint now);
  SpreadActions OnTick(TimePoint now, Generator& rng);

  // What this node answers to a peer's fetch.
  FetchAnswer AnswerFetch(const FetchRequest& request) const;

  // nullptr until a value is in force.
  const std::shared_ptr<const ConfigValue>& in_force() const {
    return m_in_force;
  }
  ConfigStamp stamp() const;
  // True once peers of enough failure domains were heard and none of them had
  // a higher version.
  bool IsConfirmed() const { return m_confirmed; }
  // True if this node watches the service.
  bool IsReader() const { return m_is_reader; }
  // Position of this node among the readers of its domain, from 0.
  uint32_t reader_index() const { return m_reader_index; }
  // The last value with the version in force and another digest.
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

  // A version heard of that is higher than the one in force.
  struct Announcement {
    PeerStamp peer;
    TimePoint due;
  };

  ConfigSpread(const Member& self, const SpreadPolicy& policy,
               std::shared_ptr<const DeltaCodec> codec,
               std::shared_ptr<const ConfigValidator> validator);

  // The service.
  void ReadService(TimePoint now, Generator& rng, SpreadActions* actions);
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

  // Start without a value.
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
  // Digests reported as conflicting with the value in force.
  std::set<Sha256Digest> m_conflicting;

  // Members that are not failed, without this node.
  std::map<std::string, Member> m_members;
  size_t m_peer_domains = 0;
  bool m_is_reader = false;
  uint32_t m_reader_index = 0;

  bool m_watching = false;
  uint32_t m_service_failures = 0;
  // Values in a row that changed nothing.
  uint32_t m_unchanged_answers = 0;
  TimePoint m_next_read;
  TimePoint m_last_read;
  std::optional<TimePoint> m_fallback_due;

  std::optional<Announcement> m_announced;
  std::optional<Fetch> m_fetch;
  uint32_t m_fetch_failures = 0;
  TimePoint m_next_fetch;

  bool m_confirmed = false;
  bool m_trusts_service = false;
  // A value of the service that waits for the answers of peers.
  std::optional<std::string> m_pending_service_text;
  uint64_t m_highest_peer_version = 0;
  std::set<std::string> m_answered_domains;
  std::set<std::string> m_confirmed_domains;
  // Peers asked without an announcement, with the value that deltas may build
  // on.
  std::map<std::string, ConfigStamp> m_bootstrap_queries;
  std::optional<TimePoint> m_started;
  std::optional<TimePoint> m_peers_known_since;
  TimePoint m_next_bootstrap_query;
  SpreadCounters m_counters;
};

// Collects the parts of a ConfigSpread.
class ConfigSpread::Builder {
 public:
  Builder& SetSelf(const Member& self);
  Builder& SetPolicy(const SpreadPolicy& policy);
  Builder& SetCodec(std::shared_ptr<const DeltaCodec> codec);
  Builder& SetValidator(std::shared_ptr<const ConfigValidator> validator);

  // nullopt if there is any finding.
  std::optional<ConfigSpread> Build(Findings* findings) const;

 private:
  Member m_self;
  SpreadPolicy m_policy;
  std::shared_ptr<const DeltaCodec> m_codec;
  std::shared_ptr<const ConfigValidator> m_validator;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_SPREAD_CONFIG_SPREAD_H_
