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

// Measurements of one window.
struct WindowReport {
  Duration length{};
  // Concurrency limit.
  uint32_t limit = 1;
  // Mean number of slots in use, relative to the limit.
  double utilization = 0;
  // Minimum queue length in the window, which excludes queues caused by bursts
  // (Nichols and Jacobson, "Controlling Queue Delay", 2012).
  uint32_t standing_queue = 0;
  // Nested calls offered, and those refused due to overload.
  uint32_t nested_offered = 0;
  uint32_t nested_refused = 0;
};

// Computes the admitted share of each flow.
//
// The demand of a flow is estimated from the calls within its share: as hashes
// are uniformly distributed, their number divided by the share is the total
// demand, regardless of what other nodes already refused. AllocateShares then
// allocates the slots to the flows, with a capacity corrected by the standing
// queue delay. Shares fall quickly and rise in steps.
class ThresholdController {
 public:
  explicit ThresholdController(Duration target_queue_delay)
      : m_target_queue_delay(target_queue_delay) {}

  // Counts a call towards the demand of its flow.
  void OnArrival(Flow* flow, uint32_t shed_hash);

  // Must be called at every tick; updates the standing queue of each flow.
  static void OnTick(const WorkQueue& queue, FlowTable* flows);

  void OnWindow(const WindowReport& report, FlowTable* flows);

  // Thresholds are applied only during overload.
  bool IsOverloaded() const { return m_is_overloaded; }

  AdmissionThreshold ThresholdOf(const Flow& flow) const;

 private:
  void MeasureDemand(const WindowReport& report, FlowTable* flows);
  bool HasStandingQueue(const WindowReport& report,
                        const FlowTable& flows) const;
  void CorrectCapacity(const WindowReport& report, bool has_standing_queue,
                       const FlowTable& flows);
  // Returns a factor of at most 1 for the estimated slots. If slots remain
  // unused, the service times or demands are overestimated, for example after a
  // temporary slowdown.
  static double DemandCorrection(const WindowReport& report,
                                 const FlowTable& flows);
  void UpdateShares(const WindowReport& report, FlowTable* flows);
  // Returns the next value of a share on its way to the target.
  double StepShare(double share, double target, double utilization) const;

  Duration m_target_queue_delay;
  bool m_is_overloaded = false;
  // Fraction of the limit that is allocated.
  double m_capacity_factor = 1;
  // Slots reserved for draining the standing queue.
  double m_drain_slots = 0;
  // Scratch space for UpdateShares, kept to avoid allocations.
  std::vector<ShareDemand> m_demands;
  std::vector<FlowIndex> m_sorted_flows;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ADMISSION_THRESHOLD_CONTROLLER_H_
