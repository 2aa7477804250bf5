// vanillatillerd: the node daemon that runs beside each backend server.

#include <malloc.h>
#include <pthread.h>
#include <signal.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/synchronization/mutex.h"
#include "node/log.h"
#include "node/node.h"

ABSL_FLAG(std::string, settings, "", "TOML file with the settings of the node");
ABSL_FLAG(bool, check, false, "check the settings and exit");
ABSL_FLAG(bool, verbose, false, "also log debug events");

namespace vanillatiller {
namespace {

constexpr int kExitUsage = 2;
// Blocks of at least this size, such as bodies, are returned to the system as
// soon as they are freed; otherwise each thread's arena would keep them.
constexpr int kMmapThresholdBytes = 128 << 10;

std::optional<NodeSettings> LoadSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << path << ": cannot open the settings file\n";
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  Findings findings;
  auto settings = ParseSettings(text.str(), path, &findings);
  std::cerr << FormatFindings(findings);
  return settings;
}

int Run(const NodeSettings& settings) {
  // Blocks the signals before any thread starts, so that all threads inherit
  // the mask and only sigwait below receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);

  InitLogging(absl::GetFlag(FLAGS_verbose) ? LogLevel::kDebug : LogLevel::kInfo,
              settings.vm);
  // Debian's Abseil is built with deadlock detection for all mutexes, including
  // those of gRPC, which takes about 6% of the CPU time of an idle node.
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  Node node(settings);
  Reason reason;
  if (!node.Start(&reason)) {
    Log(LogLevel::kError, "start-failed", {{"reason", reason.text}});
    return 1;
  }
  int received = 0;
  sigwait(&signals, &received);
  node.Drain();
  return 0;
}

}  // namespace
}  // namespace vanillatiller

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "vanillatillerd --settings=FILE [--check] [--verbose]\n"
      "Runs the node beside a backend server. SIGTERM drains and stops it.\n"
      "Exit status: 0 after a drain, 1 if the node cannot start, 2 if the\n"
      "settings are invalid.");
  absl::ParseCommandLine(argc, argv);
  const auto settings =
      vanillatiller::LoadSettings(absl::GetFlag(FLAGS_settings));
  if (!settings) return vanillatiller::kExitUsage;
  if (absl::GetFlag(FLAGS_check)) return 0;
  return vanillatiller::Run(*settings);
}
