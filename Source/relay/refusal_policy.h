#ifndef VANILLATILLER_SOURCE_RELAY_REFUSAL_POLICY_H_
#define VANILLATILLER_SOURCE_RELAY_REFUSAL_POLICY_H_

#include "base/base.h"

namespace vanillatiller {

// When a refused caller is told to come back.
//
// Load pattern: a burst is refused at once, and all refused callers return
// together. They are told the time in which the queue that turned them away
// drains, spread over as much again, so that they return one after the other.
// A caller that has little time left is told to come back while a second try
// can still be answered.
Duration RetryAfter(Duration expected_wait, Duration time_left, double draw);

// True for refusals that another server of the service would give as well.
bool IsOverload(RefusalCode code);

// Standing of a request in WindowBudget. Those that are under way come first,
// as what was done for them would be lost; among others the same ones are
// preferred at each hop.
double RetryPriority(bool is_in_progress, uint32_t shed_hash);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_REFUSAL_POLICY_H_
