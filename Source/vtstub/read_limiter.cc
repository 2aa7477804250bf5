#include "vtstub/read_limiter.h"

#include <chrono>

namespace vanillatiller {

bool ReadLimiter::Admit(TimePoint now) {
  while (!m_recent.empty() &&
         now - m_recent.front() >= std::chrono::seconds(1)) {
    m_recent.pop_front();
  }
  if (m_recent.size() + m_watches >= m_limit) return false;
  m_recent.push_back(now);
  return true;
}

}  // namespace vanillatiller
