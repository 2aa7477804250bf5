#ifndef VANILLATILLER_SOURCE_METRICS_METRICS_H_
#define VANILLATILLER_SOURCE_METRICS_METRICS_H_

// Public header of the metrics library: latency histograms, counters of each
// edge of the call graph, and their text forms.

#include "metrics/exposition.h"  // IWYU pragma: export
#include "metrics/histogram.h"   // IWYU pragma: export
#include "metrics/registry.h"    // IWYU pragma: export

#endif  // VANILLATILLER_SOURCE_METRICS_METRICS_H_
