#include "fleetconfig/fleetconfig.h"
#include "vtctl/commands.h"
#include "vtctl/input_reader.h"
#include "vtctl/note_json.h"
#include "vtctl/text_table.h"

namespace vanillatiller {
namespace {

void PrintSummary(const ReleaseNote& note, std::ostream& out) {
  out << "The note changes version " << note.base_version << " to version "
      << note.version << ", digest " << ToHex(note.digest) << ".\n";
  if (note.items.empty()) return;
  TextTable table({"ACTION", "KIND", "NAME"});
  for (const NoteItem& item : note.items) {
    table.AddRow({std::string(NoteActionName(item.action)),
                  std::string(ItemKindName(item.kind)), item.name});
  }
  table.Print(out);
}

}  // namespace

ExitStatus NoteDiff(const Invocation& invocation) {
  InputReader input(invocation);
  const auto before = input.ReadConfig(invocation.arguments[0]);
  const auto after = input.ReadConfig(invocation.arguments[1]);
  if (!before || !after) return input.ReportFindings();
  const ReleaseNote note = DiffNote(*before, *after);
  input.AddFindings(CheckNote(*before, note, invocation.arguments[1]));
  if (!input.findings().empty()) return input.ReportFindings();
  if (invocation.options.json) {
    *invocation.out << NoteToJson(note).dump(2) << '\n';
  } else {
    *invocation.out << FormatNote(note);
  }
  return ExitStatus::kOk;
}

ExitStatus NoteCheck(const Invocation& invocation) {
  InputReader input(invocation);
  const auto base = input.ReadConfig(invocation.arguments[0]);
  const auto note = input.ReadNote(invocation.arguments[1]);
  if (base && note) {
    input.AddFindings(CheckNote(*base, *note, invocation.arguments[1]));
  }
  if (!input.findings().empty()) return input.ReportFindings();
  if (invocation.options.json) {
    const nlohmann::json result = {{"ok", true},
                                   {"findings", nlohmann::json::array()},
                                   {"note", NoteToJson(*note)}};
    *invocation.out << result.dump(2) << '\n';
  } else {
    PrintSummary(*note, *invocation.out);
  }
  return ExitStatus::kOk;
}

ExitStatus NoteApply(const Invocation& invocation) {
  InputReader input(invocation);
  const auto base = input.ReadConfig(invocation.arguments[0]);
  const auto note = input.ReadNote(invocation.arguments[1]);
  if (!base || !note) return input.ReportFindings();
  Findings findings;
  const auto result =
      ApplyNote(*base, *note, invocation.arguments[1], &findings);
  input.AddFindings(findings);
  if (!result) return input.ReportFindings();
  if (invocation.options.json) {
    const nlohmann::json answer = {{"ok", true},
                                   {"version", result->version},
                                   {"digest", ToHex(note->digest)},
                                   {"value", FormatFleetConfig(*result)}};
    *invocation.out << answer.dump(2) << '\n';
  } else {
    *invocation.out << FormatFleetConfig(*result);
  }
  return ExitStatus::kOk;
}

}  // namespace vanillatiller
