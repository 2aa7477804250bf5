#define BOOST_TEST_MODULE relay_decisions
#include <boost/test/unit_test.hpp>
#include <map>
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

// Only what the server marks so was not run; only its own bytes are a success.
BOOST_AUTO_TEST_CASE(JudgesWhatAnExchangeProves) {
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
      const CallResult result = JudgeExchange(item.exchange, Names());
      BOOST_TEST((result.outcome == item.expected));
    }
  }
}

// A burst of callers that are refused together comes back spread out, and soon
// enough to be answered.
BOOST_AUTO_TEST_CASE(RefusedCallersReturnSpreadAndInTime) {
  const Duration wait = milliseconds(400);
  Duration first = Duration::max();
  Duration last{};
  for (int i = 0; i < 100; ++i) {
    const Duration after = RetryAfter(wait, seconds(5), i / 100.0);
    first = std::min(first, after);
    last = std::max(last, after);
    BOOST_TEST((after >= wait));
  }
  BOOST_TEST((last - first >= wait * 9 / 10));
  BOOST_TEST((RetryAfter(seconds(60), seconds(2), 0.9) <= milliseconds(500)));
  BOOST_TEST((RetryAfter(Duration::zero(), seconds(2), 0) > Duration::zero()));
}

// A request that needs `calls` calls in turn, of which some were answered.
struct ChainedRequest {
  uint32_t shed_hash = 0;
  int answered = 0;
};

// Part of the requests that were served whole when a service turns away 55% of
// all calls for 8.5 s, each request needs 4 of them, and each call may be sent
// twice. `standing` orders the retries.
template <typename Standing>
double ServedInBrownOut(Standing standing) {
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
        budget.TrySpend(standing(request.answered > 0, request.shed_hash),
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

// Retries in the order of arrival go to requests that fail at their next call.
// An eighth more whole requests is the least that makes an order worth having.
BOOST_AUTO_TEST_CASE(RetriesFinishWholeRequestsInABrownOut) {
  const double in_order = ServedInBrownOut([](bool, uint32_t) { return 0.0; });
  const double by_standing = ServedInBrownOut(RetryStanding);
  BOOST_TEST_MESSAGE("served " << in_order << " and " << by_standing);
  BOOST_TEST(by_standing > in_order * 9 / 8);
}

}  // namespace
}  // namespace vanillatiller
