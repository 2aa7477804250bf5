#ifndef VANILLATILLER_SOURCE_RELAY_WINDOW_COUNTER_H_
#define VANILLATILLER_SOURCE_RELAY_WINDOW_COUNTER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <numeric>

#include "base/base.h"

namespace vanillatiller {

// Number of events in about the last four seconds.
class WindowCounter {
 public:
  void Add(TimePoint now) {
    Advance(now);
    ++m_counts[m_newest % kBuckets];
  }
  uint32_t Count(TimePoint now) {
    Advance(now);
    return std::accumulate(m_counts.begin(), m_counts.end(), uint32_t{0});
  }

 private:
  static constexpr size_t kBuckets = 16;
  static constexpr Duration kBucketLength = std::chrono::milliseconds(250);

  void Advance(TimePoint now) {
    const auto bucket =
        static_cast<uint64_t>(now.time_since_epoch() / kBucketLength);
    if (bucket - m_newest >= kBuckets) m_counts.fill(0);
    for (uint64_t i = m_newest + 1; i <= bucket && i - m_newest < kBuckets;
         ++i) {
      m_counts[i % kBuckets] = 0;
    }
    m_newest = bucket;
  }

  std::array<uint32_t, kBuckets> m_counts{};
  uint64_t m_newest = 0;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_WINDOW_COUNTER_H_
