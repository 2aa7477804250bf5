#define BOOST_TEST_MODULE execution_property
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "execution/execution.h"
#include "retry/retry.h"

// Simulates one caller's request: the caller, the issuer of its ticket, which
// is also the calling node, and two callees. The network loses, duplicates,
// delays and reorders messages, and processes pause and restart.

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kExtraAttempts = 3;
constexpr size_t kCallees = 2;

// Mechanism to disable, to show that the invariants depend on it.
enum class Disabled : uint8_t {
  kNothing,
  // Lost answers are retried without a fence.
  kFenceFirst,
  // The callee answers "never runs" without recording the fence.
  kFenceRecord,
  // The callee runs every copy of a call.
  kLedger,
  // The deadline is computed from the arrival time of each copy.
  kCalleeClock,
  // Every repeat of a request may use the ticket.
  kTicketRecords,
  // The transport delivers the message of a call more than once, even across
  // restarts of the callee.
  kSingleDelivery,
  // A restarted callee accepts fences for calls of its previous incarnation.
  kIncarnation,
  // The outcome ignores that an earlier attempt may have run.
  kMayHaveRun,
  // Retries are not charged to the chain budget.
  kChainBudget,
};

struct Result {
  uint32_t executions = 0;
  uint32_t attempts = 0;
  uint32_t reported_complete = 0;
  uint32_t reported_not_run = 0;
};

struct Violations {
  bool ran_twice = false;
  bool false_not_run = false;
  bool over_bound = false;
  bool Any() const { return ran_twice || false_not_run || over_bound; }
};

Violations Check(const Result& result, bool idempotent) {
  Violations violations;
  violations.ran_twice = !idempotent && result.executions > 1;
  violations.false_not_run =
      result.reported_not_run > 0 && result.executions > 0;
  violations.over_bound = result.attempts > 1 + kExtraAttempts;
  return violations;
}

class Model {
 public:
  Model(uint64_t seed, bool idempotent, Disabled disabled)
      : m_random(seed),
        m_idempotent(idempotent),
        m_disabled(disabled),
        m_loss(Below(60)),
        m_duplication(Below(60)),
        m_calls_have_copies(Percent(50)),
        m_mean_delay(milliseconds(1 + Below(300))) {
    for (Callee& callee : m_callees) {
      callee.offset = seconds(Below(1000));
      callee.Restart(m_disabled == Disabled::kIncarnation);
    }
    StartIssuer();
  }

  // Copies of calls and restarts of callees are mutually exclusive. The
  // transport delivers a call at most once, so copies represent repeated sends
  // by the calling node, which only a record of the same incarnation detects.
  bool MayDuplicateCalls() const {
    return m_calls_have_copies || m_disabled == Disabled::kSingleDelivery;
  }
  bool MayRestartCallees() const {
    return !m_calls_have_copies || m_disabled == Disabled::kSingleDelivery;
  }

  Result Run() {
    m_ticket = m_issuer->Issue(m_now);
    const uint32_t repeats = 1 + Below(3);
    for (uint32_t i = 0; i < repeats; ++i) {
      At(milliseconds(Below(3000)), [this] { SendRequest(); });
    }
    const uint32_t faults = Below(4);
    for (uint32_t i = 0; i < faults; ++i) {
      At(milliseconds(Below(3000)), [this] { InjectFault(); });
    }
    while (!m_events.empty()) {
      const auto first = m_events.begin();
      m_now = first->first;
      const auto action = std::move(first->second);
      m_events.erase(first);
      action();
    }
    return m_result;
  }

 private:
  struct Process {
    TimePoint paused_until;
    Incarnation incarnation = 0;
  };
  struct Callee : Process {
    Duration offset{};
    std::unique_ptr<ExecutionLedger> ledger;

    void Restart(bool keep_incarnation) {
      if (!keep_incarnation || incarnation == 0) ++incarnation;
      LedgerSettings settings;
      settings.incarnation = incarnation;
      settings.margin = seconds(2);
      ledger = std::make_unique<ExecutionLedger>(settings);
    }
  };
  struct Attempt {
    CallId id;
    size_t callee = 0;
    Incarnation incarnation = 0;
    TimePoint deadline;
    bool settled = false;
    uint32_t fences = 0;
    std::optional<AttemptShare> share;
  };

  uint32_t Below(uint32_t bound) { return m_random() % bound; }
  bool Percent(uint32_t chance) { return Below(100) < chance; }

  void At(Duration delay, std::function<void()> action) {
    m_events.emplace(m_now + delay, std::move(action));
  }

  // Runs the action when the process is not paused, provided that its
  // incarnation still matches; 0 matches any.
  void In(Process& process, Incarnation incarnation, Duration delay,
          std::function<void()> action) {
    At(delay, [this, &process, incarnation, action = std::move(action)] {
      if (m_now < process.paused_until) {
        In(process, incarnation, process.paused_until - m_now, action);
        return;
      }
      if (incarnation != 0 && incarnation != process.incarnation) return;
      action();
    });
  }

  // Drops the message, or delivers one or more copies with random delays.
  void Send(Process& to, Incarnation incarnation,
            const std::function<void()>& deliver, bool may_copy = true) {
    if (Percent(m_loss)) return;
    uint32_t copies = 1;
    while (may_copy && copies < 4 && Percent(m_duplication)) ++copies;
    for (uint32_t i = 0; i < copies; ++i) {
      Duration delay = m_mean_delay * Below(200) / 100;
      if (Percent(10)) delay *= 20;
      In(to, incarnation, delay, deliver);
    }
  }

  void InjectFault() {
    const uint32_t target = Below(kCallees + 1);
    Process& process =
        target < kCallees ? static_cast<Process&>(m_callees[target]) : m_node;
    if (Percent(60)) {
      process.paused_until = m_now + milliseconds(Below(8000));
      return;
    }
    if (target < kCallees) {
      if (!MayRestartCallees()) return;
      m_callees[target].Restart(m_disabled == Disabled::kIncarnation);
    } else {
      StartIssuer();
    }
  }

  void StartIssuer() {
    ++m_node.incarnation;
    const std::string key(16, static_cast<char>(m_node.incarnation));
    Reason reason;
    m_issuer.emplace(*TicketIssuer::Create("issuer:1", m_node.incarnation, key,
                                           seconds(5), &reason));
    TicketRecordsSettings settings;
    settings.margin = seconds(2);
    m_records.emplace(settings);
    m_attempt = {};
    for (size_t i = 0; i < kCallees; ++i) {
      m_clocks[i] = PeerClock();
      const Callee& callee = m_callees[i];
      const TimePoint reading = m_now + callee.offset - milliseconds(Below(50));
      m_clocks[i].Observe(callee.incarnation, reading, m_now);
    }
  }

  // --- Caller.
  void SendRequest() {
    Send(m_node, 0, [this] { ReceiveRequest(); });
  }

  void Report(Outcome outcome) {
    if (outcome == Outcome::kComplete) ++m_result.reported_complete;
    if (outcome == Outcome::kNotRun) ++m_result.reported_not_run;
  }

  // --- Issuer and calling node.
  void ReceiveRequest() {
    // An idempotent request needs no ticket. Its repeats are independent
    // requests, so only the first one is simulated.
    if (m_idempotent) {
      if (std::exchange(m_started, true)) return;
      StartCall();
      return;
    }
    const TicketCheck check = m_issuer->Verify(m_ticket, m_now);
    if (check.status == TicketStatus::kOtherIncarnation) return;
    const auto result = m_records->Use(check.ticket, Sha256("body"), m_now);
    TicketUse use = result.use;
    if (m_disabled == Disabled::kTicketRecords) use = TicketUse::kRun;
    switch (use) {
      case TicketUse::kRun:
        m_sequence = check.ticket.sequence;
        StartCall();
        return;
      case TicketUse::kAnswered:
        Report(result.answer->outcome);
        return;
      case TicketUse::kExpiredUnused:
        Report(Outcome::kNotRun);
        return;
      default:
        return;
    }
  }

  void StartCall() {
    m_budget = ChainBudget::Create(kExtraAttempts);
    m_call = {};
    m_call.idempotent = m_idempotent;
    m_call.deadline = m_now + seconds(3);
    SendAttempt(m_budget->TakeFirst(CalleeKind::kNonLeaf));
  }

  void SendAttempt(AttemptShare share) {
    ++m_result.attempts;
    m_attempt = {};
    m_attempt.id = {{m_node.incarnation, ++m_calls}};
    m_attempt.callee = m_calls % kCallees;
    m_attempt.share = std::move(share);
    const PeerClock& clock = m_clocks[m_attempt.callee];
    m_attempt.incarnation = clock.CurrentIncarnation();
    m_attempt.deadline = *clock.ToPeerTime(m_call.deadline);
    Callee& callee = m_callees[m_attempt.callee];
    const Duration time_left = m_call.deadline - m_now;
    Send(
        callee, 0,
        [this, &callee, id = m_attempt.id, incarnation = m_attempt.incarnation,
         deadline = m_attempt.deadline, time_left] {
          ReceiveCall(callee, id, incarnation, deadline, time_left);
        },
        MayDuplicateCalls());
    In(m_node, m_node.incarnation, milliseconds(200 + Below(800)),
       [this, id = m_attempt.id] { OnAnswerTimeout(id); });
  }

  bool IsCurrent(const CallId& id) const {
    return m_attempt.id == id && !m_attempt.settled;
  }

  void OnAnswerTimeout(const CallId& id) {
    if (IsCurrent(id) && m_attempt.fences == 0) {
      OnAttemptFailed(FailureKind::kAnswerLost);
    }
  }

  void ReceiveAnswer(const CallId& id, const StoredAnswer& answer) {
    if (!IsCurrent(id)) return;
    if (answer.outcome == Outcome::kComplete) {
      m_attempt.share->Refund(m_attempt.share->Count());
      Finish(Outcome::kComplete);
      return;
    }
    const auto refusal = static_cast<RefusalCode>(answer.payload.at(0));
    const FailureKind kind = ClassifyAnswer(answer.outcome, refusal);
    if (answer.outcome == Outcome::kNotRun) m_attempt.share->RefundAll();
    OnAttemptFailed(kind);
  }

  void OnAttemptFailed(FailureKind kind) {
    RetryDecision decision =
        m_policy.Decide({kind}, m_call, m_now, [this] { return Draw(); });
    if (decision.action == RetryAction::kFenceFirst &&
        m_disabled == Disabled::kFenceFirst) {
      decision = {RetryAction::kRetryElsewhere, Outcome::kUnknown};
    }
    if (decision.action == RetryAction::kFenceFirst) {
      SendFence(m_attempt.id);
      return;
    }
    if (decision.action == RetryAction::kGiveUp) {
      Finish(decision.outcome);
      return;
    }
    std::optional<AttemptShare> share = TakeRetry();
    if (!share) {
      Finish(decision.outcome);
      return;
    }
    if (kind == FailureKind::kAnswerLost || kind == FailureKind::kBackendLost) {
      m_call.may_have_run = m_disabled != Disabled::kMayHaveRun;
    }
    ++m_call.attempts;
    m_attempt.settled = true;
    m_pending_share.emplace(std::move(*share));
    In(m_node, m_node.incarnation, decision.delay,
       [this] { SendAttempt(std::move(*m_pending_share)); });
  }

  std::optional<AttemptShare> TakeRetry() {
    if (m_disabled == Disabled::kChainBudget) {
      return ChainBudget::Create(9)->TakeFirst(CalleeKind::kLeaf);
    }
    return m_policy.TakeRetry(*m_budget, m_edge, CalleeKind::kNonLeaf, m_now);
  }

  void SendFence(const CallId& id) {
    if (!IsCurrent(id)) return;
    if (++m_attempt.fences > 10) {
      Finish(Outcome::kUnknown);
      return;
    }
    Callee& callee = m_callees[m_attempt.callee];
    Send(callee, 0,
         [this, &callee, id, incarnation = m_attempt.incarnation,
          deadline = m_attempt.deadline] {
           ReceiveFence(callee, id, incarnation, deadline);
         });
    In(m_node, m_node.incarnation, milliseconds(300),
       [this, id] { SendFence(id); });
  }

  void ReceiveFenceAnswer(const CallId& id, const FenceResult& result) {
    if (!IsCurrent(id)) return;
    switch (result.state) {
      case FenceState::kAnswered:
        ReceiveAnswer(id, *result.answer);
        return;
      case FenceState::kNeverRuns:
        m_attempt.share->RefundAll();
        OnAttemptFailed(FailureKind::kNeverRuns);
        return;
      case FenceState::kUnknown:
        Finish(Outcome::kUnknown);
        return;
      case FenceState::kRunning:
        return;
    }
  }

  void Finish(Outcome outcome) {
    m_attempt.settled = true;
    if (!m_idempotent) m_records->Complete(m_sequence, {outcome, {}});
    Report(outcome);
  }

  // --- Callee.
  void ReceiveCall(Callee& callee, const CallId& id, Incarnation incarnation,
                   TimePoint deadline, Duration time_left) {
    const TimePoint now = m_now + callee.offset;
    if (m_disabled == Disabled::kCalleeClock) deadline = now + time_left;
    callee.ledger->Expire(now);
    BeginResult begin = callee.ledger->Begin(id, incarnation, deadline, now);
    if (m_disabled == Disabled::kLedger && begin == BeginResult::kDuplicate) {
      begin = BeginResult::kRun;
    }
    if (begin == BeginResult::kDuplicate) return;
    if (begin != BeginResult::kRun) {
      const char code = static_cast<char>(BeginRefusal(begin));
      Answer(callee, id, {BeginOutcome(begin), std::string(1, code)});
      return;
    }
    ++m_result.executions;
    // The backend server keeps running while its node pauses or restarts.
    In(callee, callee.incarnation, milliseconds(Below(600)),
       [this, &callee, id] {
         const StoredAnswer answer = {Outcome::kComplete, "x"};
         callee.ledger->Complete(id, answer);
         Answer(callee, id, answer);
       });
  }

  void Answer(Callee& callee, const CallId& id, const StoredAnswer& answer) {
    Send(m_node, m_node.incarnation,
         [this, index = &callee - m_callees.data(),
          incarnation = callee.incarnation, reading = m_now + callee.offset, id,
          answer] {
           m_clocks[index].Observe(incarnation, reading, m_now);
           ReceiveAnswer(id, answer);
         });
  }

  void ReceiveFence(Callee& callee, const CallId& id, Incarnation incarnation,
                    TimePoint deadline) {
    const TimePoint now = m_now + callee.offset;
    FenceResult result;
    if (m_disabled == Disabled::kFenceRecord) {
      ExecutionLedger copy = *callee.ledger;
      result = copy.Fence(id, incarnation, deadline, now);
    } else {
      result = callee.ledger->Fence(id, incarnation, deadline, now);
    }
    Send(m_node, m_node.incarnation,
         [this, id, result] { ReceiveFenceAnswer(id, result); });
  }

  double Draw() { return static_cast<double>(Below(1000)) / 1000.0; }

  std::mt19937_64 m_random;
  const bool m_idempotent;
  const Disabled m_disabled;
  const uint32_t m_loss;
  const uint32_t m_duplication;
  const bool m_calls_have_copies;
  const Duration m_mean_delay;

  TimePoint m_now{seconds(100)};
  std::multimap<TimePoint, std::function<void()>> m_events;
  Result m_result;

  Process m_node;
  std::optional<TicketIssuer> m_issuer;
  std::optional<TicketRecords> m_records;
  std::array<PeerClock, kCallees> m_clocks;
  std::array<Callee, kCallees> m_callees;
  std::string m_ticket;
  uint64_t m_sequence = 0;
  bool m_started = false;

  RetryPolicy m_policy{RetrySettings{}};
  EdgeBudget m_edge{EdgeBudgetSettings{}, m_now};
  std::shared_ptr<ChainBudget> m_budget;
  RetryCall m_call;
  Attempt m_attempt;
  std::optional<AttemptShare> m_pending_share;
  uint64_t m_calls = 0;
};

// Guards against double execution, a false "not run" and attempts beyond the
// bound (P1, P4, P5).
BOOST_AUTO_TEST_CASE(InvariantsHold) {
  BOOST_TEST(rc::check("no violation", [] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    for (uint64_t i = 0; i < 100; ++i) {
      const bool idempotent = i % 3 == 0;
      Model model(seed + i, idempotent, Disabled::kNothing);
      const Violations violations = Check(model.Run(), idempotent);
      RC_ASSERT(!violations.ran_twice);
      RC_ASSERT(!violations.false_not_run);
      RC_ASSERT(!violations.over_bound);
    }
  }));
}

struct DisabledCase {
  const char* name;
  Disabled disabled;
  bool idempotent;
  bool Violations::*violation;
};

constexpr uint64_t kRuns = 20000;

// Verifies that the model can detect violations: disabling any mechanism must
// produce the violation that it prevents.
BOOST_AUTO_TEST_CASE(EachMechanismIsNeeded) {
  const std::vector<DisabledCase> cases = {
      {"fence before retry", Disabled::kFenceFirst, false,
       &Violations::ran_twice},
      {"record of the fence", Disabled::kFenceRecord, false,
       &Violations::ran_twice},
      {"ledger", Disabled::kLedger, false, &Violations::ran_twice},
      {"deadline on the callee's clock", Disabled::kCalleeClock, false,
       &Violations::ran_twice},
      {"single delivery", Disabled::kSingleDelivery, false,
       &Violations::ran_twice},
      {"ticket records", Disabled::kTicketRecords, false,
       &Violations::ran_twice},
      {"incarnation", Disabled::kIncarnation, false, &Violations::ran_twice},
      {"tracking of earlier attempts", Disabled::kMayHaveRun, true,
       &Violations::false_not_run},
      {"chain budget", Disabled::kChainBudget, false, &Violations::over_bound},
  };
  for (const DisabledCase& row : cases) {
    uint64_t found = 0;
    for (uint64_t seed = 0; seed < kRuns && found == 0; ++seed) {
      Model model(seed, row.idempotent, row.disabled);
      if (Check(model.Run(), row.idempotent).*row.violation) found = seed + 1;
    }
    BOOST_TEST_MESSAGE(row.name << ": first violation in run " << found);
    BOOST_TEST(found > 0U, row.name);
  }
}

// Verifies that the model reaches completed, refused and retried requests;
// otherwise the invariants would hold trivially.
BOOST_AUTO_TEST_CASE(ModelReachesAllOutcomes) {
  uint32_t complete = 0;
  uint32_t not_run = 0;
  uint32_t retried = 0;
  for (uint64_t seed = 0; seed < 1000; ++seed) {
    Model model(seed, false, Disabled::kNothing);
    const Result result = model.Run();
    if (result.reported_complete > 0) ++complete;
    if (result.reported_not_run > 0) ++not_run;
    if (result.attempts > 1) ++retried;
  }
  BOOST_TEST_MESSAGE("of 1000: complete " << complete << ", not run " << not_run
                                          << ", retried " << retried);
  BOOST_TEST(complete > 300U);
  BOOST_TEST(not_run > 50U);
  BOOST_TEST(retried > 100U);
}

}  // namespace
}  // namespace vanillatiller
