#include <map>
#include <set>
#include <tuple>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "metrics/metrics.h"
#include "vtctl/commands.h"
#include "vtctl/node_answers.h"
#include "vtctl/text_table.h"

namespace vanillatiller {
namespace {

constexpr double kMicrosecondsPerMillisecond = 1000;

// Label set of a histogram; the order is the one of the table.
struct HistogramKey {
  std::string service;
  std::string tenant;
  std::string rank;

  auto operator<=>(const HistogramKey&) const = default;
};

// Histograms of one label set, summed over nodes.
struct HistogramTriple {
  HistogramSnapshot latency;
  HistogramSnapshot queue_wait;
  HistogramSnapshot added;
};

HistogramSnapshot HistogramFromJson(const nlohmann::json& parent,
                                    const char* field) {
  HistogramSnapshot result;
  if (!parent.is_object() || !parent.contains(field)) return result;
  const nlohmann::json& json = parent[field];
  result.count = Number(json, "count");
  result.sum_us = Number(json, "sum_us");
  result.max_us = Number(json, "max_us");
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

void AddHistogramRow(const HistogramKey& key, std::string_view what,
                     const HistogramSnapshot& histogram, TextTable* table) {
  table->AddRow({key.service, key.tenant, key.rank, std::string(what),
                 absl::StrCat(histogram.count),
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

// What the asked nodes say of one member.
struct MemberViews {
  // Entry in the answer of one of the nodes.
  const nlohmann::json* member = nullptr;
  std::map<std::string, size_t> states;
  size_t seen_by = 0;
};

std::map<std::string, MemberViews> MergeMembers(
    const std::vector<NodeAnswer>& answers) {
  std::map<std::string, MemberViews> merged;
  for (const NodeAnswer& answer : answers) {
    if (!answer.status.is_array()) continue;
    for (const nlohmann::json& member : answer.status) {
      MemberViews& views = merged[Text(member, "vm")];
      views.member = &member;
      ++views.states[Text(member, "state")];
      ++views.seen_by;
    }
  }
  return merged;
}

std::string DescribeStates(const MemberViews& views, size_t answered) {
  std::vector<std::string> parts;
  for (const auto& [state, count] : views.states) {
    parts.push_back(absl::StrCat(state, " (", count, ")"));
  }
  if (views.seen_by < answered) {
    parts.push_back(absl::StrCat("unknown (", answered - views.seen_by, ")"));
  }
  if (parts.size() == 1) return views.states.begin()->first;
  return absl::StrJoin(parts, ", ");
}

bool IsDisputed(const MemberViews& views, size_t answered) {
  return views.states.size() != 1 || views.seen_by != answered;
}

}  // namespace

ExitStatus ShowStatus(const Invocation& invocation) {
  const auto answers = CollectStatus(invocation, "summary");
  if (invocation.options.json) {
    nlohmann::json nodes = nlohmann::json::array();
    for (const NodeAnswer& answer : answers) {
      if (!answer.is_answered()) continue;
      nodes.push_back(answer.status);
      nodes.back()["node"] = answer.node;
    }
    PrintJson(invocation,
              {{"nodes", nodes}, {"unreachable", MissingToJson(answers)}});
    return ReportMissing(invocation, answers);
  }
  TextTable table({"NODE", "VM", "SERVICE", "CONFIG", "CONFIRMED", "IN-FLIGHT",
                   "QUEUED", "LIMIT", "COMPLETE", "NOT-RUN", "UNKNOWN",
                   "LEAVING"});
  for (const NodeAnswer& answer : answers) {
    const nlohmann::json& status = answer.status;
    if (!answer.is_answered()) continue;
    table.AddRow({answer.node, Cell(status, "vm"), Cell(status, "service"),
                  Cell(status, "config_version"),
                  Cell(status, "config_confirmed"), Cell(status, "in_flight"),
                  Cell(status, "queued"), Cell(status, "concurrency_limit"),
                  Cell(status, "complete"), Cell(status, "not_run"),
                  Cell(status, "unknown"), Cell(status, "leaving")});
  }
  table.Print(*invocation.out);
  for (const NodeAnswer& answer : answers) {
    const std::string conflict = Text(answer.status, "config_conflict");
    if (conflict.empty()) continue;
    *invocation.error << answer.node << ": configuration conflict: " << conflict
                      << '\n';
  }
  return ReportMissing(invocation, answers);
}

ExitStatus ShowMembers(const Invocation& invocation) {
  const auto answers = CollectStatus(invocation, "members");
  const auto merged = MergeMembers(answers);
  size_t answered = 0;
  for (const NodeAnswer& answer : answers) answered += answer.is_answered();
  bool disputed = false;
  nlohmann::json list = nlohmann::json::array();
  TextTable table(
      {"VM", "SERVICE", "ADDRESS", "FAILURE DOMAIN", "REGION", "STATE"});
  for (const auto& [vm, views] : merged) {
    disputed |= IsDisputed(views, answered);
    table.AddRow({vm, Cell(*views.member, "service"),
                  Cell(*views.member, "peer_address"),
                  Cell(*views.member, "failure_domain"),
                  Cell(*views.member, "region"),
                  DescribeStates(views, answered)});
    nlohmann::json entry = *views.member;
    entry["states"] = views.states;
    entry["seen_by"] = views.seen_by;
    list.push_back(std::move(entry));
  }
  if (invocation.options.json) {
    PrintJson(invocation, {{"members", list},
                           {"asked", answered},
                           {"unreachable", MissingToJson(answers)}});
  } else {
    table.Print(*invocation.out);
  }
  const ExitStatus status = ReportMissing(invocation, answers);
  if (disputed) {
    *invocation.error << "the asked nodes do not agree on all members\n";
    return ExitStatus::kFaults;
  }
  return status;
}

ExitStatus ShowHistogram(const Invocation& invocation) {
  const auto answers = CollectStatus(invocation, "histograms");
  std::map<HistogramKey, HistogramTriple> merged;
  for (const NodeAnswer& answer : answers) {
    if (!answer.status.is_array()) continue;
    for (const nlohmann::json& entry : answer.status) {
      HistogramTriple& triple = merged[{
          Text(entry, "service"), Text(entry, "tenant"), Text(entry, "rank")}];
      triple.latency.Merge(HistogramFromJson(entry, "latency"));
      triple.queue_wait.Merge(HistogramFromJson(entry, "queue_wait"));
      triple.added.Merge(HistogramFromJson(entry, "added"));
    }
  }
  nlohmann::json list = nlohmann::json::array();
  TextTable table({"SERVICE", "TENANT", "RANK", "TIME (ms)", "COUNT", "P50",
                   "P90", "P99", "MAX"});
  for (const auto& [key, triple] : merged) {
    AddHistogramRow(key, "latency", triple.latency, &table);
    AddHistogramRow(key, "queue wait", triple.queue_wait, &table);
    AddHistogramRow(key, "added", triple.added, &table);
    list.push_back({{"service", key.service},
                    {"tenant", key.tenant},
                    {"rank", key.rank},
                    {"latency", QuantilesToJson(triple.latency)},
                    {"queue_wait", QuantilesToJson(triple.queue_wait)},
                    {"added", QuantilesToJson(triple.added)}});
  }
  if (invocation.options.json) {
    PrintJson(invocation,
              {{"histograms", list}, {"unreachable", MissingToJson(answers)}});
  } else {
    table.Print(*invocation.out);
  }
  return ReportMissing(invocation, answers);
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
  return result->accepted ? ExitStatus::kOk : ExitStatus::kFaults;
}

}  // namespace vanillatiller
