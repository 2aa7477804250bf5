#ifndef VANILLATILLER_SOURCE_RELAY_PROTOCOL_NAMES_H_
#define VANILLATILLER_SOURCE_RELAY_PROTOCOL_NAMES_H_

#include <string>

namespace vanillatiller {

// Names of the protocol header fields used between callers, backend servers and
// nodes. Provided by the platform adapter.
struct ProtocolNames {
  // Authority of a request.
  std::string authority;
  // ID of one attempt of a caller; echoed by servers.
  std::string request_id;
  // Remaining time for which the sender waits for the response, in
  // milliseconds.
  std::string time_left_ms;
  // Digest with which a server authenticates its response.
  std::string answer_digest;
  // ID of the only server that may run the request.
  std::string target_server;
  // Present in a server's response if the request was not run.
  std::string not_run;
  // Seconds after which a refused caller may retry.
  std::string retry_after;
  // Service on whose VM the request originated.
  std::string calling_service;
  // In a server's response: calls a second that it takes from all nodes
  // together.
  std::string server_rate_limit;
  // In a server's response: present with the value 1 if the server is leaving.
  std::string server_leaving;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_PROTOCOL_NAMES_H_
