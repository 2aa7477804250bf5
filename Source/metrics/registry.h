#ifndef VANILLATILLER_SOURCE_METRICS_REGISTRY_H_
#define VANILLATILLER_SOURCE_METRICS_REGISTRY_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "metrics/histogram.h"

namespace vanillatiller {

// A request that this node answered: as an entry node for a caller, or as a
// callee for a peer.
struct RequestSample {
  std::string_view tenant;
  std::string_view service;
  uint32_t rank = 0;
  Outcome outcome = Outcome::kComplete;
  RefusalCode refusal = RefusalCode::kNone;
  // From receipt to answer.
  Duration latency{};
  // From admission's receipt to dispatch.
  Duration queue_wait{};
  // Latency less the time that the backend server or the peer held the call.
  Duration added{};
};

// One attempt of a call on an edge, as the calling node saw it.
struct AttemptSample {
  // Empty for the entry of a caller's request.
  std::string_view caller;
  std::string_view callee;
  uint32_t rank = 0;
  // False for a repetition of a failed attempt.
  bool first = true;
  Outcome outcome = Outcome::kComplete;
  RefusalCode refusal = RefusalCode::kNone;
  // Service that refused first; empty if none did or it is not known. A
  // complete answer may have a refusal: that of a call below it.
  std::string_view refused_by;
  // From sending to the answer or the failure.
  Duration round_trip{};
  // As the callee reported them; zero without an answer.
  Duration queue_wait{};
  Duration backend_time{};
};

// Load of this node's own backend server, as admission sees it.
struct LoadSample {
  uint32_t in_flight = 0;
  uint32_t queued = 0;
  uint32_t concurrency_limit = 0;
  uint32_t slots = 0;
};

inline constexpr size_t kRefusalCodes =
    static_cast<size_t>(kLastRefusalCode) + 1;

// Histograms and counters of one (tenant, service, rank).
struct RequestSnapshot {
  std::string tenant;
  std::string service;
  uint32_t rank = 0;
  std::array<uint64_t, 4> outcomes{};  // indexed by Outcome
  std::array<uint64_t, kRefusalCodes> refusals{};
  HistogramSnapshot latency;
  HistogramSnapshot queue_wait;
  HistogramSnapshot added;
};

struct RefuserCount {
  std::string service;
  uint64_t count = 0;
};

// Counters of one (caller, callee, rank).
struct EdgeSnapshot {
  std::string caller;
  std::string callee;
  uint32_t rank = 0;
  uint64_t calls = 0;
  uint64_t attempts = 0;
  std::array<uint64_t, 4> outcomes{};
  std::array<uint64_t, kRefusalCodes> refusals{};
  // First refusers for overload or for a deadline.
  std::vector<RefuserCount> refusers;
  uint64_t in_flight = 0;
  uint64_t round_trip_us = 0;
  uint64_t queue_wait_us = 0;
  uint64_t backend_us = 0;
  uint64_t max_round_trip_us = 0;
};

// Counters of the connections of one (caller, callee).
struct ConnectionSnapshot {
  std::string caller;
  std::string callee;
  uint64_t connect_failures = 0;
  uint64_t silent_connections = 0;
  uint64_t probes = 0;
  uint64_t probe_failures = 0;
  HistogramSnapshot probe_round_trip;
};

// Everything that a node has recorded since it started.
struct MetricsSnapshot {
  std::vector<RequestSnapshot> requests;
  std::vector<EdgeSnapshot> edges;
  std::vector<ConnectionSnapshot> connections;
  LoadSample load;
  // Times that a request found the concurrency limit reached.
  uint64_t limit_reached = 0;
  // Requests offered to admission.
  uint64_t offered = 0;
  // Samples that were counted under the label "other" for want of room.
  uint64_t overflowed = 0;
};

// Records samples from any thread. Memory is bounded by the greatest numbers
// of label sets; samples beyond them are counted under the label "other".
// Label sets are spread over stripes, each with a lock of its own, and each
// series has a lock of its own, held for the few additions of one sample.
class MetricsRegistry {
 public:
  ~MetricsRegistry();
  MetricsRegistry(const MetricsRegistry&) = delete;
  MetricsRegistry& operator=(const MetricsRegistry&) = delete;

  void RecordRequest(const RequestSample& sample);

  // Start and end of an attempt; every start has an end.
  void StartAttempt(std::string_view caller, std::string_view callee,
                    uint32_t rank);
  void EndAttempt(const AttemptSample& sample);

  // A call that was refused before any attempt, because of what the callee had
  // said earlier. It counts as a call and a refusal, but tells nothing of the
  // service that refuses first.
  void RecordEarlyRefusal(std::string_view caller, std::string_view callee,
                          uint32_t rank, RefusalCode code);

  void RecordConnectFailure(std::string_view caller, std::string_view callee);
  void RecordSilentConnection(std::string_view caller, std::string_view callee);
  // A probe on a new connection; nullopt if it was not answered.
  void RecordProbe(std::string_view caller, std::string_view callee,
                   std::optional<Duration> round_trip);

  // One request offered to admission; `limit_reached` if it had to wait or
  // was refused because the concurrency limit was reached.
  void RecordOffer(bool limit_reached);
  void SetLoad(const LoadSample& load);

  // Names of the ranks by their order, for the text forms.
  void SetRankNames(std::vector<std::string> names);
  // Name of the rank, or its number if it has none.
  std::string RankName(uint32_t rank) const;

  MetricsSnapshot Snapshot() const;

 private:
  friend class MetricsRegistryBuilder;
  struct Limits {
    size_t request_series;
    size_t edge_series;
  };
  explicit MetricsRegistry(Limits limits);

  struct Tables;
  std::unique_ptr<Tables> m_tables;
  std::atomic<uint64_t> m_limit_reached{0};
  std::atomic<uint64_t> m_offered{0};
  std::atomic<uint64_t> m_overflowed{0};
  std::atomic<uint32_t> m_in_flight{0};
  std::atomic<uint32_t> m_queued{0};
  std::atomic<uint32_t> m_concurrency_limit{0};
  std::atomic<uint32_t> m_slots{0};
};

class MetricsRegistryBuilder {
 public:
  // Greatest number of (tenant, service, rank) label sets, at least 1.
  MetricsRegistryBuilder& RequestSeries(size_t count);
  // Greatest number of (caller, callee, rank) label sets, at least 1.
  MetricsRegistryBuilder& EdgeSeries(size_t count);

  // Null with findings if a number is out of range.
  std::unique_ptr<MetricsRegistry> Build(Findings* findings) const;

 private:
  size_t m_request_series = 1024;
  size_t m_edge_series = 1024;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_METRICS_REGISTRY_H_
