#ifndef VANILLATILLER_SOURCE_VTSTUB_READ_LIMITER_H_
#define VANILLATILLER_SOURCE_VTSTUB_READ_LIMITER_H_

#include <cstdint>
#include <deque>

#include "base/base.h"

namespace vanillatiller {

// Limits reads of the configuration service. A read counts towards the limit
// for one second, a waiting watch for as long as it waits. Not thread-safe.
class ReadLimiter {
 public:
  explicit ReadLimiter(uint32_t reads_per_second) : m_limit(reads_per_second) {}

  // Returns true and counts the read if it is within the limit at `now`.
  bool Admit(TimePoint now);
  void StartWatch() { ++m_watches; }
  void EndWatch() { --m_watches; }
  void SetLimit(uint32_t reads_per_second) { m_limit = reads_per_second; }

  uint32_t watches() const { return m_watches; }

 private:
  uint32_t m_limit;
  uint32_t m_watches = 0;
  std::deque<TimePoint> m_recent;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTSTUB_READ_LIMITER_H_
