#ifndef VANILLATILLER_SOURCE_RETRY_EDGE_BUDGET_H_
#define VANILLATILLER_SOURCE_RETRY_EDGE_BUDGET_H_

#include <mutex>

#include "base/base.h"

namespace vanillatiller {

struct EdgeBudgetSettings {
  // Retries that one success pays for.
  double ratio = 0.1;
  // Retries a second that need no success, so that an edge with little traffic
  // can still retry.
  double retries_per_second = 1.0;
  // Largest number of retries that can be saved up.
  double capacity = 10.0;
};

// Retry budget of one edge (calling service and called service): a token bucket
// that successes and time fill and that retries empty. Thread-safe.
//
// Source: the retry budgets of Finagle (Twitter) and of "Handling Overload",
// Site Reliability Engineering, chapter 21.
class EdgeBudget {
 public:
  EdgeBudget(const EdgeBudgetSettings& settings, TimePoint now);

  void RecordSuccess(TimePoint now);
  // Takes a token for a retry; false if there is none.
  bool TrySpend(TimePoint now);
  // Gives back a token that was taken for a retry that was not made.
  void Refund(TimePoint now);
  // Tokens at `now`.
  double Balance(TimePoint now);

 private:
  void Add(double tokens);
  // Adds what time has paid for. A time before the last one adds nothing.
  void Refill(TimePoint now);

  const EdgeBudgetSettings m_settings;
  std::mutex m_mutex;
  double m_tokens;
  TimePoint m_refilled_at;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RETRY_EDGE_BUDGET_H_
