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

// Failure of one attempt as observed by the calling node.
enum class FailureKind : uint8_t {
  // Refused, not run: the callee is overloaded or the call is below the
  // admission threshold.
  kOverload,
  // Refused, not run, for a cause specific to this server, so that another one
  // may accept the call: leaving, backend server unreachable, incarnation
  // mismatch, connection not established.
  kInstanceRefusal,
  // A fence proved that the call never runs.
  kNeverRuns,
  // The answer is lost or incomplete; the call may have run.
  kAnswerLost,
  // The callee lost the connection to its backend server during the call.
  kBackendLost,
  // The callee reported an unknown outcome for any other cause.
  kUnknown,
  // Refused, not run, for a cause that applies at every server: bad request,
  // deadline, depth, ticket, configuration.
  kPermanentRefusal,
};

struct AttemptFailure {
  FailureKind kind = FailureKind::kUnknown;
  // False if the callee forwards a failure of a service further downstream.
  bool adjacent = true;
};

// Classifies a failure that the callee reported in its answer.
FailureKind ClassifyAnswer(Outcome outcome, RefusalCode refusal);

// The call whose attempt failed.
struct RetryCall {
  bool idempotent = false;
  // False if a backend server made the call without a known context.
  bool known_context = true;
  // Attempts made so far, including the failed one.
  uint32_t attempts = 1;
  // True if an earlier attempt may have run. The call is then never reported as
  // not run, whatever the outcome of its last attempt.
  bool may_have_run = false;
  TimePoint deadline;
};

enum class RetryAction : uint8_t {
  // Report `outcome`.
  kGiveUp,
  // Retry on another server after `delay`.
  kRetryElsewhere,
  // Fence the attempt at the callee, then decide again with the result.
  kFenceFirst,
};

struct RetryDecision {
  RetryAction action = RetryAction::kGiveUp;
  // Set for kGiveUp.
  Outcome outcome = Outcome::kUnknown;
  // Set for kRetryElsewhere.
  Duration delay{};
};

// How retries are limited.
enum class RetryMode : uint8_t {
  // By the chain budget and the edge budget.
  kChainBudget,
  // Up to `plain_retries` retries of any failure at each hop, as a baseline for
  // measurements. Lost answers of non-idempotent calls are still fenced.
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

// Returns a uniformly distributed random number in [0, 1).
using UniformRandom = std::function<double()>;

// Decides whether and how a failed attempt is retried. Stateless and
// thread-safe.
class RetryPolicy {
 public:
  explicit RetryPolicy(const RetrySettings& settings) : m_settings(settings) {}

  // Does not charge any budget; see TakeRetry(). `draw` provides the jitter of
  // the delay. Never returns a retry that would start at or after the deadline.
  RetryDecision Decide(const AttemptFailure& failure, const RetryCall& call,
                       TimePoint now, const UniformRandom& draw) const;

  // Charges a retry to both budgets. Returns nullopt and charges neither if
  // either is exhausted. In mode kPlain nothing is charged and the share is
  // empty.
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
  // Retries on another server if MayRetry() allows it and the deadline leaves
  // time; gives up with `outcome` otherwise.
  RetryDecision RetryElsewhere(const AttemptFailure& failure,
                               const RetryCall& call, Outcome outcome,
                               TimePoint now, const UniformRandom& draw) const;
  bool MayRetry(const AttemptFailure& failure, const RetryCall& call) const;

  // Delay before retry number `retry`, counted from 1: exponential backoff with
  // full jitter. Source: M. Brooker, "Exponential Backoff And Jitter", AWS,
  // 2015.
  Duration Backoff(uint32_t retry, const UniformRandom& draw) const;

  RetrySettings m_settings;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RETRY_RETRY_POLICY_H_
