#ifndef VANILLATILLER_SOURCE_RETRY_RETRY_H_
#define VANILLATILLER_SOURCE_RETRY_RETRY_H_

// Public header of the retry library: a bound on the attempts of a request over
// its whole call chain, a retry budget for each edge, and the retry policy.

#include "retry/chain_budget.h"   // IWYU pragma: export
#include "retry/edge_budget.h"    // IWYU pragma: export
#include "retry/retry_policy.h"   // IWYU pragma: export
#include "retry/window_budget.h"  // IWYU pragma: export

#endif  // VANILLATILLER_SOURCE_RETRY_RETRY_H_
