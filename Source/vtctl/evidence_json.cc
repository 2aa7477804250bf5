#include "vtctl/evidence_json.h"

#include "vtctl/node_answers.h"

namespace vanillatiller {
namespace {

using Json = nlohmann::json;

const Json& Child(const Json& object, const char* field) {
  static const Json kEmpty;
  if (!object.is_object() || !object.contains(field)) return kEmpty;
  return object[field];
}

EdgeEvidence EdgeFromJson(const Json& json) {
  EdgeEvidence edge;
  edge.caller = Text(json, "caller");
  edge.callee = Text(json, "callee");
  edge.rank = Text(json, "rank");
  edge.calls = Number(json, "calls");
  edge.attempts = Number(json, "attempts");
  edge.complete = Number(Child(json, "outcomes"), "complete");
  const Json& refusals = Child(json, "refusals");
  edge.overload_refusals = Number(refusals, "overload") +
                           Number(refusals, "below-threshold") +
                           Number(refusals, "backend-refused");
  edge.deadline_exceeded = Number(refusals, "deadline-exceeded");
  edge.connections_lost = Number(refusals, "connection-lost");
  const Json& refusers = Child(json, "first_refusers");
  if (refusers.is_object()) {
    for (const auto& [service, count] : refusers.items()) {
      edge.first_refusers[service] = Number(refusers, service.c_str());
    }
  }
  edge.round_trip_us = Number(json, "round_trip_us");
  edge.queue_wait_us = Number(json, "queue_wait_us");
  edge.backend_us = Number(json, "backend_us");
  return edge;
}

ConnectionEvidence ConnectionFromJson(const Json& json) {
  ConnectionEvidence connection;
  connection.caller = Text(json, "caller");
  connection.callee = Text(json, "callee");
  connection.connect_failures = Number(json, "connect_failures");
  connection.silent_connections = Number(json, "silent_connections");
  connection.probes = Number(json, "probes");
  connection.probe_failures = Number(json, "probe_failures");
  connection.probe_round_trip_us = Number(json, "probe_round_trip_us");
  return connection;
}

ServiceEvidence ServiceFromJson(const Json& json) {
  const Json& load = Child(json, "load");
  ServiceEvidence service;
  service.service = Text(json, "service");
  service.nodes = 1;
  service.slots = Number(load, "slots");
  service.concurrency_limit = Number(load, "concurrency_limit");
  service.in_flight = Number(load, "in_flight");
  service.queued = Number(load, "queued");
  service.offered = Number(load, "offered");
  service.limit_reached = Number(load, "limit_reached");
  return service;
}

}  // namespace

FleetEvidence EvidenceFromJson(const nlohmann::json& status) {
  FleetEvidence evidence;
  evidence.services.push_back(ServiceFromJson(status));
  const Json& edges = Child(status, "edges");
  if (edges.is_array()) {
    for (const Json& edge : edges) {
      evidence.edges.push_back(EdgeFromJson(edge));
    }
  }
  const Json& connections = Child(status, "connections");
  if (connections.is_array()) {
    for (const Json& connection : connections) {
      evidence.connections.push_back(ConnectionFromJson(connection));
    }
  }
  return evidence;
}

nlohmann::json DiagnosisToJson(const Diagnosis& diagnosis) {
  Json edges = Json::array();
  for (const EdgeDiagnosis& edge : diagnosis.edges) {
    edges.push_back({{"caller", edge.caller},
                     {"callee", edge.callee},
                     {"rank", edge.rank},
                     {"verdict", VerdictName(edge.verdict)},
                     {"evidence", edge.evidence}});
  }
  Json origins = Json::array();
  for (const OverloadOrigin& origin : diagnosis.origins) {
    origins.push_back({{"service", origin.service},
                       {"refusals", origin.refusals},
                       {"evidence", origin.evidence}});
  }
  return {{"verdict", VerdictName(diagnosis.verdict)},
          {"edges", std::move(edges)},
          {"origins", std::move(origins)},
          {"remarks", diagnosis.remarks}};
}

}  // namespace vanillatiller
