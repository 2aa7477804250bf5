// Command line of vtbench. Utilities/run_experiment.sh calls it in turn with
// the modes below; vtbench itself starts no process.

#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "httplib.h"
#include "vtbench/vtbench.h"

ABSL_FLAG(std::string, mode, "check",
          "check: parse the experiment; policies: print their names; plan: "
          "write settings to --directory; run: load a running fleet; report: "
          "print a table of the result files given as arguments");
ABSL_FLAG(std::string, experiment, "", "experiment file (TOML)");
ABSL_FLAG(std::string, policy, "", "policy of the experiment");
ABSL_FLAG(std::string, directory, "", "directory of settings and \"pids\"");
ABSL_FLAG(uint16_t, base_port, 21000, "first port of the fleet");
ABSL_FLAG(std::string, out, "", "result file (JSON), or plot file for report");
ABSL_FLAG(std::string, svg, "", "SVG that the plot file of report writes");

namespace vanillatiller {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kReadyTimeout{30'000};
constexpr milliseconds kReadyPoll{100};
constexpr std::chrono::seconds kProgressInterval{2};
constexpr milliseconds kLeadTime{300};

std::optional<std::string> ReadFile(const std::string& path) {
  const std::ifstream file(path);
  if (!file) return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::optional<Experiment> LoadExperiment() {
  const std::string path = absl::GetFlag(FLAGS_experiment);
  const auto text = ReadFile(path);
  if (!text) {
    std::cerr << "vtbench: cannot read " << path << "\n";
    return std::nullopt;
  }
  Findings findings;
  auto experiment = ParseExperiment(*text, path, &findings);
  if (!experiment) std::cerr << FormatFindings(findings);
  return experiment;
}

Targets MakeTargets(const FleetPlan& plan, std::string_view what) {
  Targets targets;
  for (const PlannedProcess& process : plan.Find(what)) {
    targets.push_back(std::make_shared<Target>(process.address));
  }
  return targets;
}

// Sends each class through each node until it completes, so that a run starts
// with a fleet that knows its members and configuration.
bool WaitUntilReady(const Experiment& experiment, const Targets& entries) {
  const TimePoint give_up = BootClock::now() + kReadyTimeout;
  for (const auto& entry : entries) {
    const Caller caller(
        experiment, std::vector<Targets>(experiment.classes.size(), {entry}));
    for (uint32_t i = 0; i < experiment.classes.size(); ++i) {
      if (experiment.classes[i].direct) continue;
      const Arrival arrival{{}, 0, i, 1};
      while (true) {
        const TimePoint now = BootClock::now();
        const RequestResult result = caller.Perform(arrival, 0, now);
        if (result.verdict == CallerVerdict::kComplete) break;
        if (BootClock::now() > give_up) {
          std::cerr << "vtbench: no answer to " << experiment.classes[i].name
                    << " through " << entry->address() << ": "
                    << CallerVerdictName(result.verdict) << " " << result.reason
                    << "\n";
          return false;
        }
        std::this_thread::sleep_for(kReadyPoll);
      }
    }
  }
  return true;
}

void ResetRecords(const FleetPlan& plan) {
  for (const PlannedProcess& process : plan.Find("stub:")) {
    httplib::Client client("http://" + process.address);
    client.Post("/control/reset", "", "text/plain");
  }
}

std::vector<ExecutionRecord> CollectRecords(const FleetPlan& plan,
                                            uint64_t* unreadable) {
  std::vector<ExecutionRecord> records;
  for (const PlannedProcess& process : plan.Find("stub:")) {
    httplib::Client client("http://" + process.address);
    client.set_read_timeout(std::chrono::seconds(20));
    const auto answer = client.Get("/executions");
    if (!answer || answer->status != 200) {
      std::cerr << "vtbench: no execution records of " << process.name << "\n";
      ++*unreadable;
      continue;
    }
    auto some = ParseExecutions(answer->body, unreadable);
    records.insert(records.end(), std::make_move_iterator(some.begin()),
                   std::make_move_iterator(some.end()));
  }
  return records;
}

// Prints how far the run is, while it lasts.
class Progress {
 public:
  Progress(const Experiment& experiment, std::string label, TimePoint start)
      : m_experiment(experiment),
        m_label(std::move(label)),
        m_start(start),
        m_thread([this] { Run(); }) {}
  ~Progress() {
    m_stopping = true;
    m_thread.join();
  }
  Progress(const Progress&) = delete;
  Progress& operator=(const Progress&) = delete;

  void Count(const RequestResult& result) {
    ++m_done;
    if (result.IsGood(m_experiment.classes[result.arrival.load_class])) {
      ++m_good;
    }
  }

 private:
  void Run() {
    TimePoint next = m_start + kProgressInterval;
    while (!m_stopping) {
      std::this_thread::sleep_for(kReadyPoll);
      if (BootClock::now() < next) continue;
      next += kProgressInterval;
      const double elapsed = ToMilliseconds(BootClock::now() - m_start) / 1000;
      std::cerr << absl::StrFormat(
          "%s: %.0f of %.0f s, %d done, %d good\n", m_label, elapsed,
          std::chrono::duration<double>(m_experiment.TotalDuration()).count(),
          m_done.load(), m_good.load());
    }
  }

  const Experiment& m_experiment;
  std::string m_label;
  TimePoint m_start;
  std::atomic<uint64_t> m_done{0};
  std::atomic<uint64_t> m_good{0};
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

int Plan(const Experiment& experiment, const Policy& policy) {
  const FleetPlan plan(experiment, policy, absl::GetFlag(FLAGS_base_port),
                       absl::GetFlag(FLAGS_directory));
  const std::string error = plan.Write();
  if (error.empty()) return 0;
  std::cerr << "vtbench: " << error << "\n";
  return 1;
}

int RunPolicy(const Experiment& experiment, const Policy& policy) {
  FleetPlan plan(experiment, policy, absl::GetFlag(FLAGS_base_port),
                 absl::GetFlag(FLAGS_directory));
  const std::string error = plan.LoadProcessIds();
  if (!error.empty()) {
    std::cerr << "vtbench: " << error << "\n";
    return 1;
  }
  const Targets entries = MakeTargets(plan, "node:");
  std::vector<Targets> targets;
  for (const LoadClass& load : experiment.classes) {
    targets.push_back(MakeTargets(plan, load.direct
                                            ? "stub:" + load.service
                                            : "node:" + load.entry_service));
  }
  if (!WaitUntilReady(experiment, entries)) return 1;
  ResetRecords(plan);

  const Caller caller(experiment, std::move(targets));
  const std::vector<Arrival> arrivals = BuildArrivals(experiment);
  const TimePoint start = BootClock::now() + kLeadTime;
  std::vector<RequestResult> results;
  std::vector<std::string> failures;
  {
    Progress progress(experiment, experiment.name + " " + policy.name, start);
    const FaultDriver faults(experiment.faults, plan, start);
    LoadDriver driver(
        [&](const Arrival& arrival, uint64_t number, TimePoint intended) {
          RequestResult result = caller.Perform(arrival, number, intended);
          progress.Count(result);
          return result;
        },
        experiment.max_in_flight);
    results = driver.Run(arrivals, start);
    failures = faults.Failures();
  }
  uint64_t unreadable = 0;
  const auto records = CollectRecords(plan, &unreadable);
  json run = SummarizeRun(experiment, policy, results,
                          AuditExecutions(experiment, results, records));
  run["fault_failures"] = failures;
  run["unreadable_records"] = unreadable;
  for (const std::string& failure : failures) {
    std::cerr << "vtbench: fault not applied: " << failure << "\n";
  }
  std::ofstream(absl::GetFlag(FLAGS_out)) << run.dump(1) << "\n";
  return failures.empty() && unreadable == 0 ? 0 : 1;
}

int Report(const std::vector<char*>& arguments) {
  std::vector<json> runs;
  for (size_t i = 1; i < arguments.size(); ++i) {
    const auto text = ReadFile(arguments[i]);
    json run = json::parse(text.value_or(""), nullptr, false);
    if (!run.is_object()) {
      std::cerr << "vtbench: " << arguments[i] << " is not a result file\n";
      return 1;
    }
    runs.push_back(std::move(run));
  }
  if (runs.empty()) {
    std::cerr << "vtbench: no result files\n";
    return 1;
  }
  std::cout << FormatTable(runs);
  if (!absl::GetFlag(FLAGS_out).empty()) {
    std::ofstream(absl::GetFlag(FLAGS_out))
        << FormatPlot(runs, absl::GetFlag(FLAGS_svg));
  }
  return 0;
}

int Main(const std::vector<char*>& arguments) {
  const std::string mode = absl::GetFlag(FLAGS_mode);
  if (mode == "report") return Report(arguments);
  const auto experiment = LoadExperiment();
  if (!experiment) return 1;
  if (mode == "check") return 0;
  if (mode == "policies") {
    for (const Policy& policy : experiment->policies) {
      std::cout << policy.name << "\n";
    }
    return 0;
  }
  const Policy* policy = experiment->FindPolicy(absl::GetFlag(FLAGS_policy));
  if (policy == nullptr) {
    std::cerr << "vtbench: the experiment has no such policy\n";
    return 1;
  }
  if (mode == "plan") return Plan(*experiment, *policy);
  if (mode == "run") return RunPolicy(*experiment, *policy);
  std::cerr << "vtbench: no mode \"" << mode << "\"\n";
  return 1;
}

}  // namespace
}  // namespace vanillatiller

int main(int argc, char** argv) try {
  absl::SetProgramUsageMessage("load generation and experiments");
  return vanillatiller::Main(absl::ParseCommandLine(argc, argv));
} catch (const std::exception& error) {
  std::cerr << "vtbench: " << error.what() << "\n";
  return 1;
}
