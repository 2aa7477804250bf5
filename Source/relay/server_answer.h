#ifndef VANILLATILLER_SOURCE_RELAY_SERVER_ANSWER_H_
#define VANILLATILLER_SOURCE_RELAY_SERVER_ANSWER_H_

#include "eventio/eventio.h"
#include "relay/call_result.h"
#include "relay/protocol_names.h"

namespace vanillatiller {

// Determines what an exchange with a backend server proves about the call.
//
// A call is proved not to have run if the request was not sent, or if the
// response carries the not-run field or status 421 (Misdirected Request). A
// successful response must carry the server's digest and have no content
// encoding; otherwise its bytes may belong to another request.
CallResult ClassifyExchange(ExchangeResult exchange,
                            const ProtocolNames& names);

// Returns true if the server refused the call because it had no capacity.
bool IsShed(const CallResult& result);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_SERVER_ANSWER_H_
