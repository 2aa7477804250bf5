#include "vtctl/evidence_json.h"

#include "vtctl/node_status.h"

namespace vanillatiller {
namespace {

using Json = nlohmann::json;

const Json& FieldOrNull(const Json& object, const char* field) {
  static const Json kEmpty;
  if (!object.is_object() || !object.contains(field)) return kEmpty;
  return object[field];
}

EdgeEvidence EdgeFromJson(const Json& json) {
  EdgeEvidence edge;
  edge.caller = StringField(json, "caller");
  edge.callee = StringField(json, "callee");
  edge.rank = StringField(json, "rank");
  edge.calls = NumberField(json, "calls");
  edge.attempts = NumberField(json, "attempts");
  edge.complete = NumberField(FieldOrNull(json, "outcomes"), "complete");
  const Json& refusals = FieldOrNull(json, "refusals");
  edge.overload_refusals = NumberField(refusals, "overload") +
                           NumberField(refusals, "below-threshold") +
                           NumberField(refusals, "backend-refused");
  edge.deadline_exceeded = NumberField(refusals, "deadline-exceeded");
  edge.connections_lost = NumberField(refusals, "connection-lost");
  const Json& refusers = FieldOrNull(json, "first_refusers");
  if (refusers.is_object()) {
    for (const auto& [service, count] : refusers.items()) {
      edge.first_refusers[service] = NumberField(refusers, service.c_str());
    }
  }
  edge.round_trip_us = NumberField(json, "round_trip_us");
  edge.queue_wait_us = NumberField(json, "queue_wait_us");
  edge.backend_us = NumberField(json, "backend_us");
  return edge;
}

ConnectionEvidence ConnectionFromJson(const Json& json) {
  ConnectionEvidence connection;
  connection.caller = StringField(json, "caller");
  connection.callee = StringField(json, "callee");
  connection.connect_failures = NumberField(json, "connect_failures");
  connection.silent_connections = NumberField(json, "silent_connections");
  connection.probes = NumberField(json, "probes");
  connection.probe_failures = NumberField(json, "probe_failures");
  connection.probe_round_trip_us = NumberField(json, "probe_round_trip_us");
  return connection;
}

ServiceEvidence ServiceFromJson(const Json& json) {
  const Json& load = FieldOrNull(json, "load");
  ServiceEvidence service;
  service.service = StringField(json, "service");
  service.nodes = 1;
  service.slots = NumberField(load, "slots");
  service.concurrency_limit = NumberField(load, "concurrency_limit");
  service.in_flight = NumberField(load, "in_flight");
  service.queued = NumberField(load, "queued");
  service.offered = NumberField(load, "offered");
  service.limit_reached = NumberField(load, "limit_reached");
  return service;
}

}  // namespace

FleetEvidence EvidenceFromJson(const nlohmann::json& status) {
  FleetEvidence evidence;
  evidence.services.push_back(ServiceFromJson(status));
  const Json& edges = FieldOrNull(status, "edges");
  if (edges.is_array()) {
    for (const Json& edge : edges) {
      evidence.edges.push_back(EdgeFromJson(edge));
    }
  }
  const Json& connections = FieldOrNull(status, "connections");
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
