#ifndef VANILLATILLER_SOURCE_RETRY_EDGE_BUDGET_H_
#define VANILLATILLER_SOURCE_RETRY_EDGE_BUDGET_H_

#include <mutex>

#include "base/base.h"

namespace vanillatiller {

struct EdgeBudgetSettings {
  // Tokens added per successful call.
  double ratio = 0.1;
  // Tokens added per second regardless of successes, so that an edge with
  // little traffic can still retry.
  double retries_per_second = 1.0;
  // Maximum number of tokens in the bucket.
  double capacity = 10.0;
};

// Retry budget of one edge (calling service and called service): a token bucket
// that is refilled by successes and by elapsed time. Each retry takes one
// token. Thread-safe.
//
// Source: the retry budgets of Finagle (Twitter) and of "Handling Overload",
// Site Reliability Engineering, chapter 21.
class EdgeBudget {
 public:
  EdgeBudget(const EdgeBudgetSettings& settings, TimePoint now);

  void RecordSuccess(TimePoint now);
  // Takes a token for a retry; returns false if none is available.
  bool TrySpend(TimePoint now);
  // Returns the token of a retry that was not made.
  void Refund(TimePoint now);
  // Returns the number of tokens at `now`.
  double Balance(TimePoint now);

 private:
  void Add(double tokens);
  // Adds tokens for the time elapsed. Has no effect if `now` precedes the last
  // refill.
  void Refill(TimePoint now);

  const EdgeBudgetSettings m_settings;
  std::mutex m_mutex;
  double m_tokens;
  TimePoint m_refilled_at;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RETRY_EDGE_BUDGET_H_
