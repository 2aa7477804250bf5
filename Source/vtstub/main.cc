// Command line of vtstub: one backend server, or the platform.

#include <signal.h>
#include <sys/resource.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/strings/numbers.h"
#include "httplib.h"
#include "vtstub/growing_task_queue.h"
#include "vtstub/vtstub.h"

ABSL_FLAG(std::string, mode, "backend", "backend or platform");
ABSL_FLAG(std::string, listen, "127.0.0.1:0", "HOST:PORT of the HTTP listener");
ABSL_FLAG(std::string, config, "", "file with the configuration value");
ABSL_FLAG(std::string, vms, "", "platform: file with the JSON list of VMs");
ABSL_FLAG(std::string, service, "", "backend: name of the service");
ABSL_FLAG(std::string, node, "",
          "backend: HOST:PORT of its node's local "
          "listener");
ABSL_FLAG(uint32_t, slots, 8, "backend: concurrent calls");
ABSL_FLAG(double, service_ms, 20, "backend: mean service time");
ABSL_FLAG(std::string, distribution, "constant",
          "backend: constant, exponential or lognormal service times");
ABSL_FLAG(uint64_t, seed, 1, "backend: seed of the service times");
ABSL_FLAG(uint32_t, threads, 4000, "connections served at once");

namespace vanillatiller {
namespace {

constexpr size_t kKeepAliveRequests = 1'000'000'000;
constexpr time_t kKeepAliveSeconds = 600;

std::optional<std::string> ReadFile(const std::string& path) {
  const std::ifstream file(path);
  if (!file) {
    std::cerr << "vtstub: cannot read " << path << "\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// One open file for each connection.
void RaiseFileLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

int Listen(httplib::Server* server) {
  const std::string listen = absl::GetFlag(FLAGS_listen);
  const size_t colon = listen.rfind(':');
  int port = 0;
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(listen.substr(colon + 1), &port)) {
    std::cerr << "vtstub: --listen is not HOST:PORT: " << listen << "\n";
    return 1;
  }
  server->new_task_queue = [] {
    return new GrowingTaskQueue(absl::GetFlag(FLAGS_threads));
  };
  server->set_keep_alive_max_count(kKeepAliveRequests);
  server->set_keep_alive_timeout(kKeepAliveSeconds);
  server->set_tcp_nodelay(true);
  if (server->listen(listen.substr(0, colon), port)) return 0;
  std::cerr << "vtstub: cannot listen on " << listen << "\n";
  return 1;
}

std::optional<FleetConfig> ReadConfig(std::string* text) {
  const std::string path = absl::GetFlag(FLAGS_config);
  const auto content = ReadFile(path);
  if (!content) return std::nullopt;
  *text = *content;
  Findings findings;
  auto config = ParseFleetConfig(*text, path, &findings);
  if (!config) std::cerr << FormatFindings(findings);
  return config;
}

int RunBackend(const FleetConfig& config) {
  const auto shape = ParseServiceTimeShape(absl::GetFlag(FLAGS_distribution));
  if (!shape) {
    std::cerr << "vtstub: unknown --distribution\n";
    return 1;
  }
  BackendServer backend({.service = absl::GetFlag(FLAGS_service),
                         .node = absl::GetFlag(FLAGS_node),
                         .config = config,
                         .slots = absl::GetFlag(FLAGS_slots),
                         .shape = *shape,
                         .service_time = std::chrono::duration_cast<Duration>(
                             std::chrono::duration<double, std::milli>(
                                 absl::GetFlag(FLAGS_service_ms))),
                         .seed = absl::GetFlag(FLAGS_seed)});
  httplib::Server server;
  backend.Install(&server);
  return Listen(&server);
}

int RunPlatform(const FleetConfig& config, const std::string& text) {
  const auto list = ReadFile(absl::GetFlag(FLAGS_vms));
  if (!list) return 1;
  auto vms = nlohmann::json::parse(*list, nullptr, false);
  if (!vms.is_array()) {
    std::cerr << "vtstub: --vms is not a JSON array\n";
    return 1;
  }
  PlatformServer platform(std::move(vms));
  if (!platform.SetConfig(config.version, text)) {
    std::cerr << "vtstub: --config is larger than 1 MB\n";
    return 1;
  }
  httplib::Server server;
  platform.Install(&server);
  return Listen(&server);
}

int Main() {
  signal(SIGPIPE, SIG_IGN);
  RaiseFileLimit();
  std::string text;
  const auto config = ReadConfig(&text);
  if (!config) return 1;
  const std::string mode = absl::GetFlag(FLAGS_mode);
  if (mode == "backend") return RunBackend(*config);
  if (mode == "platform") return RunPlatform(*config, text);
  std::cerr << "vtstub: no mode \"" << mode << "\"\n";
  return 1;
}

}  // namespace
}  // namespace vanillatiller

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("stubs of backend servers and the platform");
  absl::ParseCommandLine(argc, argv);
  return vanillatiller::Main();
}
