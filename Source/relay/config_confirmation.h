#ifndef VANILLATILLER_SOURCE_RELAY_CONFIG_CONFIRMATION_H_
#define VANILLATILLER_SOURCE_RELAY_CONFIG_CONFIRMATION_H_

#include <algorithm>
#include <optional>

#include "base/base.h"

namespace vanillatiller {

// Time up to which the configuration in force is known to be the newest one.
class ConfigConfirmation {
 public:
  // Changes are to be in force within `max_age`. Until this is called, the
  // configuration comes from the embedding program and is always current.
  void Require(Duration max_age) { m_max_age = max_age; }
  // The source had no newer configuration at `at`.
  void OnConfirmed(TimePoint at) {
    if (at >= m_complete_from) m_at = std::max(m_at, at);
  }
  // The source has come back from a copy of an earlier state. Until what it
  // lost has been written again, it does not know the newest configuration
  // itself.
  void OnSourceRestored(TimePoint now) { m_complete_from = now + kRewriteTime; }

  bool IsCurrent(TimePoint now) const {
    return !m_max_age || (m_at != TimePoint{} && now - m_at < *m_max_age);
  }
  // TimePoint{} if there was no confirmation.
  TimePoint at() const { return m_at; }

 private:
  // Time in which writers of the source write again what it lost.
  static constexpr Duration kRewriteTime = std::chrono::milliseconds(2300);

  std::optional<Duration> m_max_age;
  TimePoint m_at;
  TimePoint m_complete_from;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_CONFIG_CONFIRMATION_H_
