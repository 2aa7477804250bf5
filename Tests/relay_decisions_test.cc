#define BOOST_TEST_MODULE relay_decisions
#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "relay/refusal_policy.h"
#include "relay/relay.h"
#include "relay/server_answer.h"

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RelayRoute MakeRoute(const std::string& name, const std::string& authority,
                     const std::string& prefix,
                     std::vector<ServiceShare> shares) {
  RelayRoute route;
  route.name = name;
  route.authority = authority;
  route.prefix = prefix;
  route.shares = std::move(shares);
  return route;
}

BOOST_AUTO_TEST_CASE(FindsTheLongestPrefixOfTheAuthority) {
  RelayConfig config;
  config.version = 7;
  config.routes = {MakeRoute("short", "a.example", "/x/", {{"one", 1}}),
                   MakeRoute("long", "a.example", "/x/y/", {{"two", 1}}),
                   MakeRoute("other", "b.example", "/", {{"three", 1}})};
  const RouteTable table(config);
  struct Case {
    const char* authority;
    const char* path;
    const char* expected;
  };
  const std::vector<Case> cases = {
      {"a.example", "/x/1", "short"},      {"a.example", "/x/y/1", "long"},
      {"a.example", "/x/y", "short"},      {"A.Example:80", "/x/y/", "long"},
      {"b.example", "/anything", "other"}, {"a.example", "/z", nullptr},
      {"a.example", "/x", nullptr},        {"c.example", "/x/1", nullptr},
      {"a.example", "/z?/x/", nullptr},
  };
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.authority << item.path) {
      const auto route = table.Find(item.authority, item.path);
      if (item.expected == nullptr) {
        BOOST_TEST((route == nullptr));
      } else {
        BOOST_TEST_REQUIRE((route != nullptr));
        BOOST_TEST(route->route().name == item.expected);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(SplitsFollowWeightsOverAFewRequests) {
  ActiveRoute route(MakeRoute("r", "a", "/", {{"one", 90}, {"two", 10}}));
  std::map<std::string, int> taken;
  for (int i = 0; i < 30; ++i) ++taken[route.NextService()];
  BOOST_TEST(taken["one"] == 27);
  BOOST_TEST(taken["two"] == 3);
}

ProtocolNames Names() {
  ProtocolNames names;
  names.request_id = "Id";
  names.answer_digest = "Digest";
  names.not_run = "Not-Run";
  return names;
}

ExchangeResult Exchange(int status, const std::vector<HttpHeader>& headers) {
  ExchangeResult result;
  result.end = ExchangeEnd::kAnswered;
  result.response.status = status;
  for (const HttpHeader& field : headers) {
    result.response.headers.Add(field.name, field.value);
  }
  return result;
}

// Guards against treating a call that may have run as not run, and against
// accepting a response that the server did not authenticate.
BOOST_AUTO_TEST_CASE(ClassifiesExchanges) {
  struct Case {
    const char* what;
    ExchangeResult exchange;
    Outcome expected;
  };
  const std::vector<Case> cases = {
      {"success", Exchange(200, {{"Digest", "d"}}), Outcome::kComplete},
      {"no digest", Exchange(200, {}), Outcome::kUnknown},
      {"encoded",
       Exchange(200, {{"Digest", "d"}, {"Content-Encoding", "gzip"}}),
       Outcome::kUnknown},
      {"server error", Exchange(500, {{"Digest", "d"}}), Outcome::kComplete},
      {"refused", Exchange(503, {{"Not-Run", "1"}}), Outcome::kNotRun},
      {"bad request, marked", Exchange(400, {{"Not-Run", "1"}}),
       Outcome::kNotRun},
      {"unavailable, unmarked", Exchange(503, {}), Outcome::kUnknown},
      {"too many, unmarked", Exchange(429, {{"Digest", "d"}}),
       Outcome::kUnknown},
      {"other server", Exchange(421, {}), Outcome::kNotRun},
      {"never connected", {ExchangeEnd::kNotSent, {}}, Outcome::kNotRun},
      {"broken off", {ExchangeEnd::kNoAnswer, {}}, Outcome::kUnknown},
  };
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      const CallResult result = ClassifyExchange(item.exchange, Names());
      BOOST_TEST((result.outcome == item.expected));
    }
  }
}

// Callers that are refused in one burst must not retry at the same moment, nor
// too late to be answered.
BOOST_AUTO_TEST_CASE(RetryAfterSpreadsCallersWithinTheirDeadline) {
  const Duration wait = milliseconds(400);
  Duration first = Duration::max();
  Duration last{};
  for (int i = 0; i < 100; ++i) {
    const Duration after = RetryAfter(wait, seconds(5), seconds(1), i / 100.0);
    first = std::min(first, after);
    last = std::max(last, after);
    BOOST_TEST((after >= wait));
  }
  BOOST_TEST((last - first >= wait * 9 / 10));
  BOOST_TEST((RetryAfter(seconds(60), seconds(2), seconds(1), 0.9) <=
              milliseconds(500)));
  BOOST_TEST((RetryAfter(Duration::zero(), seconds(2), seconds(1), 0) >
              Duration::zero()));
}

// A server without a queue refuses some requests at random. A caller whose
// objective is 200 ms was told to wait 100 to 200 ms, so that its second
// attempt was late even if accepted at once.
BOOST_AUTO_TEST_CASE(RefusedWithoutQueueMayReturnWithinItsObjective) {
  const Duration objective = milliseconds(200);
  for (const double draw : {0.0, 0.5, 0.99}) {
    const Duration after =
        RetryAfter(Duration::zero(), milliseconds(800), objective, draw);
    BOOST_TEST((after >= milliseconds(10)));
    BOOST_TEST((after <= objective / 4));
  }
  BOOST_TEST_CONTEXT("a queue takes its time, whatever the objective") {
    BOOST_TEST((RetryAfter(milliseconds(150), seconds(5), objective, 0) >=
                milliseconds(150)));
  }
}

// A request that makes several calls in sequence, some of which were answered.
struct ChainedRequest {
  uint32_t shed_hash = 0;
  int answered = 0;
};

// Simulates a service that sheds 55% of all calls for 8.5 s, with requests that
// make 4 calls in sequence and calls that may be retried once. Returns the
// fraction of requests that completed. `priority` orders the retries.
template <typename Priority>
double CompletedFractionInBrownout(Priority priority) {
  constexpr int kCalls = 4;
  constexpr double kShed = 0.55;
  constexpr int kRequestsPerSecond = 330;
  constexpr Duration kCallTime = milliseconds(60);
  const TimePoint start{seconds(1000)};
  const TimePoint fault = start + seconds(12);
  const TimePoint end = fault + milliseconds(8500);
  std::mt19937_64 random(7);
  std::uniform_real_distribution<double> draw(0, 1);
  WindowBudget budget({0.2, 1, seconds(10)}, start);
  std::multimap<TimePoint, ChainedRequest> due;
  int made = 0;
  int served = 0;
  for (int i = 0; start + i * seconds(1) / kRequestsPerSecond < end; ++i) {
    due.emplace(start + i * seconds(1) / kRequestsPerSecond,
                ChainedRequest{static_cast<uint32_t>(random()), 0});
  }
  while (!due.empty() && due.begin()->first < end) {
    const auto [now, request] = *due.begin();
    due.erase(due.begin());
    const double shed = now < fault ? 0 : kShed;
    if (request.answered == 0 && now >= fault) ++made;
    budget.RecordRequest(now);
    bool is_answered = draw(random) >= shed;
    if (!is_answered &&
        budget.TrySpend(priority(request.answered > 0, request.shed_hash),
                        now)) {
      is_answered = draw(random) >= shed;
    }
    if (!is_answered) continue;
    const int answered = request.answered + 1;
    if (answered < kCalls) {
      due.emplace(now + kCallTime, ChainedRequest{request.shed_hash, answered});
    } else if (now >= fault) {
      ++served;
    }
  }
  return static_cast<double>(served) / made;
}

// Simulates the same service with requests of the most important rank beside
// the chains: 200 a second, each a single call. Returns the fraction of them
// that is served.
template <typename Priority>
double UrgentFractionInBrownout(Priority priority) {
  constexpr double kShed = 0.55;
  constexpr int kChainsPerSecond = 800;
  constexpr int kUrgentPerSecond = 200;
  const TimePoint start{seconds(1000)};
  const TimePoint fault = start + seconds(12);
  std::mt19937_64 random(11);
  std::uniform_real_distribution<double> draw(0, 1);
  WindowBudget budget({0.18, 1, seconds(10)}, start);
  int made = 0;
  int served = 0;
  constexpr int kPerSecond = kChainsPerSecond + kUrgentPerSecond;
  for (int i = 0; i < 20 * kPerSecond; ++i) {
    const TimePoint now = start + i * milliseconds(1000) / kPerSecond;
    const bool is_urgent = i % (kPerSecond / kUrgentPerSecond) == 0;
    const bool is_in_progress = !is_urgent && i % 2 == 0;
    const bool is_fault = now >= fault;
    const auto hash = static_cast<uint32_t>(random());
    budget.RecordRequest(now);
    bool is_answered = !is_fault || draw(random) >= kShed;
    if (!is_answered &&
        budget.TrySpend(priority(is_urgent ? 0U : 1U, is_in_progress, hash),
                        now)) {
      is_answered = draw(random) >= kShed;
    }
    if (!is_urgent || !is_fault) continue;
    ++made;
    served += is_answered ? 1 : 0;
  }
  return static_cast<double>(served) / made;
}

// Simulates requests of two ranks, each of which calls a single-server service
// five times in sequence.
class ChainedLoad {
 public:
  struct Result {
    // Fraction of the requests of each rank that completed.
    std::array<double, 2> served{};
    // Fraction of the finished calls that belong to failed requests.
    double wasted = 0;
  };

  // `rates` are requests per second of ranks 1 and 2.
  explicit ChainedLoad(std::array<double, 2> rates) : m_rates(rates) {
    Findings findings;
    m_admission = Admission::Builder()
                      .SetSlots(kSlots)
                      .SetPolicy(AdmissionPolicy::kRanked)
                      .SetMaxQueueWait(seconds(2))
                      .Build(kStart, &findings);
  }

  Result Run() {
    for (size_t rank = 0; rank < m_rates.size(); ++rank) ScheduleNext(rank);
    for (TimePoint tick = kStart; tick < kEnd; tick += milliseconds(20)) {
      m_events.emplace(tick, [this](TimePoint now) {
        AdmissionActions actions;
        m_admission->OnTick(now, &actions);
        ApplyActions(actions, now);
      });
    }
    while (!m_events.empty() && m_events.begin()->first < kEnd) {
      const auto event = m_events.extract(m_events.begin());
      event.mapped()(event.key());
    }
    Result result;
    int calls = 0;
    int wasted = 0;
    for (const Request& request : m_requests) {
      calls += request.answered;
      if (request.has_failed) wasted += request.answered;
    }
    result.wasted = static_cast<double>(wasted) / calls;
    for (size_t i = 0; i < m_rates.size(); ++i) {
      result.served[i] = static_cast<double>(m_served[i]) / m_made[i];
    }
    return result;
  }

  static constexpr uint32_t kSlots = 61;
  static constexpr int kCalls = 5;
  static constexpr Duration kMeanTime = milliseconds(45);

 private:
  struct Request {
    size_t rank_index = 0;
    uint32_t shed_hash = 0;
    int answered = 0;
    bool has_failed = false;
    TimePoint deadline;
  };

  static constexpr TimePoint kStart{seconds(1000)};
  static constexpr TimePoint kEnd = kStart + seconds(20);
  static constexpr Duration kTimeout = seconds(2);
  static constexpr Duration kCallTimeout = milliseconds(700);

  void ScheduleNext(size_t rank_index) {
    std::exponential_distribution<double> pause(m_rates.at(rank_index));
    m_next.at(rank_index) += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(pause(m_random)));
    m_events.emplace(
        kStart + m_next.at(rank_index), [this, rank_index](TimePoint now) {
          ++m_made.at(rank_index);
          m_requests.push_back({rank_index, static_cast<uint32_t>(m_random()),
                                0, false, now + kTimeout});
          Offer(m_requests.size() - 1, now);
          ScheduleNext(rank_index);
        });
  }

  void Offer(size_t index, TimePoint now) {
    const Request& request = m_requests[index];
    relay::Call call;
    call.set_rank(static_cast<uint32_t>(request.rank_index) + 1);
    call.set_shed_hash(request.shed_hash);
    call.set_is_nested(true);
    call.set_is_continuation(request.answered > 0);
    call.set_time_left_us(
        ToMicroseconds(std::min(kCallTimeout, request.deadline - now)));
    call.set_route("inner");
    const WorkId id = ++m_last_id;
    m_calls[id] = index;
    AdmissionActions actions;
    m_admission->Offer(MakeWork(call, id, now), now, &actions);
    ApplyActions(actions, now);
  }

  void ApplyActions(const AdmissionActions& actions, TimePoint now) {
    for (const AdmissionAction& action : actions) {
      if (const auto* refuse = std::get_if<Refuse>(&action)) {
        m_requests[m_calls[refuse->id]].has_failed = true;
        continue;
      }
      const WorkId id = std::get<Dispatch>(action).id;
      std::exponential_distribution<double> time(
          1 / std::chrono::duration<double>(kMeanTime).count());
      const auto end = now + std::chrono::duration_cast<Duration>(
                                 std::chrono::duration<double>(time(m_random)));
      m_events.emplace(end,
                       [this, id](TimePoint later) { FinishCall(id, later); });
    }
  }

  void FinishCall(WorkId id, TimePoint now) {
    const size_t index = m_calls[id];
    Request& request = m_requests[index];
    AdmissionActions actions;
    m_admission->OnFinished(id, {BackendOutcome::kOk, {}}, now, &actions);
    ApplyActions(actions, now);
    ++request.answered;
    if (now > request.deadline) {
      request.has_failed = true;
    } else if (request.answered < kCalls) {
      Offer(index, now + milliseconds(1));
    } else {
      ++m_served.at(request.rank_index);
    }
  }

  const std::array<double, 2> m_rates;
  std::unique_ptr<Admission> m_admission;
  std::mt19937_64 m_random{5};
  std::multimap<TimePoint, std::function<void(TimePoint)>> m_events;
  std::vector<Request> m_requests;
  std::map<WorkId, size_t> m_calls;
  std::array<Duration, 2> m_next{};
  std::array<int, 2> m_made{};
  std::array<int, 2> m_served{};
  WorkId m_last_id = 0;
};

// Checks the order in which queued calls get a single slot.
BOOST_AUTO_TEST_CASE(CallsInProgressPrecedeNewRequests) {
  const TimePoint now{seconds(1000)};
  Findings findings;
  const auto admission = Admission::Builder()
                             .SetSlots(1)
                             .SetPolicy(AdmissionPolicy::kRanked)
                             .Build(now, &findings);
  struct Case {
    uint32_t rank;
    uint32_t shed_hash;
    bool is_nested;
    bool is_continuation;
  };
  // In the expected order; the first call holds the slot.
  const std::vector<Case> cases = {
      {2, 9, false, false}, {0, 9, false, false}, {3, 9, true, true},
      {1, 5, true, false},  {1, 6, true, false},  {1, 1, false, false},
      {2, 1, true, false},
  };
  const auto offer = [&](size_t i) {
    relay::Call call;
    call.set_rank(cases[i].rank);
    call.set_shed_hash(cases[i].shed_hash);
    call.set_is_nested(cases[i].is_nested);
    call.set_is_continuation(cases[i].is_continuation);
    call.set_time_left_us(5'000'000);
    call.set_route("route");
    AdmissionActions actions;
    admission->Offer(MakeWork(call, i, now), now, &actions);
  };
  offer(0);
  for (size_t i = cases.size() - 1; i > 0; --i) offer(i);
  for (size_t i = 0; i + 1 < cases.size(); ++i) {
    AdmissionActions actions;
    admission->OnFinished(i, {BackendOutcome::kOk, {}}, now, &actions);
    BOOST_TEST_REQUIRE(actions.size() == 1U);
    BOOST_TEST(std::get<Dispatch>(actions[0]).id == i + 1);
  }
}

// The more important rank alone uses 85% or 130% of the capacity. If its new
// requests preceded calls of requests in progress, those requests would fail
// and their finished calls would be wasted. The target is at most 5% wasted
// calls.
BOOST_AUTO_TEST_CASE(RequestsInProgressWasteLittleWorkUnderOverload) {
  const double capacity =
      ChainedLoad::kSlots /
      std::chrono::duration<double>(ChainedLoad::kMeanTime).count() /
      ChainedLoad::kCalls;
  for (const double part : {0.85, 1.3}) {
    BOOST_TEST_CONTEXT("rank 1 takes " << part) {
      const auto result = ChainedLoad({part * capacity, 0.4 * capacity}).Run();
      BOOST_TEST_MESSAGE("served " << result.served[0] << ", "
                                   << result.served[1] << ", wasted "
                                   << result.wasted);
      BOOST_TEST(result.wasted <= 0.05);
      BOOST_TEST(result.served[0] > 0.9 * std::min(1.0, 1 / part));
      BOOST_TEST(result.served[0] > result.served[1]);
    }
  }
}

// Retries granted in order of arrival go to requests that fail at a later call.
// Ordering must complete at least an eighth more requests to be worth its
// complexity.
BOOST_AUTO_TEST_CASE(RetryPriorityCompletesMoreRequestsInABrownout) {
  const double by_arrival =
      CompletedFractionInBrownout([](bool, uint32_t) { return 0.0; });
  const double by_priority =
      CompletedFractionInBrownout([](bool is_in_progress, uint32_t shed_hash) {
        return RetryPriority(1, is_in_progress, shed_hash);
      });
  BOOST_TEST_MESSAGE("served " << by_arrival << " and " << by_priority);
  BOOST_TEST(by_priority > by_arrival * 9 / 8);
}

// Calls of chains in progress took the whole retry budget of a service that
// refuses half of its calls. Urgent requests, which need one call, got no
// retry. With one retry for each, 0.45 + 0.55 * 0.45 of them are served.
BOOST_AUTO_TEST_CASE(UrgentRequestsGetRetriesFirstInABrownout) {
  const double without_rank = UrgentFractionInBrownout(
      [](uint32_t, bool is_in_progress, uint32_t shed_hash) {
        return RetryPriority(1, is_in_progress, shed_hash);
      });
  const double by_rank = UrgentFractionInBrownout(RetryPriority);
  BOOST_TEST_MESSAGE("served " << without_rank << " and " << by_rank);
  BOOST_TEST(by_rank > without_rank * 9 / 8);
  BOOST_TEST(by_rank > 0.95 * (0.45 + 0.55 * 0.45));
}

}  // namespace
}  // namespace vanillatiller
