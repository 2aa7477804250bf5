#ifndef VANILLATILLER_SOURCE_RELAY_CALL_ORDER_H_
#define VANILLATILLER_SOURCE_RELAY_CALL_ORDER_H_

#include "admission/admission.h"
#include "relay/relay.pb.h"

namespace vanillatiller {

// Builds the admission work item of a call, including its queue priority.
//
// Load pattern: requests of several ranks each call a service several times in
// sequence, and the more important ranks alone exceed its capacity. New
// requests are ordered by rank and, within a rank, by shed hash, so that every
// hop keeps the same requests. Calls of requests that are already in progress
// precede new requests of any rank except the most important one: if new
// requests overtook them, they would fail and the work of their earlier calls
// would be wasted.
//
// The returned Work::method refers to `call`, which must outlive it.
Work MakeWork(const relay::Call& call, WorkId id, TimePoint now);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_CALL_ORDER_H_
