#ifndef VANILLATILLER_SOURCE_DIAGNOSIS_EVIDENCE_H_
#define VANILLATILLER_SOURCE_DIAGNOSIS_EVIDENCE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"

namespace vanillatiller {

// Counters of one edge and rank over the observation window, summed over nodes.
struct EdgeEvidence {
  // Empty for requests of external callers.
  std::string caller;
  std::string callee;
  std::string rank;
  uint64_t calls = 0;
  uint64_t attempts = 0;
  uint64_t complete = 0;
  // Refusals with the codes overload, below-threshold and backend-refused, by
  // the callee or by a service that it calls, directly or indirectly.
  uint64_t overload_refusals = 0;
  // Attempts that exceeded their deadline.
  uint64_t deadline_exceeded = 0;
  // Attempts whose connection was lost before they were answered.
  uint64_t connections_lost = 0;
  // Refusals because of overload or an exceeded deadline, by the service in
  // which they originated.
  std::map<std::string, uint64_t> first_refusers;
  uint64_t round_trip_us = 0;
  uint64_t queue_wait_us = 0;
  uint64_t backend_us = 0;
};

// Connection counters of one edge over the observation window, summed over
// nodes.
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

// Evidence of a single node or of the whole fleet.
struct FleetEvidence {
  std::vector<EdgeEvidence> edges;
  std::vector<ConnectionEvidence> connections;
  std::vector<ServiceEvidence> services;
  // Names of the nodes that provided no evidence.
  std::vector<std::string> missing_nodes;
};

// Returns the counter increments between two samples of one node. If a counter
// of an item decreased, the process restarted, and the later counters of the
// item are returned unchanged.
FleetEvidence EvidenceSince(const FleetEvidence& earlier,
                            const FleetEvidence& later);

// Adds the counters of `item` to `sum`. Edges are matched by caller, callee and
// rank, connections by caller and callee, services by name.
void Add(const FleetEvidence& item, FleetEvidence* sum);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_DIAGNOSIS_EVIDENCE_H_
