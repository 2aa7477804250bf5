#include "vtctl/command.h"

#include <array>

#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "vtctl/commands.h"

namespace vanillatiller {
namespace {

constexpr auto kCommands = std::to_array<Command>({
    {"note diff", "OLD NEW",
     "print the release note that changes the configuration OLD to NEW", 2,
     false, NoteDiff},
    {"note check", "BASE NOTE",
     "report all errors of NOTE when applied to the configuration BASE", 2,
     false, NoteCheck},
    {"note apply", "BASE NOTE",
     "print the configuration that results from applying NOTE to BASE", 2,
     false, NoteApply},
    {"status", "", "show the state of each node", 0, true, ShowStatus},
    {"members", "",
     "show the members known to the nodes, and differences between the nodes",
     0, true, ShowMembers},
    {"histogram", "",
     "show latency, queue wait and added latency by service, tenant and rank, "
     "summed over the nodes",
     0, true, ShowHistogram},
    {"diagnose", "",
     "classify each edge and rank as healthy, overload, network or both, and "
     "show the service where an overload begins",
     0, true, Diagnose},
    {"verify", "NOTE",
     "wait until NOTE is in force on all nodes, and list the nodes that "
     "differ, "
     "are unreachable or are unconfirmed",
     1, true, VerifyNote},
    {"drain", "NODE",
     "start a graceful shutdown of the node with the peer address NODE", 1,
     false, DrainNode},
});

constexpr std::string_view kExitStatuses =
    R"(Exit statuses:
  0  success: the input is valid, the fleet is in the expected state
  1  usage error: unknown command or flag, missing argument
  2  the input is invalid, or the fleet is not in the expected state
  3  a file could not be read, or a node did not answer
)";

constexpr std::string_view kFlags = R"(Flags:
  --json                  print JSON for scripts instead of tables
  --nodes=IP:PORT,...     peer addresses of the nodes to query
  --timeout=2s            timeout of each call to a node
  --window=5s             observation period of "diagnose"; 0s uses the counters
                          since the start of each node
  --deadline=11s          maximum time that "verify" waits for the nodes
  --reason=TEXT           reason for "drain", written to the log of the node
  --ca=FILE --cert=FILE --key=FILE
                          PEM files for mutual TLS; default is plaintext
  --help                  print this text
)";

std::vector<std::string> SplitWords(std::string_view text) {
  return absl::StrSplit(absl::string_view(text.data(), text.size()), ' ');
}

// Returns the number of leading words that form the name of `command`, or 0 if
// `words` does not start with that name.
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
  // If the first word is valid, suggest only the commands that start with it.
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
      "vtctl: command line tool for operators of vanillatiller.\n\n"
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
            << "\" requires --nodes\nUsage: " << UsageLine(command) << '\n';
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
