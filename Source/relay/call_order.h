#ifndef VANILLATILLER_SOURCE_RELAY_CALL_ORDER_H_
#define VANILLATILLER_SOURCE_RELAY_CALL_ORDER_H_

#include "admission/admission.h"
#include "relay/relay.pb.h"

namespace vanillatiller {

// The work of one call, with its place in the order of those that wait for the
// same server.
//
// Load pattern: requests of several ranks need a service several times in turn,
// and the more important ones alone exceed what it can take. Requests that
// begin go by rank, and within a rank the same ones survive at each hop. Calls
// for requests that are under way go before those that begin, whatever their
// rank, but not before the most important rank: a request that is overtaken
// after its first calls fails, and the work of those calls is lost.
//
// The method of the work refers to `call`.
Work MakeWork(const relay::Call& call, WorkId id, TimePoint now);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_CALL_ORDER_H_
