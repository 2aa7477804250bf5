// Command line of vtstub: runs a backend server, the platform or a TCP relay.

#include <signal.h>
#include <sys/resource.h>

#include <exception>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/strings/str_split.h"
#include "http/http.h"
#include "vtstub/vtstub.h"

ABSL_FLAG(std::string, mode, "backend", "backend, platform or relay");
ABSL_FLAG(std::string, ip, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(int, port, 0, "port to listen on");
ABSL_FLAG(std::string, config, "", "platform: configuration file");
ABSL_FLAG(std::string, vms, "",
          "platform: file with the VM list as a JSON array");
ABSL_FLAG(std::string, name, "backend",
          "backend: server name reported in responses");
ABSL_FLAG(int, node_port, 0, "backend: port of the node's local listener");
ABSL_FLAG(std::string, calls, "",
          "backend: downstream calls by method, for example "
          "\"book=ledger.charge,records.append;show=records.find\"");
ABSL_FLAG(uint32_t, slots, 0,
          "backend: maximum number of concurrent calls; 0 for no limit");
ABSL_FLAG(double, service_ms, 0, "backend: mean service time in milliseconds");
ABSL_FLAG(
    std::string, distribution, "constant",
    "backend: distribution of the service times: constant, exponential or "
    "lognormal");
ABSL_FLAG(uint64_t, seed, 1, "backend: random seed of the service times");
ABSL_FLAG(int, listen_port, 0, "relay: port to accept connections on");
ABSL_FLAG(int, target_port, 0, "relay: port to forward connections to");
ABSL_FLAG(uint32_t, threads, 4000,
          "maximum number of connections served concurrently");

namespace vanillatiller {
namespace {

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

// Raises the file descriptor limit to the hard limit, because each connection
// uses a descriptor.
void RaiseFileLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

int Listen(HttpServer* server) {
  server->set_keep_alive_timeout(kKeepAliveSeconds);
  const int port = absl::GetFlag(FLAGS_port);
  if (server->Bind(absl::GetFlag(FLAGS_ip), port)) {
    return server->listen_after_bind() ? 0 : 1;
  }
  std::cerr << "vtstub: cannot listen on port " << port << "\n";
  return 1;
}

std::map<std::string, std::vector<std::string>> ParseCalls(
    const std::string& text) {
  std::map<std::string, std::vector<std::string>> calls;
  for (const auto& part : absl::StrSplit(text, ';', absl::SkipEmpty())) {
    const std::pair<std::string, std::string> entry =
        absl::StrSplit(part, absl::MaxSplits('=', 1));
    calls[entry.first] = absl::StrSplit(entry.second, ',');
  }
  return calls;
}

int RunRelay() {
  TcpRelay relay(absl::GetFlag(FLAGS_ip), absl::GetFlag(FLAGS_listen_port),
                 absl::GetFlag(FLAGS_target_port));
  if (!relay.Start()) {
    std::cerr << "vtstub: cannot listen on port "
              << absl::GetFlag(FLAGS_listen_port) << "\n";
    return 1;
  }
  HttpServer server(absl::GetFlag(FLAGS_threads));
  relay.RegisterHandlers(server);
  return Listen(&server);
}

int RunBackend() {
  const auto distribution =
      ParseServiceTimeDistribution(absl::GetFlag(FLAGS_distribution));
  if (!distribution) {
    std::cerr << "vtstub: unknown --distribution; expected constant, "
                 "exponential or lognormal\n";
    return 1;
  }
  BackendServer backend({.name = absl::GetFlag(FLAGS_name),
                         .node_ip = absl::GetFlag(FLAGS_ip),
                         .node_port = absl::GetFlag(FLAGS_node_port),
                         .calls = ParseCalls(absl::GetFlag(FLAGS_calls)),
                         .slots = absl::GetFlag(FLAGS_slots),
                         .service_time_distribution = *distribution,
                         .service_time = std::chrono::duration_cast<Duration>(
                             std::chrono::duration<double, std::milli>(
                                 absl::GetFlag(FLAGS_service_ms))),
                         .seed = absl::GetFlag(FLAGS_seed)});
  HttpServer server(absl::GetFlag(FLAGS_threads));
  backend.RegisterHandlers(&server);
  return Listen(&server);
}

int RunPlatform() {
  const auto config = ReadFile(absl::GetFlag(FLAGS_config));
  const auto list = ReadFile(absl::GetFlag(FLAGS_vms));
  if (!config || !list) return 1;
  auto vms = nlohmann::json::parse(*list, nullptr, false);
  if (!vms.is_array()) {
    std::cerr << "vtstub: --vms is not a JSON array\n";
    return 1;
  }
  PlatformServer platform(std::move(vms));
  if (!platform.SetConfig(*config)) {
    std::cerr << "vtstub: --config is larger than 1 MB\n";
    return 1;
  }
  HttpServer server(absl::GetFlag(FLAGS_threads));
  platform.RegisterHandlers(&server);
  return Listen(&server);
}

int Main() {
  signal(SIGPIPE, SIG_IGN);
  RaiseFileLimit();
  const std::string mode = absl::GetFlag(FLAGS_mode);
  if (mode == "backend") return RunBackend();
  if (mode == "platform") return RunPlatform();
  if (mode == "relay") return RunRelay();
  std::cerr << "vtstub: unknown --mode \"" << mode << "\"\n";
  return 1;
}

}  // namespace
}  // namespace vanillatiller

int main(int argc, char** argv) try {
  absl::SetProgramUsageMessage(
      "Simulates a backend server or the platform, or relays TCP connections.");
  absl::ParseCommandLine(argc, argv);
  return vanillatiller::Main();
} catch (const std::exception& error) {
  std::cerr << "vtstub: " << error.what() << "\n";
  return 1;
}
