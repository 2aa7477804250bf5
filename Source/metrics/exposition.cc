#include "metrics/exposition.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace vanillatiller {
namespace {

using Json = nlohmann::json;

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kQuantiles[] = {0.5, 0.9, 0.99, 0.999};
constexpr std::string_view kQuantileNames[] = {"p50_us", "p90_us", "p99_us",
                                               "p999_us"};

// Label value with the escapes of the exposition format.
std::string Escaped(std::string_view value) {
  std::string result;
  for (const char c : value) {
    if (c == '\\' || c == '"') result.push_back('\\');
    if (c == '\n') {
      result.append("\\n");
    } else {
      result.push_back(c);
    }
  }
  return result;
}

std::string Label(std::string_view name, std::string_view value) {
  return absl::StrCat(std::string(name), "=\"", Escaped(value), "\"");
}

// Writes families of samples. Names get the prefix "vanillatiller_".
class PrometheusWriter {
 public:
  explicit PrometheusWriter(std::string* text) : m_text(text) {}

  void Family(std::string_view name, std::string_view type,
              std::string_view help) {
    m_name = absl::StrCat("vanillatiller_", std::string(name));
    absl::StrAppend(m_text, "# HELP ", m_name, " ", std::string(help), "\n",
                    "# TYPE ", m_name, " ", std::string(type), "\n");
  }

  void Sample(const std::string& labels, uint64_t value) {
    Line("", labels, absl::StrCat(value));
  }

  void Seconds(const std::string& labels, uint64_t us) {
    Line("", labels, FormatSeconds(us));
  }

  void Histogram(const std::string& labels,
                 const HistogramSnapshot& histogram) {
    uint64_t seen = 0;
    for (size_t i = 0; i < kHistogramBuckets - 1; ++i) {
      seen += histogram.buckets[i];
      // The last bucket of a doubling ends at a power of two.
      if (i % kBucketsPerDoubling != 0) continue;
      Line("_bucket",
           absl::StrCat(labels, ",le=\"", FormatSeconds(BucketUpperBoundUs(i)),
                        "\""),
           absl::StrCat(seen));
    }
    Line("_bucket", labels + ",le=\"+Inf\"", absl::StrCat(histogram.count));
    Line("_sum", labels, FormatSeconds(histogram.sum_us));
    Line("_count", labels, absl::StrCat(histogram.count));
  }

 private:
  static std::string FormatSeconds(uint64_t us) {
    return absl::StrCat(static_cast<double>(us) / kMicrosecondsPerSecond);
  }

  void Line(std::string_view suffix, const std::string& labels,
            const std::string& value) {
    absl::StrAppend(m_text, m_name, std::string(suffix));
    if (!labels.empty()) absl::StrAppend(m_text, "{", labels, "}");
    absl::StrAppend(m_text, " ", value, "\n");
  }

  std::string* m_text;
  std::string m_name;
};

// One pass over snapshots of one kind; `labels` gives their label text.
template <typename Snapshot, typename Labels>
class Families {
 public:
  Families(PrometheusWriter* writer, const std::vector<Snapshot>& snapshots,
           Labels labels)
      : m_writer(writer), m_snapshots(snapshots), m_labels(labels) {}

  void Counter(std::string_view name, uint64_t Snapshot::*member,
               std::string_view help) {
    Samples(name, "counter", member, help);
  }

  void Gauge(std::string_view name, uint64_t Snapshot::*member,
             std::string_view help) {
    Samples(name, "gauge", member, help);
  }

  void Seconds(std::string_view name, uint64_t Snapshot::*member,
               std::string_view help) {
    m_writer->Family(name, "counter", help);
    for (const Snapshot& snapshot : m_snapshots) {
      m_writer->Seconds(m_labels(snapshot), snapshot.*member);
    }
  }

  void Histogram(std::string_view name, HistogramSnapshot Snapshot::*member,
                 std::string_view help) {
    m_writer->Family(name, "histogram", help);
    for (const Snapshot& snapshot : m_snapshots) {
      m_writer->Histogram(m_labels(snapshot), snapshot.*member);
    }
  }

  void Outcomes(std::string_view name, std::string_view help) {
    m_writer->Family(name, "counter", help);
    for (const Snapshot& snapshot : m_snapshots) {
      for (const Outcome outcome :
           {Outcome::kComplete, Outcome::kNotRun, Outcome::kUnknown}) {
        m_writer->Sample(absl::StrCat(m_labels(snapshot), ",",
                                      Label("outcome", OutcomeName(outcome))),
                         snapshot.outcomes[static_cast<size_t>(outcome)]);
      }
    }
  }

  void Refusals(std::string_view name, std::string_view help) {
    m_writer->Family(name, "counter", help);
    for (const Snapshot& snapshot : m_snapshots) {
      for (size_t i = 0; i < kRefusalCodes; ++i) {
        if (snapshot.refusals[i] == 0) continue;
        const auto code = static_cast<RefusalCode>(i);
        m_writer->Sample(absl::StrCat(m_labels(snapshot), ",",
                                      Label("reason", RefusalCodeName(code))),
                         snapshot.refusals[i]);
      }
    }
  }

 private:
  void Samples(std::string_view name, std::string_view type,
               uint64_t Snapshot::*member, std::string_view help) {
    m_writer->Family(name, type, help);
    for (const Snapshot& snapshot : m_snapshots) {
      m_writer->Sample(m_labels(snapshot), snapshot.*member);
    }
  }

  PrometheusWriter* m_writer;
  const std::vector<Snapshot>& m_snapshots;
  Labels m_labels;
};

void WriteRequests(PrometheusWriter* writer, const MetricsRegistry& registry,
                   const MetricsSnapshot& snapshot) {
  Families families(
      writer, snapshot.requests, [&](const RequestSnapshot& request) {
        return absl::StrCat(Label("tenant", request.tenant), ",",
                            Label("service", request.service), ",",
                            Label("rank", registry.RankName(request.rank)));
      });
  families.Histogram("request_latency_seconds", &RequestSnapshot::latency,
                     "Time from receipt to answer.");
  families.Histogram("queue_wait_seconds", &RequestSnapshot::queue_wait,
                     "Time between receipt and dispatch.");
  families.Histogram("added_latency_seconds", &RequestSnapshot::added,
                     "Latency less the time at the backend server or peer.");
  families.Outcomes("requests_total", "Answered requests by outcome.");
  families.Refusals("refusals_total", "Refused requests by reason.");
}

void WriteEdges(PrometheusWriter* writer, const MetricsRegistry& registry,
                const MetricsSnapshot& snapshot) {
  Families edges(writer, snapshot.edges, [&](const EdgeSnapshot& edge) {
    return absl::StrCat(Label("caller", edge.caller), ",",
                        Label("callee", edge.callee), ",",
                        Label("rank", registry.RankName(edge.rank)));
  });
  edges.Counter("edge_calls_total", &EdgeSnapshot::calls,
                "Calls, repetitions not counted.");
  edges.Counter("edge_attempts_total", &EdgeSnapshot::attempts,
                "Attempts, repetitions counted.");
  edges.Gauge("edge_in_flight", &EdgeSnapshot::in_flight,
              "Attempts without an answer.");
  edges.Outcomes("edge_outcomes_total", "Attempts by outcome.");
  edges.Refusals("edge_refusals_total", "Refused attempts by reason.");
  edges.Seconds("edge_round_trip_seconds_total", &EdgeSnapshot::round_trip_us,
                "Sum of round trips.");
  edges.Seconds("edge_queue_wait_seconds_total", &EdgeSnapshot::queue_wait_us,
                "Sum of the queue waits that callees reported.");
  edges.Seconds("edge_backend_seconds_total", &EdgeSnapshot::backend_us,
                "Sum of the backend times that callees reported.");
  Families connections(
      writer, snapshot.connections, [](const ConnectionSnapshot& connection) {
        return absl::StrCat(Label("caller", connection.caller), ",",
                            Label("callee", connection.callee));
      });
  connections.Counter("connect_failures_total",
                      &ConnectionSnapshot::connect_failures,
                      "Connections that could not be opened.");
  connections.Counter("silent_connections_total",
                      &ConnectionSnapshot::silent_connections,
                      "Connections replaced because nothing came back.");
  connections.Counter("probes_total", &ConnectionSnapshot::probes,
                      "Probes on new connections.");
  connections.Counter("probe_failures_total",
                      &ConnectionSnapshot::probe_failures,
                      "Probes without an answer.");
  connections.Histogram("probe_round_trip_seconds",
                        &ConnectionSnapshot::probe_round_trip,
                        "Round trip of answered probes.");
}

void WriteLoad(PrometheusWriter* writer, const MetricsSnapshot& snapshot) {
  const auto write = [&](std::string_view name, std::string_view type,
                         uint64_t value, std::string_view help) {
    writer->Family(name, type, help);
    writer->Sample("", value);
  };
  write("in_flight", "gauge", snapshot.load.in_flight,
        "Calls at this node's backend server.");
  write("queued", "gauge", snapshot.load.queued,
        "Calls that wait for admission.");
  write("concurrency_limit", "gauge", snapshot.load.concurrency_limit,
        "Greatest number of calls at the backend server.");
  write("slots", "gauge", snapshot.load.slots,
        "Slots that the configuration declares.");
  write("offered_total", "counter", snapshot.offered,
        "Calls offered to admission.");
  write("limit_reached_total", "counter", snapshot.limit_reached,
        "Calls that found the concurrency limit reached.");
  write("overflowed_samples_total", "counter", snapshot.overflowed,
        "Samples counted under the label \"other\" for want of room.");
}

Json HistogramToJson(const HistogramSnapshot& histogram) {
  Json buckets = Json::array();
  for (size_t i = 0; i < kHistogramBuckets; ++i) {
    if (histogram.buckets[i] == 0) continue;
    buckets.push_back({i, histogram.buckets[i]});
  }
  Json result = {{"count", histogram.count},
                 {"sum_us", histogram.sum_us},
                 {"max_us", histogram.max_us},
                 {"buckets", std::move(buckets)}};
  for (size_t i = 0; i < std::size(kQuantiles); ++i) {
    result[std::string(kQuantileNames[i])] =
        histogram.QuantileUs(kQuantiles[i]);
  }
  return result;
}

Json RefusalsToJson(const std::array<uint64_t, kRefusalCodes>& refusals) {
  Json result = Json::object();
  for (size_t i = 0; i < refusals.size(); ++i) {
    if (refusals[i] == 0) continue;
    result[std::string(RefusalCodeName(static_cast<RefusalCode>(i)))] =
        refusals[i];
  }
  return result;
}

Json OutcomesToJson(const std::array<uint64_t, 4>& outcomes) {
  Json result = Json::object();
  for (const Outcome outcome :
       {Outcome::kComplete, Outcome::kNotRun, Outcome::kUnknown}) {
    result[std::string(OutcomeName(outcome))] =
        outcomes[static_cast<size_t>(outcome)];
  }
  return result;
}

Json EdgeToJson(const MetricsRegistry& registry, const EdgeSnapshot& edge) {
  Json refusers = Json::object();
  for (const RefuserCount& refuser : edge.refusers) {
    refusers[refuser.service] = refuser.count;
  }
  return {{"caller", edge.caller},
          {"callee", edge.callee},
          {"rank", registry.RankName(edge.rank)},
          {"calls", edge.calls},
          {"attempts", edge.attempts},
          {"in_flight", edge.in_flight},
          {"outcomes", OutcomesToJson(edge.outcomes)},
          {"refusals", RefusalsToJson(edge.refusals)},
          {"first_refusers", std::move(refusers)},
          {"round_trip_us", edge.round_trip_us},
          {"queue_wait_us", edge.queue_wait_us},
          {"backend_us", edge.backend_us},
          {"max_round_trip_us", edge.max_round_trip_us}};
}

Json ConnectionToJson(const ConnectionSnapshot& connection) {
  return {{"caller", connection.caller},
          {"callee", connection.callee},
          {"connect_failures", connection.connect_failures},
          {"silent_connections", connection.silent_connections},
          {"probes", connection.probes},
          {"probe_failures", connection.probe_failures},
          {"probe_round_trip_us", connection.probe_round_trip.sum_us}};
}

}  // namespace

std::string FormatPrometheus(const MetricsRegistry& registry) {
  const MetricsSnapshot snapshot = registry.Snapshot();
  std::string text;
  PrometheusWriter writer(&text);
  WriteRequests(&writer, registry, snapshot);
  WriteEdges(&writer, registry, snapshot);
  WriteLoad(&writer, snapshot);
  return text;
}

std::string FormatHistogramsJson(const MetricsRegistry& registry) {
  Json result = Json::array();
  for (const RequestSnapshot& request : registry.Snapshot().requests) {
    result.push_back({{"tenant", request.tenant},
                      {"service", request.service},
                      {"rank", registry.RankName(request.rank)},
                      {"outcomes", OutcomesToJson(request.outcomes)},
                      {"refusals", RefusalsToJson(request.refusals)},
                      {"latency", HistogramToJson(request.latency)},
                      {"queue_wait", HistogramToJson(request.queue_wait)},
                      {"added", HistogramToJson(request.added)}});
  }
  return result.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string FormatEdgesJson(const MetricsRegistry& registry,
                            std::string_view service) {
  const MetricsSnapshot snapshot = registry.Snapshot();
  Json edges = Json::array();
  for (const EdgeSnapshot& edge : snapshot.edges) {
    edges.push_back(EdgeToJson(registry, edge));
  }
  Json connections = Json::array();
  for (const ConnectionSnapshot& connection : snapshot.connections) {
    connections.push_back(ConnectionToJson(connection));
  }
  const Json result = {{"service", service},
                       {"load",
                        {{"in_flight", snapshot.load.in_flight},
                         {"queued", snapshot.load.queued},
                         {"concurrency_limit", snapshot.load.concurrency_limit},
                         {"slots", snapshot.load.slots},
                         {"offered", snapshot.offered},
                         {"limit_reached", snapshot.limit_reached}}},
                       {"edges", std::move(edges)},
                       {"connections", std::move(connections)}};
  return result.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace vanillatiller
