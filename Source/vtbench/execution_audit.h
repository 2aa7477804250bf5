#ifndef VANILLATILLER_SOURCE_VTBENCH_EXECUTION_AUDIT_H_
#define VANILLATILLER_SOURCE_VTBENCH_EXECUTION_AUDIT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "vtbench/caller.h"
#include "vtbench/experiment.h"

namespace vanillatiller {

// One execution recorded by a backend server.
struct ExecutionRecord {
  // Identity and use of the request; see TryBody.
  std::string id;
  uint32_t use = 0;
  // "SERVICE.METHOD" of every call from the entry to this one, joined by "/".
  std::string path;
  // Time that the backend server worked on it.
  double work_ms = 0;
};

// Parses the text of a backend server's GET /executions: one record a line,
// "ID USE PATH WORK_MS". Lines of another form are counted in `malformed`.
std::vector<ExecutionRecord> ParseExecutions(std::string_view text,
                                             uint64_t* malformed);

struct AuditResult {
  uint64_t executions = 0;
  // Executions of one request beyond the first at the same place of its call
  // tree, of methods that are not idempotent.
  uint64_t duplicates = 0;
  // Uses that ran although the caller was told "not run".
  uint64_t false_not_run = 0;
  double work_ms = 0;
  // Work for requests that did not complete in time.
  double wasted_work_ms = 0;
  // Executions at one place of one request's call tree: largest and mean.
  uint32_t max_executions_per_call = 0;
  double mean_executions_per_call = 0;
  // First few offending identities, for the report.
  std::vector<std::string> examples;
};

// Compares what callers were told with what ran.
AuditResult AuditExecutions(const Experiment& experiment,
                            const std::vector<RequestResult>& results,
                            const std::vector<ExecutionRecord>& records);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTBENCH_EXECUTION_AUDIT_H_
