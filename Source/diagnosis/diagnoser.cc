#include "diagnosis/diagnoser.h"

#include <algorithm>
#include <map>
#include <set>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace vanillatiller {
namespace {

constexpr double kPercent = 100;
constexpr double kMicrosecondsPerMillisecond = 1000;

double Fraction(uint64_t part, uint64_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

std::string Percent(double fraction) {
  return absl::StrFormat("%.1f%%", fraction * kPercent);
}

std::string Milliseconds(double us) {
  return absl::StrFormat("%.1f ms", us / kMicrosecondsPerMillisecond);
}

Verdict Combine(bool is_overload, bool is_network) {
  if (is_overload && is_network) return Verdict::kBoth;
  if (is_overload) return Verdict::kOverload;
  return is_network ? Verdict::kNetwork : Verdict::kHealthy;
}

}  // namespace

// Diagnoses the evidence of one observation window.
class DiagnosisRun {
 public:
  DiagnosisRun(const Diagnoser::Thresholds& thresholds,
               const FleetEvidence& evidence)
      : m_thresholds(thresholds), m_evidence(evidence) {}

  Diagnosis Run() {
    IndexEvidence();
    for (const EdgeEvidence& edge : m_evidence.edges) DiagnoseEdge(edge);
    FindOrigins();
    AddRemarks();
    return std::move(m_diagnosis);
  }

 private:
  // Totals over all edges into one service.
  struct InboundTotals {
    uint64_t attempts = 0;
    uint64_t queue_wait_us = 0;
    uint64_t round_trip_us = 0;
  };

  void IndexEvidence() {
    for (const ServiceEvidence& service : m_evidence.services) {
      m_services[service.service] = &service;
    }
    for (const EdgeEvidence& edge : m_evidence.edges) {
      m_callees[edge.caller].insert(edge.callee);
      InboundTotals& inbound = m_inbound_totals[edge.callee];
      inbound.attempts += edge.attempts;
      inbound.queue_wait_us += edge.queue_wait_us;
      inbound.round_trip_us += edge.round_trip_us;
      for (const auto& [service, count] : edge.first_refusers) {
        // Edges further up the call chain count the propagated refusals again;
        // only the edge into the refusing service counts each of them once.
        if (service == edge.callee) m_first_refusals[service] += count;
      }
    }
  }

  // Number of requests on an edge, including calls that were refused before
  // the first attempt, and retries.
  static uint64_t OfferedRequests(const EdgeEvidence& edge) {
    return std::max(edge.calls, edge.attempts);
  }

  bool HasEnoughSamples(uint64_t count) const {
    return count >= m_thresholds.min_attempts;
  }

  void DiagnoseEdge(const EdgeEvidence& edge) {
    EdgeDiagnosis result;
    result.caller = edge.caller;
    result.callee = edge.callee;
    result.rank = edge.rank;
    const bool is_overload = HasOverload(edge, &result.evidence);
    const bool is_network = HasNetworkFault(edge, &result.evidence);
    result.verdict = Combine(is_overload, is_network);
    m_has_overload |= is_overload;
    m_has_network |= is_network;
    m_diagnosis.edges.push_back(std::move(result));
  }

  bool HasOverload(const EdgeEvidence& edge,
                   std::vector<std::string>* evidence) const {
    const uint64_t offered = OfferedRequests(edge);
    bool found = false;
    const double refused = Fraction(edge.overload_refusals, offered);
    if (HasEnoughSamples(offered) && refused >= m_thresholds.fraction) {
      evidence->push_back(absl::StrCat(Percent(refused), " of ", offered,
                                       " calls refused for overload",
                                       DescribeRefusers(edge)));
      found = true;
    }
    const double queued = Fraction(edge.queue_wait_us, edge.round_trip_us);
    if (HasEnoughSamples(edge.attempts) && queued >= m_thresholds.queue_share) {
      evidence->push_back(absl::StrCat(
          "mean queue wait ",
          Milliseconds(Fraction(edge.queue_wait_us, edge.attempts)), ", ",
          Percent(queued), " of the round trip"));
      found = true;
    }
    const double late = Fraction(edge.deadline_exceeded, offered);
    if (HasEnoughSamples(offered) && late >= m_thresholds.fraction &&
        IsSaturatedAtOrBelow(edge.callee)) {
      evidence->push_back(absl::StrCat(
          Percent(late), " of ", offered,
          " calls exceeded their deadline while ",
          "the concurrency limit was reached at or below ", edge.callee));
      found = true;
    }
    return found;
  }

  bool HasNetworkFault(const EdgeEvidence& edge,
                       std::vector<std::string>* evidence) const {
    bool found = false;
    const ConnectionEvidence sum = ConnectionsOf(edge);
    const auto report = [&](std::string text) {
      evidence->push_back(std::move(text));
      found = true;
    };
    if (sum.silent_connections != 0) {
      report(absl::StrCat(
          sum.silent_connections,
          " connections stopped responding while a new one worked"));
    }
    const uint64_t unreachable = sum.connect_failures + sum.probe_failures;
    if (unreachable != 0 &&
        Fraction(unreachable, OfferedRequests(edge)) >= m_thresholds.fraction) {
      report(absl::StrCat(
          sum.connect_failures, " connections could not be opened, ",
          sum.probe_failures, " of ", sum.probes, " probes were not answered"));
    }
    const double lost = Fraction(edge.connections_lost, OfferedRequests(edge));
    if (HasEnoughSamples(OfferedRequests(edge)) &&
        lost >= m_thresholds.fraction) {
      report(absl::StrCat(Percent(lost), " of ", OfferedRequests(edge),
                          " calls lost their connection"));
    }
    const uint64_t callee_time_us = edge.queue_wait_us + edge.backend_us;
    const uint64_t transit_us = edge.round_trip_us > callee_time_us
                                    ? edge.round_trip_us - callee_time_us
                                    : 0;
    const double mean_transit_us = Fraction(transit_us, edge.attempts);
    // Without an answer, the entire round trip would count as transit.
    if (HasEnoughSamples(edge.attempts) && edge.complete * 2 > edge.attempts &&
        mean_transit_us > static_cast<double>(m_thresholds.transit_us)) {
      report(absl::StrCat("mean time outside the callee ",
                          Milliseconds(mean_transit_us)));
    }
    return found;
  }

  // Sums the connections of an edge. Requests of external callers use the
  // connections of the node's own service, so for those all callers count.
  ConnectionEvidence ConnectionsOf(const EdgeEvidence& edge) const {
    ConnectionEvidence sum;
    for (const ConnectionEvidence& item : m_evidence.connections) {
      if (item.callee != edge.callee) continue;
      if (!edge.caller.empty() && item.caller != edge.caller) continue;
      sum.connect_failures += item.connect_failures;
      sum.silent_connections += item.silent_connections;
      sum.probes += item.probes;
      sum.probe_failures += item.probe_failures;
    }
    return sum;
  }

  static std::string DescribeRefusers(const EdgeEvidence& edge) {
    std::string text;
    for (const auto& [service, count] : edge.first_refusers) {
      absl::StrAppend(&text, text.empty() ? ", first by " : ", ", service, " (",
                      count, ")");
    }
    return text;
  }

  // A service is saturated if it refuses a significant share of its calls or if
  // they spend a significant share of the round trip in its queue, or if enough
  // calls find its concurrency limit reached.
  bool IsSaturated(const std::string& service) const {
    const auto refusals = m_first_refusals.find(service);
    const auto inbound = m_inbound_totals.find(service);
    if (inbound != m_inbound_totals.end() &&
        HasEnoughSamples(inbound->second.attempts)) {
      const uint64_t attempts = inbound->second.attempts;
      if (refusals != m_first_refusals.end() &&
          Fraction(refusals->second, attempts) >= m_thresholds.fraction) {
        return true;
      }
      if (Fraction(inbound->second.queue_wait_us,
                   inbound->second.round_trip_us) >= m_thresholds.queue_share) {
        return true;
      }
    }
    return ReachesLimit(service);
  }

  bool ReachesLimit(const std::string& service) const {
    const auto found = m_services.find(service);
    if (found == m_services.end()) return false;
    const ServiceEvidence& load = *found->second;
    return HasEnoughSamples(load.offered) &&
           Fraction(load.limit_reached, load.offered) >= kSaturatedLimitShare;
  }

  bool IsSaturatedAtOrBelow(const std::string& service) const {
    std::set<std::string> seen;
    return AnySaturated(service, &seen);
  }

  // `seen` terminates the search if the call graph has a cycle.
  bool AnySaturated(const std::string& service,
                    std::set<std::string>* seen) const {
    if (!seen->insert(service).second) return false;
    if (IsSaturated(service)) return true;
    const auto callees = m_callees.find(service);
    if (callees == m_callees.end()) return false;
    return std::ranges::any_of(callees->second, [&](const std::string& callee) {
      return AnySaturated(callee, seen);
    });
  }

  bool HasSaturatedCallee(const std::string& service) const {
    std::set<std::string> seen = {service};
    const auto callees = m_callees.find(service);
    if (callees == m_callees.end()) return false;
    return std::ranges::any_of(callees->second, [&](const std::string& callee) {
      return AnySaturated(callee, &seen);
    });
  }

  void FindOrigins() {
    if (!m_has_overload) return;
    for (const auto& [service, inbound] : m_inbound_totals) {
      if (!IsSaturated(service) || HasSaturatedCallee(service)) continue;
      m_diagnosis.origins.push_back(DescribeOrigin(service, inbound));
    }
    if (m_diagnosis.origins.empty()) AddLargestRefuser();
    std::ranges::stable_sort(m_diagnosis.origins, std::ranges::greater(),
                             &OverloadOrigin::refusals);
  }

  // There are refusals but no saturated service if overload began to subside
  // within the window.
  void AddLargestRefuser() {
    const auto most = std::ranges::max_element(
        m_first_refusals, {}, [](const auto& entry) { return entry.second; });
    if (most == m_first_refusals.end()) return;
    m_diagnosis.origins.push_back(
        DescribeOrigin(most->first, m_inbound_totals[most->first]));
  }

  OverloadOrigin DescribeOrigin(const std::string& service,
                                const InboundTotals& inbound) const {
    OverloadOrigin origin;
    origin.service = service;
    const auto refusals = m_first_refusals.find(service);
    if (refusals != m_first_refusals.end()) origin.refusals = refusals->second;
    origin.evidence.push_back(
        absl::StrCat("issued ", origin.refusals, " refusals first"));
    origin.evidence.push_back(absl::StrCat(
        "mean queue wait ",
        Milliseconds(Fraction(inbound.queue_wait_us, inbound.attempts))));
    const auto found = m_services.find(service);
    if (found == m_services.end()) return origin;
    const ServiceEvidence& load = *found->second;
    origin.evidence.push_back(
        absl::StrCat("concurrency limit ", load.concurrency_limit, " of ",
                     load.slots, " slots, reached for ",
                     Percent(Fraction(load.limit_reached, load.offered)),
                     " of ", load.offered, " calls"));
    return origin;
  }

  void AddRemarks() {
    m_diagnosis.verdict = Combine(m_has_overload, m_has_network);
    for (const EdgeEvidence& edge : m_evidence.edges) {
      const double ratio = Fraction(edge.attempts, edge.calls);
      if (!HasEnoughSamples(edge.calls) ||
          ratio < m_thresholds.attempts_per_call) {
        continue;
      }
      m_diagnosis.remarks.push_back(absl::StrFormat(
          "retries multiply the load from %s to %s, rank %s: %.1f attempts "
          "for each call",
          edge.caller.empty() ? "callers" : edge.caller, edge.callee, edge.rank,
          ratio));
    }
    for (const std::string& node : m_evidence.missing_nodes) {
      m_diagnosis.remarks.push_back(absl::StrCat(
          "no evidence from ", node, "; the verdicts do not cover it"));
    }
  }

  // Minimum share of calls that find the concurrency limit reached in a
  // saturated service. A service that runs well within its slots reaches its
  // limit at random.
  static constexpr double kSaturatedLimitShare = 0.5;

  const Diagnoser::Thresholds& m_thresholds;
  const FleetEvidence& m_evidence;
  Diagnosis m_diagnosis;
  bool m_has_overload = false;
  bool m_has_network = false;
  std::map<std::string, const ServiceEvidence*> m_services;
  std::map<std::string, std::set<std::string>> m_callees;
  std::map<std::string, InboundTotals> m_inbound_totals;
  // Overload refusals by the service that issued them first.
  std::map<std::string, uint64_t> m_first_refusals;
};

std::string_view VerdictName(Verdict verdict) {
  switch (verdict) {
    case Verdict::kHealthy:
      return "healthy";
    case Verdict::kOverload:
      return "overload";
    case Verdict::kNetwork:
      return "network";
    case Verdict::kBoth:
      return "both";
  }
  return "unknown";
}

Diagnosis Diagnoser::Diagnose(const FleetEvidence& evidence) const {
  return DiagnosisRun(m_thresholds, evidence).Run();
}

DiagnoserBuilder& DiagnoserBuilder::Fraction(double fraction) {
  m_thresholds.fraction = fraction;
  return *this;
}

DiagnoserBuilder& DiagnoserBuilder::QueueShare(double share) {
  m_thresholds.queue_share = share;
  return *this;
}

DiagnoserBuilder& DiagnoserBuilder::Transit(Duration transit) {
  m_thresholds.transit_us = ToMicroseconds(transit);
  return *this;
}

std::optional<Diagnoser> DiagnoserBuilder::Build(Findings* findings) const {
  const size_t findings_before = findings->size();
  const auto check_share = [&](std::string_view name, double value) {
    if (value > 0 && value <= 1) return;
    findings->push_back({"diagnosis", 0, 0,
                         absl::StrCat(std::string(name),
                                      ": expected more than 0 and at most 1, "
                                      "found ",
                                      value)});
  };
  check_share("fraction", m_thresholds.fraction);
  check_share("queue share", m_thresholds.queue_share);
  if (m_thresholds.transit_us == 0) {
    findings->push_back(
        {"diagnosis", 0, 0, "transit: expected more than 0 us"});
  }
  if (findings->size() != findings_before) return std::nullopt;
  return Diagnoser(m_thresholds);
}

}  // namespace vanillatiller
