#define BOOST_TEST_MODULE metrics
#include "metrics/metrics.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace vanillatiller {
namespace {

using std::chrono::microseconds;

std::unique_ptr<MetricsRegistry> MakeRegistry(size_t series = 100) {
  Findings findings;
  return MetricsRegistryBuilder()
      .RequestSeries(series)
      .EdgeSeries(series)
      .Build(&findings);
}

// Guards against buckets that overlap, leave a gap or are wider than promised.
BOOST_AUTO_TEST_CASE(BucketsHoldTheirSamples) {
  BOOST_TEST(rc::check([] {
    const auto bits = *rc::gen::inRange(0, 27);
    const uint64_t us = *rc::gen::inRange<uint64_t>(0, 1ULL << bits);
    const size_t bucket = HistogramBucket(microseconds(us));
    RC_ASSERT(us < BucketUpperBoundUs(bucket));
    RC_ASSERT(BucketUpperBoundUs(bucket) <= std::max(us + 1, us * 5 / 4 + 1));
    if (bucket != 0) RC_ASSERT(us + 1 >= BucketUpperBoundUs(bucket - 1));
  }));
  BOOST_TEST(HistogramBucket(microseconds(-7)) == 0U);
  BOOST_TEST(HistogramBucket(std::chrono::hours(1)) == kHistogramBuckets - 1);
}

// Guards against quantiles below the true one or more than 25% above it.
BOOST_AUTO_TEST_CASE(Quantiles) {
  const auto registry = MakeRegistry();
  for (int i = 1; i <= 1000; ++i) {
    registry->RecordRequest(
        {"t", "s", 1, Outcome::kComplete, RefusalCode::kNone, microseconds(i)});
  }
  const auto snapshot = registry->Snapshot();
  BOOST_TEST_REQUIRE(snapshot.requests.size() == 1U);
  const HistogramSnapshot& latency = snapshot.requests[0].latency;
  BOOST_TEST(latency.count == 1000U);
  BOOST_TEST(latency.sum_us == 500500U);
  BOOST_TEST(latency.max_us == 1000U);
  for (const int percent : {50, 90, 99, 100}) {
    const uint64_t exact = 10 * static_cast<uint64_t>(percent);
    const uint64_t found = latency.QuantileUs(percent / 100.0);
    BOOST_TEST(found >= exact);
    BOOST_TEST(found <= exact * 5 / 4 + 1);
  }
}

// Guards against memory that grows with labels that callers choose.
BOOST_AUTO_TEST_CASE(LabelSetsAreBounded) {
  const auto registry = MakeRegistry(10);
  for (int i = 0; i < 1000; ++i) {
    const std::string name = "t" + std::to_string(i);
    registry->RecordRequest({name, "s", 0});
    registry->StartAttempt(name, "s", 0);
    registry->EndAttempt({name, "s", 0});
    registry->RecordProbe(name, "s", microseconds(5));
  }
  const auto snapshot = registry->Snapshot();
  BOOST_TEST(snapshot.requests.size() == 11U);
  BOOST_TEST(snapshot.edges.size() == 11U);
  BOOST_TEST(snapshot.connections.size() == 11U);
  uint64_t count = 0;
  for (const auto& request : snapshot.requests) count += request.latency.count;
  BOOST_TEST(count == 1000U);
  BOOST_TEST(snapshot.overflowed >= 3 * 990U);
}

// Guards against samples lost when threads record the same and new series.
BOOST_AUTO_TEST_CASE(ConcurrentRecordingLosesNothing) {
  constexpr int kThreads = 8;
  constexpr int kSamples = 2000;
  const auto registry = MakeRegistry();
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&registry] {
      for (int j = 0; j < kSamples; ++j) {
        const std::string service = "s" + std::to_string(j % 5);
        registry->RecordRequest({"t", service, 0, Outcome::kNotRun,
                                 RefusalCode::kOverload, microseconds(j)});
        registry->StartAttempt("c", service, 1);
        registry->EndAttempt({"c", service, 1, j % 2 == 0, Outcome::kNotRun,
                              RefusalCode::kOverload, "deep"});
        registry->RecordOffer(true);
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  const auto snapshot = registry->Snapshot();
  BOOST_TEST(snapshot.offered == kThreads * kSamples * 1U);
  BOOST_TEST_REQUIRE(snapshot.edges.size() == 5U);
  for (const EdgeSnapshot& edge : snapshot.edges) {
    BOOST_TEST(edge.attempts == kThreads * kSamples / 5U);
    BOOST_TEST(edge.calls == edge.attempts / 2);
    BOOST_TEST(edge.in_flight == 0U);
    BOOST_TEST(edge.refusers.at(0).count == edge.attempts);
  }
  for (const RequestSnapshot& request : snapshot.requests) {
    BOOST_TEST(request.latency.count == kThreads * kSamples / 5U);
  }
}

// Guards against an exposition that Prometheus rejects: labels with special
// characters, buckets that do not add up, a missing type.
BOOST_AUTO_TEST_CASE(PrometheusText) {
  const auto registry = MakeRegistry();
  registry->SetRankNames({"urgent"});
  registry->RecordRequest({"a\"b\\c\nd", "s", 0, Outcome::kNotRun,
                           RefusalCode::kOverload, microseconds(3)});
  registry->RecordRequest({"a\"b\\c\nd", "s", 0, Outcome::kComplete,
                           RefusalCode::kNone, microseconds(9000)});
  registry->RecordSilentConnection("c", "s");
  registry->RecordEarlyRefusal("c", "s", 0, RefusalCode::kBelowThreshold);
  const std::string text = FormatPrometheus(*registry);
  const std::string labels = R"(tenant="a\"b\\c\nd",service="s",rank="urgent")";
  const std::string edge = R"(caller="c",callee="s")";
  for (const std::string& line : std::initializer_list<std::string>{
           "# TYPE vanillatiller_request_latency_seconds histogram\n",
           "vanillatiller_request_latency_seconds_bucket{" + labels +
               ",le=\"4e-06\"} 1\n",
           "vanillatiller_request_latency_seconds_bucket{" + labels +
               ",le=\"0.016384\"} 2\n",
           "vanillatiller_request_latency_seconds_bucket{" + labels +
               ",le=\"+Inf\"} 2\n",
           "vanillatiller_request_latency_seconds_sum{" + labels +
               "} 0.009003\n",
           "vanillatiller_refusals_total{" + labels +
               ",reason=\"overload\"} 1\n",
           "vanillatiller_silent_connections_total{" + edge + "} 1\n",
           "vanillatiller_edge_refusals_total{" + edge +
               ",rank=\"urgent\",reason=\"below-threshold\"} 1\n",
       }) {
    BOOST_TEST(text.find(line) != std::string::npos, line << text);
  }
}

// Guards against JSON that vtctl cannot read back, even with names that are
// not UTF-8.
BOOST_AUTO_TEST_CASE(JsonForms) {
  const auto registry = MakeRegistry();
  registry->RecordRequest({"\xff", "s", 2, Outcome::kComplete,
                           RefusalCode::kNone, microseconds(100)});
  registry->StartAttempt("", "s", 2);
  registry->EndAttempt({"", "s", 2, true, Outcome::kNotRun,
                        RefusalCode::kBelowThreshold, "deep",
                        microseconds(50)});
  registry->SetLoad({1, 2, 3, 4});
  const auto histograms =
      nlohmann::json::parse(FormatHistogramsJson(*registry));
  BOOST_TEST(histograms[0]["rank"] == "2");
  BOOST_TEST(histograms[0]["latency"]["count"] == 1);
  const auto edges = nlohmann::json::parse(FormatEdgesJson(*registry, "own"));
  BOOST_TEST(edges["service"] == "own");
  BOOST_TEST(edges["load"]["concurrency_limit"] == 3);
  BOOST_TEST(edges["edges"][0]["first_refusers"]["deep"] == 1);
  BOOST_TEST(edges["edges"][0]["refusals"]["below-threshold"] == 1);
}

// Guards against bounds that make the registry useless or huge.
BOOST_AUTO_TEST_CASE(BuilderReportsAllFaults) {
  Findings findings;
  BOOST_TEST(!MetricsRegistryBuilder()
                  .RequestSeries(0)
                  .EdgeSeries(10'000'000)
                  .Build(&findings));
  BOOST_TEST(findings.size() == 2U);
}

// Prints the time of one sample; run it by name.
BOOST_AUTO_TEST_CASE(Measure, *boost::unit_test::disabled()) {
  constexpr int kSamples = 1'000'000;
  for (const int thread_count : {1, 4}) {
    const auto registry = MakeRegistry(1024);
    const TimePoint start = BootClock::now();
    std::vector<std::thread> threads;
    threads.reserve(thread_count);
    for (int i = 0; i < thread_count; ++i) {
      threads.emplace_back([&registry] {
        for (int j = 0; j < kSamples; ++j) {
          registry->RecordRequest({"press-a", "ledger", 0, Outcome::kComplete,
                                   RefusalCode::kNone, microseconds(j)});
        }
      });
    }
    for (std::thread& thread : threads) thread.join();
    const double ms = ToMilliseconds(BootClock::now() - start);
    std::cout << thread_count << " threads, one series: " << ms * 1e6 / kSamples
              << " ns for each sample of a thread\n";
  }
}

}  // namespace
}  // namespace vanillatiller
