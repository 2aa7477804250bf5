#ifndef VANILLATILLER_SOURCE_SPREAD_SPREAD_H_
#define VANILLATILLER_SOURCE_SPREAD_SPREAD_H_

// Public header of the spread library: holds the configuration value in force
// and decides how to learn of newer ones.

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
#include <variant>
#include <vector>

#include "base/base.h"
#include "membership/membership.h"

namespace vanillatiller {

// Identity of a configuration value. Version 0 means no value.
struct ConfigStamp {
  uint64_t version = 0;
  Sha256Digest digest{};

  bool operator==(const ConfigStamp&) const = default;
};

// A checked value in canonical form.
struct ConfigValue {
  ConfigStamp stamp;
  std::string text;
};

// Turns a value into a delta against a base, and back.
class DeltaCodec {
 public:
  virtual ~DeltaCodec() = default;
  // nullopt if there is no delta; the full value is sent then.
  virtual std::optional<std::string> Diff(std::string_view base,
                                          std::string_view value) const = 0;
  // The canonical value; nullopt if the delta does not fit the base.
  virtual std::optional<std::string> Apply(std::string_view base,
                                           std::string_view delta) const = 0;
};

// What a validator found a value to be.
struct ValidatedValue {
  uint64_t version = 0;
  // Canonical form, the same for every node.
  std::string text;
};

// Checks a value before it can be put in force.
class ConfigValidator {
 public:
  virtual ~ConfigValidator() = default;
  // nullopt and a reason if any part of the value is bad; a bad value is
  // refused whole.
  virtual std::optional<ValidatedValue> Validate(std::string_view text,
                                                 Reason* reason) const = 0;
};

struct SpreadPolicy {
  uint32_t readers_per_domain = 2;
  // How long the service may hold a watch.
  Duration watch_time = std::chrono::seconds(30);
  // Shortest time between two watches of one reader.
  Duration watch_spacing = std::chrono::seconds(1);
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
  Duration bootstrap_patience = std::chrono::seconds(4);
  // After this time a node that reaches too few peers puts the service's value
  // in force unconfirmed.
  Duration isolation_patience = std::chrono::seconds(12);
  // A node that is no reader and still has no value reads the service after
  // this time, plus up to as much again at random.
  Duration fallback_time = std::chrono::seconds(15);
  uint32_t max_deltas = 16;
  size_t max_delta_bytes = size_t{256} * 1024;
  // False lets a lower version replace a higher one. Only for tests that show
  // what the rule prevents.
  bool refuse_lower = true;
};

enum class ServiceStatus : uint8_t {
  kValue = 1,
  kNothingNewer = 2,
  kDown = 3,
  kOverLimit = 4,
};

struct ServiceAnswer {
  ServiceStatus status = ServiceStatus::kDown;
  // The value, with kValue.
  std::string text;
};

// What a peer said about its value, in an exchange or a fetch.
struct PeerStamp {
  std::string vm;
  std::string address;
  std::string failure_domain;
  ConfigStamp stamp;
  bool confirmed = false;
};

// What a peer is asked for: deltas from this value on, or the full value.
struct FetchRequest {
  ConfigStamp have;
};

struct FetchAnswer {
  ConfigStamp stamp;
  bool confirmed = false;
  // Deltas from the requested base to `stamp`, oldest first.
  std::vector<std::string> deltas;
  // The full value; empty if deltas lead there or the peer has nothing newer.
  std::string value;
};

struct WatchService {
  uint64_t after_version = 0;
  Duration wait{};
};

struct FetchFromPeer {
  std::string vm;
  std::string address;
  FetchRequest request;
  Duration timeout{};
};

// The value to use from now on.
struct PutInForce {
  std::shared_ptr<const ConfigValue> value;
};

// Two values have the same version; operators must publish a higher one.
struct ReportConflict {
  ConfigStamp in_force;
  ConfigStamp other;
  // "service" or the name of a VM.
  std::string source;
};

// A value was refused whole.
struct ReportRefusedValue {
  Reason reason;
  std::string source;
};

using SpreadAction = std::variant<WatchService, FetchFromPeer, PutInForce,
                                  ReportConflict, ReportRefusedValue>;
using SpreadActions = std::vector<SpreadAction>;

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

  ConfigSpread(std::string self_vm, std::string self_domain,
               std::string self_region, SpreadPolicy policy,
               std::shared_ptr<const DeltaCodec> codec,
               std::shared_ptr<const ConfigValidator> validator);

  void Offer(std::string_view text, const std::string& source,
             SpreadActions* actions);
  void Adopt(ValidatedValue value, const ConfigStamp& stamp,
             SpreadActions* actions);
  void NoteConflict(const ConfigStamp& other, const std::string& source,
                    SpreadActions* actions);
  void RememberDelta(const ConfigValue& base, const ConfigValue& value);
  std::optional<std::string> ApplyDeltas(const FetchAnswer& answer) const;
  std::vector<const Delta*> DeltasFrom(const ConfigStamp& base) const;

  void NoteBootstrapAnswer(const PeerStamp& peer);
  bool MayBelieveService(TimePoint now) const;
  void AskPeers(TimePoint now, Generator& rng, SpreadActions* actions);
  void ReleaseHeldValue(TimePoint now, SpreadActions* actions);
  void FetchHighest(TimePoint now, SpreadActions* actions);
  void ReadService(TimePoint now, Generator& rng, SpreadActions* actions);
  Duration NextBackoff(uint32_t failures, Generator& rng) const;

  std::string m_self_vm;
  std::string m_self_domain;
  std::string m_self_region;
  SpreadPolicy m_policy;
  std::shared_ptr<const DeltaCodec> m_codec;
  std::shared_ptr<const ConfigValidator> m_validator;
  std::shared_ptr<const ConfigValue> m_in_force;
  std::deque<Delta> m_deltas;
  MemberList m_members;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_SPREAD_SPREAD_H_
