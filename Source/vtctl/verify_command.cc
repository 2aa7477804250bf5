#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "vtctl/commands.h"
#include "vtctl/input.h"
#include "vtctl/node_answers.h"
#include "vtctl/text_table.h"

namespace vanillatiller {
namespace {

constexpr std::chrono::milliseconds kPollInterval{250};
constexpr std::chrono::seconds kProgressInterval{1};

enum class NodeState : uint8_t {
  kInForce,
  // A later version is in force, in which every item of the note holds.
  kNewer,
  kUnreachable,
  kUnconfirmed,
  kConflict,
  kDiffers,
};

std::string_view StateName(NodeState state) {
  switch (state) {
    case NodeState::kInForce:
      return "in-force";
    case NodeState::kNewer:
      return "newer";
    case NodeState::kUnreachable:
      return "unreachable";
    case NodeState::kUnconfirmed:
      return "unconfirmed";
    case NodeState::kConflict:
      return "conflict";
    case NodeState::kDiffers:
      return "differs";
  }
  return "unknown";
}

struct NodeVerdict {
  std::string node;
  NodeState state = NodeState::kUnreachable;
  uint64_t version = 0;
  // Items that do not hold, or why there is no answer.
  std::vector<std::string> details;

  bool is_done() const {
    return state == NodeState::kInForce || state == NodeState::kNewer;
  }
};

// Items of `note` that do not hold in `value`, one sentence each.
std::vector<std::string> CompareItems(const ReleaseNote& note,
                                      const FleetConfig& value) {
  const std::vector<NoteItem> present = ListItems(value);
  std::vector<std::string> differences;
  for (const NoteItem& item : note.items) {
    const auto found =
        std::ranges::find_if(present, [&](const NoteItem& other) {
          return other.kind == item.kind && other.name == item.name;
        });
    const bool exists = found != present.end();
    std::string_view fault;
    if (item.action == NoteAction::kWithdrawn) {
      if (exists) fault = "is still there";
    } else if (!exists) {
      fault = "is missing";
    } else if (found->fields != item.fields) {
      fault = "has other fields";
    }
    if (fault.empty()) continue;
    differences.push_back(
        absl::StrCat(std::string(NoteActionName(item.action)), " ",
                     std::string(ItemKindName(item.kind)), " \"", item.name,
                     "\" ", std::string(fault)));
  }
  return differences;
}

class Verifier {
 public:
  Verifier(const Invocation& invocation, const ReleaseNote& note)
      : m_invocation(invocation), m_note(note) {
    for (const std::string& node : invocation.options.nodes) {
      m_verdicts.push_back({node});
    }
  }

  // Asks until all nodes have the note in force or the deadline passes.
  void Wait() {
    FleetClient& client = *m_invocation.client;
    const TimePoint start = client.Now();
    while (true) {
      Poll();
      const Duration elapsed = client.Now() - start;
      if (m_last_done != CountDone() ||
          elapsed >= m_last_progress + kProgressInterval) {
        PrintProgress(elapsed);
        m_last_done = CountDone();
        m_last_progress = elapsed;
      }
      if (CountDone() == m_verdicts.size()) return;
      if (elapsed + kPollInterval >= m_invocation.options.deadline) return;
      client.Sleep(kPollInterval);
    }
  }

  ExitStatus Report() const {
    if (m_invocation.options.json) {
      PrintJson();
    } else {
      PrintTable();
    }
    ExitStatus status = ExitStatus::kOk;
    for (const NodeVerdict& verdict : m_verdicts) {
      if (verdict.is_done()) continue;
      if (verdict.state != NodeState::kUnreachable) return ExitStatus::kFaults;
      status = ExitStatus::kUnreachable;
    }
    return status;
  }

 private:
  void Poll() {
    ForEachInParallel(m_verdicts.size(), [this](size_t i) {
      if (!m_verdicts[i].is_done()) Ask(&m_verdicts[i]);
    });
  }

  void Ask(NodeVerdict* verdict) {
    FleetClient& client = *m_invocation.client;
    Reason reason;
    const auto text = client.GetStatus(verdict->node, "summary", &reason);
    const auto status =
        nlohmann::json::parse(text ? *text : std::string(), nullptr, false);
    if (!status.is_object()) {
      verdict->state = NodeState::kUnreachable;
      verdict->details = {text ? "the answer is not JSON" : reason.text};
      return;
    }
    verdict->version = Number(status, "config_version");
    const bool is_equal = verdict->version == m_note.version &&
                          Text(status, "config_digest") == ToHex(m_note.digest);
    if (!is_equal) return Compare(verdict);
    verdict->details.clear();
    const std::string conflict = Text(status, "config_conflict");
    if (!conflict.empty()) {
      verdict->state = NodeState::kConflict;
      verdict->details = {conflict};
      return;
    }
    verdict->state = Cell(status, "config_confirmed") == "yes"
                         ? NodeState::kInForce
                         : NodeState::kUnconfirmed;
  }

  // The value is another one; its items tell whether that matters.
  void Compare(NodeVerdict* verdict) {
    verdict->state = NodeState::kDiffers;
    Reason reason;
    const auto config = m_invocation.client->GetConfig(verdict->node, &reason);
    if (!config) {
      verdict->details = {reason.text};
      return;
    }
    Findings findings;
    const auto value =
        ParseFleetConfig(config->value, verdict->node, &findings);
    if (!value) {
      verdict->details = {"the value in force cannot be parsed"};
      return;
    }
    verdict->version = config->version;
    verdict->details = CompareItems(m_note, *value);
    if (!verdict->details.empty()) return;
    if (config->version > m_note.version) {
      verdict->state =
          config->confirmed ? NodeState::kNewer : NodeState::kUnconfirmed;
      return;
    }
    verdict->details = {absl::StrCat("every item holds, but the digest is ",
                                     ToHex(config->digest),
                                     ", not the one of the note")};
  }

  size_t CountDone() const {
    return std::ranges::count_if(m_verdicts, &NodeVerdict::is_done);
  }

  void PrintProgress(Duration elapsed) const {
    *m_invocation.error << absl::StrFormat(
        "%.1f s: %d of %d nodes have the note in force\n",
        ToMilliseconds(elapsed) / 1000, CountDone(), m_verdicts.size());
  }

  void PrintTable() const {
    TextTable table({"NODE", "STATE", "VERSION", "DETAILS"});
    for (const NodeVerdict& verdict : m_verdicts) {
      table.AddRow({verdict.node, std::string(StateName(verdict.state)),
                    absl::StrCat(verdict.version),
                    verdict.details.empty() ? "" : verdict.details.front()});
      for (size_t i = 1; i < verdict.details.size(); ++i) {
        table.AddRow({"", "", "", verdict.details[i]});
      }
    }
    table.Print(*m_invocation.out);
  }

  void PrintJson() const {
    nlohmann::json nodes = nlohmann::json::array();
    for (const NodeVerdict& verdict : m_verdicts) {
      nodes.push_back({{"node", verdict.node},
                       {"state", StateName(verdict.state)},
                       {"version", verdict.version},
                       {"details", verdict.details}});
    }
    const nlohmann::json result = {{"ok", CountDone() == m_verdicts.size()},
                                   {"version", m_note.version},
                                   {"digest", ToHex(m_note.digest)},
                                   {"nodes", nodes}};
    *m_invocation.out << result.dump(2) << '\n';
  }

  const Invocation& m_invocation;
  const ReleaseNote& m_note;
  std::vector<NodeVerdict> m_verdicts;
  std::optional<size_t> m_last_done;
  Duration m_last_progress{};
};

}  // namespace

ExitStatus VerifyNote(const Invocation& invocation) {
  Input input(invocation);
  const auto note = input.ReadNote(invocation.arguments[0]);
  if (!note) return input.Finish();
  Verifier verifier(invocation, *note);
  verifier.Wait();
  return verifier.Report();
}

}  // namespace vanillatiller
