// Benchmarks admission control: goodput and success rate by rank under
// overload, simulated in virtual time, and the CPU and memory cost of a
// decision.
//   admission_bench [--seconds=N] [--seeds=N] [--shape=N] [--baselines=false]

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "admission_simulator.h"

ABSL_FLAG(int, seconds, 12, "virtual seconds of each run");
ABSL_FLAG(bool, baselines, true, "also measure fixed and none");
ABSL_FLAG(int, shape, -1,
          "0: one server, 1: chain of 4, 2: chain of 12, 3: slow last service");
ABSL_FLAG(int, seeds, 2, "runs of each setting, with different seeds");

namespace vanillatiller {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kUrgentFraction = 0.2;
constexpr double kNormalFraction = 0.4;
constexpr double kBatchFraction = 0.4;

struct Shape {
  const char* name;
  std::vector<SimulatedService> services;
  // Requests per second at which the slowest service is saturated.
  double capacity;
};

std::vector<const char*> Policies() {
  if (!absl::GetFlag(FLAGS_baselines)) return {"adaptive"};
  return {"adaptive", "fixed", "none"};
}

std::vector<Shape> Shapes() {
  const SimulatedService leaf{20, 20, 0, milliseconds(10)};
  // The first services hold a slot during their downstream calls.
  const SimulatedService wide{70, 70, 0, milliseconds(5)};
  const SimulatedService narrow{16, 16, 0, milliseconds(10)};
  const SimulatedService slow{13, 13, 0, milliseconds(60)};
  std::vector<SimulatedService> twelve(11, {200, 200, 0, milliseconds(4)});
  twelve.push_back(narrow);
  return {
      {"one server", {leaf}, 2000},
      {"chain of 4", {wide, wide, wide, narrow}, 1600},
      {"chain of 12", twelve, 1600},
      {"chain of 4, slow last service", {wide, wide, wide, slow}, 13 / 0.060},
  };
}

SimulationSettings SettingsFor(const Shape& shape, AdmissionPolicy policy,
                               double load, uint64_t seed) {
  SimulationSettings settings;
  settings.policy = policy;
  settings.services = shape.services;
  settings.duration = seconds(absl::GetFlag(FLAGS_seconds));
  settings.seed = seed;
  const auto length = static_cast<uint32_t>(shape.services.size());
  const double rate = load * shape.capacity;
  const auto add = [&](const char* name, uint32_t rank, double fraction) {
    for (const char* tenant : {"a", "b"}) {
      SimulatedStream stream;
      stream.name = std::string(name) + "-" + tenant;
      stream.rank = rank;
      stream.is_protected = rank == 0;
      stream.tenant = tenant;
      stream.method = name;
      stream.rate = rate * fraction / 2;
      stream.chain_length = length;
      settings.streams.push_back(stream);
    }
  };
  add("urgent", 0, kUrgentFraction);
  add("normal", 1, kNormalFraction);
  add("batch", 2, kBatchFraction);
  return settings;
}

double RankFraction(const SimulationResult& result, const std::string& name) {
  uint64_t offered = 0;
  uint64_t succeeded = 0;
  for (const char* tenant : {"-a", "-b"}) {
    offered += result.Stream(name + tenant).offered;
    succeeded += result.Stream(name + tenant).succeeded;
  }
  if (offered == 0) return 0;
  return static_cast<double>(succeeded) / static_cast<double>(offered);
}

// Prints one line per policy and load, with goodput relative to the capacity
// and to the same policy at load 1.
void MeasureOverload(const Shape& shape) {
  std::printf(
      "%s\n  policy    load goodput  of-1x  urgent  normal   batch"
      "  wasted\n",
      shape.name);
  for (const char* name : Policies()) {
    double at_capacity = 0;
    for (const double load : {1.0, 2.0, 4.0, 10.0}) {
      double goodput = 0;
      double wasted_fraction = 0;
      double urgent = 0;
      double normal = 0;
      double batch = 0;
      const int seeds = absl::GetFlag(FLAGS_seeds);
      for (int seed = 1; seed <= seeds; ++seed) {
        AdmissionSimulator simulator(
            SettingsFor(shape, *ParseAdmissionPolicy(name), load, seed));
        const SimulationResult result = simulator.Run();
        goodput += result.goodput / shape.capacity / seeds;
        wasted_fraction += result.wasted_fraction / seeds;
        urgent += RankFraction(result, "urgent") / seeds;
        normal += RankFraction(result, "normal") / seeds;
        batch += RankFraction(result, "batch") / seeds;
      }
      // Requests of the last second may not have ended and are not counted.
      const double counted_seconds = absl::GetFlag(FLAGS_seconds) - 2.0;
      goodput *= counted_seconds / (counted_seconds - 1.0);
      if (load == 1.0) at_capacity = goodput;
      std::printf("  %-9s %4.0f %7.3f %6.3f %7.4f %7.4f %7.4f %7.4f\n", name,
                  load, goodput, goodput / at_capacity, urgent, normal, batch,
                  wasted_fraction);
    }
  }
}

// Means over several seeds: successes per 100 ms of arrival time, and
// fractions.
struct Episode {
  std::vector<double> bins;
  double urgent = 0;
  double normal = 0;
  double wasted_fraction = 0;
};

constexpr size_t kEpisodeEndBin = 80;
constexpr size_t kLastBin = 125;

Episode RunEpisode(SimulationSettings settings) {
  Episode episode;
  episode.bins.resize(kLastBin);
  const int seeds = 2 * absl::GetFlag(FLAGS_seeds);
  for (int seed = 1; seed <= seeds; ++seed) {
    settings.seed = seed;
    const SimulationResult result = AdmissionSimulator(settings).Run();
    const auto& bins = result.succeeded_by_arrival;
    for (size_t i = 0; i < kLastBin && i < bins.size(); ++i) {
      episode.bins[i] += static_cast<double>(bins[i]) / seeds;
    }
    episode.urgent += RankFraction(result, "urgent") / seeds;
    episode.normal += RankFraction(result, "normal") / seeds;
    episode.wasted_fraction += result.wasted_fraction / seeds;
  }
  return episode;
}

// Returns the seconds from the end of the episode until every following second
// has at least 95% of `rate` successes.
double RecoverySeconds(const std::vector<double>& bins, double rate) {
  constexpr size_t kBinsPerSecond = 10;
  size_t recovered = kEpisodeEndBin;
  for (size_t i = kEpisodeEndBin; i + kBinsPerSecond <= kLastBin; ++i) {
    double sum = 0;
    for (size_t j = i; j < i + kBinsPerSecond; ++j) sum += bins[j];
    if (sum < 0.95 * rate) recovered = i + 1;
  }
  return static_cast<double>(recovered - kEpisodeEndBin) * 0.1;
}

// Measures a flood of the lowest rank at 10 times capacity from 3 s to 8 s,
// with the other ranks at 85% of capacity.
void MeasureFlood(const Shape& shape) {
  for (const char* name : Policies()) {
    SimulationSettings settings =
        SettingsFor(shape, *ParseAdmissionPolicy(name), 1.4, 1);
    settings.duration = seconds(14);
    double rate = 0;
    for (SimulatedStream& stream : settings.streams) {
      if (stream.rank < 2) {
        rate += stream.rate;
        continue;
      }
      stream.rate = 5 * shape.capacity;
      stream.from = seconds(3);
      stream.to = seconds(8);
    }
    const Episode episode = RunEpisode(settings);
    std::printf(
        "  %-9s flood 10x: urgent %.5f normal %.4f wasted %.4f "
        "recovery %.1f s\n",
        name, episode.urgent, episode.normal, episode.wasted_fraction,
        RecoverySeconds(episode.bins, rate));
  }
}

// Measures a fourfold slowdown of the last service from 3 s to 8 s, at a load
// of 85% of capacity.
void MeasureSlowService(const Shape& shape) {
  const auto length = static_cast<uint32_t>(shape.services.size());
  for (const char* name : Policies()) {
    SimulationSettings settings =
        SettingsFor(shape, *ParseAdmissionPolicy(name), 0.85, 1);
    settings.duration = seconds(14);
    settings.faults = {{length - 1, seconds(3), seconds(8), 4.0, false}};
    const Episode episode = RunEpisode(settings);
    double during = 0;
    for (size_t i = 30; i < kEpisodeEndBin; ++i) during += episode.bins[i];
    std::printf(
        "  %-9s slow 4x: goodput during %.3f of slowed capacity, "
        "urgent %.4f wasted %.4f recovery %.1f s\n",
        name, during / 5.0 / (shape.capacity / 4), episode.urgent,
        episode.wasted_fraction,
        RecoverySeconds(episode.bins, 0.85 * shape.capacity));
  }
}

// Measures nanoseconds per event and bytes per queued call.
void MeasureCost() {
  constexpr uint32_t kQueued = 50'000;
  Findings findings;
  TimePoint now{std::chrono::hours(1)};
  AdmissionActions actions;
  actions.reserve(16);
  auto admission = Admission::Builder().SetSlots(100).SetQueueBound(200).Build(
      now, &findings);
  constexpr uint64_t kCalls = 1'000'000;
  const auto start = std::chrono::steady_clock::now();
  std::vector<WorkId> running;
  uint64_t decisions = 0;
  for (uint64_t id = 1; id <= kCalls; ++id) {
    now += std::chrono::microseconds(10);
    Work work;
    work.id = id;
    work.shed_hash = static_cast<uint32_t>(MixHash(id, 1) >> 32);
    work.rank = id % 3;
    work.deadline = now + seconds(1);
    work.tenant = id % 2 == 0 ? "tenant-a" : "tenant-b";
    work.method = "method";
    actions.clear();
    admission->Offer(work, now, &actions);
    ++decisions;
    for (const auto& action : actions) {
      const auto* dispatch = std::get_if<Dispatch>(&action);
      if (dispatch != nullptr) running.push_back(dispatch->id);
    }
    if (id % 4 != 0 || running.empty()) continue;
    actions.clear();
    const WorkId finished = running.front();
    running.front() = running.back();
    running.pop_back();
    admission->OnFinished(finished, {BackendOutcome::kOk, milliseconds(4)}, now,
                          &actions);
    ++decisions;
    for (const auto& action : actions) {
      const auto* dispatch = std::get_if<Dispatch>(&action);
      if (dispatch != nullptr) running.push_back(dispatch->id);
    }
  }
  const auto elapsed = std::chrono::steady_clock::now() - start;
  std::printf("cost: %.0f ns per event at 4 times capacity\n",
              std::chrono::duration<double, std::nano>(elapsed).count() /
                  static_cast<double>(decisions));

  auto deep = Admission::Builder()
                  .SetSlots(1)
                  .SetQueueBound(kQueued)
                  .SetMaxQueueWait(seconds(100))
                  .Build(now, &findings);
  const size_t before = mallinfo2().uordblks;
  for (uint64_t id = 1; id <= kQueued; ++id) {
    Work work;
    work.id = id;
    work.shed_hash = static_cast<uint32_t>(MixHash(id, 1) >> 32);
    work.deadline = now + seconds(1000);
    work.tenant = "tenant";
    work.method = "method";
    actions.clear();
    deep->Offer(work, now, &actions);
  }
  const size_t after = mallinfo2().uordblks;
  std::printf("cost: %.0f bytes per queued call\n",
              static_cast<double>(after - before) / kQueued);
}

void RunAll() {
  const int selected_shape = absl::GetFlag(FLAGS_shape);
  const std::vector<Shape> shapes = Shapes();
  for (int i = 0; i < static_cast<int>(shapes.size()); ++i) {
    if (selected_shape >= 0 && selected_shape != i) continue;
    MeasureOverload(shapes[i]);
    MeasureFlood(shapes[i]);
    MeasureSlowService(shapes[i]);
  }
  MeasureCost();
}

}  // namespace
}  // namespace vanillatiller

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  vanillatiller::RunAll();
  return 0;
}
