#define BOOST_TEST_MODULE diagnosis
#include "diagnosis/diagnosis.h"

#include <boost/test/unit_test.hpp>

namespace vanillatiller {
namespace {

constexpr uint64_t kCalls = 10'000;
constexpr uint64_t kMillisecond = 1000;

EdgeEvidence HealthyEdge(std::string caller, std::string callee,
                         uint64_t backend_ms) {
  EdgeEvidence edge;
  edge.caller = std::move(caller);
  edge.callee = std::move(callee);
  edge.rank = "urgent";
  edge.calls = kCalls;
  edge.attempts = kCalls;
  edge.complete = kCalls;
  edge.backend_us = kCalls * backend_ms * kMillisecond;
  edge.queue_wait_us = kCalls * kMillisecond / 10;
  edge.round_trip_us = edge.backend_us + kCalls * kMillisecond;
  return edge;
}

ServiceEvidence HealthyService(std::string name) {
  return {std::move(name), 6, 420, 420, 100, 0, kCalls, 100};
}

// Callers -> booking -> ledger -> records, and booking -> calendar.
enum EdgeIndex { kEntry, kToLedger, kToRecords, kToCalendar };
enum ServiceIndex { kBooking, kLedger, kRecords, kCalendar };

FleetEvidence HealthyFleet() {
  FleetEvidence fleet;
  fleet.edges = {HealthyEdge("", "booking", 30),
                 HealthyEdge("booking", "ledger", 20),
                 HealthyEdge("ledger", "records", 10),
                 HealthyEdge("booking", "calendar", 5)};
  for (const char* name : {"booking", "ledger", "records", "calendar"}) {
    fleet.services.push_back(HealthyService(name));
  }
  return fleet;
}

// Marks `count` calls of the edge as refused, originating in service `first`.
void RefuseOn(EdgeEvidence& edge, const std::string& first, uint64_t count) {
  edge.overload_refusals += count;
  edge.complete -= count;
  edge.first_refusers[first] += count;
}

void Saturate(ServiceEvidence& service, EdgeEvidence& into) {
  service.limit_reached = service.offered * 9 / 10;
  service.queued = 50;
  into.queue_wait_us = kCalls * 40 * kMillisecond;
  into.round_trip_us += into.queue_wait_us;
}

// Calls queue at the last service of the chain, whose refusals propagate to the
// edges above.
void SlowLeafService(FleetEvidence& fleet) {
  Saturate(fleet.services[kRecords], fleet.edges[kToRecords]);
  fleet.edges[kToRecords].backend_us *= 10;
  fleet.edges[kToRecords].round_trip_us += fleet.edges[kToRecords].backend_us;
  for (const EdgeIndex edge : {kToRecords, kToLedger, kEntry}) {
    RefuseOn(fleet.edges[edge], "records", 2000);
  }
}

// As SlowLeafService, but calls exceed their deadline instead of being refused.
void SlowLeafServiceWithTimeouts(FleetEvidence& fleet) {
  Saturate(fleet.services[kRecords], fleet.edges[kToRecords]);
  for (const EdgeIndex edge : {kToRecords, kToLedger, kEntry}) {
    fleet.edges[edge].deadline_exceeded = 3000;
    fleet.edges[edge].complete -= 3000;
  }
}

void DemandSurge(FleetEvidence& fleet) {
  EdgeEvidence& entry = fleet.edges[kEntry];
  // Nine out of ten calls are refused before the first attempt.
  entry.calls *= 10;
  entry.overload_refusals = kCalls * 9;
  entry.first_refusers["booking"] = 500;
  Saturate(fleet.services[kBooking], entry);
}

void RetryStorm(FleetEvidence& fleet) {
  EdgeEvidence& edge = fleet.edges[kToLedger];
  edge.attempts = kCalls * 3;
  RefuseOn(edge, "ledger", 5000);
  Saturate(fleet.services[kLedger], edge);
}

void SilentConnections(FleetEvidence& fleet) {
  fleet.connections.push_back({"ledger", "records", 0, 3, 3, 0, 3000});
  fleet.edges[kToRecords].connections_lost = 12;
}

void Partition(FleetEvidence& fleet) {
  fleet.connections.push_back({"booking", "calendar", 700, 0, 40, 40, 0});
  fleet.edges[kToCalendar].connections_lost = 900;
  fleet.edges[kToCalendar].complete -= 900;
  fleet.edges[kToCalendar].deadline_exceeded = 400;
}

void SlowLink(FleetEvidence& fleet) {
  fleet.edges[kToCalendar].round_trip_us += kCalls * 400 * kMillisecond;
}

void OverloadAndNetworkFault(FleetEvidence& fleet) {
  SlowLeafService(fleet);
  fleet.connections.push_back({"ledger", "records", 300, 0, 10, 10, 0});
}

// A few refusals and one connection failure among many calls.
void Noise(FleetEvidence& fleet) {
  RefuseOn(fleet.edges[kToRecords], "records", 20);
  fleet.connections.push_back({"ledger", "records", 1, 0, 0, 0, 0});
}

// Too few calls for their fractions to be meaningful.
void LowTraffic(FleetEvidence& fleet) {
  EdgeEvidence& edge = fleet.edges[kToCalendar];
  edge = HealthyEdge("booking", "calendar", 5);
  edge.calls = edge.attempts = edge.complete = 5;
  edge.overload_refusals = 1;
}

struct DiagnosisCase {
  std::string_view name;
  void (*inject_fault)(FleetEvidence&);
  // Expected verdicts, by EdgeIndex.
  Verdict verdicts[4];
  // Expected origin of overload; empty if none.
  std::string_view origin;
};

constexpr Verdict kHealthy = Verdict::kHealthy;
constexpr Verdict kOverload = Verdict::kOverload;
constexpr Verdict kNetwork = Verdict::kNetwork;

const DiagnosisCase kCases[] = {
    {"healthy",
     [](FleetEvidence&) {},
     {kHealthy, kHealthy, kHealthy, kHealthy},
     ""},
    {"slow leaf service",
     SlowLeafService,
     {kOverload, kOverload, kOverload, kHealthy},
     "records"},
    {"slow leaf service, timeouts",
     SlowLeafServiceWithTimeouts,
     {kOverload, kOverload, kOverload, kHealthy},
     "records"},
    {"demand surge",
     DemandSurge,
     {kOverload, kHealthy, kHealthy, kHealthy},
     "booking"},
    {"retry storm",
     RetryStorm,
     {kHealthy, kOverload, kHealthy, kHealthy},
     "ledger"},
    {"silent connections",
     SilentConnections,
     {kHealthy, kHealthy, kNetwork, kHealthy},
     ""},
    {"partition", Partition, {kHealthy, kHealthy, kHealthy, kNetwork}, ""},
    {"slow link", SlowLink, {kHealthy, kHealthy, kHealthy, kNetwork}, ""},
    {"overload and network fault",
     OverloadAndNetworkFault,
     {kOverload, kOverload, Verdict::kBoth, kHealthy},
     "records"},
    {"noise", Noise, {kHealthy, kHealthy, kHealthy, kHealthy}, ""},
    {"low traffic", LowTraffic, {kHealthy, kHealthy, kHealthy, kHealthy}, ""},
};

Diagnoser MakeDiagnoser() {
  Findings findings;
  return *DiagnoserBuilder().Build(&findings);
}

// Overload and network faults must not be mistaken for each other, and overload
// must not be attributed to a service that only propagates it.
BOOST_AUTO_TEST_CASE(Verdicts) {
  for (const DiagnosisCase& test : kCases) {
    FleetEvidence fleet = HealthyFleet();
    test.inject_fault(fleet);
    const Diagnosis diagnosis = MakeDiagnoser().Diagnose(fleet);
    BOOST_TEST_REQUIRE(diagnosis.edges.size() == 4U);
    for (size_t i = 0; i < 4; ++i) {
      const EdgeDiagnosis& edge = diagnosis.edges[i];
      BOOST_TEST((edge.verdict == test.verdicts[i]),
                 test.name << ": " << edge.caller << "->" << edge.callee
                           << " is " << VerdictName(edge.verdict));
      // Every verdict other than healthy has evidence.
      BOOST_TEST(edge.evidence.empty() == (edge.verdict == kHealthy),
                 test.name);
    }
    const bool has_origin = !diagnosis.origins.empty();
    BOOST_TEST(has_origin == !test.origin.empty(), test.name);
    if (has_origin) {
      BOOST_TEST(diagnosis.origins.size() == 1U, test.name);
      BOOST_TEST(diagnosis.origins[0].service == test.origin, test.name);
    }
  }
}

// Retry amplification and nodes without evidence must be reported.
BOOST_AUTO_TEST_CASE(Remarks) {
  FleetEvidence fleet = HealthyFleet();
  RetryStorm(fleet);
  fleet.missing_nodes = {"10.0.0.1:7000"};
  const Diagnosis diagnosis = MakeDiagnoser().Diagnose(fleet);
  BOOST_TEST_REQUIRE(diagnosis.remarks.size() == 2U);
  BOOST_TEST(diagnosis.remarks[0].find("3.0 attempts for each call") !=
             std::string::npos);
  BOOST_TEST(diagnosis.remarks[1].find("10.0.0.1:7000") != std::string::npos);
}

// The search for saturated services must terminate if the call graph has a
// cycle.
BOOST_AUTO_TEST_CASE(CycleInEvidence) {
  FleetEvidence fleet = HealthyFleet();
  SlowLeafService(fleet);
  fleet.edges.push_back(HealthyEdge("records", "booking", 1));
  BOOST_TEST((MakeDiagnoser().Diagnose(fleet).verdict == kOverload));
}

// A window must not include earlier counts, and counters must not underflow
// when a node restarts.
BOOST_AUTO_TEST_CASE(Windows) {
  FleetEvidence earlier = HealthyFleet();
  SlowLeafService(earlier);
  FleetEvidence later = earlier;
  Add(HealthyFleet(), &later);
  BOOST_TEST(later.edges[kEntry].calls == 2 * kCalls);
  BOOST_TEST(later.services[kRecords].slots == 840U);
  const FleetEvidence window = EvidenceSince(earlier, later);
  BOOST_TEST(window.edges[kEntry].calls == kCalls);
  BOOST_TEST(window.edges[kEntry].first_refusers.empty());
  BOOST_TEST((MakeDiagnoser().Diagnose(window).verdict == kHealthy));
  const FleetEvidence restarted = EvidenceSince(later, HealthyFleet());
  BOOST_TEST(restarted.edges[kEntry].calls == kCalls);
}

// Rejects thresholds with which every or no measurement would count as a fault.
BOOST_AUTO_TEST_CASE(BuilderReportsAllErrors) {
  Findings findings;
  BOOST_TEST(!DiagnoserBuilder()
                  .Fraction(0)
                  .QueueShare(1.5)
                  .Transit(Duration::zero())
                  .Build(&findings));
  BOOST_TEST(findings.size() == 3U);
}

}  // namespace
}  // namespace vanillatiller
