#ifndef VANILLATILLER_SOURCE_METRICS_LATENCY_ACCUMULATOR_H_
#define VANILLATILLER_SOURCE_METRICS_LATENCY_ACCUMULATOR_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include "metrics/histogram.h"

namespace vanillatiller {

using BucketCounts = std::array<uint64_t, kHistogramBuckets>;

// Counts samples by bucket. Boost's own density accumulator derives its bins
// from the first samples, so the histograms of two nodes could not be added.
class BucketAccumulator : public boost::accumulators::accumulator_base {
 public:
  using result_type = const BucketCounts&;

  template <typename Arguments>
  explicit BucketAccumulator(const Arguments& /*arguments*/) {}

  template <typename Arguments>
  void operator()(const Arguments& arguments) {
    const uint64_t us = arguments[boost::accumulators::sample];
    ++m_counts[HistogramBucket(std::chrono::microseconds(us))];
  }

  result_type result(boost::accumulators::dont_care /*arguments*/) const {
    return m_counts;
  }

 private:
  BucketCounts m_counts{};
};

// The feature that stands for BucketAccumulator in a set of statistics.
struct BucketFeature : boost::accumulators::depends_on<> {
  using impl = boost::mpl::always<BucketAccumulator>;
};

// Statistics of a latency in microseconds, in fixed memory. Not thread-safe.
class LatencyAccumulator {
 public:
  void Record(Duration duration) { m_set(ToMicroseconds(duration)); }

  HistogramSnapshot Snapshot() const {
    namespace acc = boost::accumulators;
    HistogramSnapshot snapshot;
    snapshot.count = acc::count(m_set);
    snapshot.sum_us = acc::sum(m_set);
    if (snapshot.count != 0) snapshot.max_us = (acc::max)(m_set);
    snapshot.buckets = acc::extract_result<BucketFeature>(m_set);
    return snapshot;
  }

 private:
  boost::accumulators::accumulator_set<
      uint64_t,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::sum,
                                 boost::accumulators::tag::max, BucketFeature>>
      m_set;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_METRICS_LATENCY_ACCUMULATOR_H_
