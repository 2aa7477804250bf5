#ifndef VANILLATILLER_SOURCE_VTSTUB_EXECUTION_LOG_H_
#define VANILLATILLER_SOURCE_VTSTUB_EXECUTION_LOG_H_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace vanillatiller {

// Every execution of a backend server by request identity, so that duplicates
// can be counted from outside. A call is recorded before its work begins.
// Thread-safe.
class ExecutionLog {
 public:
  // Returns the position of the record, for Finish.
  size_t Start(std::string id, uint32_t use, std::string path);
  // `work_ms` is the time spent on the call, downstream calls left out.
  // Does nothing if the log was reset since Start.
  void Finish(size_t position, const std::string& id, double work_ms);
  void Reset();

  // One line for each execution: "ID USE PATH WORK_MS".
  std::string ToText() const;
  size_t size() const;

 private:
  struct Record {
    std::string id;
    uint32_t use = 0;
    std::string path;
    double work_ms = 0;
  };

  mutable std::mutex m_mutex;
  std::vector<Record> m_records;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTSTUB_EXECUTION_LOG_H_
