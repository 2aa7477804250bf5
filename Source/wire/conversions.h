#ifndef VANILLATILLER_SOURCE_WIRE_CONVERSIONS_H_
#define VANILLATILLER_SOURCE_WIRE_CONVERSIONS_H_

#include <optional>

#include "base/base.h"
#include "peer.pb.h"

namespace vanillatiller {

// Fills `message` from `context`; the deadline travels as the time left.
void ToWire(const CallContext& context, TimePoint now,
            v1::CallContext* message);

// Checks and converts a received context. Gives nullopt and a reason
// (kBadRequest, kDepthExceeded) for identities of zero, empty or oversized
// names and values out of range. The deadline is counted from `now`, and is
// never later than the one on the callee's clock.
std::optional<CallContext> FromWire(const v1::CallContext& message,
                                    TimePoint now, Reason* reason);

// A reading of a clock, in microseconds; values too large are cut off.
TimePoint ClockFromWire(uint64_t microseconds);

v1::Outcome ToWire(Outcome outcome);
// Outcomes unknown to this version become kUnknown.
Outcome FromWire(v1::Outcome outcome);

// Codes unknown to this version become kBadRequest.
RefusalCode RefusalFromWire(uint32_t code);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_WIRE_CONVERSIONS_H_
