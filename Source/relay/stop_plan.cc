#include "relay/stop_plan.h"

#include <algorithm>

namespace vanillatiller {

void RequestDurations::Add(std::string_view route, Duration time,
                           TimePoint now) {
  const auto found = m_routes.find(route);
  Route& entry =
      found != m_routes.end() ? found->second : m_routes[std::string(route)];
  if (now - entry.current.start >= kWindow) {
    entry.previous = entry.current;
    entry.current = Window{now, 0, {}};
  }
  ++entry.current.count;
  entry.current.longest = std::max(entry.current.longest, time);
}

std::optional<Duration> RequestDurations::Longest(std::string_view route,
                                                  TimePoint now) const {
  const auto found = m_routes.find(route);
  if (found == m_routes.end()) return std::nullopt;
  uint32_t count = 0;
  Duration longest{};
  for (const Window* window :
       {&found->second.current, &found->second.previous}) {
    if (now - window->start >= 2 * kWindow) continue;
    count += window->count;
    longest = std::max(longest, window->longest);
  }
  if (count < kMinRequests) return std::nullopt;
  return longest;
}

StopPlan::StopPlan(TimePoint began, Duration grace)
    : m_answers_due(began + std::max(grace - kMargin, grace / 2)) {
  m_notice_end = std::min(began + kNotice, m_answers_due);
}

bool StopPlan::MayStart(TimePoint answer_deadline,
                        std::optional<Duration> longest, TimePoint now) const {
  if (answer_deadline <= m_answers_due) return true;
  // A quarter more than the longest recent time.
  return longest && now + *longest + *longest / 4 <= m_answers_due;
}

}  // namespace vanillatiller
