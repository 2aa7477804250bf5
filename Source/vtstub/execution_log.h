#ifndef VANILLATILLER_SOURCE_VTSTUB_EXECUTION_LOG_H_
#define VANILLATILLER_SOURCE_VTSTUB_EXECUTION_LOG_H_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace vanillatiller {

// One execution of a call.
struct Execution {
  // The request's identity as the nodes give it (X-Vt-Request).
  std::string request_id;
  // Identity and use that the caller put into the body; the request's
  // identity and 0 if there are none.
  std::string id;
  uint32_t use = 0;
  // "SERVICE.METHOD" of every call from the entry to this one, joined by "/".
  std::string path;
  std::string method;
  // Time spent on the call, downstream calls left out.
  double work_ms = 0;
};

// Every execution of a backend server, so that duplicates can be counted from
// outside. A call is recorded before its work begins. Thread-safe.
class ExecutionLog {
 public:
  // Returns the index of the record, for Finish.
  size_t Start(Execution execution);
  // Does nothing if the log was reset since Start.
  void Finish(size_t index, const std::string& id, double work_ms);
  void Reset();

  // One line for each execution: "ID USE PATH WORK_MS".
  std::string ToText() const;
  // JSON object: executions by "REQUEST METHOD".
  std::string ToCountsJson() const;
  size_t size() const;

 private:
  mutable std::mutex m_mutex;
  std::vector<Execution> m_records;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTSTUB_EXECUTION_LOG_H_
