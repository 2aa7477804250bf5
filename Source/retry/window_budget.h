#ifndef VANILLATILLER_SOURCE_RETRY_WINDOW_BUDGET_H_
#define VANILLATILLER_SOURCE_RETRY_WINDOW_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/base.h"

namespace vanillatiller {

struct WindowBudgetSettings {
  // Retries for each request, over any window.
  double ratio = 0.1;
  // Retries that need no request, once in each window.
  double burst = 1;
  Duration window = std::chrono::seconds(10);
};

// Retry budget of one service over a sliding window. Not thread-safe.
//
// Load pattern: a service that many requests need several times in turn refuses
// half of its calls for seconds. Retries that are handed out in the order of
// arrival help requests that then fail at their next call. So a retry names its
// standing, and the fewer retries are left, the better a standing has to be:
// the same few requests get all that they need. The window pays with the
// requests of the windows before it, as failures themselves reduce the traffic.
class WindowBudget {
 public:
  WindowBudget(const WindowBudgetSettings& settings, TimePoint now);

  // A request to the service that is no repeat.
  void RecordRequest(TimePoint now);
  // A repeat that was made elsewhere: a server that works on a repeated call
  // calls the service for it.
  void RecordRetry(TimePoint now);
  // Takes a retry; false if there is none for this standing. `standing` is from
  // 0, served first, to 1.
  bool TrySpend(double priority, TimePoint now);

 private:
  struct Bucket {
    uint32_t requests = 0;
    uint32_t retries = 0;
  };

  // Parts of one window.
  static constexpr size_t kBucketsInWindow = 20;
  // Two windows, and the bucket that is being filled.
  static constexpr size_t kBuckets = 2 * kBucketsInWindow + 1;

  void Advance(TimePoint now);
  Bucket& Newest() { return m_buckets[m_newest]; }
  // Sum over the buckets from `newest` to `oldest` buckets ago.
  uint32_t Sum(uint32_t Bucket::*field, size_t newest, size_t oldest) const;
  // Requests that pay for the retries of a window that began in the bucket
  // `age` buckets ago, as far as they are known by now.
  uint32_t ReferenceRequests(size_t age) const;
  // True if one more retry keeps the bound in every window that contains it.
  bool IsWithinLimit() const;

  const WindowBudgetSettings m_settings;
  const Duration m_bucket_length;
  std::array<Bucket, kBuckets> m_buckets{};
  size_t m_newest = 0;
  TimePoint m_newest_start;
  // Retries that may be made at once.
  double m_tokens;
  TimePoint m_refilled_at;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RETRY_WINDOW_BUDGET_H_
