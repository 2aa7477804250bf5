// fleet_bench: measures the control plane with real processes on loopback.
//
// For each fleet size it starts the platform stub and that many nodes in three
// regions with three failure domains each, without backend servers and without
// calls, and prints the resource usage and the latencies of the control plane.

#include <fcntl.h>
#include <httplib.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

ABSL_FLAG(std::string, node, "build/Source/node/vanillatillerd",
          "path of the node binary");
ABSL_FLAG(std::string, stub, "build/Source/vtstub/vtstub",
          "path of the platform stub binary");
ABSL_FLAG(std::string, config, "docs/examples/board.toml",
          "file with the configuration value; its version line is replaced");
ABSL_FLAG(std::vector<std::string>, sizes, {"25"},
          "fleet sizes to measure, in nodes");
ABSL_FLAG(int, changes, 7, "number of configuration changes to time");
ABSL_FLAG(int, kills, 3,
          "number of nodes to kill (SIGKILL), and to stop (SIGSTOP)");
ABSL_FLAG(int, seconds, 30,
          "length of the window for resource usage, in which one configuration "
          "change takes place");
ABSL_FLAG(int, settle_seconds, 15,
          "time between the start of the fleet and that window");
ABSL_FLAG(int, first_port, 20000, "first port; each node gets five");

extern char** environ;

namespace vanillatiller {
namespace {

using Clock = std::chrono::system_clock;
using std::chrono::duration;
using std::chrono::seconds;

constexpr int kRegions = 3;
constexpr int kDomainsPerRegion = 3;
constexpr int kPortsPerNode = 5;
constexpr std::chrono::milliseconds kPollInterval{20};
constexpr seconds kEventTimeout{60};

struct LogEvent {
  Clock::time_point time;
  std::string line;
};

// A node process and the lines read from its log.
struct NodeProcess {
  std::string vm;
  std::string log_path;
  int port = 0;
  pid_t pid = -1;
  std::streamoff read_offset = 0;
  std::vector<LogEvent> events;

  int admin_port() const { return port + 3; }
};

// Totals over all nodes at one point in time.
struct ResourceUsage {
  Clock::time_point time;
  double cpu_seconds = 0;
  double resident_bytes = 0;
  double reads = 0;
  // TCP payload bytes sent and received, by process and connection.
  std::map<std::string, double> bytes;
};

struct Result {
  int nodes = 0;
  double start_ms = -1;
  std::vector<double> changes_ms;
  std::vector<double> kill_detection_ms;
  std::vector<double> stop_detection_ms;
  double reads_per_second = 0;
  double bytes_per_second = 0;
  double cpu_percent = 0;
  double resident_mb = 0;
};

pid_t Spawn(std::vector<std::string> arguments, const std::string& log_path) {
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) argv.push_back(argument.data());
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC, 0600);
  pid_t pid = -1;
  posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  return pid;
}

void KillProcess(pid_t* pid) {
  if (*pid <= 0) return;
  kill(*pid, SIGKILL);
  waitpid(*pid, nullptr, 0);
  *pid = -1;
}

std::optional<Clock::time_point> ParseTime(const std::string& line) {
  constexpr size_t kPrefix = 5;
  if (!line.starts_with("time=")) return std::nullopt;
  std::tm parts{};
  std::istringstream text(line.substr(kPrefix, 19));
  text >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
  if (text.fail()) return std::nullopt;
  parts.tm_isdst = -1;
  double fraction = 0;
  const std::string rest = line.substr(kPrefix + 19, 7);
  if (!absl::SimpleAtod(absl::StrCat("0", rest), &fraction)) fraction = 0;
  return Clock::from_time_t(std::mktime(&parts)) +
         std::chrono::microseconds(static_cast<int64_t>(fraction * 1e6));
}

double Median(std::vector<double> values) {
  if (values.empty()) return -1;
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

double Worst(const std::vector<double>& values) {
  if (values.empty()) return -1;
  return *std::max_element(values.begin(), values.end());
}

class Bench {
 public:
  explicit Bench(int size) {
    std::string name =
        (std::filesystem::temp_directory_path() / "fleet-bench-XXXXXX");
    m_directory = mkdtemp(name.data());
    m_platform_port = absl::GetFlag(FLAGS_first_port);
    for (int i = 0; i < size; ++i) {
      NodeProcess node;
      node.vm = absl::StrCat("vm-", i);
      node.log_path = absl::StrCat(m_directory, "/", node.vm, ".log");
      node.port = m_platform_port + kPortsPerNode * (i + 1);
      m_nodes.push_back(node);
    }
  }

  ~Bench() {
    for (NodeProcess& node : m_nodes) KillProcess(&node.pid);
    KillProcess(&m_platform);
    std::filesystem::remove_all(m_directory);
  }

  Result Run() {
    Result result;
    result.nodes = static_cast<int>(m_nodes.size());
    StartPlatform();
    const auto start = Clock::now();
    for (size_t i = 0; i < m_nodes.size(); ++i) StartNode(i);
    result.start_ms = WaitForAll(ConfigLine(1), start, -1).value_or(-1);
    std::this_thread::sleep_for(seconds(absl::GetFlag(FLAGS_settle_seconds)));
    MeasureResourceUsage(&result);
    for (int i = 0; i < absl::GetFlag(FLAGS_changes); ++i) {
      result.changes_ms.push_back(ChangeConfig().value_or(-1));
      std::this_thread::sleep_for(seconds(2));
    }
    const auto kills = static_cast<size_t>(absl::GetFlag(FLAGS_kills));
    for (size_t i = 0; i < kills; ++i) {
      result.kill_detection_ms.push_back(FailNode(2 * i, SIGKILL).value_or(-1));
      result.stop_detection_ms.push_back(
          FailNode(2 * i + 1, SIGSTOP).value_or(-1));
    }
    return result;
  }

 private:
  std::string Write(const std::string& name, const std::string& text) {
    std::string path = absl::StrCat(m_directory, "/", name);
    std::ofstream(path) << text;
    return path;
  }

  static std::string RegionOf(size_t index) {
    return absl::StrCat("region-", index % kRegions);
  }

  static std::string DomainOf(size_t index) {
    const size_t domain = index / kRegions % kDomainsPerRegion;
    return absl::StrCat(RegionOf(index), "-", domain);
  }

  static std::string Address(int port) {
    return absl::StrCat("127.0.0.1:", port);
  }

  static std::string ConfigLine(uint64_t version) {
    return absl::StrCat(" version=", version, " ");
  }

  void StartPlatform();
  void StartNode(size_t index);
  std::string ConfigText(uint64_t version) const;
  void ReadLogs();
  std::optional<double> WaitForAll(const std::string& text,
                                   Clock::time_point start, int except);
  std::optional<double> ChangeConfig();
  std::optional<double> FailNode(size_t index, int signal);
  void MeasureResourceUsage(Result* result);
  ResourceUsage ReadResourceUsage();
  void ReadTcpBytes(ResourceUsage* usage);

  std::string m_directory;
  int m_platform_port = 0;
  pid_t m_platform = -1;
  uint64_t m_version = 1;
  std::vector<NodeProcess> m_nodes;
};

void Bench::StartPlatform() {
  nlohmann::json list = nlohmann::json::array();
  for (size_t i = 0; i < m_nodes.size(); ++i) {
    list.push_back({{"vm", m_nodes[i].vm},
                    {"service", absl::StrCat("service-", i % 4)},
                    {"peer_address", Address(m_nodes[i].port + 2)},
                    {"failure_domain", DomainOf(i)},
                    {"region", RegionOf(i)},
                    {"state", "live"}});
  }
  m_platform =
      Spawn({absl::GetFlag(FLAGS_stub), "--mode=platform",
             absl::StrCat("--port=", m_platform_port),
             absl::StrCat("--config=", Write("config.toml", ConfigText(1))),
             absl::StrCat("--vms=", Write("vms.json", list.dump()))},
            m_directory + "/platform.log");
}

void Bench::StartNode(size_t index) {
  NodeProcess& node = m_nodes[index];
  const auto line = [&node](const char* name, int offset) {
    return absl::StrCat(name, " = \"", Address(node.port + offset), "\"\n");
  };
  const std::string settings = absl::StrCat(
      "[node]\nvm = \"", node.vm, "\"\nservice = \"service-", index % 4,
      "\"\nregion = \"", RegionOf(index), "\"\nfailure_domain = \"",
      DomainOf(index), "\"\n[listeners]\n", line("public", 0), line("local", 1),
      line("peer", 2), line("admin", 3), "[backend]\n", line("address", 4),
      "[platform]\naddress = \"", Address(m_platform_port), "\"\n");
  node.pid = Spawn({absl::GetFlag(FLAGS_node),
                    "--settings=" + Write(node.vm + ".toml", settings)},
                   node.log_path);
}

// Returns the configuration value with its version replaced. The number of
// extra attempts alternates, so that each change also affects the content.
std::string Bench::ConfigText(uint64_t version) const {
  std::ifstream file(absl::GetFlag(FLAGS_config));
  std::string text;
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with("version = ")) {
      line = absl::StrCat("version = ", version);
    }
    if (line.starts_with("extra_attempts = ")) {
      line = absl::StrCat("extra_attempts = ", 2 + version % 2);
    }
    absl::StrAppend(&text, line, "\n");
  }
  return text;
}

void Bench::ReadLogs() {
  for (NodeProcess& node : m_nodes) {
    std::ifstream file(node.log_path);
    file.seekg(node.read_offset);
    std::string line;
    while (std::getline(file, line)) {
      if (file.eof()) break;
      node.read_offset = file.tellg();
      if (const auto time = ParseTime(line)) {
        node.events.push_back({*time, line + " "});
      }
    }
  }
}

// Returns the milliseconds from `start` until every running node other than
// `except` has logged `text`, or nullopt after kEventTimeout.
std::optional<double> Bench::WaitForAll(const std::string& text,
                                        Clock::time_point start, int except) {
  while (Clock::now() < start + kEventTimeout) {
    ReadLogs();
    double last = 0;
    bool complete = true;
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      const NodeProcess& node = m_nodes[i];
      if (node.pid <= 0 || static_cast<int>(i) == except) continue;
      const auto found = std::find_if(
          node.events.begin(), node.events.end(), [&](const LogEvent& event) {
            return event.time >= start &&
                   event.line.find(text) != std::string::npos;
          });
      if (found == node.events.end()) {
        complete = false;
        break;
      }
      const duration<double, std::milli> time = found->time - start;
      last = std::max(last, time.count());
    }
    if (complete) return last;
    std::this_thread::sleep_for(kPollInterval);
  }
  return std::nullopt;
}

std::optional<double> Bench::ChangeConfig() {
  const std::string text = ConfigText(++m_version);
  httplib::Client client("127.0.0.1", m_platform_port);
  const auto start = Clock::now();
  const auto posted = client.Post("/control/config", text, "application/toml");
  if (!posted || posted->status != 200) return std::nullopt;
  return WaitForAll(ConfigLine(m_version), start, -1);
}

// Sends `signal`, SIGKILL or SIGSTOP, to a node. Returns the time in
// milliseconds until all other nodes have logged it as failed.
std::optional<double> Bench::FailNode(size_t index, int signal) {
  NodeProcess& node = m_nodes[index];
  const auto start = Clock::now();
  kill(node.pid, signal);
  const auto time =
      WaitForAll(absl::StrCat(" member=", node.vm, " state=failed "), start,
                 static_cast<int>(index));
  KillProcess(&node.pid);
  std::this_thread::sleep_for(seconds(4));
  return time;
}

ResourceUsage Bench::ReadResourceUsage() {
  ResourceUsage usage;
  const double ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
  const double page = static_cast<double>(sysconf(_SC_PAGESIZE));
  for (const NodeProcess& node : m_nodes) {
    const std::string proc = absl::StrCat("/proc/", node.pid);
    std::ifstream stat(proc + "/stat");
    std::string text;
    std::getline(stat, text);
    const std::vector<std::string> fields =
        absl::StrSplit(text.substr(text.rfind(')') + 2), ' ');
    double user = 0;
    double system = 0;
    if (fields.size() > 12 && absl::SimpleAtod(fields[11], &user) &&
        absl::SimpleAtod(fields[12], &system)) {
      usage.cpu_seconds += (user + system) / ticks;
    }
    std::ifstream statm(proc + "/statm");
    double total = 0;
    double resident = 0;
    if (statm >> total >> resident) usage.resident_bytes += resident * page;
    httplib::Client client("127.0.0.1", node.admin_port());
    const auto status = client.Get("/status");
    if (!status) continue;
    const auto json = nlohmann::json::parse(status->body, nullptr, false);
    if (json.is_object()) usage.reads += json.value("config_reads", 0);
  }
  ReadTcpBytes(&usage);
  usage.time = Clock::now();
  return usage;
}

// Reads the kernel's byte counters of the nodes' open connections using ss.
void Bench::ReadTcpBytes(ResourceUsage* usage) {
  std::vector<std::string> owners;
  for (const NodeProcess& node : m_nodes) {
    owners.push_back(absl::StrCat("pid=", node.pid, ","));
  }
  FILE* pipe = popen("ss -tniOHp state established", "r");
  if (pipe == nullptr) return;
  std::array<char, 8192> buffer;
  while (fgets(buffer.data(), buffer.size(), pipe) != nullptr) {
    const std::string line = buffer.data();
    const size_t at = line.find("pid=");
    if (at == std::string::npos) continue;
    const std::string owner = line.substr(at, line.find(',', at) + 1 - at);
    if (std::find(owners.begin(), owners.end(), owner) == owners.end()) {
      continue;
    }
    const std::vector<std::string> words =
        absl::StrSplit(line, absl::ByAnyChar(" \t\n"), absl::SkipEmpty());
    double sum = 0;
    for (const std::string& word : words) {
      const std::pair<std::string, std::string> field =
          absl::StrSplit(word, absl::MaxSplits(':', 1));
      double value = 0;
      const bool counts =
          field.first == "bytes_sent" || field.first == "bytes_received";
      if (counts && absl::SimpleAtod(field.second, &value)) sum += value;
    }
    if (words.size() > 3) {
      usage->bytes[absl::StrCat(owner, words[2], words[3])] = sum;
    }
  }
  pclose(pipe);
}

// Measures resource usage over a window in which one configuration change takes
// place.
void Bench::MeasureResourceUsage(Result* result) {
  const ResourceUsage before = ReadResourceUsage();
  const seconds half(absl::GetFlag(FLAGS_seconds) / 2);
  std::this_thread::sleep_for(half);
  ChangeConfig();
  std::this_thread::sleep_until(before.time + 2 * half);
  const ResourceUsage after = ReadResourceUsage();
  const double time = duration<double>(after.time - before.time).count();
  const double nodes = static_cast<double>(m_nodes.size());
  result->reads_per_second = (after.reads - before.reads) / time;
  result->cpu_percent =
      100 * (after.cpu_seconds - before.cpu_seconds) / time / nodes;
  result->resident_mb = after.resident_bytes / nodes / 1e6;
  double bytes = 0;
  for (const auto& [connection, count] : after.bytes) {
    const auto known = before.bytes.find(connection);
    bytes += count - (known == before.bytes.end() ? 0 : known->second);
  }
  result->bytes_per_second = bytes / time / nodes;
}

void Print(const Result& result) {
  std::printf(
      "%d | %.0f | %.0f / %.0f | %.2f | %.0f | %.2f | %.1f | %.0f / %.0f | "
      "%.0f / %.0f\n",
      result.nodes, result.start_ms, Median(result.changes_ms),
      Worst(result.changes_ms), result.reads_per_second,
      result.bytes_per_second, result.cpu_percent, result.resident_mb,
      Median(result.kill_detection_ms), Worst(result.kill_detection_ms),
      Median(result.stop_detection_ms), Worst(result.stop_detection_ms));
  std::fflush(stdout);
}

// Returns the slope of a linear least-squares fit of a figure over the number
// of nodes.
double Slope(const std::vector<Result>& results, double Result::*figure) {
  double mean_x = 0;
  double mean_y = 0;
  const double count = static_cast<double>(results.size());
  for (const Result& result : results) {
    mean_x += result.nodes / count;
    mean_y += result.*figure / count;
  }
  double products = 0;
  double squares = 0;
  for (const Result& result : results) {
    products += (result.nodes - mean_x) * (result.*figure - mean_y);
    squares += (result.nodes - mean_x) * (result.nodes - mean_x);
  }
  return squares == 0 ? 0 : products / squares;
}

int Run() {
  std::printf(
      "nodes | start ms | change median / worst ms | reads/s | bytes/s per "
      "node | %% core per node | MB per node | killed median / worst ms | "
      "silent median / worst ms\n");
  std::vector<Result> results;
  for (const std::string& text : absl::GetFlag(FLAGS_sizes)) {
    int size = 0;
    if (!absl::SimpleAtoi(text, &size) || size < 1) return 2;
    Bench bench(size);
    results.push_back(bench.Run());
    Print(results.back());
  }
  if (results.size() < 2) return 0;
  std::printf(
      "slope per node: reads/s %.4f, bytes/s %.2f, %% core %.5f, MB %.4f\n",
      Slope(results, &Result::reads_per_second),
      Slope(results, &Result::bytes_per_second),
      Slope(results, &Result::cpu_percent),
      Slope(results, &Result::resident_mb));
  return 0;
}

}  // namespace
}  // namespace vanillatiller

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "fleet_bench --sizes=25,50,100,200\n"
      "Measures the control plane with real processes on loopback. -1 means "
      "that an event did not happen within 60 s.");
  absl::ParseCommandLine(argc, argv);
  return vanillatiller::Run();
}
