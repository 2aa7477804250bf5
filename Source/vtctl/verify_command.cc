#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "vtctl/commands.h"
#include "vtctl/input_reader.h"
#include "vtctl/node_status.h"
#include "vtctl/text_table.h"

namespace vanillatiller {
namespace {

constexpr std::chrono::milliseconds kPollInterval{250};
constexpr std::chrono::seconds kProgressInterval{1};

enum class NodeState : uint8_t {
  kInForce,
  // A later version is in force, and it contains every change of the note.
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

struct NodeResult {
  std::string node;
  NodeState state = NodeState::kUnreachable;
  uint64_t version = 0;
  // Differences from the note, or the error of a failed call.
  std::vector<std::string> details;

  bool is_verified() const {
    return state == NodeState::kInForce || state == NodeState::kNewer;
  }
};

// Returns one message for each item of `note` that `value` does not match.
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
    std::string_view problem;
    if (item.action == NoteAction::kWithdrawn) {
      if (exists) problem = "still exists";
    } else if (!exists) {
      problem = "is missing";
    } else if (found->fields != item.fields) {
      problem = "has different fields";
    }
    if (problem.empty()) continue;
    differences.push_back(
        absl::StrCat(std::string(NoteActionName(item.action)), " ",
                     std::string(ItemKindName(item.kind)), " \"", item.name,
                     "\" ", std::string(problem)));
  }
  return differences;
}

class NoteVerifier {
 public:
  NoteVerifier(const Invocation& invocation, const ReleaseNote& note)
      : m_invocation(invocation), m_note(note) {
    for (const std::string& node : invocation.options.nodes) {
      m_results.push_back({node});
    }
  }

  // Polls until the note is in force on all nodes or the deadline expires.
  void WaitUntilVerified() {
    FleetClient& client = *m_invocation.client;
    const TimePoint start = client.Now();
    while (true) {
      Poll();
      const Duration elapsed = client.Now() - start;
      if (m_last_verified_count != CountVerified() ||
          elapsed >= m_last_progress_time + kProgressInterval) {
        PrintProgress(elapsed);
        m_last_verified_count = CountVerified();
        m_last_progress_time = elapsed;
      }
      if (CountVerified() == m_results.size()) return;
      if (elapsed + kPollInterval >= m_invocation.options.deadline) return;
      client.Sleep(kPollInterval);
    }
  }

  ExitStatus ReportResults() const {
    if (m_invocation.options.json) {
      PrintJson();
    } else {
      PrintTable();
    }
    ExitStatus status = ExitStatus::kOk;
    for (const NodeResult& result : m_results) {
      if (result.is_verified()) continue;
      if (result.state != NodeState::kUnreachable) return ExitStatus::kFailed;
      status = ExitStatus::kUnreachable;
    }
    return status;
  }

 private:
  void Poll() {
    ForEachInParallel(m_results.size(), [this](size_t i) {
      if (!m_results[i].is_verified()) CheckNode(&m_results[i]);
    });
  }

  void CheckNode(NodeResult* result) {
    FleetClient& client = *m_invocation.client;
    Reason reason;
    const auto text = client.GetStatus(result->node, "summary", &reason);
    const auto status =
        nlohmann::json::parse(text ? *text : std::string(), nullptr, false);
    if (!status.is_object()) {
      result->state = NodeState::kUnreachable;
      result->details = {text ? "the answer is not JSON" : reason.text};
      return;
    }
    result->version = NumberField(status, "config_version");
    const bool is_equal =
        result->version == m_note.version &&
        StringField(status, "config_digest") == ToHex(m_note.digest);
    if (!is_equal) return CompareConfig(result);
    result->details.clear();
    const std::string conflict = StringField(status, "config_conflict");
    if (!conflict.empty()) {
      result->state = NodeState::kConflict;
      result->details = {conflict};
      return;
    }
    result->state = FormatField(status, "config_confirmed") == "yes"
                        ? NodeState::kInForce
                        : NodeState::kUnconfirmed;
  }

  // Fetches a configuration whose version or digest differs from the note. A
  // later version that contains every item of the note is accepted.
  void CompareConfig(NodeResult* result) {
    result->state = NodeState::kDiffers;
    Reason reason;
    const auto config = m_invocation.client->GetConfig(result->node, &reason);
    if (!config) {
      result->details = {reason.text};
      return;
    }
    Findings findings;
    const auto value = ParseFleetConfig(config->value, result->node, &findings);
    if (!value) {
      result->details = {"the configuration in force cannot be parsed"};
      return;
    }
    result->version = config->version;
    result->details = CompareItems(m_note, *value);
    if (!result->details.empty()) return;
    if (config->version > m_note.version) {
      result->state =
          config->confirmed ? NodeState::kNewer : NodeState::kUnconfirmed;
      return;
    }
    result->details = {absl::StrCat("all items match, but the digest is ",
                                    ToHex(config->digest),
                                    ", not the digest of the note")};
  }

  size_t CountVerified() const {
    return std::ranges::count_if(m_results, &NodeResult::is_verified);
  }

  void PrintProgress(Duration elapsed) const {
    *m_invocation.error << absl::StrFormat(
        "%.1f s: the note is in force on %d of %d nodes\n",
        ToMilliseconds(elapsed) / 1000, CountVerified(), m_results.size());
  }

  void PrintTable() const {
    TextTable table({"NODE", "STATE", "VERSION", "DETAILS"});
    for (const NodeResult& result : m_results) {
      table.AddRow({result.node, std::string(StateName(result.state)),
                    absl::StrCat(result.version),
                    result.details.empty() ? "" : result.details.front()});
      for (size_t i = 1; i < result.details.size(); ++i) {
        table.AddRow({"", "", "", result.details[i]});
      }
    }
    table.Print(*m_invocation.out);
  }

  void PrintJson() const {
    nlohmann::json nodes = nlohmann::json::array();
    for (const NodeResult& result : m_results) {
      nodes.push_back({{"node", result.node},
                       {"state", StateName(result.state)},
                       {"version", result.version},
                       {"details", result.details}});
    }
    const nlohmann::json result = {{"ok", CountVerified() == m_results.size()},
                                   {"version", m_note.version},
                                   {"digest", ToHex(m_note.digest)},
                                   {"nodes", nodes}};
    *m_invocation.out << result.dump(2) << '\n';
  }

  const Invocation& m_invocation;
  const ReleaseNote& m_note;
  std::vector<NodeResult> m_results;
  std::optional<size_t> m_last_verified_count;
  Duration m_last_progress_time{};
};

}  // namespace

ExitStatus VerifyNote(const Invocation& invocation) {
  InputReader input(invocation);
  const auto note = input.ReadNote(invocation.arguments[0]);
  if (!note) return input.ReportFindings();
  NoteVerifier verifier(invocation, *note);
  verifier.WaitUntilVerified();
  return verifier.ReportResults();
}

}  // namespace vanillatiller
