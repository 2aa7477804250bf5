#define BOOST_TEST_MODULE retry
#include "retry/retry.h"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <numeric>
#include <random>
#include <thread>
#include <vector>

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};

double ConstantHalf() { return 0.5; }

RetryDecision Decide(FailureKind kind, const RetryCall& call,
                     RetryMode mode = RetryMode::kChainBudget,
                     bool adjacent = true) {
  RetrySettings settings;
  settings.mode = mode;
  return RetryPolicy(settings).Decide({kind, adjacent}, call, kStart,
                                      ConstantHalf);
}

RetryCall MakeCall(bool idempotent) {
  RetryCall call;
  call.idempotent = idempotent;
  call.deadline = kStart + seconds(1);
  return call;
}

struct PolicyCase {
  FailureKind kind;
  bool idempotent;
  RetryAction action;
  Outcome outcome;
};

// Guards against retries of overload refusals (first rows), retries of
// non-idempotent calls that may have run, and outcomes that are more definite
// than the failure justifies.
BOOST_AUTO_TEST_CASE(PolicyTable) {
  const std::vector<PolicyCase> cases = {
      {FailureKind::kOverload, true, RetryAction::kGiveUp, Outcome::kNotRun},
      {FailureKind::kOverload, false, RetryAction::kGiveUp, Outcome::kNotRun},
      {FailureKind::kInstanceRefusal, false, RetryAction::kRetryElsewhere,
       Outcome::kNotRun},
      {FailureKind::kNeverRuns, false, RetryAction::kRetryElsewhere,
       Outcome::kNotRun},
      {FailureKind::kAnswerLost, true, RetryAction::kRetryElsewhere,
       Outcome::kUnknown},
      {FailureKind::kAnswerLost, false, RetryAction::kFenceFirst,
       Outcome::kUnknown},
      {FailureKind::kBackendLost, true, RetryAction::kRetryElsewhere,
       Outcome::kUnknown},
      {FailureKind::kBackendLost, false, RetryAction::kGiveUp,
       Outcome::kUnknown},
      {FailureKind::kUnknown, true, RetryAction::kGiveUp, Outcome::kUnknown},
      {FailureKind::kPermanentRefusal, true, RetryAction::kGiveUp,
       Outcome::kNotRun},
  };
  for (const PolicyCase& row : cases) {
    const RetryDecision decision = Decide(row.kind, MakeCall(row.idempotent));
    BOOST_TEST_CONTEXT("kind " << static_cast<int>(row.kind)) {
      BOOST_TEST((decision.action == row.action));
      BOOST_TEST((decision.outcome == row.outcome));
    }
  }
}

// Guards against reporting "not run" for a call whose earlier attempt may have
// run (P4).
BOOST_AUTO_TEST_CASE(EarlierAttemptMayHaveRun) {
  RetryCall call = MakeCall(true);
  call.may_have_run = true;
  for (const FailureKind kind :
       {FailureKind::kOverload, FailureKind::kInstanceRefusal,
        FailureKind::kPermanentRefusal}) {
    BOOST_TEST((Decide(kind, call).outcome == Outcome::kUnknown));
  }
}

// Guards against retries at every hop above a failed service, of calls without
// a known context, and after the deadline.
BOOST_AUTO_TEST_CASE(NoRetry) {
  RetryCall call = MakeCall(true);
  const FailureKind kind = FailureKind::kInstanceRefusal;
  BOOST_TEST((Decide(kind, call, RetryMode::kChainBudget, false).action ==
              RetryAction::kGiveUp));
  call.known_context = false;
  BOOST_TEST((Decide(kind, call).action == RetryAction::kGiveUp));
  call = MakeCall(true);
  call.deadline = kStart + milliseconds(2);
  BOOST_TEST((Decide(kind, call).action == RetryAction::kGiveUp));
}

// Guards against a delay that grows without bound or overflows.
BOOST_AUTO_TEST_CASE(Backoff) {
  RetryCall call = MakeCall(true);
  BOOST_TEST((Decide(FailureKind::kNeverRuns, call).delay ==
              std::chrono::microseconds(2500)));
  for (const uint32_t attempts : {10U, 40U, 4000000000U}) {
    call.attempts = attempts;
    BOOST_TEST(
        (Decide(FailureKind::kNeverRuns, call).delay == milliseconds(100)));
  }
}

// Guards against a baseline mode that stops retrying early or skips the fence.
BOOST_AUTO_TEST_CASE(PlainMode) {
  RetryCall call = MakeCall(true);
  call.attempts = 3;
  const RetryMode mode = RetryMode::kPlain;
  BOOST_TEST((Decide(FailureKind::kOverload, call, mode, false).action ==
              RetryAction::kRetryElsewhere));
  call.attempts = 4;
  BOOST_TEST((Decide(FailureKind::kOverload, call, mode, false).action ==
              RetryAction::kGiveUp));
  BOOST_TEST((Decide(FailureKind::kAnswerLost, MakeCall(false), mode).action ==
              RetryAction::kFenceFirst));
}

// Guards against refusals that are wrongly classified as safe to retry.
BOOST_AUTO_TEST_CASE(Classification) {
  BOOST_TEST((ClassifyAnswer(Outcome::kNotRun, RefusalCode::kOverload) ==
              FailureKind::kOverload));
  BOOST_TEST((ClassifyAnswer(Outcome::kNotRun, RefusalCode::kLeaving) ==
              FailureKind::kInstanceRefusal));
  BOOST_TEST((ClassifyAnswer(Outcome::kNotRun, RefusalCode::kBadRequest) ==
              FailureKind::kPermanentRefusal));
  BOOST_TEST((ClassifyAnswer(Outcome::kUnknown, RefusalCode::kLeaving) ==
              FailureKind::kUnknown));
  BOOST_TEST((ClassifyAnswer(Outcome::kUnknown, RefusalCode::kConnectionLost) ==
              FailureKind::kBackendLost));
}

// Guards against an edge that makes more retries than its successes allow.
BOOST_AUTO_TEST_CASE(EdgeBudgetFollowsSuccesses) {
  EdgeBudgetSettings settings;
  settings.retries_per_second = 0;
  settings.capacity = 5;
  EdgeBudget budget(settings, kStart);
  for (int i = 0; i < 5; ++i) BOOST_TEST(budget.TrySpend(kStart));
  BOOST_TEST(!budget.TrySpend(kStart));
  for (int i = 0; i < 11; ++i) budget.RecordSuccess(kStart);
  BOOST_TEST(budget.TrySpend(kStart));
  BOOST_TEST(!budget.TrySpend(kStart));
}

// Guards against a refill beyond the capacity, and against a slightly older
// clock reading from another thread that changes the balance.
BOOST_AUTO_TEST_CASE(EdgeBudgetFollowsTime) {
  EdgeBudget budget({0.1, 2.0, 3.0}, kStart);
  BOOST_TEST(budget.Balance(kStart + seconds(100)) == 3.0);
  BOOST_TEST(budget.TrySpend(kStart + seconds(100)));
  BOOST_TEST(budget.Balance(kStart) == 2.0);
  BOOST_TEST(budget.Balance(kStart + seconds(101)) == 3.0);
}

// Guards against exceeding the retry limit under varying traffic and failure
// rates. In any window, the retries are limited to the ratio times the largest
// request count of that window, the one half a window earlier and the one a
// window earlier.
BOOST_AUTO_TEST_CASE(WindowBudgetKeepsItsBound) {
  constexpr double kRatio = 0.2;
  constexpr double kBurst = 1;
  constexpr int kWindow = 10'000;
  std::mt19937_64 random(11);
  std::uniform_real_distribution<double> draw(0, 1);
  for (int round = 0; round < 20; ++round) {
    WindowBudget budget({kRatio, kBurst, milliseconds(kWindow)}, kStart);
    std::vector<int> requests(60'000);
    std::vector<int> retries(requests.size());
    double rate = draw(random);
    double failures = draw(random);
    for (size_t ms = 0; ms < requests.size(); ++ms) {
      const TimePoint now = kStart + milliseconds(ms);
      if (ms % 4000 == 0) {
        rate = draw(random) * draw(random);
        failures = draw(random);
      }
      if (draw(random) >= rate) continue;
      ++requests[ms];
      budget.RecordRequest(now);
      if (draw(random) < failures && budget.TrySpend(draw(random), now)) {
        ++retries[ms];
      }
    }
    const auto count = [](const std::vector<int>& events, int from) {
      const auto begin = events.begin() + std::max(from, 0);
      return std::accumulate(begin,
                             events.begin() + std::max(from + kWindow, 0), 0);
    };
    for (int from = 0; from + kWindow <= 60'000; from += 97) {
      const int most =
          std::max({count(requests, from), count(requests, from - kWindow / 2),
                    count(requests, from - kWindow)});
      BOOST_TEST_REQUIRE(count(retries, from) <= kRatio * most + 2 * kBurst);
    }
  }
}

// Guards against a scarce budget spent on low priorities: a single retry is
// granted at any priority, but under contention high priorities prevail.
BOOST_AUTO_TEST_CASE(WindowBudgetServesByPriority) {
  WindowBudget budget({0.2, 1, seconds(10)}, kStart);
  TimePoint now = kStart;
  const auto send_requests = [&](int requests) {
    for (int i = 0; i < requests; ++i) {
      now += milliseconds(1);
      budget.RecordRequest(now);
    }
  };
  send_requests(10'000);
  BOOST_TEST(budget.TrySpend(1, now));
  send_requests(1000);
  int high_granted = 0;
  int low_granted = 0;
  for (int i = 0; i < 4000; ++i) {
    send_requests(1);
    low_granted += budget.TrySpend(0.9, now) ? 1 : 0;
    high_granted += budget.TrySpend(0.05, now) ? 1 : 0;
  }
  BOOST_TEST(high_granted > 5 * low_granted);
}

// Guards against calls made while processing a retried call that are not
// charged to the budget of the called service.
BOOST_AUTO_TEST_CASE(RetriesMadeElsewhereCount) {
  WindowBudget budget({0.2, 1, seconds(10)}, kStart);
  for (int i = 0; i < 100; ++i) budget.RecordRequest(kStart);
  for (int i = 0; i < 21; ++i) budget.RecordRetry(kStart);
  BOOST_TEST(!budget.TrySpend(0, kStart + seconds(1)));
}

// Guards against a charge to one budget for a retry that the other one refuses.
BOOST_AUTO_TEST_CASE(RefusedRetryIsNotCharged) {
  const RetryPolicy policy{RetrySettings{}};
  EdgeBudget edge({0, 0, 1}, kStart);
  const auto empty = ChainBudget::Create(0);
  BOOST_TEST(!policy.TakeRetry(*empty, edge, CalleeKind::kLeaf, kStart));
  BOOST_TEST(edge.Balance(kStart) == 1.0);
  const auto chain = ChainBudget::Create(2);
  BOOST_TEST(
      policy.TakeRetry(*chain, edge, CalleeKind::kLeaf, kStart).has_value());
  BOOST_TEST(!policy.TakeRetry(*chain, edge, CalleeKind::kLeaf, kStart));
  BOOST_TEST(chain->Available() == 1U);
}

// Guards against shares that are refunded twice, after Close() or beyond their
// size, and against lost shares that are refunded.
BOOST_AUTO_TEST_CASE(SharesAreRefundedOnce) {
  const auto chain = ChainBudget::Create(5);
  AttemptShare share = chain->TakeFirst(CalleeKind::kNonLeaf);
  BOOST_TEST(share.Count() == 3U);
  share.Refund(100);
  share.Refund(3);
  BOOST_TEST(chain->Available() == 5U);
  { const AttemptShare lost = chain->TakeFirst(CalleeKind::kNonLeaf); }
  BOOST_TEST(chain->Available() == 2U);
  AttemptShare late = chain->TakeFirst(CalleeKind::kNonLeaf);
  BOOST_TEST(chain->Close() == 1U);
  late.RefundAll();
  BOOST_TEST(chain->Close() == 0U);
  BOOST_TEST(!chain->TakeRetry(CalleeKind::kLeaf));
  BOOST_TEST(chain->TakeFirst(CalleeKind::kNonLeaf).Count() == 0U);
}

// Simulates one request through a random call tree with random failures.
class ChainModel {
 public:
  ChainModel(uint64_t seed, RetryMode mode)
      : m_random(seed), m_policy(Settings(mode)) {}

  // Runs a call with `grant` extra attempts; returns what is unspent.
  uint32_t Run(uint32_t depth, uint32_t grant) {
    const auto budget = ChainBudget::Create(grant);
    const uint32_t fan_out = depth < m_max_depth ? 1 + m_random() % 2 : 0;
    std::vector<AttemptShare> open;
    // All first shares are allocated up front, as with concurrent calls.
    for (uint32_t i = 0; i < fan_out; ++i) {
      open.push_back(budget->TakeFirst(Callee(depth)));
    }
    for (AttemptShare& share : open) CallDown(depth, *budget, share);
    return budget->Close();
  }

  uint32_t extra_attempts = 0;

 private:
  static RetrySettings Settings(RetryMode mode) {
    RetrySettings settings;
    settings.mode = mode;
    return settings;
  }

  CalleeKind Callee(uint32_t depth) const {
    return depth + 1 < m_max_depth ? CalleeKind::kNonLeaf : CalleeKind::kLeaf;
  }

  void CallDown(uint32_t depth, ChainBudget& budget, AttemptShare& share) {
    RetryCall call = MakeCall(true);
    for (;; ++call.attempts) {
      const bool refused = m_random() % 4 == 0;
      const bool lost = m_random() % 4 == 0;
      const uint32_t unspent =
          refused ? share.Count() : Run(depth + 1, share.Count());
      if (!lost) share.Refund(unspent);
      if (!lost && !refused) return;
      const AttemptFailure failure = {refused ? FailureKind::kInstanceRefusal
                                              : FailureKind::kAnswerLost};
      const auto decision =
          m_policy.Decide(failure, call, kStart, ConstantHalf);
      if (decision.action != RetryAction::kRetryElsewhere) return;
      auto next = m_policy.TakeRetry(budget, m_edge, Callee(depth), kStart);
      if (!next) return;
      ++extra_attempts;
      if (extra_attempts > 1000) return;
      share = std::move(*next);
    }
  }

  std::mt19937_64 m_random;
  RetryPolicy m_policy;
  const uint32_t m_max_depth = 4;
  EdgeBudget m_edge{{1, 0, 1000}, kStart};
};

// Guards against a request that makes more extra attempts than its grant (P1).
BOOST_AUTO_TEST_CASE(ChainBoundHolds) {
  BOOST_TEST(rc::check("extra attempts stay within the grant", [] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const auto grant = *rc::gen::inRange(0U, 8U);
    ChainModel model(seed, RetryMode::kChainBudget);
    const uint32_t unspent = model.Run(0, grant);
    RC_ASSERT(model.extra_attempts + unspent <= grant);
  }));
}

// Verifies that the model can exceed the bound, by using the baseline mode;
// otherwise ChainBoundHolds would prove nothing.
BOOST_AUTO_TEST_CASE(ChainBoundFailsWithoutBudget) {
  uint32_t exceeded = 0;
  for (uint64_t seed = 0; seed < 100; ++seed) {
    ChainModel model(seed, RetryMode::kPlain);
    model.Run(0, 3);
    if (model.extra_attempts > 3) ++exceeded;
  }
  BOOST_TEST(exceeded > 0U);
}

// Guards against races between concurrent downstream calls on one pool.
BOOST_AUTO_TEST_CASE(ConcurrentCallsShareOnePool) {
  constexpr uint32_t kGrant = 10000;
  constexpr int kThreads = 4;
  const auto chain = ChainBudget::Create(kGrant);
  std::atomic<uint32_t> spent{0};
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      while (auto share = chain->TakeRetry(CalleeKind::kNonLeaf)) {
        ++spent;
        share->RefundAll();
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  // A thread may find the pool empty while another one holds a share, so the
  // sum is checked.
  BOOST_TEST(spent + chain->Close() == kGrant);
}

}  // namespace
}  // namespace vanillatiller
