#ifndef VANILLATILLER_SOURCE_RELAY_CALL_RESULT_H_
#define VANILLATILLER_SOURCE_RELAY_CALL_RESULT_H_

#include <cstdint>

#include "base/base.h"
#include "eventio/eventio.h"
#include "relay/relay.pb.h"
#include "relay/server_notice.h"
#include "routing/routing.h"

namespace vanillatiller {

// Longest time for which a call can be pending.
inline constexpr Duration kMaxCallTime = std::chrono::hours(24);

// Result of one attempt. Outcome::kComplete means that the server answered,
// with any status; Outcome::kNotRun is set only if it is proved that the call
// did not run.
struct CallResult {
  Outcome outcome = Outcome::kUnknown;
  // Set for all outcomes except kComplete.
  RefusalCode code = RefusalCode::kNone;
  // Set for kComplete.
  HttpResponse response;
  // Load of the node that answered; valid if `has_load`.
  bool has_load = false;
  PeerLoad load;
  // For refusals: expected wait for a slot at that node.
  Duration expected_wait{};
  // A nested call of this call was refused by an overloaded service, so a retry
  // on another server would fail in the same way.
  bool overload_below = false;
  // Valid if `has_notice`, which is set on the server's own node for every
  // answer that is known to be the server's, whatever its outcome.
  bool has_notice = false;
  ServerNotice notice;
};

// Moves the body out of `result`.
relay::Answer EncodeAnswer(uint64_t id, CallResult* result);
// Moves the body out of `answer`.
CallResult DecodeAnswer(relay::Answer* answer);
// Time left of a call.
Duration TimeLeft(const relay::Call& call);
// Decodes a duration sent by another node, at most kMaxCallTime: the sender may
// be faulty, and larger values would overflow the clock.
Duration ClampedMicroseconds(uint64_t us);
relay::Load EncodeLoad(const PeerLoad& load);
PeerLoad DecodeLoad(const relay::Load& load);

void EncodeHeaders(const HttpHeaders& headers,
                   google::protobuf::RepeatedPtrField<relay::Header>* encoded);
HttpHeaders DecodeHeaders(
    const google::protobuf::RepeatedPtrField<relay::Header>& encoded);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_CALL_RESULT_H_
