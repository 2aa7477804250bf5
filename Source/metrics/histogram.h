#ifndef VANILLATILLER_SOURCE_METRICS_HISTOGRAM_H_
#define VANILLATILLER_SOURCE_METRICS_HISTOGRAM_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/base.h"

namespace vanillatiller {

// Buckets of a latency histogram: four to each doubling, from 1 us to 2^27 us
// (134 s), and one for less than 1 us. A bucket's upper bound exceeds its lower
// bound by at most 25%, or 1 us. The layout is the one of HDR histograms
// (G. Tene) with two bits of precision.
inline constexpr size_t kBucketsPerDoubling = 4;
inline constexpr size_t kHistogramDoublings = 27;
inline constexpr size_t kHistogramBuckets =
    kBucketsPerDoubling * kHistogramDoublings + 1;

// Bucket that `duration` is counted in. Negative durations count as 0.
size_t HistogramBucket(Duration duration);

// Upper bound of a bucket, exclusive, in microseconds.
uint64_t BucketUpperBoundUs(size_t bucket);

// Copy of a histogram at one moment.
struct HistogramSnapshot {
  uint64_t count = 0;
  uint64_t sum_us = 0;
  uint64_t max_us = 0;
  std::array<uint64_t, kHistogramBuckets> buckets{};

  // Upper bound of the bucket that holds the quantile `q` in [0, 1], at most
  // max_us, in microseconds; 0 if nothing was recorded.
  uint64_t QuantileUs(double q) const;

  void Merge(const HistogramSnapshot& other);
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_METRICS_HISTOGRAM_H_
