#ifndef VANILLATILLER_SOURCE_DIAGNOSIS_EVIDENCE_H_
#define VANILLATILLER_SOURCE_DIAGNOSIS_EVIDENCE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"

namespace vanillatiller {

// Numbers of one edge and rank over the observed window, summed over nodes.
struct EdgeEvidence {
  // Empty for the entry of callers' requests.
  std::string caller;
  std::string callee;
  std::string rank;
  uint64_t calls = 0;
  uint64_t attempts = 0;
  uint64_t complete = 0;
  // Refusals with the codes overload, below-threshold and backend-refused, by
  // the callee or by a service below it.
  uint64_t overload_refusals = 0;
  // Attempts that passed their deadline.
  uint64_t deadline_exceeded = 0;
  // Attempts whose connection was lost before the answer.
  uint64_t connections_lost = 0;
  // Refusals for overload or for a deadline, by the service that refused
  // first.
  std::map<std::string, uint64_t> first_refusers;
  uint64_t round_trip_us = 0;
  uint64_t queue_wait_us = 0;
  uint64_t backend_us = 0;
};

// Connections of one edge over the window, summed over nodes.
struct ConnectionEvidence {
  std::string caller;
  std::string callee;
  uint64_t connect_failures = 0;
  uint64_t silent_connections = 0;
  uint64_t probes = 0;
  uint64_t probe_failures = 0;
  uint64_t probe_round_trip_us = 0;
};

// Load of one service, summed over its nodes.
struct ServiceEvidence {
  std::string service;
  uint64_t nodes = 0;
  uint64_t slots = 0;
  uint64_t concurrency_limit = 0;
  uint64_t in_flight = 0;
  uint64_t queued = 0;
  uint64_t offered = 0;
  uint64_t limit_reached = 0;
};

// Evidence of one node or of the whole fleet.
struct FleetEvidence {
  std::vector<EdgeEvidence> edges;
  std::vector<ConnectionEvidence> connections;
  std::vector<ServiceEvidence> services;
  // Names of the nodes that gave no evidence.
  std::vector<std::string> missing_nodes;
};

// What was counted between two samples of one node. Counters that are lower
// than before belong to a restarted process and are taken whole.
FleetEvidence EvidenceSince(const FleetEvidence& earlier,
                            const FleetEvidence& later);

// Adds the counters of `item` to those of `sum`, edge by edge.
void Add(const FleetEvidence& item, FleetEvidence* sum);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_DIAGNOSIS_EVIDENCE_H_
