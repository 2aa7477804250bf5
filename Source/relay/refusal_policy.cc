#include "relay/refusal_policy.h"

#include <algorithm>

namespace vanillatiller {
namespace {

// Bounds of the retry delay. A shorter delay would find the same queue.
constexpr Duration kMinWait = std::chrono::milliseconds(100);
constexpr Duration kMaxWait = std::chrono::seconds(2);
// Divisor of the latency objective that gives the delay without a queue, and
// its lower bound.
constexpr int kObjectiveDivisor = 10;
constexpr Duration kMinWaitWithoutQueue = std::chrono::milliseconds(10);
// Divisor of the remaining time that gives the maximum delay; the second
// attempt needs the rest.
constexpr int kTimeLeftDivisor = 4;

}  // namespace

Duration RetryAfter(Duration expected_wait, Duration time_left,
                    Duration objective, double draw) {
  Duration base = std::clamp(expected_wait, kMinWait, kMaxWait);
  if (expected_wait <= Duration::zero()) {
    base = std::clamp(objective / kObjectiveDivisor, kMinWaitWithoutQueue,
                      kMinWait);
  }
  const auto spread = std::chrono::duration_cast<Duration>(base * draw);
  const Duration most = std::max(kMinWait, time_left / kTimeLeftDivisor);
  return std::min(base + spread, most);
}

bool IsOverload(RefusalCode code) {
  return code == RefusalCode::kOverload ||
         code == RefusalCode::kBelowThreshold ||
         code == RefusalCode::kRateLimited ||
         code == RefusalCode::kBackendRefused ||
         code == RefusalCode::kDeadlineExceeded;
}

double RetryPriority(uint32_t rank, bool is_in_progress, uint32_t shed_hash) {
  if (rank == 0) return 0;
  const double place = static_cast<double>(shed_hash) / UINT32_MAX;
  return is_in_progress ? place / 2 : (1 + place) / 2;
}

}  // namespace vanillatiller
