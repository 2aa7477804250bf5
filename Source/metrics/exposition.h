#ifndef VANILLATILLER_SOURCE_METRICS_EXPOSITION_H_
#define VANILLATILLER_SOURCE_METRICS_EXPOSITION_H_

#include <string>

#include "metrics/registry.h"

namespace vanillatiller {

// Prometheus text exposition format 0.0.4. Times are in seconds; histograms
// have one bucket for each doubling.
std::string FormatPrometheus(const MetricsRegistry& registry);

// JSON array of the histograms: tenant, service, rank, counts and quantiles in
// microseconds, and the non-empty buckets.
std::string FormatHistogramsJson(const MetricsRegistry& registry);

// JSON object with the evidence for diagnosis: "service", "load", "edges" and
// "connections".
std::string FormatEdgesJson(const MetricsRegistry& registry,
                            std::string_view service);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_METRICS_EXPOSITION_H_
