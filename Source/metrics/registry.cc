#include "metrics/registry.h"

#include <algorithm>
#include <mutex>
#include <tuple>

#include "metrics/latency_accumulator.h"
#include "metrics/series_table.h"

namespace vanillatiller {
namespace {

constexpr std::string_view kOther = "other";
constexpr SeriesLabels kOtherLabels = {kOther, kOther, 0};
// Services that an edge counts refusals of; a chain of 12 passes through
// fewer.
constexpr size_t kMaxRefusers = 64;
constexpr size_t kMaxSeries = 100'000;

size_t OutcomeIndex(Outcome outcome) {
  return std::min<size_t>(static_cast<size_t>(outcome), 3);
}

size_t RefusalIndex(RefusalCode code) {
  return std::min(static_cast<size_t>(code), kRefusalCodes - 1);
}

struct RequestSeries {
  mutable std::mutex mutex;
  std::array<uint64_t, 4> outcomes{};
  std::array<uint64_t, kRefusalCodes> refusals{};
  LatencyAccumulator latency;
  LatencyAccumulator queue_wait;
  LatencyAccumulator added;
};

struct EdgeSeries {
  mutable std::mutex mutex;
  // The labels are unused here; the names come from the table.
  EdgeSnapshot counts;
};

struct ConnectionSeries {
  mutable std::mutex mutex;
  uint64_t connect_failures = 0;
  uint64_t silent_connections = 0;
  uint64_t probes = 0;
  uint64_t probe_failures = 0;
  LatencyAccumulator probe_round_trip;
};

// Reasons whose first refuser tells where overload begins. A deadline that
// cannot be met is refused by the service whose queue is too long.
bool IsOverloadSign(RefusalCode code) {
  return code == RefusalCode::kOverload ||
         code == RefusalCode::kBelowThreshold ||
         code == RefusalCode::kBackendRefused ||
         code == RefusalCode::kDeadlineExceeded;
}

void CountRefuser(std::vector<RefuserCount>* refusers,
                  std::string_view service) {
  const auto by_name = [&](std::string_view name) {
    return std::ranges::find(*refusers, name, &RefuserCount::service);
  };
  auto found = by_name(service);
  if (found == refusers->end() && refusers->size() >= kMaxRefusers) {
    service = kOther;
    found = by_name(service);
  }
  if (found == refusers->end()) {
    refusers->push_back({std::string(service), 1});
    return;
  }
  ++found->count;
}

template <typename Snapshot>
void SortEdges(std::vector<Snapshot>* snapshots) {
  std::ranges::sort(*snapshots, {}, [](const Snapshot& snapshot) {
    return std::tie(snapshot.caller, snapshot.callee);
  });
}

}  // namespace

struct MetricsRegistry::Tables {
  // One more than the bound, for the label "other".
  explicit Tables(const Limits& limits)
      : requests(limits.request_series + 1),
        edges(limits.edge_series + 1),
        connections(limits.edge_series + 1) {
    // Made first, so that it always has room.
    requests.Find(kOtherLabels);
    edges.Find(kOtherLabels);
    connections.Find(kOtherLabels);
  }

  SeriesTable<RequestSeries> requests;
  SeriesTable<EdgeSeries> edges;
  SeriesTable<ConnectionSeries> connections;
  mutable std::mutex rank_mutex;
  std::vector<std::string> rank_names;

  // The series of `labels`, or the one of "other" if there is no room.
  template <typename Series>
  static Series& FindOrOther(SeriesTable<Series>& table,
                             const SeriesLabels& labels,
                             std::atomic<uint64_t>* overflowed) {
    if (Series* series = table.Find(labels)) return *series;
    ++*overflowed;
    return *table.Find(kOtherLabels);
  }
};

MetricsRegistry::MetricsRegistry(Limits limits)
    : m_tables(std::make_unique<Tables>(limits)) {}

MetricsRegistry::~MetricsRegistry() = default;

void MetricsRegistry::RecordRequest(const RequestSample& sample) {
  RequestSeries& series = Tables::FindOrOther(
      m_tables->requests, {sample.tenant, sample.service, sample.rank},
      &m_overflowed);
  const std::lock_guard lock(series.mutex);
  ++series.outcomes[OutcomeIndex(sample.outcome)];
  if (sample.refusal != RefusalCode::kNone) {
    ++series.refusals[RefusalIndex(sample.refusal)];
  }
  series.latency.Record(sample.latency);
  series.queue_wait.Record(sample.queue_wait);
  series.added.Record(sample.added);
}

void MetricsRegistry::StartAttempt(std::string_view caller,
                                   std::string_view callee, uint32_t rank) {
  EdgeSeries& series = Tables::FindOrOther(
      m_tables->edges, {caller, callee, rank}, &m_overflowed);
  const std::lock_guard lock(series.mutex);
  ++series.counts.in_flight;
}

void MetricsRegistry::EndAttempt(const AttemptSample& sample) {
  EdgeSeries& series = Tables::FindOrOther(
      m_tables->edges, {sample.caller, sample.callee, sample.rank},
      &m_overflowed);
  const std::lock_guard lock(series.mutex);
  EdgeSnapshot& counts = series.counts;
  if (counts.in_flight != 0) --counts.in_flight;
  ++counts.attempts;
  if (sample.first) ++counts.calls;
  ++counts.outcomes[OutcomeIndex(sample.outcome)];
  if (sample.refusal != RefusalCode::kNone) {
    ++counts.refusals[RefusalIndex(sample.refusal)];
  }
  if (!sample.refused_by.empty() && IsOverloadSign(sample.refusal)) {
    CountRefuser(&counts.refusers, sample.refused_by);
  }
  const uint64_t round_trip_us = ToMicroseconds(sample.round_trip);
  counts.round_trip_us += round_trip_us;
  counts.max_round_trip_us = std::max(counts.max_round_trip_us, round_trip_us);
  counts.queue_wait_us += ToMicroseconds(sample.queue_wait);
  counts.backend_us += ToMicroseconds(sample.backend_time);
}

void MetricsRegistry::RecordEarlyRefusal(std::string_view caller,
                                         std::string_view callee, uint32_t rank,
                                         RefusalCode code) {
  EdgeSeries& series = Tables::FindOrOther(
      m_tables->edges, {caller, callee, rank}, &m_overflowed);
  const std::lock_guard lock(series.mutex);
  ++series.counts.calls;
  ++series.counts.outcomes[OutcomeIndex(Outcome::kNotRun)];
  ++series.counts.refusals[RefusalIndex(code)];
}

void MetricsRegistry::RecordConnectFailure(std::string_view caller,
                                           std::string_view callee) {
  ConnectionSeries& series = Tables::FindOrOther(
      m_tables->connections, {caller, callee, 0}, &m_overflowed);
  const std::lock_guard lock(series.mutex);
  ++series.connect_failures;
}

void MetricsRegistry::RecordSilentConnection(std::string_view caller,
                                             std::string_view callee) {
  ConnectionSeries& series = Tables::FindOrOther(
      m_tables->connections, {caller, callee, 0}, &m_overflowed);
  const std::lock_guard lock(series.mutex);
  ++series.silent_connections;
}

void MetricsRegistry::RecordProbe(std::string_view caller,
                                  std::string_view callee,
                                  std::optional<Duration> round_trip) {
  ConnectionSeries& series = Tables::FindOrOther(
      m_tables->connections, {caller, callee, 0}, &m_overflowed);
  const std::lock_guard lock(series.mutex);
  ++series.probes;
  if (!round_trip) {
    ++series.probe_failures;
    return;
  }
  series.probe_round_trip.Record(*round_trip);
}

void MetricsRegistry::RecordOffer(bool limit_reached) {
  m_offered.fetch_add(1, std::memory_order_relaxed);
  if (limit_reached) m_limit_reached.fetch_add(1, std::memory_order_relaxed);
}

void MetricsRegistry::SetLoad(const LoadSample& load) {
  m_in_flight.store(load.in_flight, std::memory_order_relaxed);
  m_queued.store(load.queued, std::memory_order_relaxed);
  m_concurrency_limit.store(load.concurrency_limit, std::memory_order_relaxed);
  m_slots.store(load.slots, std::memory_order_relaxed);
}

void MetricsRegistry::SetRankNames(std::vector<std::string> names) {
  const std::lock_guard lock(m_tables->rank_mutex);
  m_tables->rank_names = std::move(names);
}

std::string MetricsRegistry::RankName(uint32_t rank) const {
  const std::lock_guard lock(m_tables->rank_mutex);
  const auto& names = m_tables->rank_names;
  if (rank < names.size() && !names[rank].empty()) return names[rank];
  return std::to_string(rank);
}

MetricsSnapshot MetricsRegistry::Snapshot() const {
  MetricsSnapshot snapshot;
  m_tables->requests.ForEach(
      [&](const SeriesLabels& labels, const RequestSeries& series) {
        const std::lock_guard lock(series.mutex);
        snapshot.requests.push_back(
            {std::string(labels.first), std::string(labels.second), labels.rank,
             series.outcomes, series.refusals, series.latency.Snapshot(),
             series.queue_wait.Snapshot(), series.added.Snapshot()});
      });
  m_tables->edges.ForEach(
      [&](const SeriesLabels& labels, const EdgeSeries& series) {
        const std::lock_guard lock(series.mutex);
        EdgeSnapshot& edge = snapshot.edges.emplace_back(series.counts);
        edge.caller = labels.first;
        edge.callee = labels.second;
        edge.rank = labels.rank;
      });
  m_tables->connections.ForEach(
      [&](const SeriesLabels& labels, const ConnectionSeries& series) {
        const std::lock_guard lock(series.mutex);
        snapshot.connections.push_back(
            {std::string(labels.first), std::string(labels.second),
             series.connect_failures, series.silent_connections, series.probes,
             series.probe_failures, series.probe_round_trip.Snapshot()});
      });
  std::erase_if(snapshot.requests, [](const RequestSnapshot& request) {
    return request.latency.count == 0;
  });
  std::erase_if(snapshot.edges, [](const EdgeSnapshot& edge) {
    return edge.attempts == 0 && edge.calls == 0 && edge.in_flight == 0;
  });
  std::erase_if(snapshot.connections, [](const ConnectionSnapshot& connection) {
    return connection.connect_failures == 0 &&
           connection.silent_connections == 0 && connection.probes == 0;
  });
  std::ranges::sort(snapshot.requests, {}, [](const RequestSnapshot& request) {
    return std::tie(request.service, request.tenant, request.rank);
  });
  std::ranges::sort(snapshot.edges, {}, [](const EdgeSnapshot& edge) {
    return std::tie(edge.caller, edge.callee, edge.rank);
  });
  SortEdges(&snapshot.connections);
  snapshot.load = {m_in_flight, m_queued, m_concurrency_limit, m_slots};
  snapshot.limit_reached = m_limit_reached;
  snapshot.offered = m_offered;
  snapshot.overflowed = m_overflowed;
  return snapshot;
}

MetricsRegistryBuilder& MetricsRegistryBuilder::RequestSeries(size_t count) {
  m_request_series = count;
  return *this;
}

MetricsRegistryBuilder& MetricsRegistryBuilder::EdgeSeries(size_t count) {
  m_edge_series = count;
  return *this;
}

std::unique_ptr<MetricsRegistry> MetricsRegistryBuilder::Build(
    Findings* findings) const {
  const size_t findings_before = findings->size();
  const auto check = [&](std::string_view name, size_t count) {
    if (count >= 1 && count <= kMaxSeries) return;
    findings->push_back({"metrics", 0, 0,
                         std::string(name) + ": expected 1 to " +
                             std::to_string(kMaxSeries) + ", found " +
                             std::to_string(count)});
  };
  check("request series", m_request_series);
  check("edge series", m_edge_series);
  if (findings->size() != findings_before) return nullptr;
  return std::unique_ptr<MetricsRegistry>(
      new MetricsRegistry({m_request_series, m_edge_series}));
}

}  // namespace vanillatiller
