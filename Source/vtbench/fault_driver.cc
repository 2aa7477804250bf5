#include "vtbench/fault_driver.h"

#include <signal.h>

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "httplib.h"

namespace vanillatiller {
namespace {

constexpr std::chrono::milliseconds kPollInterval{10};
constexpr std::chrono::seconds kControlTimeout{2};

struct SignalName {
  std::string_view name;
  int number;
};

constexpr SignalName kSignals[] = {
    {"STOP", SIGSTOP}, {"CONT", SIGCONT}, {"KILL", SIGKILL}, {"TERM", SIGTERM}};

int SignalNumber(std::string_view name) {
  for (const SignalName& signal : kSignals) {
    if (signal.name == name) return signal.number;
  }
  return 0;
}

}  // namespace

FaultDriver::FaultDriver(const std::vector<Fault>& faults,
                         const FleetPlan& plan, TimePoint start)
    : m_faults(faults), m_plan(plan), m_start(start) {
  std::stable_sort(m_faults.begin(), m_faults.end(),
                   [](const Fault& a, const Fault& b) { return a.at < b.at; });
  m_thread = std::thread([this] { Run(); });
}

FaultDriver::~FaultDriver() {
  m_stopping = true;
  m_thread.join();
}

void FaultDriver::Run() {
  for (const Fault& fault : m_faults) {
    while (!m_stopping && BootClock::now() < m_start + fault.at) {
      std::this_thread::sleep_for(kPollInterval);
    }
    if (m_stopping) return;
    Apply(fault);
  }
}

void FaultDriver::Apply(const Fault& fault) {
  const std::vector<PlannedProcess> processes = m_plan.Find(fault.target);
  if (processes.empty()) {
    m_failures.push_back("no process is called " + fault.target);
  }
  for (const PlannedProcess& process : processes) {
    if (!fault.post.empty()) {
      httplib::Client client("http://" + process.control_address);
      client.set_read_timeout(kControlTimeout);
      const auto answer = client.Post(fault.post, "", "text/plain");
      if (answer && answer->status == 200) continue;
      m_failures.push_back(
          absl::StrCat(process.name, " ", fault.post, ": ",
                       answer ? absl::StrCat("status ", answer->status)
                              : httplib::to_string(answer.error())));
      continue;
    }
    const int number = SignalNumber(fault.signal);
    if (process.pid <= 1 || number == 0 || kill(process.pid, number) != 0) {
      m_failures.push_back(absl::StrCat(process.name, ": signal ", fault.signal,
                                        " was not delivered"));
    }
  }
}

}  // namespace vanillatiller
