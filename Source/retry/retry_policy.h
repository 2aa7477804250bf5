#ifndef VANILLATILLER_SOURCE_RETRY_RETRY_POLICY_H_
#define VANILLATILLER_SOURCE_RETRY_RETRY_POLICY_H_

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

#include "base/base.h"
#include "retry/chain_budget.h"
#include "retry/edge_budget.h"

namespace vanillatiller {

// Kinds of failure of one attempt, as its calling node sees it.
enum class FailureKind : uint8_t {
  // Refused, not run: the callee is overloaded or the call is below the
  // admission threshold.
  kOverload,
  // Refused, not run, for a cause that another server need not share: leaving,
  // backend server unreachable, other incarnation, connection never made.
  kInstanceRefusal,
  // The fence proved that the call never runs.
  kNeverRuns,
  // The answer is lost or incomplete; the call may have run.
  kAnswerLost,
  // The callee lost its backend server while the call ran there.
  kBackendLost,
  // The callee answered that it does not know whether the call ran, for another
  // cause.
  kUnknown,
  // Refused, not run, for a cause that every server shares: bad request,
  // deadline, depth, ticket, configuration.
  kPermanentRefusal,
};

// One failed attempt.
struct AttemptFailure {
  FailureKind kind = FailureKind::kUnknown;
  // False if a service below the callee failed and the callee passes it on.
  bool adjacent = true;
};

// Kind of a failure that arrived as an answer of the callee.
FailureKind ClassifyAnswer(Outcome outcome, RefusalCode refusal);

// The call whose attempt failed.
struct RetryCall {
  bool idempotent = false;
  // False for a call from a backend server without a known context.
  bool known_context = true;
  // Attempts made until now, the failed one included.
  uint32_t attempts = 1;
  // True if an earlier attempt may have run. Then the call as a whole is never
  // reported as not run, whatever its last attempt says.
  bool may_have_run = false;
  TimePoint deadline;
};

enum class RetryAction : uint8_t {
  // Report `outcome`.
  kGiveUp,
  // Wait for `delay`, then try another server.
  kRetryElsewhere,
  // Ask the callee to fence the attempt and decide again with its result.
  kFenceFirst,
};

struct RetryDecision {
  RetryAction action = RetryAction::kGiveUp;
  // For kGiveUp.
  Outcome outcome = Outcome::kUnknown;
  // For kRetryElsewhere.
  Duration delay{};
};

// How many retries a call may have.
enum class RetryMode : uint8_t {
  // The chain budget and the edge budget bound them.
  kChainBudget,
  // Every failure is retried up to `plain_retries` times at each hop. A
  // baseline for measurements; lost answers of non-idempotent calls are still
  // fenced.
  kPlain,
};

// Parses "chain-budget" or "plain".
std::optional<RetryMode> ParseRetryMode(std::string_view text, Reason* reason);

struct RetrySettings {
  RetryMode mode = RetryMode::kChainBudget;
  Duration first_delay = std::chrono::milliseconds(5);
  Duration max_delay = std::chrono::milliseconds(200);
  uint32_t plain_retries = 3;
};

// Gives a number drawn evenly from [0, 1).
using UniformRandom = std::function<double()>;

// Chooses what follows a failed attempt. Stateless and thread-safe.
class RetryPolicy {
 public:
  explicit RetryPolicy(const RetrySettings& settings) : m_settings(settings) {}

  // Decides without spending anything; see TakeRetry(). `draw` gives the
  // jitter of the delay. A retry that would start at or after the deadline is
  // never chosen.
  RetryDecision Decide(const AttemptFailure& failure, const RetryCall& call,
                       TimePoint now, const UniformRandom& draw) const;

  // Pays for a retry from both budgets; nullopt if either has nothing left, in
  // which case neither is charged. In mode kPlain it is free and carries no
  // share.
  std::optional<AttemptShare> TakeRetry(ChainBudget& chain, EdgeBudget& edge,
                                        CalleeKind callee, TimePoint now) const;

  const RetrySettings& Settings() const { return m_settings; }

 private:
  using Strategy = RetryDecision (RetryPolicy::*)(const AttemptFailure&,
                                                  const RetryCall&, TimePoint,
                                                  const UniformRandom&) const;
  static const std::array<Strategy, 7> kStrategies;

  RetryDecision GiveUpNotRun(const AttemptFailure& failure,
                             const RetryCall& call, TimePoint now,
                             const UniformRandom& draw) const;
  RetryDecision GiveUpUnknown(const AttemptFailure& failure,
                              const RetryCall& call, TimePoint now,
                              const UniformRandom& draw) const;
  RetryDecision RetryNotRun(const AttemptFailure& failure,
                            const RetryCall& call, TimePoint now,
                            const UniformRandom& draw) const;
  RetryDecision RetryIfIdempotent(const AttemptFailure& failure,
                                  const RetryCall& call, TimePoint now,
                                  const UniformRandom& draw) const;
  RetryDecision RetryOrFence(const AttemptFailure& failure,
                             const RetryCall& call, TimePoint now,
                             const UniformRandom& draw) const;
  // Retries elsewhere if the call may be retried at all and there is time;
  // gives up with `outcome` otherwise.
  RetryDecision RetryElsewhere(const AttemptFailure& failure,
                               const RetryCall& call, Outcome outcome,
                               TimePoint now, const UniformRandom& draw) const;
  bool MayRetry(const AttemptFailure& failure, const RetryCall& call) const;

  // Delay before retry number `retry`, counted from 1: exponential with full
  // jitter. Source: M. Brooker, "Exponential Backoff And Jitter", AWS, 2015.
  Duration Backoff(uint32_t retry, const UniformRandom& draw) const;

  RetrySettings m_settings;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RETRY_RETRY_POLICY_H_
