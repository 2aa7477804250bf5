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
// that a second attempt can still be answered.
//
// `draw` is a uniform random number in [0, 1).
Duration RetryAfter(Duration expected_wait, Duration time_left, double draw);

// Returns true for refusals that are caused by overload, which another server
// of the service would give as well.
bool IsOverload(RefusalCode code);

// Returns the value by which WindowBudget::TrySpend() orders retries; lower
// values are preferred. Requests in progress come first, because the work
// already done for them would be wasted. Otherwise the shed hash decides, so
// that every hop prefers the same requests.
double RetryPriority(bool is_in_progress, uint32_t shed_hash);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_REFUSAL_POLICY_H_
