#include "vtctl/node_status.h"

namespace vanillatiller {

std::vector<NodeStatus> CollectStatus(const Invocation& invocation,
                                      const std::string& part) {
  const std::vector<std::string>& addresses = invocation.options.nodes;
  std::vector<NodeStatus> statuses(addresses.size());
  ForEachInParallel(addresses.size(), [&](size_t i) {
    NodeStatus& node = statuses[i];
    node.address = addresses[i];
    Reason reason;
    const auto text = invocation.client->GetStatus(addresses[i], part, &reason);
    if (!text) {
      node.error = reason.text;
      return;
    }
    auto json = nlohmann::json::parse(*text, nullptr, false);
    if (json.is_discarded()) {
      node.error = "the answer is not JSON";
      return;
    }
    node.status = std::move(json);
  });
  return statuses;
}

ExitStatus ReportUnreachable(const Invocation& invocation,
                             const std::vector<NodeStatus>& statuses) {
  ExitStatus status = ExitStatus::kOk;
  for (const NodeStatus& node : statuses) {
    if (node.has_response()) continue;
    *invocation.error << node.address << ": no answer: " << node.error << '\n';
    status = ExitStatus::kUnreachable;
  }
  return status;
}

nlohmann::json UnreachableToJson(const std::vector<NodeStatus>& statuses) {
  nlohmann::json result = nlohmann::json::array();
  for (const NodeStatus& node : statuses) {
    if (node.has_response()) continue;
    result.push_back({{"node", node.address}, {"error", node.error}});
  }
  return result;
}

std::string FormatField(const nlohmann::json& object, const char* field) {
  if (!object.is_object() || !object.contains(field)) return "";
  const nlohmann::json& value = object[field];
  if (value.is_string()) return value.get<std::string>();
  if (value.is_boolean()) return value.get<bool>() ? "yes" : "no";
  return value.dump();
}

uint64_t NumberField(const nlohmann::json& object, const char* field) {
  if (!object.is_object() || !object.contains(field)) return 0;
  const nlohmann::json& value = object[field];
  return value.is_number_unsigned() ? value.get<uint64_t>() : 0;
}

std::string StringField(const nlohmann::json& object, const char* field) {
  if (!object.is_object() || !object.contains(field)) return "";
  const nlohmann::json& value = object[field];
  return value.is_string() ? value.get<std::string>() : "";
}

}  // namespace vanillatiller
