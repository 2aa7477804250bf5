#ifndef VANILLATILLER_SOURCE_VTCTL_NODE_STATUS_H_
#define VANILLATILLER_SOURCE_VTCTL_NODE_STATUS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "vtctl/command.h"

namespace vanillatiller {

// One part of the status of one node.
struct NodeStatus {
  std::string address;
  // Null if the node did not answer, or not with valid JSON.
  nlohmann::json status;
  // Why there is no answer.
  std::string error;

  bool has_response() const { return !status.is_null(); }
};

// Asks all nodes of the command line for one part.
std::vector<NodeStatus> CollectStatus(const Invocation& invocation,
                                      const std::string& part);

// Prints the nodes that did not answer on standard error; kUnreachable if
// there is one, otherwise kOk.
ExitStatus ReportUnreachable(const Invocation& invocation,
                             const std::vector<NodeStatus>& statuses);

// [{"node", "error"}] of the nodes that did not answer.
nlohmann::json UnreachableToJson(const std::vector<NodeStatus>& statuses);

// Field of a status as text for a table; empty if it is missing.
std::string FormatField(const nlohmann::json& object, const char* field);

// Field of a status as a number; 0 if it is missing or no number.
uint64_t NumberField(const nlohmann::json& object, const char* field);

// Field of a status as a string; empty if it is missing or no string.
std::string StringField(const nlohmann::json& object, const char* field);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTCTL_NODE_STATUS_H_
