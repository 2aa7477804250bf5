#ifndef VANILLATILLER_SOURCE_VTBENCH_FAULT_DRIVER_H_
#define VANILLATILLER_SOURCE_VTBENCH_FAULT_DRIVER_H_

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "vtbench/experiment.h"
#include "vtbench/fleet_plan.h"

namespace vanillatiller {

// Applies the fault schedule of an experiment to a running fleet.
class FaultDriver {
 public:
  FaultDriver(const std::vector<Fault>& faults, const FleetPlan& plan,
              TimePoint start);
  // Skips the faults that are still to come.
  ~FaultDriver();
  FaultDriver(const FaultDriver&) = delete;
  FaultDriver& operator=(const FaultDriver&) = delete;

  // Faults that could not be applied, such as a control path that answered
  // with an error. To be read after the last phase.
  std::vector<std::string> Failures() const { return m_failures; }

 private:
  void Run();
  void Apply(const Fault& fault);

  std::vector<Fault> m_faults;
  const FleetPlan& m_plan;
  TimePoint m_start;
  std::vector<std::string> m_failures;
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTBENCH_FAULT_DRIVER_H_
