// Requests that come during a planned stop. Guards against a request being
// taken late in the grace period, passed on to a server, and cut without an
// answer when the process ends.
#define BOOST_TEST_MODULE planned_stop
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "relay/relay.h"
#include "relay_harness.h"

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};
constexpr Duration kGrace = seconds(6);

BOOST_AUTO_TEST_CASE(TakesOnlyWhatCanBeAnswered) {
  struct Case {
    const char* what;
    Duration since_stop;
    Duration time_left;
    std::optional<Duration> longest;
    bool is_taken;
  };
  const std::vector<Case> cases = {
      {"short deadline", seconds(2), seconds(3), std::nullopt, true},
      {"long deadline, unknown route", seconds(2), seconds(5), std::nullopt,
       false},
      {"long deadline, short route", seconds(2), seconds(5), seconds(2), true},
      {"long deadline, long route", seconds(2), seconds(5), seconds(4), false},
      {"long route, early", milliseconds(100), seconds(5), seconds(4), true},
      {"after the last answers", seconds(6), milliseconds(1), milliseconds(1),
       false},
  };
  const StopPlan plan(kStart, kGrace);
  for (const Case& item : cases) {
    BOOST_TEST_CONTEXT(item.what) {
      const TimePoint now = kStart + item.since_stop;
      BOOST_TEST(plan.MayStart(now + item.time_left, item.longest, now) ==
                 item.is_taken);
    }
  }
}

// Random loads: a request that takes no longer than the recent ones, or whose
// deadline allows it, is answered before the process ends. None is refused
// whose deadline ends before that.
BOOST_AUTO_TEST_CASE(TakenRequestsEndBeforeTheProcess) {
  const auto check = [] {
    RequestDurations durations;
    const auto times =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 5000));
    Duration longest{};
    for (const int time : times) {
      durations.Add("r", milliseconds(time), kStart);
      longest = std::max<Duration>(longest, milliseconds(time));
    }
    const Duration grace = milliseconds(*rc::gen::inRange(500, 12000));
    const StopPlan plan(kStart, grace);
    const TimePoint now = kStart + milliseconds(*rc::gen::inRange(0, 3000));
    const TimePoint deadline = now + milliseconds(*rc::gen::inRange(1, 8000));
    const bool is_taken =
        plan.MayStart(deadline, durations.Longest("r", now), now);
    RC_ASSERT(plan.answers_due() < kStart + grace);
    if (deadline <= plan.answers_due()) RC_ASSERT(is_taken);
    if (is_taken) {
      RC_ASSERT(std::min(deadline, now + longest) <= plan.answers_due());
    }
  };
  BOOST_TEST(rc::check("taken requests end before the process", check));
}

BOOST_AUTO_TEST_CASE(DurationsAreForgotten) {
  RequestDurations durations;
  BOOST_TEST(!durations.Longest("r", kStart).has_value());
  for (int i = 0; i < 30; ++i) durations.Add("r", seconds(4), kStart);
  BOOST_TEST((durations.Longest("r", kStart) == seconds(4)));
  BOOST_TEST(!durations.Longest("other", kStart).has_value());
  for (int i = 0; i < 30; ++i) {
    durations.Add("r", seconds(1), kStart + seconds(31));
  }
  BOOST_TEST((durations.Longest("r", kStart + seconds(32)) == seconds(4)));
  BOOST_TEST((durations.Longest("r", kStart + seconds(62)) == seconds(1)));
  BOOST_TEST(!durations.Longest("r", kStart + seconds(200)).has_value());
}

struct StopFixture {
  void Stop(Relay* relay) {
    relay->Stop([this] { is_stopped = true; }, BootClock::now());
  }
  // Runs until the call is answered or the process would end.
  void WaitForAnswerOrEnd(const FakeCall& call) {
    BOOST_TEST_REQUIRE(
        RunUntil(&pair.loop, [&] { return call.is_over || is_stopped; }));
  }
  void RestartFrontWithGrace(Duration grace) {
    pair.front_settings.stop_grace = grace;
    pair.RestartFront();
    pair.ApplyTestConfig(pair.front.get());
  }

  RelayPair pair;
  bool is_stopped = false;
};

// Its time budget ends after the process. It is refused, and has not run.
BOOST_FIXTURE_TEST_CASE(LateRequestsAreRefusedNotCut, StopFixture) {
  RestartFrontWithGrace(seconds(3));
  Stop(pair.front.get());
  const auto call = pair.Send("/once/hold", "r1", seconds(5));
  WaitForAnswerOrEnd(*call);
  BOOST_TEST(call->is_over);
  BOOST_TEST(call->result.response.status == 503);
  BOOST_TEST(call->result.response.headers.Find("Retry-After").has_value());
  BOOST_TEST(pair.server.arrivals.empty());
}

// A stop refuses nothing that can be answered before its end.
BOOST_FIXTURE_TEST_CASE(RequestsThatEndInTimeAreServed, StopFixture) {
  RestartFrontWithGrace(seconds(8));
  for (int i = 0; i < 40; ++i) {
    const auto call = pair.Send("/once/ok", "before-" + std::to_string(i));
    BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return call->is_over; }));
  }
  Stop(pair.front.get());
  const auto known = pair.Send("/once/ok", "known to be short", seconds(30));
  WaitForAnswerOrEnd(*known);
  BOOST_TEST(known->result.response.status == 200);
  const auto limited = pair.Send("/ok", "short budget", seconds(1));
  WaitForAnswerOrEnd(*limited);
  BOOST_TEST(limited->result.response.status == 200);
}

// A request that was taken before the stop lasts longer than the grace period.
// Its caller gets a final answer that promises nothing before the process ends.
BOOST_FIXTURE_TEST_CASE(OpenRequestsGetAFinalAnswer, StopFixture) {
  RestartFrontWithGrace(seconds(2));
  const auto once = pair.Send("/once/hold", "once", seconds(30));
  const auto many = pair.Send("/hold", "many", seconds(30));
  BOOST_TEST_REQUIRE(
      RunUntil(&pair.loop, [&] { return pair.server.held() == 2; }));
  Stop(pair.front.get());
  BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return is_stopped; }));
  for (const auto& call : {once, many}) {
    BOOST_TEST(call->is_over);
    BOOST_TEST(call->result.response.status == 502);
  }
  BOOST_TEST(pair.server.arrivals.size() == 2U);
}

// The grace period is shorter than the time in which callers notice the stop.
// All requests are still answered.
BOOST_FIXTURE_TEST_CASE(ShortGraceEndsInOrder, StopFixture) {
  RestartFrontWithGrace(seconds(1));
  const auto call = pair.Send("/once/hold", "r1", seconds(30));
  BOOST_TEST_REQUIRE(
      RunUntil(&pair.loop, [&] { return pair.server.held() == 1; }));
  Stop(pair.front.get());
  BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return is_stopped; }));
  BOOST_TEST(call->is_over);
  BOOST_TEST(call->result.response.status == 502);
}

// The node next to the server stops. Calls that it runs for others are answered
// if they end in time; else their outcome is unknown, and none runs elsewhere.
BOOST_FIXTURE_TEST_CASE(CallsForOthersAreAnsweredOrUnknown, StopFixture) {
  pair.back_settings.stop_grace = seconds(2);
  pair.RestartBack();
  pair.AddServer("server-2");
  const auto ended = pair.Send("/once/hold", "ended");
  BOOST_TEST_REQUIRE(
      RunUntil(&pair.loop, [&] { return pair.server.held() == 1; }));
  Stop(pair.back.get());
  pair.server.ReleaseHeldRequests(BootClock::now());
  WaitForAnswerOrEnd(*ended);
  BOOST_TEST(ended->result.response.status == 200);

  StopFixture other;
  other.pair.back_settings.stop_grace = seconds(1);
  other.pair.RestartBack();
  other.pair.AddServer("server-2");
  const auto cut = other.pair.Send("/once/hold", "cut");
  BOOST_TEST_REQUIRE(RunUntil(&other.pair.loop,
                              [&] { return other.pair.server.held() == 1; }));
  other.Stop(other.pair.back.get());
  BOOST_TEST_REQUIRE(
      RunUntil(&other.pair.loop, [&] { return other.is_stopped; }));
  other.pair.RestartBack();
  other.pair.network.Reset();
  BOOST_TEST_REQUIRE(RunUntil(&other.pair.loop, [&] { return cut->is_over; }));
  BOOST_TEST(cut->result.response.status == 502);
  BOOST_TEST(other.pair.server.arrivals.size() == 1U);
}

// Requests that reach a stopping node before it has routes.
BOOST_FIXTURE_TEST_CASE(EarlyRequestsAreRefusedAtTheEnd, StopFixture) {
  pair.front_settings.stop_grace = milliseconds(800);
  pair.RestartFront();
  const auto call = pair.Send("/once/ok", "r1", seconds(30));
  RunFor(&pair.loop, milliseconds(20));
  Stop(pair.front.get());
  BOOST_TEST_REQUIRE(RunUntil(&pair.loop, [&] { return is_stopped; }));
  BOOST_TEST(call->is_over);
  BOOST_TEST(call->result.response.status == 503);
  BOOST_TEST(pair.server.arrivals.empty());
}

}  // namespace
}  // namespace vanillatiller
