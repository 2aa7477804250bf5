#ifndef VANILLATILLER_SOURCE_VTCTL_NODE_ANSWERS_H_
#define VANILLATILLER_SOURCE_VTCTL_NODE_ANSWERS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "vtctl/command.h"

namespace vanillatiller {

// One part of the status of one node.
struct NodeAnswer {
  std::string node;
  // Null if the node gave no answer, or none in JSON.
  nlohmann::json status;
  // Why there is no answer.
  std::string error;

  bool is_answered() const { return !status.is_null(); }
};

// Asks all nodes of the command line for one part.
std::vector<NodeAnswer> CollectStatus(const Invocation& invocation,
                                      const std::string& part);

// Prints the nodes that gave no answer on standard error; kUnreachable if
// there is one, otherwise kOk.
ExitStatus ReportMissing(const Invocation& invocation,
                         const std::vector<NodeAnswer>& answers);

// [{"node", "error"}] of the nodes that gave no answer.
nlohmann::json MissingToJson(const std::vector<NodeAnswer>& answers);

// Field of a status as text for a table; empty if it is missing.
std::string Cell(const nlohmann::json& object, const char* field);

// Field of a status as a number; 0 if it is missing or no number.
uint64_t Number(const nlohmann::json& object, const char* field);

// Field of a status as a string; empty if it is missing or no string.
std::string Text(const nlohmann::json& object, const char* field);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTCTL_NODE_ANSWERS_H_
