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
  // Request ID assigned by the nodes (X-Vt-Request).
  std::string request_id;
  // "id" and "use" from the request body; the request ID and 0 if absent.
  std::string id;
  uint32_t use = 0;
  // Call chain: "SERVICE.METHOD" of each call from the entry call to this one,
  // joined by "/".
  std::string path;
  std::string method;
  // Time spent on the call, excluding downstream calls.
  double work_ms = 0;
};

// Records every call that a backend server executes, so that tests can count
// duplicate executions. A call is recorded before its execution starts.
// Thread-safe.
class ExecutionLog {
 public:
  // Returns the index of the record, for Finish.
  size_t Start(Execution execution);
  // Does nothing if the log was reset since Start.
  void Finish(size_t index, const std::string& id, double work_ms);
  void Reset();

  // Returns one line per execution: "ID USE PATH WORK_MS".
  std::string ToText() const;
  // Returns a JSON object that maps "REQUEST METHOD" to its execution count.
  std::string ToCountsJson() const;
  size_t size() const;

 private:
  mutable std::mutex m_mutex;
  std::vector<Execution> m_records;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTSTUB_EXECUTION_LOG_H_
