#include "vtstub/execution_log.h"

#include <map>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace vanillatiller {

size_t ExecutionLog::Start(Execution execution) {
  const std::lock_guard lock(m_mutex);
  m_records.push_back(std::move(execution));
  return m_records.size() - 1;
}

void ExecutionLog::Finish(size_t index, const std::string& id, double work_ms) {
  const std::lock_guard lock(m_mutex);
  if (index >= m_records.size() || m_records[index].id != id) return;
  m_records[index].work_ms = work_ms;
}

void ExecutionLog::Reset() {
  const std::lock_guard lock(m_mutex);
  m_records.clear();
}

std::string ExecutionLog::ToText() const {
  const std::lock_guard lock(m_mutex);
  std::string text;
  for (const Execution& record : m_records) {
    absl::StrAppend(&text, record.id, " ", record.use, " ", record.path, " ",
                    record.work_ms, "\n");
  }
  return text;
}

std::string ExecutionLog::ToCountsJson() const {
  const std::lock_guard lock(m_mutex);
  std::map<std::string, uint32_t> counts;
  for (const Execution& record : m_records) {
    ++counts[record.request_id + " " + record.method];
  }
  return nlohmann::json(counts).dump();
}

size_t ExecutionLog::size() const {
  const std::lock_guard lock(m_mutex);
  return m_records.size();
}

}  // namespace vanillatiller
