#include "metrics/histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace vanillatiller {
namespace {

constexpr uint64_t kSubBuckets = kBucketsPerDoubling;
constexpr int kSubBucketBits = 2;
static_assert(kSubBuckets == 1U << kSubBucketBits);

}  // namespace

size_t HistogramBucket(Duration duration) {
  const uint64_t us = ToMicroseconds(duration);
  if (us == 0) return 0;
  const auto exponent = static_cast<size_t>(std::bit_width(us) - 1);
  if (exponent >= kHistogramDoublings) return kHistogramBuckets - 1;
  // The bits below the leading one choose the bucket within the doubling.
  const uint64_t scaled = (us << kSubBucketBits) >> exponent;
  return 1 + exponent * kSubBuckets + (scaled & (kSubBuckets - 1));
}

uint64_t BucketUpperBoundUs(size_t bucket) {
  if (bucket == 0) return 1;
  const size_t exponent = (bucket - 1) / kSubBuckets;
  const uint64_t sub_bucket = (bucket - 1) % kSubBuckets;
  const uint64_t scaled = (kSubBuckets + sub_bucket + 1) << exponent;
  return (scaled + kSubBuckets - 1) >> kSubBucketBits;
}

uint64_t HistogramSnapshot::QuantileUs(double q) const {
  if (count == 0) return 0;
  const auto target = std::max<uint64_t>(
      1, static_cast<uint64_t>(std::ceil(q * static_cast<double>(count))));
  uint64_t seen = 0;
  for (size_t i = 0; i < buckets.size(); ++i) {
    seen += buckets[i];
    if (seen >= target) return std::min(BucketUpperBoundUs(i), max_us);
  }
  return max_us;
}

void HistogramSnapshot::Merge(const HistogramSnapshot& other) {
  count += other.count;
  sum_us += other.sum_us;
  max_us = std::max(max_us, other.max_us);
  for (size_t i = 0; i < buckets.size(); ++i) buckets[i] += other.buckets[i];
}

}  // namespace vanillatiller
