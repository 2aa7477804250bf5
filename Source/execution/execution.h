#ifndef VANILLATILLER_SOURCE_EXECUTION_EXECUTION_H_
#define VANILLATILLER_SOURCE_EXECUTION_EXECUTION_H_

// Public header of the execution library, which provides at-most-once
// execution: tickets for the non-idempotent requests of callers, and the
// callee's ledger of calls. A fence on the ledger proves that a call has not
// run.

#include "execution/execution_ledger.h"  // IWYU pragma: export
#include "execution/peer_clock.h"        // IWYU pragma: export
#include "execution/stored_answer.h"     // IWYU pragma: export
#include "execution/ticket_issuer.h"     // IWYU pragma: export
#include "execution/ticket_records.h"    // IWYU pragma: export

#endif  // VANILLATILLER_SOURCE_EXECUTION_EXECUTION_H_
