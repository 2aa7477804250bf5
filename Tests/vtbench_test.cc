#define BOOST_TEST_MODULE vtbench
#include "vtbench/vtbench.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;

constexpr char kExperiment[] = R"(
name = "t"
seed = 5
[[rank]]
name = "urgent"
[[tenant]]
name = "press-a"
[[chain]]
prefix = "s"
depth = 3
servers = 2
slots = 4
method = [{name = "get", rank = "urgent"},
          {name = "put", rank = "urgent", idempotent = false}]
[[class]]
name = "read"
tenant = "press-a"
service = "s1"
method = "get"
deadline_ms = 100
[[phase]]
name = "before"
seconds = 4
rates = {read = 100}
baseline = true
[[phase]]
name = "after"
seconds = 4
rates = {read = 100}
recovery = true
[[policy]]
name = "system"
)";

Experiment Parse(const std::string& text) {
  Findings findings;
  const auto experiment = ParseExperiment(text, "t.toml", &findings);
  BOOST_TEST_REQUIRE(experiment.has_value(), FormatFindings(findings));
  return *experiment;
}

RequestResult Result(const Arrival& arrival, CallerVerdict verdict) {
  RequestResult result;
  result.arrival = arrival;
  result.verdict = verdict;
  result.latency = milliseconds(10);
  return result;
}

// Guards against chains whose entry service has fewer slots than the chain
// below it holds, which would measure the entry and not the chain.
BOOST_AUTO_TEST_CASE(ChainExpansion) {
  const Experiment experiment = Parse(kExperiment);
  BOOST_TEST(experiment.fleet.services.size() == 3U);
  BOOST_TEST(experiment.fleet.services[0].methods[1].calls[0] == "s2.put");
  BOOST_TEST(experiment.fleet.services[2].methods[1].calls.empty());
  BOOST_TEST(experiment.FindServers("s1")->slots == 15U);
  BOOST_TEST(experiment.FindServers("s3")->slots == 4U);
}

// Guards against a misspelt or impossible experiment being run as another one.
BOOST_AUTO_TEST_CASE(FaultyExperiments) {
  const struct {
    std::string from;
    std::string to;
    std::string expected;
  } cases[] = {
      {"seconds = 4", "secs = 4", "unknown field \"secs\""},
      {"rates = {read", "rates = {reed", "no class \"reed\""},
      {"method = \"get\"", "method = \"got\"", "no such method"},
      {"deadline_ms = 100", "deadline_ms = \"x\"", "wrong type"},
      {"[[policy]]", "[[fault]]\nat = 1\ntarget = \"platform\"\n[[policy]]",
       "either \"post\" or \"signal\""},
      {"name = \"t\"", "name = \"t", ""},
  };
  for (const auto& test : cases) {
    std::string text = kExperiment;
    text.replace(text.find(test.from), test.from.size(), test.to);
    Findings findings;
    BOOST_TEST(!ParseExperiment(text, "t.toml", &findings).has_value(),
               test.to);
    BOOST_TEST_REQUIRE(!findings.empty(), test.to);
    BOOST_TEST(findings[0].line > 0U);
    BOOST_TEST(findings[0].text.find(test.expected) != std::string::npos,
               findings[0].text);
  }
}

// Guards against policies that are compared under different demand.
BOOST_AUTO_TEST_CASE(ArrivalsDependOnSeedOnly) {
  Experiment experiment = Parse(kExperiment);
  const auto first = BuildArrivals(experiment);
  const auto second = BuildArrivals(experiment);
  BOOST_TEST_REQUIRE(first.size() == second.size());
  for (size_t i = 0; i < first.size(); ++i) {
    BOOST_TEST((first[i].at == second[i].at));
    BOOST_TEST(first[i].seed == second[i].seed);
    BOOST_TEST((i == 0 || first[i - 1].at <= first[i].at));
  }
  BOOST_TEST(std::abs(static_cast<double>(first.size()) - 800) < 150);
  experiment.seed = 6;
  BOOST_TEST((BuildArrivals(experiment)[0].at != first[0].at));
}

// Guards against a closed loop: answers that never come must not delay later
// arrivals, and latency must count from the intended start.
BOOST_AUTO_TEST_CASE(SlowAnswersDoNotSlowDemand) {
  std::atomic<bool> release{false};
  std::atomic<int> started{0};
  LoadDriver driver(
      [&](const Arrival& arrival, uint64_t, TimePoint) {
        ++started;
        while (!release) std::this_thread::sleep_for(milliseconds(1));
        return Result(arrival, CallerVerdict::kComplete);
      },
      10);
  std::vector<Arrival> arrivals(12);
  for (size_t i = 0; i < arrivals.size(); ++i) arrivals[i].at = milliseconds(i);
  std::thread releaser([&] {
    while (started < 10) std::this_thread::sleep_for(milliseconds(1));
    // Long enough for the last two arrivals to find the driver full.
    std::this_thread::sleep_for(milliseconds(300));
    release = true;
  });
  const auto results = driver.Run(arrivals, BootClock::now());
  releaser.join();
  BOOST_TEST(started == 10);
  BOOST_TEST((results[9].verdict == CallerVerdict::kComplete));
  BOOST_TEST((results[11].verdict == CallerVerdict::kNotSent));
}

// Guards against an audit that overlooks duplicates, untruthful refusals or
// work done in vain.
BOOST_AUTO_TEST_CASE(Audit) {
  const Experiment experiment = Parse(kExperiment);
  RequestResult good = Result({}, CallerVerdict::kComplete);
  good.id = "r1";
  RequestResult refused = Result({}, CallerVerdict::kNotRun);
  refused.id = "r2";
  refused.refused_uses = {1};
  uint64_t malformed = 0;
  const auto records = ParseExecutions(
      "r1 1 s1.put 30\nr1 1 s1.put/s2.put 10\nr1 1 s1.get 10\n"
      "r1 1 s1.get 10\nbroken line\nr2 2 s1.put 20\n",
      &malformed);
  BOOST_TEST(malformed == 1U);
  // The second use of r2 was not refused, and a repeated read is no duplicate.
  AuditResult audit = AuditExecutions(experiment, {good, refused}, records);
  BOOST_TEST(audit.executions == 5U);
  BOOST_TEST(audit.duplicates == 0U);
  BOOST_TEST(audit.false_not_run == 0U);
  BOOST_TEST(audit.wasted_work_ms == 20.0);
  BOOST_TEST(audit.work_ms == 80.0);

  auto more = records;
  more.push_back({"r1", 2, "s1.put/s2.put", 1});
  more.push_back({"r2", 1, "s1.get", 1});
  audit = AuditExecutions(experiment, {good, refused}, more);
  BOOST_TEST(audit.duplicates == 1U);
  BOOST_TEST(audit.false_not_run == 1U);
}

// Guards against a recovery time that overlooks a later collapse or counts
// one that never came.
BOOST_AUTO_TEST_CASE(Recovery) {
  const Experiment experiment = Parse(kExperiment);
  const auto run = [&](double bad_from, double bad_to) {
    std::vector<RequestResult> results;
    for (const Arrival& arrival : BuildArrivals(experiment)) {
      const double at = std::chrono::duration<double>(arrival.at).count();
      const bool bad = at >= bad_from && at < bad_to;
      results.push_back(Result(
          arrival, bad ? CallerVerdict::kTimedOut : CallerVerdict::kComplete));
    }
    return RecoverySeconds(experiment, results, 1, 1.0);
  };
  BOOST_TEST(run(3, 4).value_or(-1) == 0.0);
  BOOST_TEST(run(3, 5.5).value_or(-1) == 1.5);
  BOOST_TEST(!run(3, 8).has_value());
  BOOST_TEST(!run(7, 8).has_value());
}

// Guards against late answers counted as goodput and against a report that
// loses a class or a verdict.
BOOST_AUTO_TEST_CASE(Summary) {
  const Experiment experiment = Parse(kExperiment);
  RequestResult late = Result({}, CallerVerdict::kComplete);
  late.latency = milliseconds(101);
  const RequestResult good = Result({}, CallerVerdict::kComplete);
  RequestResult refused = Result({}, CallerVerdict::kNotRun);
  refused.reason = "overload";
  const auto run = SummarizeRun(experiment, experiment.policies[0],
                                {late, good, refused, good}, {});
  const auto& read = run["phases"][0]["classes"]["read"];
  BOOST_TEST(read["good"] == 2.0);
  BOOST_TEST(read["offered"] == 4.0);
  BOOST_TEST(read["reasons"]["overload"] == 1);
  BOOST_TEST(read["verdicts"]["complete"] == 3);
  BOOST_TEST(FormatTable({run, run}).find("read") == std::string::npos);
  BOOST_TEST(FormatPlot({run}, "x.svg").find("\"before\"") !=
             std::string::npos);
}

}  // namespace
}  // namespace vanillatiller
