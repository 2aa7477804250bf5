#include "vtbench/execution_audit.h"

#include <algorithm>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace vanillatiller {
namespace {

constexpr size_t kMaxExamples = 5;

bool IsIdempotent(const FleetConfig& fleet, std::string_view path) {
  const std::string_view last = path.substr(path.rfind('/') + 1);
  const size_t dot = last.find('.');
  if (dot == std::string_view::npos) return false;
  const ServiceConfig* service = fleet.FindService(last.substr(0, dot));
  if (service == nullptr) return false;
  const MethodConfig* method = service->FindMethod(last.substr(dot + 1));
  return method != nullptr && method->idempotent;
}

void AddExample(std::string text, AuditResult* audit) {
  if (audit->examples.size() < kMaxExamples) {
    audit->examples.push_back(std::move(text));
  }
}

// What the caller of a request was told, for the examples of the report.
std::string Describe(const std::vector<RequestResult>& results,
                     const std::string& id) {
  for (const RequestResult& result : results) {
    if (result.id != id) continue;
    return absl::StrCat(
        CallerVerdictName(result.verdict), " after ", result.tries,
        " tries, attempts ", result.attempts, ", intended at ",
        std::chrono::duration<double>(result.arrival.at).count(),
        " s: ", absl::StrJoin(result.history, ", "));
  }
  return "no such request";
}

void CountDuplicates(const Experiment& experiment,
                     const std::vector<RequestResult>& results,
                     const std::vector<ExecutionRecord>& records,
                     AuditResult* audit) {
  absl::flat_hash_map<std::string, std::vector<uint32_t>> executions;
  for (const ExecutionRecord& record : records) {
    std::vector<uint32_t>& uses =
        executions[absl::StrCat(record.id, " ", record.path)];
    uses.push_back(record.use);
    const auto count = static_cast<uint32_t>(uses.size());
    audit->max_executions_per_call =
        std::max(audit->max_executions_per_call, count);
    if (count == 1 || IsIdempotent(experiment.fleet, record.path)) continue;
    ++audit->duplicates;
    if (audit->examples.size() >= kMaxExamples) continue;
    AddExample(absl::StrCat("duplicate: ", record.id, " ", record.path,
                            ", uses ", absl::StrJoin(uses, " "), "; ",
                            Describe(results, record.id)),
               audit);
  }
  if (executions.empty()) return;
  audit->mean_executions_per_call = static_cast<double>(records.size()) /
                                    static_cast<double>(executions.size());
}

}  // namespace

std::vector<ExecutionRecord> ParseExecutions(std::string_view text,
                                             uint64_t* malformed) {
  std::vector<ExecutionRecord> records;
  const absl::string_view lines(text.data(), text.size());
  for (const absl::string_view line :
       absl::StrSplit(lines, '\n', absl::SkipEmpty())) {
    const std::vector<std::string> fields = absl::StrSplit(line, ' ');
    ExecutionRecord record;
    if (fields.size() != 4 || !absl::SimpleAtoi(fields[1], &record.use) ||
        !absl::SimpleAtod(fields[3], &record.work_ms)) {
      ++*malformed;
      continue;
    }
    record.id = fields[0];
    record.path = fields[2];
    records.push_back(std::move(record));
  }
  return records;
}

AuditResult AuditExecutions(const Experiment& experiment,
                            const std::vector<RequestResult>& results,
                            const std::vector<ExecutionRecord>& records) {
  AuditResult audit;
  audit.executions = records.size();
  CountDuplicates(experiment, results, records, &audit);

  absl::flat_hash_set<std::string> good;
  absl::flat_hash_set<std::string> refused;
  for (const RequestResult& result : results) {
    if (result.IsGood(experiment.classes[result.arrival.load_class])) {
      good.insert(result.id);
    }
    for (const uint32_t use : result.refused_uses) {
      refused.insert(absl::StrCat(result.id, " ", use));
    }
  }
  absl::flat_hash_set<std::string> ran;
  for (const ExecutionRecord& record : records) {
    audit.work_ms += record.work_ms;
    if (!good.contains(record.id)) audit.wasted_work_ms += record.work_ms;
    const std::string use = absl::StrCat(record.id, " ", record.use);
    if (!refused.contains(use) || !ran.insert(use).second) continue;
    ++audit.false_not_run;
    AddExample(absl::StrCat("ran though refused: ", use, " ", record.path, "; ",
                            Describe(results, record.id)),
               &audit);
  }
  return audit;
}

}  // namespace vanillatiller
