#ifndef VANILLATILLER_SOURCE_RELAY_SERVER_NOTICE_H_
#define VANILLATILLER_SOURCE_RELAY_SERVER_NOTICE_H_

#include <optional>
#include <string>

#include "eventio/eventio.h"
#include "relay/protocol_names.h"

namespace vanillatiller {

// What a backend server says of itself in one answer.
struct ServerNotice {
  // Calls a second that it takes from all nodes together; nullopt if the answer
  // names no limit.
  std::optional<double> rate_limit;
  bool is_leaving = false;
  // The answer names a limit that cannot be read, and so says nothing about it.
  bool is_unreadable = false;
  // The beginning of that value, for the log.
  std::string unreadable;
};

// Reads the fields of an answer. A rate limit is a finite decimal number of at
// least 0.
ServerNotice ReadServerNotice(const HttpHeaders& headers,
                              const ProtocolNames& names);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_SERVER_NOTICE_H_
