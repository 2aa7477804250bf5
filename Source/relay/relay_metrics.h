#ifndef VANILLATILLER_SOURCE_RELAY_RELAY_METRICS_H_
#define VANILLATILLER_SOURCE_RELAY_RELAY_METRICS_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "base/base.h"
#include "metrics/metrics.h"

namespace vanillatiller {

// A latency histogram of one thread.
class LatencyHistogram {
 public:
  void Add(Duration duration);
  const HistogramSnapshot& snapshot() const { return m_snapshot; }

 private:
  HistogramSnapshot m_snapshot;
};

// Counters and histograms of one relay; used by its thread only.
struct RelayMetrics {
  void CountCall(Outcome outcome) {
    ++calls.at(static_cast<size_t>(outcome) - 1);
  }

  // Text in the exposition format of Prometheus.
  std::string Format() const;

  // Answers to callers, by status.
  std::map<int, uint64_t> answers;
  // Calls to the server beside this node, by outcome.
  std::array<uint64_t, 3> calls{};
  uint64_t retries = 0;
  uint64_t retries_denied = 0;
  uint64_t callers_gone = 0;
  uint64_t platform_reads = 0;
  uint64_t platform_failures = 0;
  // Values at present.
  std::map<std::string, double> gauges;
  LatencyHistogram request_time;
  LatencyHistogram queue_wait;
  LatencyHistogram server_time;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_RELAY_METRICS_H_
