#ifndef VANILLATILLER_SOURCE_RELAY_REFUSAL_POLICY_H_
#define VANILLATILLER_SOURCE_RELAY_REFUSAL_POLICY_H_

#include "base/base.h"

namespace vanillatiller {

// Computes the retry delay sent to a refused caller.
//
// Load pattern: a burst is refused at once, and all refused callers retry at
// the same moment. The delay is the expected drain time of the queue that
// refused the call, plus a random jitter of up to the same length, so that
// retries are spread out. It is capped for callers with little time left, so
// that a second attempt can still be answered. Without a queue, a server that
// refuses some requests may accept the next one, so the delay is then a small
// part of the latency objective.
//
// `draw` is a uniform random number in [0, 1).
Duration RetryAfter(Duration expected_wait, Duration time_left,
                    Duration objective, double draw);

// Returns true for refusals that are caused by overload, which another server
// of the service would give as well.
bool IsOverload(RefusalCode code);

// Returns the value by which WindowBudget::TrySpend() orders retries; lower
// values are preferred. The most important rank comes first. Requests in
// progress follow, because the work already done for them would be wasted.
// Otherwise the shed hash decides, so that every hop prefers the same requests.
//
// Load pattern: a service refuses half of its calls. Requests of the most
// important rank call it once, others several times in sequence; a retry
// completes one of the former far more often than one of the latter.
double RetryPriority(uint32_t rank, bool is_in_progress, uint32_t shed_hash);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_REFUSAL_POLICY_H_
