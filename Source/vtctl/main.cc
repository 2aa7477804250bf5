// vtctl: the operators' command line.

#include <algorithm>
#include <iostream>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "vtctl/command.h"

ABSL_FLAG(bool, json, false, "print JSON for scripts instead of tables");

namespace {

bool AsksForHelp(int argc, char** argv) {
  return std::any_of(argv + 1, argv + argc, [](std::string_view argument) {
    return argument == "--help" || argument == "-h" || argument == "-help";
  });
}

vanillatiller::CommandOptions ReadOptions() {
  vanillatiller::CommandOptions options;
  options.json = absl::GetFlag(FLAGS_json);
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  // The flags library's own help exits with 1 and lists no commands.
  if (AsksForHelp(argc, argv)) {
    std::cout << vanillatiller::HelpText();
    return 0;
  }
  absl::SetProgramUsageMessage(vanillatiller::HelpText());
  const std::vector<char*> arguments = absl::ParseCommandLine(argc, argv);
  const std::vector<std::string> words(arguments.begin() + 1, arguments.end());
  return static_cast<int>(vanillatiller::RunCommand(
      words, ReadOptions(), nullptr, std::cout, std::cerr));
}
