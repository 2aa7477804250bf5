#ifndef VANILLATILLER_SOURCE_RETRY_WINDOW_BUDGET_H_
#define VANILLATILLER_SOURCE_RETRY_WINDOW_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/base.h"

namespace vanillatiller {

struct WindowBudgetSettings {
  // Maximum ratio of retries to requests over any window.
  double ratio = 0.1;
  // Retries allowed in each window regardless of the number of requests.
  double burst = 1;
  Duration window = std::chrono::seconds(10);
};

// Retry budget of one service over a sliding window. Not thread-safe.
//
// Retries are granted by priority, not in order of arrival. If requests call a
// service several times in sequence and it refuses half of the calls for
// seconds, first-come retries go to requests that fail at their next call. The
// required priority rises as the budget runs out, so that the same few requests
// get every retry they need. The limit also counts the requests of preceding
// windows, because failures reduce the current traffic.
class WindowBudget {
 public:
  WindowBudget(const WindowBudgetSettings& settings, TimePoint now);

  // Counts a request to the service that is not a retry.
  void RecordRequest(TimePoint now);
  // Counts a retry that was not granted by TrySpend(): a call that a server
  // makes while it processes a retried call.
  void RecordRetry(TimePoint now);
  // Takes a retry; returns false if none is available at this priority.
  // `priority` ranges from 0, the highest, to 1.
  bool TrySpend(double priority, TimePoint now);

 private:
  struct Bucket {
    uint32_t requests = 0;
    uint32_t retries = 0;
  };

  static constexpr size_t kBucketsInWindow = 20;
  // Two windows plus the current bucket.
  static constexpr size_t kBuckets = 2 * kBucketsInWindow + 1;

  void Advance(TimePoint now);
  Bucket& Newest() { return m_buckets[m_newest]; }
  // Sums `field` over the buckets from `newest` to `oldest` buckets ago.
  uint32_t Sum(uint32_t Bucket::*field, size_t newest, size_t oldest) const;
  // Number of requests, as far as known, to which the ratio is applied for a
  // window that began in the bucket `age` buckets ago.
  uint32_t ReferenceRequests(size_t age) const;
  // True if one more retry stays within the limit in every window that contains
  // it.
  bool IsWithinLimit() const;

  const WindowBudgetSettings m_settings;
  const Duration m_bucket_length;
  std::array<Bucket, kBuckets> m_buckets{};
  size_t m_newest = 0;
  TimePoint m_newest_start;
  // Retries that are currently available.
  double m_tokens;
  TimePoint m_refilled_at;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RETRY_WINDOW_BUDGET_H_
