#include <map>
#include <set>
#include <tuple>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "metrics/metrics.h"
#include "vtctl/commands.h"
#include "vtctl/node_status.h"
#include "vtctl/text_table.h"

namespace vanillatiller {
namespace {

constexpr double kMicrosecondsPerMillisecond = 1000;

// Label set of a histogram. The order of the members is the sort order of the
// table.
struct HistogramLabels {
  std::string service;
  std::string tenant;
  std::string rank;

  auto operator<=>(const HistogramLabels&) const = default;
};

// Histograms of one label set, summed over the nodes.
struct TimeHistograms {
  HistogramSnapshot latency;
  HistogramSnapshot queue_wait;
  HistogramSnapshot added;
};

HistogramSnapshot HistogramFromJson(const nlohmann::json& parent,
                                    const char* field) {
  HistogramSnapshot result;
  if (!parent.is_object() || !parent.contains(field)) return result;
  const nlohmann::json& json = parent[field];
  result.count = NumberField(json, "count");
  result.sum_us = NumberField(json, "sum_us");
  result.max_us = NumberField(json, "max_us");
  if (!json.contains("buckets") || !json["buckets"].is_array()) return result;
  for (const nlohmann::json& bucket : json["buckets"]) {
    if (!bucket.is_array() || bucket.size() != 2 ||
        !bucket[0].is_number_unsigned() || !bucket[1].is_number_unsigned() ||
        bucket[0].get<size_t>() >= kHistogramBuckets) {
      continue;
    }
    result.buckets[bucket[0].get<size_t>()] = bucket[1].get<uint64_t>();
  }
  return result;
}

std::string Milliseconds(uint64_t us) {
  return absl::StrFormat("%.2f",
                         static_cast<double>(us) / kMicrosecondsPerMillisecond);
}

void AddHistogramRow(const HistogramLabels& labels, std::string_view time_name,
                     const HistogramSnapshot& histogram, TextTable* table) {
  table->AddRow({labels.service, labels.tenant, labels.rank,
                 std::string(time_name), absl::StrCat(histogram.count),
                 Milliseconds(histogram.QuantileUs(0.5)),
                 Milliseconds(histogram.QuantileUs(0.9)),
                 Milliseconds(histogram.QuantileUs(0.99)),
                 Milliseconds(histogram.max_us)});
}

nlohmann::json QuantilesToJson(const HistogramSnapshot& histogram) {
  return {{"count", histogram.count},
          {"p50_us", histogram.QuantileUs(0.5)},
          {"p90_us", histogram.QuantileUs(0.9)},
          {"p99_us", histogram.QuantileUs(0.99)},
          {"max_us", histogram.max_us}};
}

void PrintJson(const Invocation& invocation, const nlohmann::json& json) {
  *invocation.out << json.dump(2) << '\n';
}

// State of one member as reported by the queried nodes.
struct MemberReports {
  // Entry from the answer of one of the nodes.
  const nlohmann::json* member = nullptr;
  std::map<std::string, size_t> states;
  size_t seen_by = 0;
};

std::map<std::string, MemberReports> MergeMembers(
    const std::vector<NodeStatus>& statuses) {
  std::map<std::string, MemberReports> merged;
  for (const NodeStatus& node : statuses) {
    if (!node.status.is_array()) continue;
    for (const nlohmann::json& member : node.status) {
      MemberReports& reports = merged[StringField(member, "vm")];
      reports.member = &member;
      ++reports.states[StringField(member, "state")];
      ++reports.seen_by;
    }
  }
  return merged;
}

std::string DescribeStates(const MemberReports& reports,
                           size_t response_count) {
  std::vector<std::string> parts;
  for (const auto& [state, count] : reports.states) {
    parts.push_back(absl::StrCat(state, " (", count, ")"));
  }
  if (reports.seen_by < response_count) {
    parts.push_back(
        absl::StrCat("unknown (", response_count - reports.seen_by, ")"));
  }
  if (parts.size() == 1) return reports.states.begin()->first;
  return absl::StrJoin(parts, ", ");
}

bool IsInconsistent(const MemberReports& reports, size_t response_count) {
  return reports.states.size() != 1 || reports.seen_by != response_count;
}

}  // namespace

ExitStatus ShowStatus(const Invocation& invocation) {
  const auto statuses = CollectStatus(invocation, "summary");
  if (invocation.options.json) {
    nlohmann::json nodes = nlohmann::json::array();
    for (const NodeStatus& node : statuses) {
      if (!node.has_response()) continue;
      nodes.push_back(node.status);
      nodes.back()["node"] = node.address;
    }
    PrintJson(invocation,
              {{"nodes", nodes}, {"unreachable", UnreachableToJson(statuses)}});
    return ReportUnreachable(invocation, statuses);
  }
  TextTable table({"NODE", "VM", "SERVICE", "CONFIG", "CONFIRMED", "IN-FLIGHT",
                   "QUEUED", "LIMIT", "COMPLETE", "NOT-RUN", "UNKNOWN",
                   "LEAVING"});
  for (const NodeStatus& node : statuses) {
    const nlohmann::json& status = node.status;
    if (!node.has_response()) continue;
    table.AddRow(
        {node.address, FormatField(status, "vm"),
         FormatField(status, "service"), FormatField(status, "config_version"),
         FormatField(status, "config_confirmed"),
         FormatField(status, "in_flight"), FormatField(status, "queued"),
         FormatField(status, "concurrency_limit"),
         FormatField(status, "complete"), FormatField(status, "not_run"),
         FormatField(status, "unknown"), FormatField(status, "leaving")});
  }
  table.Print(*invocation.out);
  for (const NodeStatus& node : statuses) {
    const std::string conflict = StringField(node.status, "config_conflict");
    if (conflict.empty()) continue;
    *invocation.error << node.address
                      << ": configuration conflict: " << conflict << '\n';
  }
  return ReportUnreachable(invocation, statuses);
}

ExitStatus ShowMembers(const Invocation& invocation) {
  const auto statuses = CollectStatus(invocation, "members");
  const auto merged = MergeMembers(statuses);
  size_t response_count = 0;
  for (const NodeStatus& node : statuses) response_count += node.has_response();
  bool inconsistent = false;
  nlohmann::json list = nlohmann::json::array();
  TextTable table(
      {"VM", "SERVICE", "ADDRESS", "FAILURE DOMAIN", "REGION", "STATE"});
  for (const auto& [vm, reports] : merged) {
    inconsistent |= IsInconsistent(reports, response_count);
    table.AddRow({vm, FormatField(*reports.member, "service"),
                  FormatField(*reports.member, "peer_address"),
                  FormatField(*reports.member, "failure_domain"),
                  FormatField(*reports.member, "region"),
                  DescribeStates(reports, response_count)});
    nlohmann::json entry = *reports.member;
    entry["states"] = reports.states;
    entry["seen_by"] = reports.seen_by;
    list.push_back(std::move(entry));
  }
  if (invocation.options.json) {
    PrintJson(invocation, {{"members", list},
                           {"asked", response_count},
                           {"unreachable", UnreachableToJson(statuses)}});
  } else {
    table.Print(*invocation.out);
  }
  const ExitStatus status = ReportUnreachable(invocation, statuses);
  if (inconsistent) {
    *invocation.error
        << "the queried nodes report different states of some members\n";
    return ExitStatus::kFailed;
  }
  return status;
}

ExitStatus ShowHistogram(const Invocation& invocation) {
  const auto statuses = CollectStatus(invocation, "histograms");
  std::map<HistogramLabels, TimeHistograms> merged;
  for (const NodeStatus& node : statuses) {
    if (!node.status.is_array()) continue;
    for (const nlohmann::json& entry : node.status) {
      TimeHistograms& histograms =
          merged[{StringField(entry, "service"), StringField(entry, "tenant"),
                  StringField(entry, "rank")}];
      histograms.latency.Merge(HistogramFromJson(entry, "latency"));
      histograms.queue_wait.Merge(HistogramFromJson(entry, "queue_wait"));
      histograms.added.Merge(HistogramFromJson(entry, "added"));
    }
  }
  nlohmann::json list = nlohmann::json::array();
  TextTable table({"SERVICE", "TENANT", "RANK", "TIME (ms)", "COUNT", "P50",
                   "P90", "P99", "MAX"});
  for (const auto& [labels, histograms] : merged) {
    AddHistogramRow(labels, "latency", histograms.latency, &table);
    AddHistogramRow(labels, "queue wait", histograms.queue_wait, &table);
    AddHistogramRow(labels, "added", histograms.added, &table);
    list.push_back({{"service", labels.service},
                    {"tenant", labels.tenant},
                    {"rank", labels.rank},
                    {"latency", QuantilesToJson(histograms.latency)},
                    {"queue_wait", QuantilesToJson(histograms.queue_wait)},
                    {"added", QuantilesToJson(histograms.added)}});
  }
  if (invocation.options.json) {
    PrintJson(invocation, {{"histograms", list},
                           {"unreachable", UnreachableToJson(statuses)}});
  } else {
    table.Print(*invocation.out);
  }
  return ReportUnreachable(invocation, statuses);
}

ExitStatus DrainNode(const Invocation& invocation) {
  const std::string& node = invocation.arguments[0];
  Reason reason;
  const auto result =
      invocation.client->Drain(node, invocation.options.reason, &reason);
  if (!result) {
    *invocation.error << node << ": no answer: " << reason.text << '\n';
    return ExitStatus::kUnreachable;
  }
  if (invocation.options.json) {
    PrintJson(invocation, {{"node", node},
                           {"accepted", result->accepted},
                           {"in_flight", result->in_flight}});
  } else {
    *invocation.out << node
                    << (result->accepted ? ": draining, " : ": refused, ")
                    << result->in_flight << " calls in flight\n";
  }
  return result->accepted ? ExitStatus::kOk : ExitStatus::kFailed;
}

}  // namespace vanillatiller
