#include "absl/strings/str_join.h"
#include "vtctl/commands.h"
#include "vtctl/evidence_json.h"
#include "vtctl/node_answers.h"
#include "vtctl/text_table.h"

namespace vanillatiller {
namespace {

// Evidence over the window, node by node, so that a node that restarts or
// falls silent does not spoil the numbers of the others.
FleetEvidence Gather(const Invocation& invocation,
                     std::vector<NodeAnswer>* answers) {
  std::vector<NodeAnswer> earlier;
  if (invocation.options.window > Duration::zero()) {
    earlier = CollectStatus(invocation, "edges");
    invocation.client->Sleep(invocation.options.window);
  }
  *answers = CollectStatus(invocation, "edges");
  FleetEvidence sum;
  for (size_t i = 0; i < answers->size(); ++i) {
    const NodeAnswer& answer = (*answers)[i];
    if (!answer.is_answered()) {
      sum.missing_nodes.push_back(answer.node);
      continue;
    }
    FleetEvidence evidence = EvidenceFromJson(answer.status);
    if (!earlier.empty() && earlier[i].is_answered()) {
      evidence = EvidenceSince(EvidenceFromJson(earlier[i].status), evidence);
    }
    Add(evidence, &sum);
  }
  return sum;
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
  std::vector<NodeAnswer> answers;
  const FleetEvidence evidence = Gather(invocation, &answers);
  Findings findings;
  const auto diagnoser = DiagnoserBuilder().Build(&findings);
  const Diagnosis diagnosis = diagnoser->Diagnose(evidence);
  if (invocation.options.json) {
    *invocation.out << DiagnosisToJson(diagnosis).dump(2) << '\n';
  } else {
    PrintDiagnosis(diagnosis, *invocation.out);
  }
  const ExitStatus status = ReportMissing(invocation, answers);
  return diagnosis.verdict == Verdict::kHealthy ? status : ExitStatus::kFaults;
}

}  // namespace vanillatiller
