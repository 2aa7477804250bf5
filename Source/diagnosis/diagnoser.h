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

// Verdict on one edge and rank.
struct EdgeDiagnosis {
  std::string caller;
  std::string callee;
  std::string rank;
  Verdict verdict = Verdict::kHealthy;
  // What speaks for the verdict, one sentence with its numbers each.
  std::vector<std::string> evidence;
};

// A service in which overload begins: it is saturated and none of the
// services that it calls is.
struct OverloadOrigin {
  std::string service;
  // Refusals that this service issued first.
  uint64_t refusals = 0;
  std::vector<std::string> evidence;
};

struct Diagnosis {
  // The gravest verdict of all edges.
  Verdict verdict = Verdict::kHealthy;
  std::vector<EdgeDiagnosis> edges;
  // The one with most refusals first.
  std::vector<OverloadOrigin> origins;
  // One sentence each: what else an operator should know.
  std::vector<std::string> remarks;
};

// Judges evidence against thresholds. Pure: no I/O, no clock.
class Diagnoser {
 public:
  Diagnosis Diagnose(const FleetEvidence& evidence) const;

 private:
  friend class DiagnoserBuilder;
  friend class DiagnosisRun;
  struct Thresholds {
    // Fraction of attempts; below it, refusals and failures are not evidence.
    double fraction = 0.01;
    // Share of the round trip spent in the callee's queue.
    double queue_share = 0.2;
    // Time of a round trip, in microseconds, outside the callee.
    uint64_t transit_us = 250'000;
    // Attempts for each call above which retries are remarked on.
    double attempts_per_call = 1.2;
    // Fewer attempts than this are not judged on fractions.
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
  // Longest ordinary time of a round trip outside the callee.
  DiagnoserBuilder& Transit(Duration transit);

  // nullopt with findings if a threshold is out of range.
  std::optional<Diagnoser> Build(Findings* findings) const;

 private:
  Diagnoser::Thresholds m_thresholds;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_DIAGNOSIS_DIAGNOSER_H_
