#ifndef VANILLATILLER_SOURCE_NODE_CONTROL_MESSAGES_H_
#define VANILLATILLER_SOURCE_NODE_CONTROL_MESSAGES_H_

#include <span>

#include "membership/membership.h"
#include "peer.pb.h"
#include "spread/spread.h"

namespace vanillatiller {

// Conversions between the message types of membership and spread and their
// protobuf counterparts. Membership and ConfigSpread validate the values
// received from peers. A digest that is not 32 bytes long is converted to all
// zeros.

void ToWire(const Member& member, v1::MemberUpdate* message);
Member FromWire(const v1::MemberUpdate& message);

void ToWire(const ConfigStamp& stamp, bool confirmed,
            v1::ConfigVersion* message);
ConfigStamp FromWire(const v1::ConfigVersion& message);

void ToWire(const ExchangeMessage& exchange, v1::ExchangeRequest* message);
void ToWire(const ExchangeMessage& exchange, v1::ExchangeAnswer* message);
ExchangeMessage FromWire(const v1::ExchangeRequest& message);
ExchangeMessage FromWire(const v1::ExchangeAnswer& message);

void ToWire(const FetchAnswer& answer, v1::FetchConfigAnswer* message);
FetchAnswer FromWire(const v1::FetchConfigAnswer& message);

void ToWire(const FetchRequest& request, v1::FetchConfigRequest* message);
FetchRequest FromWire(const v1::FetchConfigRequest& message);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_CONTROL_MESSAGES_H_
