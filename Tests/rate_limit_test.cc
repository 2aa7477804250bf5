// Decisions that keep the calls to a backend server within the rate that it has
// named, without I/O.
#define BOOST_TEST_MODULE rate_limit
#include "admission/rate_limit.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "admission/admission.h"
#include "relay/relay.h"
#include "relay/server_notice.h"
#include "relay/server_rate_tracker.h"

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
// The window over which the users count, and what they allow within it.
constexpr Duration kWindow = seconds(4);
constexpr double kAllowedFactor = 1.5;
constexpr double kAllowedRequests = 5;

double Allowed(double limit) {
  return kAllowedFactor * limit * 4 + kAllowedRequests;
}

// A text that is no decimal number of at least 0 must change nothing.
BOOST_AUTO_TEST_CASE(ReadsOnlyDecimalLimits) {
  struct Case {
    std::string text;
    std::optional<double> rate;
  };
  const std::vector<Case> cases = {
      {"16.6", 16.6},
      {"54", 54},
      {"0", 0},
      {"0.5", 0.5},
      {"1e3", 1000},
      {"", std::nullopt},
      {"-1", std::nullopt},
      {"nan", std::nullopt},
      {"inf", std::nullopt},
      {"infinity", std::nullopt},
      {"1e999", std::nullopt},
      {"0x10", std::nullopt},
      {"12 34", std::nullopt},
      {"12,5", std::nullopt},
      {"twelve", std::nullopt},
      {std::string(5000, '1'), std::nullopt},
  };
  ProtocolNames names;
  names.server_rate_limit = "Limit";
  names.server_leaving = "Leaving";
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.text.substr(0, 20)) {
      HttpHeaders headers;
      headers.Add("limit", item.text);
      const ServerNotice notice = ReadServerNotice(headers, names);
      BOOST_TEST((notice.rate_limit == item.rate));
      BOOST_TEST(notice.is_unreadable == !item.rate.has_value());
      BOOST_TEST(notice.unreadable.size() <= 40U);
    }
  }
  BOOST_TEST(!ReadServerNotice({}, names).is_unreadable);
}

// An answer that was written earlier but read later must not end or raise a
// limit.
BOOST_AUTO_TEST_CASE(OnlyNewerAnswersEndOrRaiseALimit) {
  struct Answer {
    // When its request was sent and when it was read, in milliseconds.
    int sent;
    int read;
    std::optional<double> rate;
  };
  struct Case {
    const char* what;
    std::vector<Answer> answers;
    std::optional<double> rate;
  };
  const std::vector<Case> cases = {
      {"first limit", {{0, 10, 5}}, 5},
      {"ends", {{0, 10, 5}, {10, 20, std::nullopt}}, std::nullopt},
      {"end that may be older", {{0, 10, 5}, {9, 20, std::nullopt}}, 5},
      {"end that may be older, then one that is not",
       {{0, 10, 5}, {9, 20, std::nullopt}, {12, 21, std::nullopt}},
       std::nullopt},
      {"rises", {{0, 10, 5}, {10, 20, 6}}, 6},
      {"rise that may be older", {{0, 10, 5}, {9, 20, 6}}, 5},
      {"falls at once", {{0, 10, 5}, {1, 11, 4}}, 4},
      {"returns", {{0, 10, 5}, {10, 20, std::nullopt}, {5, 30, 5}}, 5},
      {"zero", {{0, 10, 0}, {1, 12, 3}}, 0},
  };
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      ServerRateTracker tracker;
      for (const Answer& answer : item.answers) {
        tracker.OnAnswer(answer.rate, "r", kStart + milliseconds(answer.sent),
                         kStart + milliseconds(answer.read));
      }
      BOOST_TEST((tracker.rate() == item.rate));
    }
  }
}

// What other nodes know counts only until the server has answered.
BOOST_AUTO_TEST_CASE(ReportsCountUntilTheFirstAnswer) {
  ServerRateTracker tracker;
  BOOST_TEST(!tracker.has_known_limit());
  BOOST_TEST(tracker.OnReport(3, "r1", kStart));
  BOOST_TEST(tracker.request_id() == "r1");
  BOOST_TEST(tracker.OnReport(2, "r2", kStart));
  BOOST_TEST((tracker.rate() == 2));
  BOOST_TEST(tracker.OnAnswer(std::nullopt, "r3", kStart + milliseconds(1),
                              kStart + milliseconds(2)));
  BOOST_TEST(!tracker.OnReport(2, "r2", kStart + milliseconds(3)));
  BOOST_TEST(!tracker.rate().has_value());
  BOOST_TEST(tracker.has_known_limit());
}

// Random calls over a limit that changes at random.
BOOST_AUTO_TEST_CASE(AnyWindowStaysWithinTheRate) {
  const auto check = [] {
    const double rate =
        *rc::gen::element(0.0, 0.3, 0.5, 2.0, 16.6, 54.0, 400.0);
    RateLimit limit;
    TimePoint now = kStart;
    limit.Set(rate, now);
    std::deque<TimePoint> sent;
    const auto steps = *rc::gen::container<std::vector<int>>(
        rc::gen::element(0, 0, 0, 0, 1, 7, 40, 300, 5000));
    for (const int step : steps) {
      now += milliseconds(step);
      for (int i = 0; i < 50 && limit.Allows(now); ++i) {
        limit.OnSent(now);
        sent.push_back(now);
      }
      while (!sent.empty() && now - sent.front() >= kWindow) sent.pop_front();
      RC_ASSERT(static_cast<double>(sent.size()) <= Allowed(rate));
    }
  };
  BOOST_TEST(rc::check("any window stays within the rate", check));
}

// A server that gets nothing gives no answers, so some calls are sent whatever
// the limit.
BOOST_AUTO_TEST_CASE(SomeCallsAreSentAtALimitOfZero) {
  RateLimit limit;
  limit.Set(0, kStart);
  BOOST_TEST(!limit.Allows(kStart));
  BOOST_TEST(limit.Allows(kStart + seconds(2)));
  limit.OnSent(kStart + seconds(2));
  BOOST_TEST(!limit.Allows(kStart + seconds(3)));
  limit.Set(std::nullopt, kStart + seconds(3));
  BOOST_TEST(limit.Allows(kStart + seconds(3)));
}

std::unique_ptr<Admission> BuildAdmission(uint32_t slots, TimePoint now) {
  Findings findings;
  return Admission::Builder()
      .SetSlots(slots)
      .SetPolicy(AdmissionPolicy::kRanked)
      .SetMaxQueueWait(seconds(2))
      .Build(now, &findings);
}

Work MakeWork(WorkId id, uint32_t rank, TimePoint now) {
  Work work;
  work.id = id;
  work.rank = rank;
  work.shed_hash = static_cast<uint32_t>(id);
  work.deadline = now + seconds(5);
  work.method = "method";
  return work;
}

struct Counts {
  std::map<uint32_t, size_t> dispatched;
  std::map<RefusalCode, size_t> refused;
  Duration longest_wait{};
};

// Load pattern: twice as many calls of each of two ranks arrive as the server
// takes. The urgent ones are served, the others are refused early.
BOOST_AUTO_TEST_CASE(UrgentCallsGetTheRateFirst) {
  auto admission = BuildAdmission(64, kStart);
  AdmissionActions actions;
  admission->SetRateLimit(20, kStart, &actions);
  Counts counts;
  WorkId last = 0;
  for (TimePoint now = kStart; now < kStart + seconds(10);
       now += milliseconds(5)) {
    actions.clear();
    const auto passed = (now - kStart) / milliseconds(5);
    if (passed % 10 == 0) {
      admission->Offer(MakeWork(++last * 2, 0, now), now, &actions);
    }
    if (passed % 5 == 0) {
      admission->Offer(MakeWork(++last * 2 + 1, 3, now), now, &actions);
    }
    if (passed % 4 == 0) admission->OnTick(now, &actions);
    for (size_t i = 0; i < actions.size(); ++i) {
      const AdmissionAction action = actions[i];
      if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
        ++counts.dispatched[dispatch->id % 2];
        admission->OnFinished(dispatch->id, {}, now, &actions);
        continue;
      }
      const Refuse& refuse = std::get<Refuse>(action);
      ++counts.refused[refuse.code];
      counts.longest_wait = std::max(counts.longest_wait, refuse.queue_wait);
      BOOST_TEST(refuse.id % 2 == 1U);
    }
  }
  // 200 urgent calls were offered, as many as the server takes.
  BOOST_TEST(counts.dispatched[0] >= 190U);
  BOOST_TEST(counts.dispatched[0] + counts.dispatched[1] <= 206U);
  BOOST_TEST(counts.refused.size() == 1U);
  BOOST_TEST(counts.refused[RefusalCode::kRateLimited] >= 350U);
  BOOST_TEST((counts.longest_wait <= milliseconds(520)));
}

// A call that waits for the limit must be sent when the server takes the next
// one, also if nothing else happens at its node before the call expires.
BOOST_AUTO_TEST_CASE(TimeOfTheNextCallIsKnown) {
  for (const double rate : {4.0, 10.0, 50.0}) {
    BOOST_TEST_CONTEXT(rate << " a second") {
      auto admission = BuildAdmission(8, kStart);
      AdmissionActions actions;
      BOOST_TEST(!admission->NextRateDispatch(kStart).has_value());
      admission->SetRateLimit(rate, kStart, &actions);
      admission->Offer(MakeWork(1, 1, kStart), kStart, &actions);
      BOOST_TEST(actions.empty());
      const auto next = admission->NextRateDispatch(kStart);
      BOOST_TEST_REQUIRE(next.has_value());
      // The timer of the node is late at most by this.
      const TimePoint tick = *next + milliseconds(5);
      admission->OnTick(tick, &actions);
      BOOST_TEST_REQUIRE(actions.size() == 1U);
      BOOST_TEST(std::holds_alternative<Dispatch>(actions[0]));
      BOOST_TEST(!admission->NextRateDispatch(tick).has_value());
    }
  }
}

// Queued calls for which a new limit leaves no room are refused at once, so
// that they can go elsewhere.
BOOST_AUTO_TEST_CASE(NewLimitRefusesWhatNoLongerFits) {
  auto admission = BuildAdmission(1, kStart);
  AdmissionActions actions;
  for (WorkId id = 1; id <= 16; ++id) {
    admission->Offer(MakeWork(id, 1, kStart), kStart, &actions);
  }
  BOOST_TEST(admission->State().queued == 15U);
  actions.clear();
  admission->SetRateLimit(20, kStart, &actions);
  BOOST_TEST(admission->State().queued == 3U);
  BOOST_TEST(actions.size() == 12U);
  for (const AdmissionAction& action : actions) {
    BOOST_TEST((std::get<Refuse>(action).code == RefusalCode::kRateLimited));
  }
}

// One server, the node beside it, and the nodes that call it, in simulated
// time. The server names a limit that changes; nodes restart and freeze.
class LimitedFleet {
 public:
  explicit LimitedFleet(size_t callers) : m_callers(callers) { Restart(); }

  void SetLimit(std::optional<double> limit) {
    m_limit = limit;
    m_limit_changed = m_now;
    for (Caller& caller : m_callers) caller.told.reset();
  }
  void Restart() {
    m_admission = BuildAdmission(32, m_now);
    m_tracker.Reset();
    m_running.clear();
    m_queued.clear();
  }
  void RestartCaller(size_t caller) { m_callers.at(caller) = {}; }
  void Freeze(Duration time) { m_now += time; }

  void Send(size_t caller) {
    Caller& from = m_callers.at(caller);
    if (from.rate && m_tracker.OnReport(*from.rate, "report", m_now)) Apply();
    AdmissionActions actions;
    const WorkId id = ++m_last;
    m_queued[id] = caller;
    m_admission->Offer(MakeWork(id, 1, m_now), m_now, &actions);
    Carry(&actions);
  }
  void Tick(Duration time) {
    m_now += time;
    AdmissionActions actions;
    m_admission->OnTick(m_now, &actions);
    Carry(&actions);
  }
  // The server answers the call that runs for longest.
  void Answer() {
    if (m_running.empty()) return;
    const Running call = m_running.front();
    m_running.pop_front();
    if (m_tracker.OnAnswer(m_limit, std::to_string(call.id), call.sent,
                           m_now)) {
      Apply();
    }
    // The node tells the caller's node with the answer.
    Caller& to = m_callers.at(call.caller);
    if (m_tracker.has_known_limit()) to.rate = m_tracker.rate();
    if (m_limit && !to.told) to.told = m_now;
    AdmissionActions actions;
    m_admission->OnFinished(call.id, {}, m_now, &actions);
    Carry(&actions);
  }
  // The rule of the users: what callers sent that had passed on an answer with
  // the limit half a second before or earlier.
  bool IsWithinLimit() const {
    if (!m_limit || m_now - m_limit_changed < kWindow) return true;
    size_t counted = 0;
    for (const Arrival& arrival : m_arrivals) {
      counted += arrival.is_counted && m_now - arrival.at < kWindow ? 1 : 0;
    }
    return static_cast<double>(counted) <= Allowed(*m_limit);
  }

 private:
  struct Caller {
    // What its node knows of the limit.
    std::optional<double> rate;
    // When it passed on the first answer with the limit.
    std::optional<TimePoint> told;
  };
  struct Running {
    WorkId id = 0;
    size_t caller = 0;
    TimePoint sent;
  };
  struct Arrival {
    TimePoint at;
    bool is_counted = false;
  };

  void Apply() {
    AdmissionActions actions;
    m_admission->SetRateLimit(m_tracker.rate(), m_now, &actions);
    Carry(&actions);
  }
  void Carry(AdmissionActions* actions) {
    for (const AdmissionAction& action : *actions) {
      if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
        const size_t caller = m_queued.at(dispatch->id);
        m_running.push_back({dispatch->id, caller, m_now});
        const auto& told = m_callers.at(caller).told;
        m_arrivals.push_back(
            {m_now, told && m_now - *told >= milliseconds(500)});
      }
    }
  }

  TimePoint m_now = kStart;
  std::vector<Caller> m_callers;
  std::unique_ptr<Admission> m_admission;
  ServerRateTracker m_tracker;
  std::optional<double> m_limit;
  TimePoint m_limit_changed;
  std::map<WorkId, size_t> m_queued;
  std::deque<Running> m_running;
  std::vector<Arrival> m_arrivals;
  WorkId m_last = 0;
};

// Random orders of calls, answers, restarts of any node, freezes and changes of
// the limit.
BOOST_AUTO_TEST_CASE(LimitHoldsInAnyOrderOfEvents) {
  const auto check = [] {
    constexpr int kCallers = 3;
    LimitedFleet fleet(kCallers);
    fleet.SetLimit(*rc::gen::element(0.0, 0.5, 3.0, 16.6));
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        300,
        rc::gen::pair(rc::gen::inRange(0, 100), rc::gen::inRange(0, kCallers)));
    for (const auto& [kind, caller] : steps) {
      if (kind < 45) {
        fleet.Send(static_cast<size_t>(caller));
      } else if (kind < 65) {
        fleet.Answer();
      } else if (kind < 90) {
        fleet.Tick(milliseconds(20 * (1 + kind - 65)));
      } else if (kind < 95) {
        fleet.Restart();
      } else if (kind < 97) {
        fleet.RestartCaller(static_cast<size_t>(caller));
      } else if (kind < 98) {
        fleet.Freeze(seconds(3));
      } else {
        fleet.SetLimit(kind == 98 ? std::nullopt : std::optional(2.0));
      }
      RC_ASSERT(fleet.IsWithinLimit());
    }
  };
  BOOST_TEST(rc::check("the limit holds", check));
}

// A report of a limited server counts only for some time: a server that is not
// asked cannot say that its limit has ended.
BOOST_AUTO_TEST_CASE(ReportedRateIsForgottenWithoutReports) {
  PeerState state(kStart, false);
  PeerLoad load;
  load.concurrency_limit = 1;
  load.is_rate_limited = true;
  state.OnReport(load, kStart);
  BOOST_TEST(state.Load(50, kStart + seconds(1)) == 1.0);
  BOOST_TEST(state.Load(50, kStart + seconds(3)) == 1.0 / 50);
  load.is_rate_limited = false;
  state.OnReport(load, kStart);
  BOOST_TEST(state.Load(50, kStart + seconds(3)) == 1.0);
}

}  // namespace
}  // namespace vanillatiller
