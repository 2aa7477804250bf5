#include "retry/retry_policy.h"

#include <algorithm>
#include <string>

namespace vanillatiller {
namespace {

// Caps the exponent so that the shift cannot overflow. The delay has reached
// its maximum well before.
constexpr uint32_t kMaxDoublings = 20;

FailureKind ClassifyNotRun(RefusalCode refusal) {
  switch (refusal) {
    case RefusalCode::kOverload:
    case RefusalCode::kBelowThreshold:
    case RefusalCode::kBackendRefused:
      return FailureKind::kOverload;
    case RefusalCode::kLeaving:
    case RefusalCode::kBackendUnreachable:
    case RefusalCode::kConnectionLost:
    case RefusalCode::kUnknownIncarnation:
    case RefusalCode::kNoConfiguration:
      return FailureKind::kInstanceRefusal;
    case RefusalCode::kFenced:
      return FailureKind::kNeverRuns;
    default:
      return FailureKind::kPermanentRefusal;
  }
}

RetryDecision GiveUp(Outcome outcome) {
  return {RetryAction::kGiveUp, outcome, Duration::zero()};
}

}  // namespace

FailureKind ClassifyAnswer(Outcome outcome, RefusalCode refusal) {
  if (outcome == Outcome::kNotRun) return ClassifyNotRun(refusal);
  if (refusal == RefusalCode::kConnectionLost ||
      refusal == RefusalCode::kIncompleteAnswer) {
    return FailureKind::kBackendLost;
  }
  return FailureKind::kUnknown;
}

std::optional<RetryMode> ParseRetryMode(std::string_view text, Reason* reason) {
  if (text == "chain-budget") return RetryMode::kChainBudget;
  if (text == "plain") return RetryMode::kPlain;
  *reason = {RefusalCode::kBadRequest,
             "retries must be \"chain-budget\" or \"plain\", found \"" +
                 std::string(text) + "\""};
  return std::nullopt;
}

const std::array<RetryPolicy::Strategy, 7> RetryPolicy::kStrategies = {
    &RetryPolicy::GiveUpNotRun,       // kOverload
    &RetryPolicy::RetryNotRun,        // kInstanceRefusal
    &RetryPolicy::RetryNotRun,        // kNeverRuns
    &RetryPolicy::RetryOrFence,       // kAnswerLost
    &RetryPolicy::RetryIfIdempotent,  // kBackendLost
    &RetryPolicy::GiveUpUnknown,      // kUnknown
    &RetryPolicy::GiveUpNotRun,       // kPermanentRefusal
};

RetryDecision RetryPolicy::Decide(const AttemptFailure& failure,
                                  const RetryCall& call, TimePoint now,
                                  const UniformRandom& draw) const {
  const auto index = static_cast<size_t>(failure.kind);
  return (this->*kStrategies.at(index))(failure, call, now, draw);
}

std::optional<AttemptShare> RetryPolicy::TakeRetry(ChainBudget& chain,
                                                   EdgeBudget& edge,
                                                   CalleeKind callee,
                                                   TimePoint now) const {
  if (m_settings.mode == RetryMode::kPlain) {
    return ChainBudget::Create(0)->TakeFirst(callee);
  }
  if (!edge.TrySpend(now)) return std::nullopt;
  std::optional<AttemptShare> share = chain.TakeRetry(callee);
  if (!share) edge.Refund(now);
  return share;
}

RetryDecision RetryPolicy::GiveUpNotRun(const AttemptFailure& failure,
                                        const RetryCall& call, TimePoint now,
                                        const UniformRandom& draw) const {
  if (m_settings.mode == RetryMode::kPlain) {
    return RetryElsewhere(failure, call, Outcome::kNotRun, now, draw);
  }
  return GiveUp(call.may_have_run ? Outcome::kUnknown : Outcome::kNotRun);
}

RetryDecision RetryPolicy::GiveUpUnknown(const AttemptFailure& failure,
                                         const RetryCall& call, TimePoint now,
                                         const UniformRandom& draw) const {
  if (m_settings.mode == RetryMode::kPlain && call.idempotent) {
    return RetryElsewhere(failure, call, Outcome::kUnknown, now, draw);
  }
  return GiveUp(Outcome::kUnknown);
}

RetryDecision RetryPolicy::RetryNotRun(const AttemptFailure& failure,
                                       const RetryCall& call, TimePoint now,
                                       const UniformRandom& draw) const {
  return RetryElsewhere(failure, call, Outcome::kNotRun, now, draw);
}

RetryDecision RetryPolicy::RetryIfIdempotent(const AttemptFailure& failure,
                                             const RetryCall& call,
                                             TimePoint now,
                                             const UniformRandom& draw) const {
  if (!call.idempotent) return GiveUp(Outcome::kUnknown);
  return RetryElsewhere(failure, call, Outcome::kUnknown, now, draw);
}

RetryDecision RetryPolicy::RetryOrFence(const AttemptFailure& failure,
                                        const RetryCall& call, TimePoint now,
                                        const UniformRandom& draw) const {
  if (!call.idempotent) return {RetryAction::kFenceFirst};
  return RetryElsewhere(failure, call, Outcome::kUnknown, now, draw);
}

RetryDecision RetryPolicy::RetryElsewhere(const AttemptFailure& failure,
                                          const RetryCall& call,
                                          Outcome outcome, TimePoint now,
                                          const UniformRandom& draw) const {
  const Outcome reported = call.may_have_run ? Outcome::kUnknown : outcome;
  if (!MayRetry(failure, call)) return GiveUp(reported);
  const Duration delay = Backoff(call.attempts, draw);
  if (now + delay >= call.deadline) return GiveUp(reported);
  return {RetryAction::kRetryElsewhere, reported, delay};
}

bool RetryPolicy::MayRetry(const AttemptFailure& failure,
                           const RetryCall& call) const {
  if (m_settings.mode == RetryMode::kPlain) {
    return call.attempts <= m_settings.plain_retries;
  }
  return failure.adjacent && call.known_context;
}

Duration RetryPolicy::Backoff(uint32_t retry, const UniformRandom& draw) const {
  const uint32_t doublings = std::min(retry - 1, kMaxDoublings);
  const Duration ceiling = std::min(m_settings.first_delay * (1U << doublings),
                                    m_settings.max_delay);
  return std::chrono::duration_cast<Duration>(ceiling * draw());
}

}  // namespace vanillatiller
