// Command line tool for operators of a fleet.

#include <algorithm>
#include <iostream>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/time/time.h"
#include "vtctl/command.h"
#include "vtctl/grpc_fleet_client.h"

ABSL_FLAG(bool, json, false, "print JSON for scripts instead of tables");
ABSL_FLAG(std::vector<std::string>, nodes, {}, "peer addresses of the nodes");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(2),
          "timeout of each call to a node");
ABSL_FLAG(absl::Duration, deadline, absl::Seconds(11),
          "maximum time that verify waits for the nodes");
ABSL_FLAG(absl::Duration, window, absl::Seconds(5),
          "observation period of diagnose");
ABSL_FLAG(std::string, reason, "",
          "reason for the drain, written to the log of the node");
ABSL_FLAG(std::string, ca, "", "PEM file with the certificate authority");
ABSL_FLAG(std::string, cert, "", "PEM file with the client certificate");
ABSL_FLAG(std::string, key, "", "PEM file with the client key");

namespace {

bool HasHelpFlag(int argc, char** argv) {
  return std::any_of(argv + 1, argv + argc, [](std::string_view argument) {
    return argument == "--help" || argument == "-h" || argument == "-help";
  });
}

vanillatiller::CommandOptions CommandOptionsFromFlags() {
  vanillatiller::CommandOptions options;
  options.json = absl::GetFlag(FLAGS_json);
  options.nodes = absl::GetFlag(FLAGS_nodes);
  options.deadline = absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_deadline));
  options.window = absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_window));
  options.reason = absl::GetFlag(FLAGS_reason);
  return options;
}

vanillatiller::ClientSettings ClientSettingsFromFlags() {
  vanillatiller::ClientSettings settings;
  settings.timeout = absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_timeout));
  settings.ca_file = absl::GetFlag(FLAGS_ca);
  settings.certificate_file = absl::GetFlag(FLAGS_cert);
  settings.key_file = absl::GetFlag(FLAGS_key);
  return settings;
}

}  // namespace

int main(int argc, char** argv) {
  // The built-in help of the flags library exits with status 1 and does not
  // list the commands.
  if (HasHelpFlag(argc, argv)) {
    std::cout << vanillatiller::HelpText();
    return 0;
  }
  absl::SetProgramUsageMessage(vanillatiller::HelpText());
  const std::vector<char*> arguments = absl::ParseCommandLine(argc, argv);
  const std::vector<std::string> words(arguments.begin() + 1, arguments.end());
  vanillatiller::Reason reason;
  const auto client =
      vanillatiller::MakeGrpcFleetClient(ClientSettingsFromFlags(), &reason);
  if (!client) {
    std::cerr << "vtctl: " << reason.text << '\n';
    return static_cast<int>(vanillatiller::ExitStatus::kUnreachable);
  }
  return static_cast<int>(vanillatiller::RunCommand(
      words, CommandOptionsFromFlags(), client.get(), std::cout, std::cerr));
}
