#ifndef VANILLATILLER_SOURCE_RELAY_CALL_MESSAGE_H_
#define VANILLATILLER_SOURCE_RELAY_CALL_MESSAGE_H_

#include <utility>

#include "eventio/eventio.h"
#include "relay/relay.pb.h"

namespace vanillatiller {

// A call and its body, which is shared by all who keep or send it.
struct CallMessage {
  // Without the body.
  relay::Call call;
  // Null if there is none.
  HeldBytesPtr body;
};

// Moves the call out of a frame that was received.
inline CallMessage TakeCall(relay::Frame* frame, ByteBudget* memory) {
  CallMessage message;
  message.call = std::move(*frame->mutable_call());
  std::string body = std::move(*message.call.mutable_body());
  message.call.clear_body();
  if (!body.empty()) {
    message.body = Hold(std::move(body), memory,
                        body.size() > ByteBudget::kOrdinaryBytes
                            ? ByteUse::kLargeRequest
                            : ByteUse::kOrdinaryRequest);
  }
  return message;
}

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_CALL_MESSAGE_H_
