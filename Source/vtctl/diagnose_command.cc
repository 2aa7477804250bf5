#include "absl/strings/str_join.h"
#include "vtctl/commands.h"
#include "vtctl/evidence_json.h"
#include "vtctl/node_status.h"
#include "vtctl/text_table.h"

namespace vanillatiller {
namespace {

// Collects the evidence of the observation window. Differences are computed per
// node, so that a node that restarts or stops responding does not distort the
// counters of the others.
FleetEvidence CollectEvidence(const Invocation& invocation,
                              std::vector<NodeStatus>* statuses) {
  std::vector<NodeStatus> previous;
  if (invocation.options.window > Duration::zero()) {
    previous = CollectStatus(invocation, "edges");
    invocation.client->Sleep(invocation.options.window);
  }
  *statuses = CollectStatus(invocation, "edges");
  FleetEvidence total;
  for (size_t i = 0; i < statuses->size(); ++i) {
    const NodeStatus& node = (*statuses)[i];
    if (!node.has_response()) {
      total.missing_nodes.push_back(node.address);
      continue;
    }
    FleetEvidence evidence = EvidenceFromJson(node.status);
    if (!previous.empty() && previous[i].has_response()) {
      evidence = EvidenceSince(EvidenceFromJson(previous[i].status), evidence);
    }
    Add(evidence, &total);
  }
  return total;
}

void PrintDiagnosis(const Diagnosis& diagnosis, std::ostream& out) {
  TextTable table({"CALLER", "CALLEE", "RANK", "VERDICT", "EVIDENCE"});
  for (const EdgeDiagnosis& edge : diagnosis.edges) {
    const auto& evidence = edge.evidence;
    table.AddRow({edge.caller.empty() ? "(callers)" : edge.caller, edge.callee,
                  edge.rank, std::string(VerdictName(edge.verdict)),
                  evidence.empty() ? "" : evidence.front()});
    for (size_t i = 1; i < evidence.size(); ++i) {
      table.AddRow({"", "", "", "", evidence[i]});
    }
  }
  table.Print(out);
  out << "\nVerdict: " << VerdictName(diagnosis.verdict) << '\n';
  for (const OverloadOrigin& origin : diagnosis.origins) {
    out << "Overload begins in \"" << origin.service
        << "\": " << absl::StrJoin(origin.evidence, "; ") << '\n';
  }
  for (const std::string& remark : diagnosis.remarks) out << remark << '\n';
}

}  // namespace

ExitStatus Diagnose(const Invocation& invocation) {
  std::vector<NodeStatus> statuses;
  const FleetEvidence evidence = CollectEvidence(invocation, &statuses);
  Findings findings;
  const auto diagnoser = DiagnoserBuilder().Build(&findings);
  const Diagnosis diagnosis = diagnoser->Diagnose(evidence);
  if (invocation.options.json) {
    *invocation.out << DiagnosisToJson(diagnosis).dump(2) << '\n';
  } else {
    PrintDiagnosis(diagnosis, *invocation.out);
  }
  const ExitStatus status = ReportUnreachable(invocation, statuses);
  return diagnosis.verdict == Verdict::kHealthy ? status : ExitStatus::kFailed;
}

}  // namespace vanillatiller
