#ifndef VANILLATILLER_SOURCE_RELAY_RELAY_METRICS_H_
#define VANILLATILLER_SOURCE_RELAY_RELAY_METRICS_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "base/base.h"
#include "metrics/metrics.h"

namespace vanillatiller {

// Latency histogram without synchronization, for use by one thread.
class LatencyHistogram {
 public:
  void Add(Duration duration);
  const HistogramSnapshot& snapshot() const { return m_snapshot; }

 private:
  HistogramSnapshot m_snapshot;
};

// Counters and histograms of one relay. Not thread-safe.
struct RelayMetrics {
  void CountCall(Outcome outcome) {
    ++calls.at(static_cast<size_t>(outcome) - 1);
  }

  // Returns the metrics in the Prometheus text exposition format.
  std::string Format() const;

  // Responses to callers, by HTTP status.
  std::map<int, uint64_t> answers;
  // Calls to the backend server of this node, by outcome.
  std::array<uint64_t, 3> calls{};
  uint64_t retries = 0;
  uint64_t retries_denied = 0;
  uint64_t callers_gone = 0;
  // Requests and calls that were refused because memory was used up.
  uint64_t memory_refusals = 0;
  // Answers that were discarded for the same reason.
  uint64_t answers_discarded = 0;
  // What gave way to others: requests whose callers made no progress in sending
  // them, connections of callers that did not read their answers, idle ones,
  // and new ones.
  uint64_t stalled_requests = 0;
  uint64_t stalled_readers = 0;
  uint64_t idle_connections_closed = 0;
  uint64_t connections_refused = 0;
  // Requests that were decided by a configuration that may be outdated.
  uint64_t requests_unconfirmed = 0;
  uint64_t platform_reads = 0;
  uint64_t platform_failures = 0;
  // Unreadable values in the platform's answers.
  uint64_t platform_values_ignored = 0;
  // Current gauge values, by metric name.
  std::map<std::string, double> gauges;
  LatencyHistogram request_time;
  LatencyHistogram queue_wait;
  LatencyHistogram server_time;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_RELAY_METRICS_H_
