#ifndef VANILLATILLER_SOURCE_RELAY_CALL_RESULT_H_
#define VANILLATILLER_SOURCE_RELAY_CALL_RESULT_H_

#include <cstdint>

#include "base/base.h"
#include "eventio/eventio.h"
#include "relay/relay.pb.h"
#include "routing/routing.h"

namespace vanillatiller {

// What became of one attempt. Outcome::kComplete: the server answered,
// whatever its status. Outcome::kNotRun is a proof.
struct CallResult {
  Outcome outcome = Outcome::kUnknown;
  // For all outcomes but kComplete.
  RefusalCode code = RefusalCode::kNone;
  // For kComplete.
  HttpResponse response;
  // Load of the answering node, if it answered.
  bool has_load = false;
  PeerLoad load;
  // Expected wait for a slot there, for refusals.
  Duration expected_wait{};
  // A call that the server made for this one was turned away by a service that
  // is overloaded: another server would fare alike.
  bool overload_below = false;
};

relay::Answer EncodeAnswer(uint64_t id, const CallResult& result);
CallResult DecodeAnswer(const relay::Answer& answer);
relay::Load EncodeLoad(const PeerLoad& load);
PeerLoad DecodeLoad(const relay::Load& load);

void EncodeHeaders(const HttpHeaders& headers,
                   google::protobuf::RepeatedPtrField<relay::Header>* encoded);
HttpHeaders DecodeHeaders(
    const google::protobuf::RepeatedPtrField<relay::Header>& encoded);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_CALL_RESULT_H_
