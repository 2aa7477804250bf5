#ifndef VANILLATILLER_SOURCE_RELAY_SERVER_ANSWER_H_
#define VANILLATILLER_SOURCE_RELAY_SERVER_ANSWER_H_

#include "eventio/eventio.h"
#include "relay/call_result.h"
#include "relay/protocol_names.h"

namespace vanillatiller {

// Judges what an exchange with a backend server proves about the call.
//
// Only an answer that the server marks so, or that names another server, proves
// that the call did not run. A success needs the server's digest and its
// unencoded body; anything else may be the bytes of another request.
CallResult ClassifyExchange(ExchangeResult exchange,
                            const ProtocolNames& names);

// The server refused the call because it had no room.
bool IsShed(const CallResult& result);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_SERVER_ANSWER_H_
