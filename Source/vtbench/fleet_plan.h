#ifndef VANILLATILLER_SOURCE_VTBENCH_FLEET_PLAN_H_
#define VANILLATILLER_SOURCE_VTBENCH_FLEET_PLAN_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "vtbench/experiment.h"

namespace vanillatiller {

// A process that Utilities/run_experiment.sh starts.
struct PlannedProcess {
  // "platform", "stub:VM", "node:VM" or "relay:VM".
  std::string name;
  std::string service;
  // Program ("vtstub" or "vanillatillerd") and its arguments.
  std::string program;
  std::vector<std::string> arguments;
  // Where POST /control/... is answered; empty for nodes.
  std::string control_address;
  // A node's public listener or a stub's listener.
  std::string address;
  // A node's admin listener.
  std::string admin_address;
  // Settings file of a node: name and content.
  std::string settings_name;
  std::string settings;
  // Process id; 0 until LoadProcessIds.
  int pid = 0;
};

// All processes of an experiment with their ports on the loopback interface.
// The same experiment, policy and base port always give the same plan.
class FleetPlan {
 public:
  FleetPlan(const Experiment& experiment, const Policy& policy,
            uint16_t base_port, std::string directory);

  // Writes the configuration value, the nodes' settings and the file
  // "processes" (a line for each process: name, program, arguments).
  // Returns an empty string or what went wrong.
  std::string Write() const;

  // Reads "NAME PID" lines from the file "pids" of the directory.
  // Returns an empty string or what went wrong.
  std::string LoadProcessIds();

  // Processes that `target` means: "platform", "stub:VM", "stub:SERVICE"
  // and the same for nodes and relays.
  std::vector<PlannedProcess> Find(std::string_view target) const;

  const std::vector<PlannedProcess>& processes() const { return m_processes; }

 private:
  std::string m_directory;
  std::string m_config;
  std::string m_vms;
  std::vector<PlannedProcess> m_processes;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTBENCH_FLEET_PLAN_H_
