#ifndef VANILLATILLER_SOURCE_ADMISSION_THRESHOLD_CONTROLLER_H_
#define VANILLATILLER_SOURCE_ADMISSION_THRESHOLD_CONTROLLER_H_

#include <cstdint>
#include <vector>

#include "admission/admission_threshold.h"
#include "admission/flow_table.h"
#include "admission/share_planner.h"
#include "admission/work_queue.h"
#include "base/base.h"

namespace vanillatiller {

// What one measurement window showed.
struct WindowReport {
  Duration length{};
  // Slots that may be held at a time.
  uint32_t limit = 1;
  // Mean number of slots held, relative to the limit.
  double utilization = 0;
  // Smallest queue length of the window: waiting that bursts do not explain
  // (Nichols and Jacobson, "Controlling Queue Delay", 2012).
  uint32_t standing_queue = 0;
  // Nested calls that were offered, and those refused for overload.
  uint32_t nested_offered = 0;
  uint32_t nested_refused = 0;
};

// Sets the share of each flow that the admission threshold admits.
//
// It estimates the demand of every flow from the calls within its share (hashes
// are uniform, so these calls divided by the share give the whole demand, no
// matter what other nodes refused already), divides the slots by PlanShares,
// and corrects the division by the standing queue delay. Shares fall at once
// and rise by steps.
class ThresholdController {
 public:
  explicit ThresholdController(Duration target_queue_delay)
      : m_target_queue_delay(target_queue_delay) {}

  // Counts a call towards the demand of its flow.
  void OnArrival(Flow* flow, uint32_t shed_hash);

  // Notes what waits now, at every tick.
  static void OnTick(const WorkQueue& queue, FlowTable* flows);

  void OnWindow(const WindowReport& report, FlowTable* flows);

  // Thresholds are in force only while there is overload.
  bool IsOverloaded() const { return m_is_overloaded; }

  AdmissionThreshold ThresholdOf(const Flow& flow) const;

 private:
  void MeasureDemand(const WindowReport& report, FlowTable* flows);
  bool HasStandingQueue(const WindowReport& report,
                        const FlowTable& flows) const;
  void CorrectCapacity(const WindowReport& report, bool has_standing_queue,
                       const FlowTable& flows);
  // Factor of the estimated slots, at most 1: where slots stay free, the
  // service times or demands are overestimated, as after a slow spell.
  static double DemandCorrection(const WindowReport& report,
                                 const FlowTable& flows);
  void UpdateShares(const WindowReport& report, FlowTable* flows);
  // Moves a share towards its target; gives the share that is in force.
  double StepShare(double share, double target, double utilization) const;

  Duration m_target_queue_delay;
  bool m_is_overloaded = false;
  // Part of the limit that is given out.
  double m_capacity_factor = 1;
  // Slots kept back to drain the standing queue.
  double m_drain_slots = 0;
  // Demands of the present window; kept to save allocations.
  std::vector<ShareDemand> m_demands;
  std::vector<FlowIndex> m_sorted_flows;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ADMISSION_THRESHOLD_CONTROLLER_H_
