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

// Exit statuses of vtctl, for scripts. 1 is also what the flags library gives
// for a flag that it does not know.
enum class ExitStatus : int {
  kOk = 0,
  kUsage = 1,
  // The input has faults, or the fleet is not as it should be.
  kFailed = 2,
  // A file could not be read, or a node gave no answer.
  kUnreachable = 3,
};

// The flags of the command line.
struct CommandOptions {
  bool json = false;
  // Peer addresses, "IP:PORT".
  std::vector<std::string> nodes;
  // How long `verify` waits for the fleet.
  Duration deadline = std::chrono::seconds(11);
  // Time between two samples of `diagnose`; zero judges everything since the
  // nodes started.
  Duration window = std::chrono::seconds(5);
  std::string reason;
};

// One run of a command.
struct Invocation {
  // Arguments after the command's name.
  std::vector<std::string> arguments;
  CommandOptions options;
  std::ostream* out;
  std::ostream* error;
  // Null for commands that talk to no node.
  FleetClient* client;
};

using CommandFunction = ExitStatus (*)(const Invocation&);

struct Command {
  // Words that select the command, "note diff".
  std::string_view name;
  std::string_view arguments;
  std::string_view summary;
  size_t argument_count;
  bool needs_nodes;
  CommandFunction run;
};

// All commands, in the order of the help text.
std::span<const Command> AllCommands();

// The text of `vtctl --help`.
std::string HelpText();

// Selects and runs a command. `words` are the arguments without flags.
ExitStatus RunCommand(const std::vector<std::string>& words,
                      const CommandOptions& options, FleetClient* client,
                      std::ostream& out, std::ostream& error);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTCTL_COMMAND_H_
