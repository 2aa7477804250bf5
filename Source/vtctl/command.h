#ifndef VANILLATILLER_SOURCE_VTCTL_COMMAND_H_
#define VANILLATILLER_SOURCE_VTCTL_COMMAND_H_

#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "vtctl/fleet_client.h"

namespace vanillatiller {

// Exit statuses of vtctl, for use in scripts. The flags library also exits with
// 1 if it finds an unknown flag.
enum class ExitStatus : int {
  kOk = 0,
  kUsage = 1,
  // The input is invalid, or the fleet is not in the expected state.
  kFailed = 2,
  // A file could not be read, or a node did not answer.
  kUnreachable = 3,
};

// Options set by command line flags.
struct CommandOptions {
  bool json = false;
  // Peer addresses, "IP:PORT".
  std::vector<std::string> nodes;
  // Maximum time that `verify` waits for the fleet.
  Duration deadline = std::chrono::seconds(11);
  // Time between the two samples of `diagnose`. With zero, it evaluates the
  // counters since the start of each node.
  Duration window = std::chrono::seconds(5);
  std::string reason;
};

// Arguments and environment of one execution of a command.
struct Invocation {
  // Positional arguments that follow the command name.
  std::vector<std::string> arguments;
  CommandOptions options;
  std::ostream* out;
  std::ostream* error;
  // May be null for commands that call no node.
  FleetClient* client;
};

using CommandFunction = ExitStatus (*)(const Invocation&);

struct Command {
  // One or more words separated by spaces, such as "note diff".
  std::string_view name;
  std::string_view arguments;
  std::string_view summary;
  size_t argument_count;
  bool needs_nodes;
  CommandFunction run;
};

// Returns all commands in the order of the help text.
std::span<const Command> AllCommands();

// Returns the text printed by `vtctl --help`.
std::string HelpText();

// Selects and runs a command. `words` holds the command line without flags.
ExitStatus RunCommand(const std::vector<std::string>& words,
                      const CommandOptions& options, FleetClient* client,
                      std::ostream& out, std::ostream& error);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTCTL_COMMAND_H_
