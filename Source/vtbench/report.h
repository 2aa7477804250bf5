#ifndef VANILLATILLER_SOURCE_VTBENCH_REPORT_H_
#define VANILLATILLER_SOURCE_VTBENCH_REPORT_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "vtbench/caller.h"
#include "vtbench/execution_audit.h"
#include "vtbench/experiment.h"

namespace vanillatiller {

// Seconds from the start of `phase` until goodput is at least 95% of
// `baseline_ratio` (good by offered) over the next second and over the rest
// of the phase. Requests belong to the time of their intended start. Returns
// nullopt if that does not happen within the phase.
std::optional<double> RecoverySeconds(const Experiment& experiment,
                                      const std::vector<RequestResult>& results,
                                      uint32_t phase, double baseline_ratio);

// Everything measured in one run of one policy, as JSON.
nlohmann::json SummarizeRun(const Experiment& experiment, const Policy& policy,
                            const std::vector<RequestResult>& results,
                            const AuditResult& audit);

// Table over runs, one line for each policy, phase and class, with the median
// and the range over rounds of the same policy.
std::string FormatTable(const std::vector<nlohmann::json>& runs);

// Input of gnuplot that plots goodput over time for every policy, with the
// phases marked, to `svg_path`.
std::string FormatPlot(const std::vector<nlohmann::json>& runs,
                       const std::string& svg_path);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTBENCH_REPORT_H_
