#ifndef VANILLATILLER_SOURCE_EXECUTION_EXECUTION_H_
#define VANILLATILLER_SOURCE_EXECUTION_EXECUTION_H_

// Public header of the execution library: tickets for callers' non-idempotent
// requests and the callee's ledger of calls, which together let a request run
// at most once and prove when it has not run.

#include "execution/execution_ledger.h"  // IWYU pragma: export
#include "execution/peer_clock.h"        // IWYU pragma: export
#include "execution/stored_answer.h"     // IWYU pragma: export
#include "execution/ticket_issuer.h"     // IWYU pragma: export
#include "execution/ticket_records.h"    // IWYU pragma: export

#endif  // VANILLATILLER_SOURCE_EXECUTION_EXECUTION_H_
