#include "admission/threshold_controller.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>

namespace vanillatiller {
namespace {

// Minimum share of a flow: enough calls to estimate its demand, at negligible
// cost.
constexpr double kMinShare = 1.0 / 1024;
// Weight of a window in the smoothed demand: high for a statistically
// significant change, low otherwise.
constexpr double kChangedDemandWeight = 0.6;
constexpr double kSteadyDemandWeight = 0.1;
// Significance level, in standard deviations of a Poisson count.
constexpr double kSignificance = 3.0;
// Relative differences below this are mostly estimation noise; shares follow
// them with the given weight.
constexpr double kSmallChange = 0.25;
constexpr double kSmallChangeWeight = 0.3;
// Maximum decrease and increase of a share per window, as factors.
constexpr double kShareDecrease = 0.25;
constexpr double kShareIncrease = 1.25;
constexpr double kIdleShareIncrease = 2.0;
// Below this utilization, shares rise faster.
constexpr double kIdleUtilization = 0.8;
// The capacity factor is raised only below this utilization.
constexpr double kFullUtilization = 0.97;
// Changes of the capacity factor per window. They correct persistent estimation
// errors; draining the queue uses separately reserved capacity.
constexpr double kCapacityFactorDecrease = 0.99;
constexpr double kCapacityFactorIncrease = 1.01;
// Time over which reserved capacity drains a standing queue, in seconds.
constexpr double kDrainTime = 0.3;
// Fraction of nested calls refused above which the capacity factor is lowered.
// Each such refusal wastes the work of the calling services.
constexpr double kToleratedNestedRefusals = 0.02;
// Decrease of the capacity factor per fraction of nested calls refused.
constexpr double kNestedRefusalWeight = 0.3;
constexpr double kMinCapacityFactor = 0.5;
constexpr double kMaxCapacityFactor = 1.3;
// A shorter standing queue is not overload, even if it causes a long delay at a
// backend server with few slots.
constexpr double kMinStandingQueue = 2;
// Lower bound of the demand correction.
constexpr double kMinDemandCorrection = 0.25;
constexpr uint32_t kMaxIdleWindows = 20;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Mean slot occupancy of the admitted calls, in seconds.
double MeanHoldTime(const FlowTable& flows) {
  double weighted = 0;
  double demand = 0;
  for (const Flow& flow : flows.All()) {
    const double admitted = flow.demand * flow.share;
    weighted += admitted * Seconds(flows.ServiceTimeOf(flow).MeanHoldTime());
    demand += admitted;
  }
  return demand > 0 ? weighted / demand : 0;
}

}  // namespace

void ThresholdController::OnArrival(Flow* flow, uint32_t shed_hash) {
  const uint32_t rank = RankOf(flow->priority_class);
  const auto threshold = AdmissionThreshold::AtShare(rank, flow->share);
  if (threshold.Admits(rank, shed_hash)) ++flow->arrivals;
}

AdmissionThreshold ThresholdController::ThresholdOf(const Flow& flow) const {
  if (!m_is_overloaded) return {};
  return AdmissionThreshold::AtShare(RankOf(flow.priority_class), flow.share);
}

void ThresholdController::OnTick(const WorkQueue& queue, FlowTable* flows) {
  for (Flow& flow : flows->All()) {
    const uint32_t waiting = queue.CountAtOrAbovePriority(flow.priority_class);
    flow.standing_queue = std::min(flow.standing_queue, waiting);
  }
}

void ThresholdController::OnWindow(const WindowReport& report,
                                   FlowTable* flows) {
  MeasureDemand(report, flows);
  const bool has_standing_queue = HasStandingQueue(report, *flows);
  if (has_standing_queue && !m_is_overloaded) {
    m_is_overloaded = true;
    m_capacity_factor = 1;
  }
  if (!m_is_overloaded) return;
  CorrectCapacity(report, has_standing_queue, *flows);
  UpdateShares(report, flows);
  const auto admits_all = [](const Flow& flow) { return flow.share >= 1; };
  const auto& all = flows->All();
  m_is_overloaded =
      has_standing_queue || !std::all_of(all.begin(), all.end(), admits_all);
}

void ThresholdController::MeasureDemand(const WindowReport& report,
                                        FlowTable* flows) {
  const double seconds = Seconds(report.length);
  for (Flow& flow : flows->All()) {
    flow.idle_windows = flow.arrivals > 0 ? 0 : flow.idle_windows + 1;
    const double arrivals = flow.arrivals;
    const double measured = arrivals / flow.share / seconds;
    flow.arrivals = 0;
    const double expected = flow.demand * flow.share * seconds;
    const double deviation = std::abs(arrivals - expected);
    const bool is_significant =
        deviation > kSignificance * std::sqrt(expected + 1);
    const double weight =
        is_significant ? kChangedDemandWeight : kSteadyDemandWeight;
    flow.demand += weight * (measured - flow.demand);
  }
}

bool ThresholdController::HasStandingQueue(const WindowReport& report,
                                           const FlowTable& flows) const {
  const double hold_time = MeanHoldTime(flows);
  const double delay = report.standing_queue * hold_time / report.limit;
  return report.standing_queue >= kMinStandingQueue &&
         delay > Seconds(m_target_queue_delay);
}

void ThresholdController::CorrectCapacity(const WindowReport& report,
                                          bool has_standing_queue,
                                          const FlowTable& flows) {
  const double excess =
      std::max(0.0, report.standing_queue - kMinStandingQueue);
  m_drain_slots = excess * MeanHoldTime(flows) / kDrainTime;
  const double tolerated_refusals =
      kToleratedNestedRefusals * report.nested_offered;
  if (has_standing_queue) {
    m_capacity_factor *= kCapacityFactorDecrease;
  } else if (report.nested_refused > tolerated_refusals) {
    const double refused_fraction =
        static_cast<double>(report.nested_refused) / report.nested_offered;
    m_capacity_factor *= std::max(kCapacityFactorDecrease,
                                  1 - kNestedRefusalWeight * refused_fraction);
  } else if (report.utilization < kFullUtilization) {
    m_capacity_factor *= kCapacityFactorIncrease;
  }
  m_capacity_factor =
      std::clamp(m_capacity_factor, kMinCapacityFactor, kMaxCapacityFactor);
}

double ThresholdController::DemandCorrection(const WindowReport& report,
                                             const FlowTable& flows) {
  if (report.utilization >= kIdleUtilization || report.standing_queue > 0) {
    return 1;
  }
  double expected = 0;
  for (const Flow& flow : flows.All()) {
    const double hold_time = Seconds(flows.ServiceTimeOf(flow).MeanHoldTime());
    expected += flow.demand * flow.share * hold_time;
  }
  const double held = report.utilization * report.limit;
  if (expected <= held) return 1;
  return std::max(kMinDemandCorrection, held / expected);
}

void ThresholdController::UpdateShares(const WindowReport& report,
                                       FlowTable* flows) {
  m_sorted_flows.clear();
  for (FlowIndex i = 0; i < flows->All().size(); ++i) {
    m_sorted_flows.push_back(i);
  }
  std::sort(
      m_sorted_flows.begin(), m_sorted_flows.end(),
      [flows](FlowIndex a, FlowIndex b) {
        const Flow& first = flows->At(a);
        const Flow& second = flows->At(b);
        return std::tie(first.priority_class, first.tenant, first.method) <
               std::tie(second.priority_class, second.tenant, second.method);
      });
  const double correction = DemandCorrection(report, *flows);
  m_demands.clear();
  for (const FlowIndex index : m_sorted_flows) {
    const Flow& flow = flows->At(index);
    const double hold_time = Seconds(flows->ServiceTimeOf(flow).MeanHoldTime());
    m_demands.push_back({flow.priority_class, flow.tenant,
                         flows->TenantWeight(flow.tenant),
                         flow.demand * hold_time * correction, 0});
  }
  const double capacity = report.limit * m_capacity_factor - m_drain_slots;
  AllocateShares(std::max(0.0, capacity), m_demands);
  // A class gets no capacity while a higher-priority class gets less than its
  // demand.
  bool is_capacity_exhausted = false;
  bool is_class_limited = false;
  for (size_t i = 0; i < m_sorted_flows.size(); ++i) {
    Flow& flow = flows->At(m_sorted_flows[i]);
    const ShareDemand& demand = m_demands[i];
    const bool is_new_class =
        i > 0 && m_demands[i - 1].priority_class != demand.priority_class;
    if (is_new_class) {
      is_capacity_exhausted = is_capacity_exhausted || is_class_limited;
    }
    const bool is_idle = flow.idle_windows > kMaxIdleWindows;
    double target = demand.slots > 0 ? demand.granted / demand.slots : 1;
    if (is_capacity_exhausted) target = 0;
    // Do not lower the share on estimates alone: without a standing queue,
    // calls of this class still find free slots.
    if (flow.standing_queue < kMinStandingQueue) {
      target = std::max(target, flow.share);
    }
    flow.standing_queue = UINT32_MAX;
    if (is_idle) target = 1;
    flow.share = StepShare(flow.share, target, report.utilization);
    if (flow.share < 1 && !is_idle) is_class_limited = true;
  }
}

double ThresholdController::StepShare(double share, double target,
                                      double utilization) const {
  target = std::max(target, kMinShare);
  if (target < 1 && std::abs(target - share) < kSmallChange * share) {
    return share + kSmallChangeWeight * (target - share);
  }
  if (target <= share) return std::max(target, kShareDecrease * share);
  const bool is_idle = utilization < kIdleUtilization;
  return std::min(target,
                  share * (is_idle ? kIdleShareIncrease : kShareIncrease));
}

}  // namespace vanillatiller
