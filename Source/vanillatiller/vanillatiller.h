#ifndef VANILLATILLER_SOURCE_VANILLATILLER_VANILLATILLER_H_
#define VANILLATILLER_SOURCE_VANILLATILLER_VANILLATILLER_H_

// Public header of libvanillatiller: the decisions of an overload control
// layer, for programs that embed them.
//
// Nothing here does I/O, starts a thread or reads a clock. The embedding
// program passes events and the present time, and carries out the actions that
// it gets back. Tests/embedding_test.cc shows one call from routing to answer.

#include "admission/admission.h"      // IWYU pragma: export
#include "base/base.h"                // IWYU pragma: export
#include "diagnosis/diagnosis.h"      // IWYU pragma: export
#include "execution/execution.h"      // IWYU pragma: export
#include "fleetconfig/fleetconfig.h"  // IWYU pragma: export
#include "membership/membership.h"    // IWYU pragma: export
#include "retry/retry.h"              // IWYU pragma: export
#include "routing/routing.h"          // IWYU pragma: export
#include "spread/spread.h"            // IWYU pragma: export

#endif  // VANILLATILLER_SOURCE_VANILLATILLER_VANILLATILLER_H_
