#include "vtctl/command.h"

#include <array>

#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "vtctl/commands.h"

namespace vanillatiller {
namespace {

constexpr auto kCommands = std::to_array<Command>({
    {"note diff", "OLD NEW",
     "print the release note that leads from the value OLD to the value NEW", 2,
     false, NoteDiff},
    {"note check", "BASE NOTE",
     "report every fault of NOTE, made on the value BASE", 2, false, NoteCheck},
    {"note apply", "BASE NOTE",
     "print the value that NOTE makes of the value BASE", 2, false, NoteApply},
    {"status", "", "show the state of each node", 0, true, ShowStatus},
    {"members", "",
     "show the members that the nodes know, and where the nodes disagree", 0,
     true, ShowMembers},
    {"histogram", "",
     "show latency, queue wait and added time by service, tenant and rank, "
     "summed over the nodes",
     0, true, ShowHistogram},
    {"diagnose", "",
     "judge each edge and rank: healthy, overload, network or both; name the "
     "service in which overload begins",
     0, true, Diagnose},
    {"verify", "NOTE",
     "wait until the nodes have NOTE in force; name those that differ, are "
     "unreachable or unconfirmed",
     1, true, VerifyNote},
    {"drain", "NODE",
     "start the planned stop of the node with the peer address NODE", 1, false,
     DrainNode},
});

constexpr std::string_view kExitStatuses =
    R"(Exit statuses:
  0  done; the input is sound, the fleet is as it should be
  1  wrong usage: unknown command or flag, missing argument
  2  the input has faults, or the fleet is not as it should be
  3  a file cannot be read, or a node gives no answer
)";

constexpr std::string_view kFlags = R"(Flags:
  --json                  print JSON for scripts instead of tables
  --nodes=IP:PORT,...     peer addresses of the nodes to ask
  --timeout=2s            time that one node has to answer
  --window=5s             time that "diagnose" observes; 0s takes all numbers
                          since the nodes started
  --deadline=11s          how long "verify" waits for the nodes
  --reason=TEXT           why "drain" stops the node; goes to the node's log
  --ca=FILE --cert=FILE --key=FILE
                          PEM files for mutual TLS; plaintext without them
  --help                  print this text
)";

std::vector<std::string> SplitWords(std::string_view text) {
  return absl::StrSplit(absl::string_view(text.data(), text.size()), ' ');
}

// Number of leading words of `words` that are the name of `command`; 0 if it
// is another one.
size_t MatchLength(const Command& command,
                   const std::vector<std::string>& words) {
  const std::vector<std::string> name = SplitWords(command.name);
  if (words.size() < name.size()) return 0;
  const bool is_equal = std::equal(name.begin(), name.end(), words.begin());
  return is_equal ? name.size() : 0;
}

std::string UsageLine(const Command& command) {
  std::string line = "vtctl ";
  line.append(command.name);
  if (!command.arguments.empty()) line.append(" ").append(command.arguments);
  if (command.needs_nodes) line.append(" --nodes=IP:PORT,...");
  return line;
}

ExitStatus ReportUnknownCommand(const std::vector<std::string>& words,
                                std::ostream& error) {
  if (words.empty()) {
    error << "vtctl: no command given\n";
  } else {
    error << "vtctl: unknown command \"" << absl::StrJoin(words, " ") << "\"\n";
  }
  // A first word that is known narrows the suggestions.
  for (const Command& command : kCommands) {
    const bool is_candidate =
        words.empty() || SplitWords(command.name).front() == words.front();
    if (is_candidate) error << "  " << UsageLine(command) << '\n';
  }
  error << "Try \"vtctl --help\".\n";
  return ExitStatus::kUsage;
}

}  // namespace

std::span<const Command> AllCommands() { return kCommands; }

std::string HelpText() {
  std::string text =
      "vtctl: the operators' command line of vanillatiller.\n\n"
      "Usage: vtctl COMMAND [ARGUMENT...] [FLAG...]\n\nCommands:\n";
  for (const Command& command : kCommands) {
    text.append("  ").append(UsageLine(command)).append("\n      ");
    text.append(command.summary).append("\n");
  }
  text.append("\n").append(kFlags).append("\n").append(kExitStatuses);
  return text;
}

ExitStatus RunCommand(const std::vector<std::string>& words,
                      const CommandOptions& options, FleetClient* client,
                      std::ostream& out, std::ostream& error) {
  if (!words.empty() && words.front() == "help") {
    out << HelpText();
    return ExitStatus::kOk;
  }
  for (const Command& command : kCommands) {
    const size_t name_length = MatchLength(command, words);
    if (name_length == 0) continue;
    const size_t argument_count = words.size() - name_length;
    if (argument_count != command.argument_count) {
      error << "vtctl: \"" << command.name << "\" takes "
            << command.argument_count << " arguments, found " << argument_count
            << "\nUsage: " << UsageLine(command) << '\n';
      return ExitStatus::kUsage;
    }
    if (command.needs_nodes && options.nodes.empty()) {
      error << "vtctl: \"" << command.name
            << "\" needs the addresses of nodes\nUsage: " << UsageLine(command)
            << '\n';
      return ExitStatus::kUsage;
    }
    return command.run(
        {{words.begin() + static_cast<ptrdiff_t>(name_length), words.end()},
         options,
         &out,
         &error,
         client});
  }
  return ReportUnknownCommand(words, error);
}

}  // namespace vanillatiller
