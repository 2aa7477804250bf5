// vtstub: stands in for a backend server or for the platform.

#include <httplib.h>
#include <signal.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/strings/str_split.h"
#include "vtstub/backend_stub.h"
#include "vtstub/platform_stub.h"

ABSL_FLAG(std::string, mode, "backend", "\"backend\" or \"platform\"");
ABSL_FLAG(std::string, ip, "127.0.0.1", "IP number to listen on");
ABSL_FLAG(int, port, 0, "port to listen on");
ABSL_FLAG(int, threads, 256, "threads, one for each open connection");
ABSL_FLAG(std::string, name, "backend", "backend: name given in answers");
ABSL_FLAG(int, node_port, 0, "backend: port of the node's local listener");
ABSL_FLAG(int, service_ms, 0, "backend: service time in milliseconds");
ABSL_FLAG(std::string, calls, "",
          "backend: downstream calls by method, for example "
          "\"book=ledger.charge,records.append;show=records.find\"");
ABSL_FLAG(std::string, config, "", "platform: file with the configuration");
ABSL_FLAG(std::string, vms, "", "platform: file with the VM list");

namespace vanillatiller {
namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

BackendStub::Options ReadBackendOptions() {
  BackendStub::Options options;
  options.name = absl::GetFlag(FLAGS_name);
  options.node_ip = absl::GetFlag(FLAGS_ip);
  options.node_port = absl::GetFlag(FLAGS_node_port);
  options.service_time =
      std::chrono::milliseconds(absl::GetFlag(FLAGS_service_ms));
  const std::string calls = absl::GetFlag(FLAGS_calls);
  for (const auto& part : absl::StrSplit(calls, ';', absl::SkipEmpty())) {
    const std::pair<std::string, std::string> entry =
        absl::StrSplit(part, absl::MaxSplits('=', 1));
    options.calls[entry.first] = absl::StrSplit(entry.second, ',');
  }
  return options;
}

int Run() {
  httplib::Server server;
  const int threads = absl::GetFlag(FLAGS_threads);
  server.new_task_queue = [threads] {
    return new httplib::ThreadPool(threads);
  };
  server.set_keep_alive_max_count(1'000'000'000);
  server.set_tcp_nodelay(true);
  BackendStub backend(ReadBackendOptions());
  PlatformStub platform(ReadFile(absl::GetFlag(FLAGS_config)),
                        ReadFile(absl::GetFlag(FLAGS_vms)));
  if (absl::GetFlag(FLAGS_mode) == "platform") {
    platform.Install(server);
  } else {
    backend.Install(server);
  }
  signal(SIGPIPE, SIG_IGN);
  if (server.listen(absl::GetFlag(FLAGS_ip), absl::GetFlag(FLAGS_port))) {
    return 0;
  }
  std::cerr << "vtstub: cannot listen on port " << absl::GetFlag(FLAGS_port)
            << "\n";
  return 1;
}

}  // namespace
}  // namespace vanillatiller

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "vtstub --mode=backend|platform --port=N ...\n"
      "Stands in for a backend server or for the platform.");
  absl::ParseCommandLine(argc, argv);
  return vanillatiller::Run();
}
