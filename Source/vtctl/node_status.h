#ifndef VANILLATILLER_SOURCE_VTCTL_NODE_STATUS_H_
#define VANILLATILLER_SOURCE_VTCTL_NODE_STATUS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "vtctl/command.h"

namespace vanillatiller {

// One part of the status of a node.
struct NodeStatus {
  std::string address;
  // Null if the node did not answer or the answer was not valid JSON.
  nlohmann::json status;
  // Why there is no answer.
  std::string error;

  bool has_response() const { return !status.is_null(); }
};

// Requests one part of the status from all nodes given on the command line.
std::vector<NodeStatus> CollectStatus(const Invocation& invocation,
                                      const std::string& part);

// Prints the nodes that did not answer on standard error. Returns kUnreachable
// if there are any, otherwise kOk.
ExitStatus ReportUnreachable(const Invocation& invocation,
                             const std::vector<NodeStatus>& statuses);

// Returns [{"node", "error"}] for the nodes that did not answer.
nlohmann::json UnreachableToJson(const std::vector<NodeStatus>& statuses);

// Returns a field formatted for a table; empty if it is missing.
std::string FormatField(const nlohmann::json& object, const char* field);

// Returns an unsigned number; 0 if the field is missing or of another type.
uint64_t NumberField(const nlohmann::json& object, const char* field);

// Returns a string; empty if the field is missing or of another type.
std::string StringField(const nlohmann::json& object, const char* field);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTCTL_NODE_STATUS_H_
