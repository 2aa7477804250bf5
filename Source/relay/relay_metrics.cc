#include "relay/relay_metrics.h"

#include <algorithm>

#include "absl/strings/str_format.h"

namespace vanillatiller {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

void AppendCounter(std::string_view name, std::string_view labels,
                   uint64_t value, std::string* text) {
  absl::StrAppendFormat(text, "vanillatiller_%s%s %u\n", std::string(name),
                        std::string(labels), value);
}

void AppendSummary(std::string_view name, const LatencyHistogram& histogram,
                   std::string* text) {
  const HistogramSnapshot& data = histogram.snapshot();
  for (const double quantile : {0.5, 0.9, 0.99}) {
    absl::StrAppendFormat(text,
                          "vanillatiller_%s_seconds{quantile=\"%g\"} %g\n",
                          std::string(name), quantile,
                          static_cast<double>(data.QuantileUs(quantile)) /
                              kMicrosecondsPerSecond);
  }
  absl::StrAppendFormat(
      text, "vanillatiller_%s_seconds_sum %g\n", std::string(name),
      static_cast<double>(data.sum_us) / kMicrosecondsPerSecond);
  AppendCounter(std::string(name) + "_seconds_count", "", data.count, text);
}

}  // namespace

void LatencyHistogram::Add(Duration duration) {
  const uint64_t us = ToMicroseconds(duration);
  ++m_snapshot.count;
  m_snapshot.sum_us += us;
  m_snapshot.max_us = std::max(m_snapshot.max_us, us);
  ++m_snapshot.buckets.at(HistogramBucket(duration));
}

std::string RelayMetrics::Format() const {
  std::string text;
  for (const auto& [status, count] : answers) {
    AppendCounter("answers_total", absl::StrFormat("{status=\"%d\"}", status),
                  count, &text);
  }
  for (size_t i = 0; i < calls.size(); ++i) {
    const auto outcome = static_cast<Outcome>(i + 1);
    AppendCounter(
        "calls_total",
        absl::StrFormat("{outcome=\"%s\"}", std::string(OutcomeName(outcome))),
        calls.at(i), &text);
  }
  AppendCounter("retries_total", "", retries, &text);
  AppendCounter("retries_denied_total", "", retries_denied, &text);
  AppendCounter("callers_gone_total", "", callers_gone, &text);
  AppendCounter("memory_refusals_total", "", memory_refusals, &text);
  AppendCounter("answers_discarded_total", "", answers_discarded, &text);
  AppendCounter("stalled_requests_total", "", stalled_requests, &text);
  AppendCounter("stalled_readers_total", "", stalled_readers, &text);
  AppendCounter("idle_connections_closed_total", "", idle_connections_closed,
                &text);
  AppendCounter("connections_refused_total", "", connections_refused, &text);
  AppendCounter("requests_unconfirmed_total", "", requests_unconfirmed, &text);
  AppendCounter("platform_reads_total", "", platform_reads, &text);
  AppendCounter("platform_failures_total", "", platform_failures, &text);
  AppendCounter("platform_values_ignored_total", "", platform_values_ignored,
                &text);
  for (const auto& [name, value] : gauges) {
    absl::StrAppendFormat(&text, "vanillatiller_%s %g\n", name, value);
  }
  AppendSummary("request", request_time, &text);
  AppendSummary("queue_wait", queue_wait, &text);
  AppendSummary("server", server_time, &text);
  return text;
}

}  // namespace vanillatiller
