#ifndef VANILLATILLER_SOURCE_BASE_BASE_H_
#define VANILLATILLER_SOURCE_BASE_BASE_H_

// Public header of the base library: time, identities, reasons, findings and
// hashing, shared by all other libraries.

#include "base/call_context.h"  // IWYU pragma: export
#include "base/clock.h"         // IWYU pragma: export
#include "base/finding.h"       // IWYU pragma: export
#include "base/hash.h"          // IWYU pragma: export
#include "base/http_status.h"   // IWYU pragma: export
#include "base/identifiers.h"   // IWYU pragma: export
#include "base/log_line.h"      // IWYU pragma: export
#include "base/reason.h"        // IWYU pragma: export

#endif  // VANILLATILLER_SOURCE_BASE_BASE_H_
