#include "vtbench/fleet_plan.h"

#include <fstream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "nlohmann/json.hpp"

namespace vanillatiller {
namespace {

// Ports of one VM, from its first one.
constexpr int kPortsPerVm = 8;

}  // namespace

FleetPlan::FleetPlan(const Experiment& experiment, const Policy& policy,
                     uint16_t base_port, std::string directory)
    : m_directory(std::move(directory)),
      m_config(FleetConfigToToml(experiment.fleet)) {
  (void)policy;
  (void)base_port;
}

std::string FleetPlan::Write() const { return ""; }
std::string FleetPlan::LoadProcessIds() { return ""; }

std::vector<PlannedProcess> FleetPlan::Find(std::string_view target) const {
  std::vector<PlannedProcess> found;
  for (const PlannedProcess& process : m_processes) {
    const size_t colon = process.name.find(':');
    const std::string kind = process.name.substr(0, colon + 1);
    if (process.name == target || kind == target ||
        kind + process.service == target) {
      found.push_back(process);
    }
  }
  return found;
}

}  // namespace vanillatiller
