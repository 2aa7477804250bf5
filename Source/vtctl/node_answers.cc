#include "vtctl/node_answers.h"

namespace vanillatiller {

std::vector<NodeAnswer> CollectStatus(const Invocation& invocation,
                                      const std::string& part) {
  const std::vector<std::string>& nodes = invocation.options.nodes;
  std::vector<NodeAnswer> answers(nodes.size());
  ForEachInParallel(nodes.size(), [&](size_t i) {
    NodeAnswer& answer = answers[i];
    answer.node = nodes[i];
    Reason reason;
    const auto text = invocation.client->GetStatus(nodes[i], part, &reason);
    if (!text) {
      answer.error = reason.text;
      return;
    }
    auto json = nlohmann::json::parse(*text, nullptr, false);
    if (json.is_discarded()) {
      answer.error = "the answer is not JSON";
      return;
    }
    answer.status = std::move(json);
  });
  return answers;
}

ExitStatus ReportMissing(const Invocation& invocation,
                         const std::vector<NodeAnswer>& answers) {
  ExitStatus status = ExitStatus::kOk;
  for (const NodeAnswer& answer : answers) {
    if (answer.is_answered()) continue;
    *invocation.error << answer.node << ": no answer: " << answer.error << '\n';
    status = ExitStatus::kUnreachable;
  }
  return status;
}

nlohmann::json MissingToJson(const std::vector<NodeAnswer>& answers) {
  nlohmann::json result = nlohmann::json::array();
  for (const NodeAnswer& answer : answers) {
    if (answer.is_answered()) continue;
    result.push_back({{"node", answer.node}, {"error", answer.error}});
  }
  return result;
}

std::string Cell(const nlohmann::json& object, const char* field) {
  if (!object.is_object() || !object.contains(field)) return "";
  const nlohmann::json& value = object[field];
  if (value.is_string()) return value.get<std::string>();
  if (value.is_boolean()) return value.get<bool>() ? "yes" : "no";
  return value.dump();
}

uint64_t Number(const nlohmann::json& object, const char* field) {
  if (!object.is_object() || !object.contains(field)) return 0;
  const nlohmann::json& value = object[field];
  return value.is_number_unsigned() ? value.get<uint64_t>() : 0;
}

std::string Text(const nlohmann::json& object, const char* field) {
  if (!object.is_object() || !object.contains(field)) return "";
  const nlohmann::json& value = object[field];
  return value.is_string() ? value.get<std::string>() : "";
}

}  // namespace vanillatiller
