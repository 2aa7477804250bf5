#ifndef VANILLATILLER_SOURCE_RELAY_STOP_PLAN_H_
#define VANILLATILLER_SOURCE_RELAY_STOP_PLAN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"

namespace vanillatiller {

// Longest recent time from the receipt of a request to its answer, by route.
class RequestDurations {
 public:
  void Add(std::string_view route, Duration time, TimePoint now);
  // Nullopt if there are too few recent requests to tell.
  std::optional<Duration> Longest(std::string_view route, TimePoint now) const;

 private:
  struct Window {
    TimePoint start;
    uint32_t count = 0;
    Duration longest{};
  };
  struct Route {
    Window current;
    Window previous;
  };

  // Time covered: the current window and the one before it.
  static constexpr Duration kWindow = std::chrono::seconds(30);
  static constexpr uint32_t kMinRequests = 30;

  std::map<std::string, Route, std::less<>> m_routes;
};

// Times of a planned stop.
//
// A request that is taken must be answered before the process ends. It is
// answered at its own deadline at the latest. As most are answered long before
// that, the longest recent time of its route counts where it is known, with a
// margin; all others that could outlast the process are refused, so that they
// can run elsewhere.
class StopPlan {
 public:
  // `grace` is the time after `began` at which the process is killed.
  StopPlan(TimePoint began, Duration grace);

  // Callers notice the stop until then and are served as far as possible.
  TimePoint notice_end() const { return m_notice_end; }
  // Requests that are still open then get a failure as their final answer.
  TimePoint answers_due() const { return m_answers_due; }
  // Whether a request can be answered in time. `answer_deadline` is the time by
  // which it is answered in any case.
  bool MayStart(TimePoint answer_deadline, std::optional<Duration> longest,
                TimePoint now) const;

 private:
  // Two health checks one second apart, and their delays.
  static constexpr Duration kNotice = std::chrono::milliseconds(2500);
  // Kept before the end of the grace period for the last answers.
  static constexpr Duration kMargin = std::chrono::milliseconds(300);

  TimePoint m_notice_end;
  TimePoint m_answers_due;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_STOP_PLAN_H_
