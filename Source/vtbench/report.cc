#include "vtbench/report.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace vanillatiller {
namespace {

using nlohmann::json;
using Seconds = std::chrono::duration<double>;
using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr double kRecoveredShare = 0.95;
// Width of one point of the goodput series.
constexpr double kSeriesStep = 0.5;
constexpr double kRecoveryStep = 0.25;

double Ratio(double part, double whole) { return whole > 0 ? part / whole : 0; }

double Quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  const auto rank = std::lround(q * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + rank, values.end());
  return values[static_cast<size_t>(rank)];
}

// Good and offered requests in one interval of time.
struct Count {
  double offered = 0;
  double good = 0;

  void Add(bool is_good) {
    offered += 1;
    if (is_good) good += 1;
  }
};

bool IsGood(const Experiment& experiment, const RequestResult& result) {
  return result.IsGood(experiment.classes[result.arrival.load_class]);
}

// Collects the results of one class in one phase.
class ClassSummary {
 public:
  void Add(const RequestResult& result, bool is_good) {
    m_count.Add(is_good);
    ++m_verdicts[CallerVerdictName(result.verdict)];
    if (!result.reason.empty()) ++m_reasons[result.reason];
    const double latency = Milliseconds(result.latency).count();
    if (result.verdict == CallerVerdict::kComplete) {
      m_latencies.push_back(latency);
    }
    if (result.verdict == CallerVerdict::kNotRun) {
      m_refusal_latencies.push_back(latency);
    }
    m_send_delays.push_back(Milliseconds(result.send_delay).count());
    m_tries += result.tries;
    m_wrong_answers += result.wrong_answers;
    if (result.attempts > 0) {
      ++m_answers_with_attempts;
      m_attempts += result.attempts;
      m_max_attempts = std::max(m_max_attempts, result.attempts);
    }
  }

  json ToJson(double seconds) const {
    return {{"offered", m_count.offered},
            {"good", m_count.good},
            {"offered_per_s", m_count.offered / seconds},
            {"goodput_per_s", m_count.good / seconds},
            {"good_share", Ratio(m_count.good, m_count.offered)},
            {"verdicts", m_verdicts},
            {"reasons", m_reasons},
            {"latency_ms",
             {{"p50", Quantile(m_latencies, 0.5)},
              {"p90", Quantile(m_latencies, 0.9)},
              {"p99", Quantile(m_latencies, 0.99)}}},
            {"refusal_latency_ms",
             {{"p50", Quantile(m_refusal_latencies, 0.5)},
              {"p99", Quantile(m_refusal_latencies, 0.99)}}},
            {"send_delay_p99_ms", Quantile(m_send_delays, 0.99)},
            {"tries_mean", Ratio(m_tries, m_count.offered)},
            {"attempts_mean", Ratio(m_attempts, m_answers_with_attempts)},
            {"attempts_max", m_max_attempts},
            {"wrong_answers", m_wrong_answers}};
  }

 private:
  Count m_count;
  std::map<std::string, uint64_t> m_verdicts;
  std::map<std::string, uint64_t> m_reasons;
  std::vector<double> m_latencies;
  std::vector<double> m_refusal_latencies;
  std::vector<double> m_send_delays;
  double m_tries = 0;
  double m_attempts = 0;
  double m_answers_with_attempts = 0;
  uint32_t m_max_attempts = 0;
  uint64_t m_wrong_answers = 0;
};

json Series(const Experiment& experiment,
            const std::vector<RequestResult>& results) {
  const double total = Seconds(experiment.TotalDuration()).count();
  std::vector<Count> bins(static_cast<size_t>(total / kSeriesStep) + 1);
  for (const RequestResult& result : results) {
    const double at = Seconds(result.arrival.at).count();
    bins[static_cast<size_t>(at / kSeriesStep)].Add(IsGood(experiment, result));
  }
  json series = json::array();
  for (size_t i = 0; i + 1 < bins.size(); ++i) {
    series.push_back({{"t", static_cast<double>(i) * kSeriesStep},
                      {"offered_per_s", bins[i].offered / kSeriesStep},
                      {"goodput_per_s", bins[i].good / kSeriesStep}});
  }
  return series;
}

json SummarizePhase(const Experiment& experiment, uint32_t index,
                    const std::vector<RequestResult>& results) {
  const Phase& phase = experiment.phases[index];
  const double seconds = Seconds(phase.duration).count();
  ClassSummary all;
  std::vector<ClassSummary> classes(experiment.classes.size());
  std::vector<bool> used(experiment.classes.size(), false);
  for (const RequestResult& result : results) {
    if (result.arrival.phase != index) continue;
    const bool is_good = IsGood(experiment, result);
    all.Add(result, is_good);
    classes[result.arrival.load_class].Add(result, is_good);
    used[result.arrival.load_class] = true;
  }
  json out = {{"name", phase.name},
              {"seconds", seconds},
              {"baseline", phase.baseline},
              {"all", all.ToJson(seconds)},
              {"classes", json::object()}};
  for (size_t i = 0; i < classes.size(); ++i) {
    if (!used[i]) continue;
    json& cell = out["classes"][experiment.classes[i].name];
    cell = classes[i].ToJson(seconds);
    cell["direct"] = experiment.classes[i].direct;
  }
  return out;
}

json AuditToJson(const AuditResult& audit) {
  return {{"executions", audit.executions},
          {"duplicates", audit.duplicates},
          {"false_not_run", audit.false_not_run},
          {"work_ms", audit.work_ms},
          {"wasted_share", Ratio(audit.wasted_work_ms, audit.work_ms)},
          {"executions_per_call_mean", audit.mean_executions_per_call},
          {"executions_per_call_max", audit.max_executions_per_call},
          {"examples", audit.examples}};
}

// A figure over the rounds of one policy.
struct Spread {
  std::vector<double> values;

  std::string ToString(const char* format) const {
    if (values.empty()) return "-";
    const auto parsed = absl::ParsedFormat<'f'>::New(format);
    const auto [low, high] = std::minmax_element(values.begin(), values.end());
    std::string text = absl::StrFormat(*parsed, Quantile(values, 0.5));
    if (values.size() == 1) return text;
    return absl::StrCat(text, " [", absl::StrFormat(*parsed, *low), " ",
                        absl::StrFormat(*parsed, *high), "]");
  }
};

std::vector<std::string> PolicyNames(const std::vector<json>& runs) {
  std::vector<std::string> names;
  for (const json& run : runs) {
    const auto name = run["policy"].get<std::string>();
    if (std::find(names.begin(), names.end(), name) == names.end()) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<const json*> RunsOf(const std::vector<json>& runs,
                                const std::string& policy) {
  std::vector<const json*> chosen;
  for (const json& run : runs) {
    if (run["policy"] == policy) chosen.push_back(&run);
  }
  return chosen;
}

// A column of the table and where its figure stands in the JSON of a class.
struct Column {
  const char* title;
  const char* pointer;
  const char* format;
};

constexpr Column kColumns[] = {
    {"offered/s", "/offered_per_s", "%.0f"},
    {"goodput/s", "/goodput_per_s", "%.0f"},
    {"good", "/good_share", "%.3f"},
    {"p50 ms", "/latency_ms/p50", "%.1f"},
    {"p99 ms", "/latency_ms/p99", "%.1f"},
    {"refused ms", "/refusal_latency_ms/p50", "%.1f"},
    {"attempts", "/attempts_mean", "%.2f"},
    {"max", "/attempts_max", "%.0f"},
    {"tries", "/tries_mean", "%.2f"},
};

std::string FormatRow(const std::string& policy, const std::string& phase,
                      const std::string& load_class,
                      const std::vector<const json*>& cells) {
  std::string row =
      absl::StrFormat("%-10s %-14s %-10s", policy, phase, load_class);
  for (const Column& column : kColumns) {
    Spread spread;
    for (const json* cell : cells) {
      spread.values.push_back(
          cell->at(json::json_pointer(column.pointer)).get<double>());
    }
    absl::StrAppendFormat(&row, " %18s", spread.ToString(column.format));
  }
  return row + "\n";
}

std::string FormatHeader() {
  std::string row =
      absl::StrFormat("%-10s %-14s %-10s", "policy", "phase", "class");
  for (const Column& column : kColumns) {
    absl::StrAppendFormat(&row, " %18s", column.title);
  }
  return row + "\n";
}

std::string FormatPhase(const std::string& policy,
                        const std::vector<const json*>& runs, size_t phase) {
  std::vector<const json*> all;
  all.reserve(runs.size());
  for (const json* run : runs) all.push_back(&(*run)["phases"][phase]["all"]);
  const json& first = (*runs[0])["phases"][phase];
  const auto name = first["name"].get<std::string>();
  std::string text = FormatRow(policy, name, "all", all);
  if (first["classes"].size() < 2) return text;
  for (const auto& [load_class, unused] : first["classes"].items()) {
    std::vector<const json*> cells;
    for (const json* run : runs) {
      const json& classes = (*run)["phases"][phase]["classes"];
      if (classes.contains(load_class)) cells.push_back(&classes[load_class]);
    }
    text += FormatRow(policy, name, load_class, cells);
  }
  return text;
}

std::string FormatRecovery(const std::vector<const json*>& runs, size_t phase) {
  const json& first = (*runs[0])["phases"][phase];
  if (!first.contains("recovery_s")) return "";
  std::string text = absl::StrCat("  time to 95% from the start of ",
                                  first["name"].get<std::string>(), ":");
  for (const json* run : runs) {
    const json& value = (*run)["phases"][phase]["recovery_s"];
    absl::StrAppend(&text, " ",
                    value.is_null()
                        ? "not reached"
                        : absl::StrFormat("%.2f s", value.get<double>()));
  }
  return text + "\n";
}

std::string FormatGoodputRatios(const std::vector<const json*>& runs) {
  std::string text;
  for (size_t phase = 0; phase < (*runs[0])["phases"].size(); ++phase) {
    Spread spread;
    for (const json* run : runs) {
      double baseline = 0;
      for (const json& candidate : (*run)["phases"]) {
        if (candidate["baseline"] == true) {
          baseline = candidate["all"]["goodput_per_s"].get<double>();
        }
      }
      if (baseline <= 0) return "";
      spread.values.push_back(
          (*run)["phases"][phase]["all"]["goodput_per_s"].get<double>() /
          baseline);
    }
    absl::StrAppend(&text, "  goodput by baseline goodput, ",
                    (*runs[0])["phases"][phase]["name"].get<std::string>(),
                    ": ", spread.ToString("%.3f"), "\n");
  }
  return text;
}

std::string FormatAudit(const std::vector<const json*>& runs) {
  static constexpr Column kAuditColumns[] = {
      {"duplicates of non-idempotent executions", "/duplicates", "%.0f"},
      {"executions reported \"not run\"", "/false_not_run", "%.0f"},
      {"share of work for requests that failed", "/wasted_share", "%.3f"},
      {"executions by call, mean", "/executions_per_call_mean", "%.3f"},
      {"executions by call, largest", "/executions_per_call_max", "%.0f"},
  };
  std::string text;
  for (const Column& column : kAuditColumns) {
    Spread spread;
    for (const json* run : runs) {
      spread.values.push_back(
          (*run)["audit"].at(json::json_pointer(column.pointer)).get<double>());
    }
    absl::StrAppend(&text, "  ", column.title, ": ",
                    spread.ToString(column.format), "\n");
  }
  for (const json* run : runs) {
    for (const json& example : (*run)["audit"]["examples"]) {
      absl::StrAppend(&text, "    ", example.get<std::string>(), "\n");
    }
  }
  return text;
}

// Latency of the classes that go through nodes less that of the class that
// goes straight to the backend servers, in the same run.
std::string FormatAddedTime(const std::vector<const json*>& runs,
                            size_t phase) {
  std::string text;
  const json& first = (*runs[0])["phases"][phase];
  for (const auto& [direct, direct_cell] : first["classes"].items()) {
    if (!direct_cell.value("direct", false)) continue;
    for (const auto& [through, unused] : first["classes"].items()) {
      if (through == direct) continue;
      absl::StrAppend(&text, "  added time, ms, ",
                      first["name"].get<std::string>(), ", ", through, " less ",
                      direct, ":");
      for (const char* quantile : {"p50", "p90", "p99"}) {
        Spread spread;
        for (const json* run : runs) {
          const json& classes = (*run)["phases"][phase]["classes"];
          spread.values.push_back(
              classes[through]["latency_ms"][quantile].get<double>() -
              classes[direct]["latency_ms"][quantile].get<double>());
        }
        absl::StrAppend(&text, " ", quantile, " ", spread.ToString("%.2f"));
      }
      text += "\n";
    }
  }
  return text;
}

}  // namespace

std::optional<double> RecoverySeconds(const Experiment& experiment,
                                      const std::vector<RequestResult>& results,
                                      uint32_t phase, double baseline_ratio) {
  Seconds start{0};
  for (uint32_t i = 0; i < phase; ++i) start += experiment.phases[i].duration;
  const double length = Seconds(experiment.phases[phase].duration).count();
  const double wanted = kRecoveredShare * baseline_ratio;
  for (double from = 0; from + 1 <= length; from += kRecoveryStep) {
    Count next_second;
    Count rest;
    for (const RequestResult& result : results) {
      if (result.arrival.phase != phase) continue;
      const double at = (Seconds(result.arrival.at) - start).count();
      if (at < from) continue;
      rest.Add(IsGood(experiment, result));
      if (at < from + 1) next_second.Add(IsGood(experiment, result));
    }
    if (next_second.offered > 0 &&
        Ratio(next_second.good, next_second.offered) >= wanted &&
        Ratio(rest.good, rest.offered) >= wanted) {
      return from;
    }
  }
  return std::nullopt;
}

json SummarizeRun(const Experiment& experiment, const Policy& policy,
                  const std::vector<RequestResult>& results,
                  const AuditResult& audit) {
  json run = {{"experiment", experiment.name},
              {"seed", experiment.seed},
              {"policy", policy.name},
              {"settings",
               {{"admission", policy.admission},
                {"retries", policy.retries},
                {"routing", policy.routing}}},
              {"phases", json::array()},
              {"series", Series(experiment, results)},
              {"audit", AuditToJson(audit)}};
  double baseline_ratio = 1;
  for (uint32_t i = 0; i < experiment.phases.size(); ++i) {
    json phase = SummarizePhase(experiment, i, results);
    if (experiment.phases[i].baseline) {
      baseline_ratio = phase["all"]["good_share"].get<double>();
    }
    if (experiment.phases[i].recovery) {
      const auto seconds =
          RecoverySeconds(experiment, results, i, baseline_ratio);
      phase["recovery_s"] = seconds ? json(*seconds) : json(nullptr);
    }
    run["phases"].push_back(std::move(phase));
  }
  return run;
}

std::string FormatTable(const std::vector<json>& runs) {
  std::string text = FormatHeader();
  for (const std::string& policy : PolicyNames(runs)) {
    const std::vector<const json*> chosen = RunsOf(runs, policy);
    const size_t phases = (*chosen[0])["phases"].size();
    for (size_t i = 0; i < phases; ++i) text += FormatPhase(policy, chosen, i);
  }
  for (const std::string& policy : PolicyNames(runs)) {
    const std::vector<const json*> chosen = RunsOf(runs, policy);
    absl::StrAppend(&text, "\n", policy, ", ", chosen.size(), " round(s)\n");
    const size_t phases = (*chosen[0])["phases"].size();
    for (size_t i = 0; i < phases; ++i) {
      text += FormatAddedTime(chosen, i);
      text += FormatRecovery(chosen, i);
    }
    text += FormatGoodputRatios(chosen);
    text += FormatAudit(chosen);
  }
  return text;
}

std::string FormatPlot(const std::vector<json>& runs,
                       const std::string& svg_path) {
  std::string text = absl::StrCat(
      "set terminal svg size 900,420\nset output \"", svg_path,
      "\"\nset xlabel \"time, s\"\nset ylabel \"whole requests a second\"\n"
      "set key outside\nset title \"",
      runs[0]["experiment"].get<std::string>(), "\"\n");
  double start = 0;
  for (const json& phase : runs[0]["phases"]) {
    absl::StrAppendFormat(
        &text,
        "set arrow from %f, graph 0 to %f, graph 1 nohead dashtype 3\n"
        "set label \"%s\" at %f, graph 0.97\n",
        start, start, phase["name"].get<std::string>(), start + 0.2);
    start += phase["seconds"].get<double>();
  }
  std::string data;
  std::string plot = "plot $offered with lines title \"offered\"";
  absl::StrAppend(&data, "$offered << EOD\n");
  for (const json& point : runs[0]["series"]) {
    absl::StrAppendFormat(&data, "%f %f\n", point["t"].get<double>(),
                          point["offered_per_s"].get<double>());
  }
  data += "EOD\n";
  for (size_t i = 0; i < runs.size(); ++i) {
    absl::StrAppend(&data, "$run", i, " << EOD\n");
    for (const json& point : runs[i]["series"]) {
      absl::StrAppendFormat(&data, "%f %f\n", point["t"].get<double>(),
                            point["goodput_per_s"].get<double>());
    }
    data += "EOD\n";
    absl::StrAppend(&plot, ", $run", i, " with lines title \"",
                    runs[i]["policy"].get<std::string>(), "\"");
  }
  return data + text + plot + "\n";
}

}  // namespace vanillatiller
