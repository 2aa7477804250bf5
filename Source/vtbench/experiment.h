#ifndef VANILLATILLER_SOURCE_VTBENCH_EXPERIMENT_H_
#define VANILLATILLER_SOURCE_VTBENCH_EXPERIMENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "fleetconfig/fleetconfig.h"

namespace vanillatiller {

// How the backend servers of one service are simulated.
struct ServerModel {
  std::string service;
  // Backend servers, each with its node.
  uint32_t servers = 1;
  // Slots and mean service time without downstream calls.
  uint32_t slots = 1;
  std::chrono::milliseconds service_time{20};
  // "constant", "exponential" or "lognormal".
  std::string distribution = "constant";
  // Puts a relay, "relay:VM", in front of each node's peer listener, so that
  // faults of the network can be injected.
  bool relay = false;
};

// A stream of requests of one kind.
struct LoadClass {
  std::string name;
  std::string tenant;
  std::string service;
  std::string method;
  // A request counts as goodput if it completes within this time from its
  // intended start.
  std::chrono::milliseconds deadline{1000};
  // The caller abandons one try after this time.
  std::chrono::milliseconds try_timeout{1000};
  // Further tries of the caller after a failure.
  uint32_t retries = 0;
  std::chrono::milliseconds retry_delay{0};
  // Sends X-Vt-Ticket and repeats only as the outcome permits.
  bool uses_ticket = false;
  // Sends straight to a backend server, past the nodes.
  bool direct = false;
  // Enters only at nodes of this service; empty means at any node.
  std::string entry_service;
  // Bytes of padding in the body of each request.
  uint32_t padding = 0;
};

// Requests a second of one class during one phase.
struct Demand {
  std::string load_class;
  double rate = 0;
};

struct Phase {
  std::string name;
  std::chrono::milliseconds duration{0};
  std::vector<Demand> demands;
  // The goodput of other phases is compared with that of this one.
  bool baseline = false;
  // The time until goodput is back to the baseline's is measured from the
  // start of this phase.
  bool recovery = false;
};

// One step of the fault schedule: an HTTP POST to a stub's control path or a
// signal to a process.
struct Fault {
  // From the start of the first phase.
  std::chrono::milliseconds at{0};
  // "platform", "stub:NAME", "node:NAME", "relay:NAME"; NAME is a VM ("s2-1")
  // or a service
  // ("s2"), which means all of its VMs.
  std::string target;
  // Control path with its query, such as "/control/slow?factor=10".
  std::string post;
  // "STOP", "CONT", "KILL" or "TERM".
  std::string signal;
};

// Settings of the nodes that are compared.
struct Policy {
  std::string name;
  std::string admission = "adaptive";
  std::string retries = "chain-budget";
  std::string routing = "two-choices";
};

struct Experiment {
  std::string name;
  std::string description;
  uint64_t seed = 1;
  // Requests that vtbench keeps open at once; arrivals beyond it are reported
  // as not sent, so that a too small value is visible.
  uint32_t max_in_flight = 2000;
  FleetConfig fleet;
  std::vector<ServerModel> servers;
  std::vector<LoadClass> classes;
  std::vector<Phase> phases;
  std::vector<Fault> faults;
  std::vector<Policy> policies;

  const LoadClass* FindClass(std::string_view class_name) const;
  const Policy* FindPolicy(std::string_view policy_name) const;
  const ServerModel* FindServers(std::string_view service) const;
  std::chrono::milliseconds TotalDuration() const;
};

// Parses an experiment file. Returns nullopt if there is any finding.
//
// "[[chain]]" generates services PREFIX1..PREFIXn, each method of one calling
// the same method of the next; "[[service]]" declares a single service.
std::optional<Experiment> ParseExperiment(std::string_view text,
                                          std::string_view source,
                                          Findings* findings);

// Writes a configuration value as TOML.
std::string FleetConfigToToml(const FleetConfig& config);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTBENCH_EXPERIMENT_H_
