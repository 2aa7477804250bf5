#ifndef VANILLATILLER_SOURCE_DIAGNOSIS_DIAGNOSER_H_
#define VANILLATILLER_SOURCE_DIAGNOSIS_DIAGNOSER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "diagnosis/evidence.h"

namespace vanillatiller {

enum class Verdict : uint8_t { kHealthy, kOverload, kNetwork, kBoth };

// "healthy", "overload", "network" or "both".
std::string_view VerdictName(Verdict verdict);

// Diagnosis of one edge of the call graph and one rank.
struct EdgeDiagnosis {
  std::string caller;
  std::string callee;
  std::string rank;
  Verdict verdict = Verdict::kHealthy;
  // Measurements that support the verdict, one per element.
  std::vector<std::string> evidence;
};

// A service that causes overload: it is saturated, and none of the services
// that it calls, directly or indirectly, is.
struct OverloadOrigin {
  std::string service;
  // Refusals that originated in this service.
  uint64_t refusals = 0;
  std::vector<std::string> evidence;
};

struct Diagnosis {
  // Combined verdict of all edges.
  Verdict verdict = Verdict::kHealthy;
  std::vector<EdgeDiagnosis> edges;
  // Sorted by refusals, in descending order.
  std::vector<OverloadOrigin> origins;
  // Additional information for operators, one message per element.
  std::vector<std::string> remarks;
};

// Compares evidence with thresholds. Performs no I/O and reads no clock.
class Diagnoser {
 public:
  Diagnosis Diagnose(const FleetEvidence& evidence) const;

 private:
  friend class DiagnoserBuilder;
  friend class DiagnosisRun;
  struct Thresholds {
    // Minimum fraction of attempts; fewer refusals and failures are ignored.
    double fraction = 0.01;
    // Minimum share of the round trip spent in the callee's queue.
    double queue_share = 0.2;
    // Maximum normal time of a round trip outside the callee, in microseconds.
    uint64_t transit_us = 250'000;
    // Attempts per call from which a remark on retries is added.
    double attempts_per_call = 1.2;
    // Minimum number of attempts for which fractions are evaluated.
    uint64_t min_attempts = 20;
  };
  explicit Diagnoser(const Thresholds& thresholds) : m_thresholds(thresholds) {}

  Thresholds m_thresholds;
};

class DiagnoserBuilder {
 public:
  // Fraction of attempts in (0, 1].
  DiagnoserBuilder& Fraction(double fraction);
  // Share of the round trip in (0, 1].
  DiagnoserBuilder& QueueShare(double share);
  // Maximum normal time of a round trip outside the callee.
  DiagnoserBuilder& Transit(Duration transit);

  // Returns nullopt and adds findings if a threshold is out of range.
  std::optional<Diagnoser> Build(Findings* findings) const;

 private:
  Diagnoser::Thresholds m_thresholds;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_DIAGNOSIS_DIAGNOSER_H_
