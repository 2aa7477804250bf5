#ifndef VANILLATILLER_SOURCE_BASE_CALL_CONTEXT_H_
#define VANILLATILLER_SOURCE_BASE_CALL_CONTEXT_H_

#include <cstdint>
#include <string>

#include "base/clock.h"
#include "base/identifiers.h"

namespace vanillatiller {

// What a node knows of one attempt of one call. Only nodes create and change
// it; a caller's headers never set rank, depth or attempts.
struct CallContext {
  RequestId request;
  CallId call;
  std::string tenant;
  std::string service;
  std::string method;
  // Order of the rank; 0 is the most important.
  uint32_t rank = 0;
  // 0 for the call that the entry node makes, one more at each hop.
  uint32_t depth = 0;
  TimePoint deadline;
  // Extra attempts that this attempt and all calls below it may spend.
  uint32_t extra_attempts = 0;
  // True if this call and every call above it are idempotent.
  bool idempotent = false;
  // The callee's incarnation as the caller knows it; 0 means unknown.
  Incarnation callee_incarnation = 0;
  // The deadline on the callee's own clock; the epoch means unknown.
  TimePoint not_after;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_BASE_CALL_CONTEXT_H_
