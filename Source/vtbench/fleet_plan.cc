#include "vtbench/fleet_plan.h"

#include <fstream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "nlohmann/json.hpp"

namespace vanillatiller {
namespace {

// Ports of one VM, in the order of VmPorts.
constexpr int kPortsPerVm = 7;

std::string Loopback(int port) { return absl::StrCat("127.0.0.1:", port); }

// The listeners of one VM.
struct VmPorts {
  int public_port;
  int local_port;
  int peer_port;
  int admin_port;
  int backend_port;
  int relay_port;
  int relay_control_port;

  explicit VmPorts(int first)
      : public_port(first),
        local_port(first + 1),
        peer_port(first + 2),
        admin_port(first + 3),
        backend_port(first + 4),
        relay_port(first + 5),
        relay_control_port(first + 6) {}
};

// One VM of the fleet.
struct Vm {
  std::string name;
  std::string service;
  const FailureDomainConfig& domain;
  VmPorts ports;
  bool has_relay;

  // Where other nodes reach this one.
  int advertised_port() const {
    return has_relay ? ports.relay_port : ports.peer_port;
  }
};

std::string NodeSettingsToml(const Vm& vm, const Policy& policy,
                             int platform_port) {
  const auto quote = [](const std::string& text) {
    return absl::StrCat("\"", text, "\"\n");
  };
  return absl::StrCat(
      "[node]\nvm = ", quote(vm.name), "service = ", quote(vm.service),
      "region = ", quote(vm.domain.region),
      "failure_domain = ", quote(vm.domain.name), "[listeners]\n",
      "public = ", quote(Loopback(vm.ports.public_port)),
      "local = ", quote(Loopback(vm.ports.local_port)),
      "peer = ", quote(Loopback(vm.ports.peer_port)),
      "admin = ", quote(Loopback(vm.ports.admin_port)),
      "advertised_peer = ", quote(Loopback(vm.advertised_port())),
      "[backend]\n", "address = ", quote(Loopback(vm.ports.backend_port)),
      "[platform]\n", "address = ", quote(Loopback(platform_port)),
      "[limits]\nmax_http_threads = 4000\n", "[policy]\n",
      "admission = ", quote(policy.admission),
      "retries = ", quote(policy.retries), "routing = ", quote(policy.routing));
}

// The value of vtstub's --calls.
std::string CallsFlag(const ServiceConfig& service) {
  std::string text;
  for (const MethodConfig& method : service.methods) {
    if (method.calls.empty()) continue;
    absl::StrAppend(&text, text.empty() ? "" : ";", method.name, "=",
                    absl::StrJoin(method.calls, ","));
  }
  return text;
}

PlannedProcess PlanNode(const Vm& vm, const Policy& policy, int platform_port,
                        const std::string& directory) {
  PlannedProcess node;
  node.name = "node:" + vm.name;
  node.service = vm.service;
  node.program = "vanillatillerd";
  node.settings_name = vm.name + ".toml";
  node.settings = NodeSettingsToml(vm, policy, platform_port);
  node.arguments = {
      absl::StrCat("--settings=", directory, "/", node.settings_name)};
  node.address = Loopback(vm.ports.public_port);
  node.admin_address = Loopback(vm.ports.admin_port);
  return node;
}

PlannedProcess PlanStub(const Vm& vm, const ServiceConfig& service,
                        const ServerModel& model, uint64_t seed) {
  PlannedProcess stub;
  stub.name = "stub:" + vm.name;
  stub.service = vm.service;
  stub.program = "vtstub";
  stub.arguments = {"--mode=backend",
                    absl::StrCat("--port=", vm.ports.backend_port),
                    absl::StrCat("--name=", vm.name),
                    absl::StrCat("--node_port=", vm.ports.local_port),
                    absl::StrCat("--calls=", CallsFlag(service)),
                    absl::StrCat("--slots=", model.slots),
                    absl::StrCat("--service_ms=", model.service_time.count()),
                    absl::StrCat("--distribution=", model.distribution),
                    absl::StrCat("--seed=", seed)};
  stub.address = Loopback(vm.ports.backend_port);
  stub.control_address = stub.address;
  return stub;
}

PlannedProcess PlanRelay(const Vm& vm) {
  PlannedProcess relay;
  relay.name = "relay:" + vm.name;
  relay.service = vm.service;
  relay.program = "vtstub";
  relay.arguments = {"--mode=relay",
                     absl::StrCat("--port=", vm.ports.relay_control_port),
                     absl::StrCat("--listen_port=", vm.ports.relay_port),
                     absl::StrCat("--target_port=", vm.ports.peer_port)};
  relay.address = Loopback(vm.ports.relay_control_port);
  relay.control_address = relay.address;
  return relay;
}

}  // namespace

FleetPlan::FleetPlan(const Experiment& experiment, const Policy& policy,
                     uint16_t base_port, std::string directory)
    : m_directory(std::move(directory)),
      m_config(FleetConfigToToml(experiment.fleet)) {
  PlannedProcess platform;
  platform.name = "platform";
  platform.program = "vtstub";
  platform.arguments = {"--mode=platform", absl::StrCat("--port=", base_port),
                        absl::StrCat("--config=", m_directory, "/config.toml"),
                        absl::StrCat("--vms=", m_directory, "/vms.json")};
  platform.address = Loopback(base_port);
  platform.control_address = platform.address;
  m_processes.push_back(std::move(platform));

  nlohmann::json vms = nlohmann::json::array();
  const auto& domains = experiment.fleet.failure_domains;
  int port = base_port + 1;
  uint64_t seed = experiment.seed;
  for (const ServiceConfig& service : experiment.fleet.services) {
    const ServerModel& model = *experiment.FindServers(service.name);
    for (uint32_t i = 0; i < model.servers; ++i) {
      const Vm vm{absl::StrCat(service.name, "-", i + 1), service.name,
                  domains[i % domains.size()], VmPorts(port), model.relay};
      m_processes.push_back(PlanStub(vm, service, model, ++seed));
      m_processes.push_back(PlanNode(vm, policy, base_port, m_directory));
      if (vm.has_relay) m_processes.push_back(PlanRelay(vm));
      vms.push_back({{"vm", vm.name},
                     {"service", vm.service},
                     {"peer_address", Loopback(vm.advertised_port())},
                     {"failure_domain", vm.domain.name},
                     {"region", vm.domain.region},
                     {"state", "live"}});
      port += kPortsPerVm;
    }
  }
  m_vms = vms.dump(1);
}

std::string FleetPlan::Write() const {
  const auto write = [this](const std::string& name, const std::string& text) {
    std::ofstream file(m_directory + "/" + name);
    file << text;
    return file.flush().good();
  };
  std::string processes;
  bool written = write("config.toml", m_config) && write("vms.json", m_vms);
  for (const PlannedProcess& process : m_processes) {
    if (!process.settings.empty()) {
      written = written && write(process.settings_name, process.settings);
    }
    absl::StrAppend(&processes, process.name, "\t", process.program, "\t",
                    absl::StrJoin(process.arguments, " "), "\n");
  }
  written = written && write("processes", processes);
  return written ? "" : "cannot write to " + m_directory;
}

std::string FleetPlan::LoadProcessIds() {
  std::ifstream file(m_directory + "/pids");
  std::string name;
  int pid = 0;
  size_t loaded = 0;
  while (file >> name >> pid) {
    for (PlannedProcess& process : m_processes) {
      if (process.name != name) continue;
      process.pid = pid;
      ++loaded;
    }
  }
  if (loaded == m_processes.size()) return "";
  return absl::StrCat(m_directory, "/pids names ", loaded, " of ",
                      m_processes.size(), " processes");
}

std::vector<PlannedProcess> FleetPlan::Find(std::string_view target) const {
  std::vector<PlannedProcess> found;
  for (const PlannedProcess& process : m_processes) {
    const std::string kind = process.name.substr(0, process.name.find(':') + 1);
    const bool is_meant = process.name == target ||
                          (!kind.empty() && kind == target) ||
                          (!kind.empty() && kind + process.service == target);
    if (is_meant) found.push_back(process);
  }
  return found;
}

}  // namespace vanillatiller
