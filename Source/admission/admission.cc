#include "admission/admission.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "admission/concurrency_limit.h"
#include "admission/flow_table.h"
#include "admission/rate_limit.h"
#include "admission/saturation_limit.h"
#include "admission/threshold_controller.h"
#include "admission/work_queue.h"

namespace vanillatiller {
namespace {

constexpr Duration kMeasurementWindow = std::chrono::milliseconds(100);
// Ticks arrive every few milliseconds; a longer gap between events means that
// the process was suspended.
constexpr Duration kMaxEventGap = std::chrono::milliseconds(500);
constexpr uint32_t kMinQueueBound = 16;
// Bounds of the queueing time of calls that wait for the server's rate limit.
// What does not fit soon is refused, so that it can go to another server. In
// between, a call waits for the next one that the server takes, which then goes
// to the most urgent call.
constexpr Duration kMinRateWait = std::chrono::milliseconds(150);
constexpr Duration kMaxRateWait = std::chrono::milliseconds(500);
// Weight of a window in the mean slot occupancy that is reported.
constexpr double kHoldTimeWeight = 0.1;
// A call that can start immediately is refused if its remaining time is below
// this fraction of the mean service time.
constexpr double kMinServiceTimeFraction = 0.5;
constexpr uint32_t kUnlimited = UINT32_MAX;
constexpr uint32_t kMaxSlots = 1'000'000;

// Mechanisms that each policy enables.
struct PolicyTraits {
  bool has_limit = true;
  bool is_adaptive = true;
  bool is_ranked = true;
};

PolicyTraits TraitsOf(AdmissionPolicy policy) {
  switch (policy) {
    case AdmissionPolicy::kFixed:
      return {true, false, false};
    case AdmissionPolicy::kNone:
      return {false, false, false};
    case AdmissionPolicy::kRanked:
      return {true, false, true};
    case AdmissionPolicy::kAdaptive:
      break;
  }
  return {};
}

struct RunningCall {
  TimePoint dispatched;
  FlowIndex flow = 0;
};

}  // namespace

std::optional<AdmissionPolicy> ParseAdmissionPolicy(std::string_view name) {
  if (name == "adaptive") return AdmissionPolicy::kAdaptive;
  if (name == "fixed") return AdmissionPolicy::kFixed;
  if (name == "none") return AdmissionPolicy::kNone;
  if (name == "ranked") return AdmissionPolicy::kRanked;
  return std::nullopt;
}

struct Admission::Impl {
  Impl(const AdmissionSettings& initial_settings, TimePoint now)
      : settings(initial_settings),
        traits(TraitsOf(initial_settings.policy)),
        limit(initial_settings.slots),
        saturation_limit(initial_settings.slots),
        thresholds(initial_settings.target_queue_delay),
        last_event(now),
        window_start(now),
        samples_valid_from(now) {
    for (const TenantWeight& item : initial_settings.tenant_weights) {
      flows.SetTenantWeight(item.tenant, item.weight);
    }
  }

  uint32_t Limit() const;
  uint32_t QueueBound() const;
  uint32_t InFlight() const { return static_cast<uint32_t>(running.size()); }
  // Whether a call may be sent to the server now.
  bool CanDispatch(TimePoint now) const {
    return InFlight() < Limit() && rate_limit.Allows(now);
  }
  // Why a call that cannot be queued is refused.
  RefusalCode QueueRefusal(TimePoint now) const {
    return rate_limit.Allows(now) ? RefusalCode::kOverload
                                  : RefusalCode::kRateLimited;
  }
  uint32_t UsableSlots() const;

  void AdvanceTime(TimePoint now);
  void EndWindow(TimePoint now);
  void BeginWindow(TimePoint now);
  void RecordHoldTime(Duration mean);
  FlowIndex FlowFor(const Work& work);
  QueuedWork MakeQueuedWork(const Work& work, FlowIndex flow, TimePoint now);
  FlowParameters ParametersOf(const Flow& flow) const;
  RefusalCode CheckOffer(const Work& work, const QueuedWork& queued,
                         TimePoint now);
  RefusalCode CheckDeadline(const Work& work, const QueuedWork& queued,
                            TimePoint now) const;
  void Enqueue(const QueuedWork& queued, TimePoint now,
               AdmissionActions* actions);
  void StartCall(const QueuedWork& queued, TimePoint now,
                 AdmissionActions* actions);
  void Reject(const QueuedWork& queued, RefusalCode code, TimePoint now,
              AdmissionActions* actions);
  void RefuseExpired(TimePoint now, AdmissionActions* actions);
  void RefuseExcess(TimePoint now, AdmissionActions* actions);
  void DispatchQueued(TimePoint now, AdmissionActions* actions);
  void RecordResult(const RunningCall& call, const BackendResult& result,
                    TimePoint now);
  void CountRefusal(RefusalCode code);

  AdmissionSettings settings;
  PolicyTraits traits;
  ConcurrencyLimit limit;
  SaturationLimit saturation_limit;
  RateLimit rate_limit;
  FlowTable flows;
  WorkQueue queue;
  ThresholdController thresholds;
  absl::flat_hash_map<WorkId, RunningCall> running;
  AdmissionState counters;
  uint64_t sequence = 0;
  TimePoint last_event;
  // Measurement window.
  TimePoint window_start;
  // Integral of the slots in use over the window, in slot-seconds.
  double slot_seconds = 0;
  uint32_t min_queue_length = 0;
  // Calls that ended in the window, without those shed by the backend server.
  uint32_t finished = 0;
  Duration total_hold_time{};
  // Mean slot occupancy of such calls, from the last window that had any.
  Duration mean_hold_time{};
  // The same, averaged over windows.
  Duration average_hold_time{};
  bool was_limit_reached = false;
  uint32_t nested_offered = 0;
  uint32_t nested_refused = 0;
  // Calls dispatched before this time are not measured, because the process was
  // suspended while they ran.
  TimePoint samples_valid_from;
};

uint32_t Admission::Impl::Limit() const {
  if (!traits.has_limit) return kUnlimited;
  if (traits.is_adaptive) return limit.Current();
  return traits.is_ranked ? saturation_limit.Current() : settings.slots;
}

uint32_t Admission::Impl::QueueBound() const {
  const uint32_t bound = settings.queue_bound > 0
                             ? settings.queue_bound
                             : std::max(2 * settings.slots, kMinQueueBound);
  return std::min(bound, rate_limit.CallsIn(kMinRateWait).value_or(bound));
}

uint32_t Admission::Impl::UsableSlots() const {
  const uint32_t limit = Limit();
  return std::min(limit, rate_limit.CallsIn(average_hold_time).value_or(limit));
}

void Admission::Impl::AdvanceTime(TimePoint now) {
  const Duration elapsed = now - last_event;
  if (elapsed <= Duration::zero()) return;
  last_event = now;
  if (elapsed > kMaxEventGap) {
    samples_valid_from = now;
    BeginWindow(now);
    was_limit_reached = false;
    return;
  }
  slot_seconds += std::chrono::duration<double>(elapsed).count() * InFlight();
  if (now - window_start >= kMeasurementWindow) EndWindow(now);
}

void Admission::Impl::EndWindow(TimePoint now) {
  const Duration length = now - window_start;
  const double seconds = std::chrono::duration<double>(length).count();
  WindowReport report;
  report.length = length;
  report.limit = Limit();
  report.utilization = slot_seconds / seconds / report.limit;
  report.standing_queue = min_queue_length;
  report.nested_offered = nested_offered;
  report.nested_refused = nested_refused;
  nested_offered = 0;
  nested_refused = 0;
  if (traits.is_adaptive) {
    limit.OnWindow(was_limit_reached, now);
    thresholds.OnWindow(report, &flows);
  }
  if (finished > 0) RecordHoldTime(total_hold_time / finished);
  if (traits.is_ranked && !traits.is_adaptive) {
    // Calls that wait for the rate limit say nothing about the slots.
    const bool was_saturated = min_queue_length > 0 && !rate_limit.rate();
    saturation_limit.OnWindow(was_saturated, finished, length, mean_hold_time);
  }
  for (ServiceTimeEstimator& item : flows.ServiceTimes()) {
    item.OnWindow(was_limit_reached);
  }
  BeginWindow(now);
  was_limit_reached = !queue.empty();
}

void Admission::Impl::RecordHoldTime(Duration mean) {
  mean_hold_time = mean;
  const bool is_first = average_hold_time == Duration::zero();
  average_hold_time =
      is_first ? mean
               : average_hold_time +
                     std::chrono::duration_cast<Duration>(
                         kHoldTimeWeight * (mean - average_hold_time));
}

void Admission::Impl::BeginWindow(TimePoint now) {
  window_start = now;
  slot_seconds = 0;
  min_queue_length = queue.size();
  finished = 0;
  total_hold_time = {};
}

FlowIndex Admission::Impl::FlowFor(const Work& work) {
  if (!traits.is_ranked) return flows.Intern(0, {}, {});
  return flows.Intern(PriorityClass(work.rank, work.is_nested), work.tenant,
                      work.method);
}

QueuedWork Admission::Impl::MakeQueuedWork(const Work& work, FlowIndex flow,
                                           TimePoint now) {
  ++sequence;
  QueuedWork queued;
  queued.id = work.id;
  queued.offered = now;
  queued.flow = flow;
  queued.priority_class = flows.At(flow).priority_class;
  queued.expires = work.deadline;
  queued.position = sequence;
  if (!traits.is_ranked) return queued;
  // Calls with equal hashes are served in order of arrival.
  queued.position =
      (uint64_t{work.shed_hash} << 32) | static_cast<uint32_t>(sequence);
  queued.expires -= flows.ServiceTimeOf(flows.At(flow)).MeanHoldTime();
  const RefusalCode refusal = QueueRefusal(now);
  const bool waits_for_rate = refusal == RefusalCode::kRateLimited;
  Duration max_wait = settings.max_queue_wait;
  if (waits_for_rate) {
    max_wait = std::min(max_wait, std::clamp(2 * rate_limit.TimeFor(1, now),
                                             kMinRateWait, kMaxRateWait));
  }
  if ((!work.is_protected || waits_for_rate) &&
      now + max_wait < queued.expires) {
    queued.expires = now + max_wait;
    queued.expiry_code = refusal;
  }
  return queued;
}

FlowParameters Admission::Impl::ParametersOf(const Flow& flow) const {
  const Duration hold_time = flows.ServiceTimeOf(flow).MeanHoldTime();
  return {flow.tenant, flows.TenantWeight(flow.tenant),
          std::chrono::duration<double>(hold_time).count()};
}

// Compares the deadline with the minimum queueing time plus the service time.
RefusalCode Admission::Impl::CheckDeadline(const Work& work,
                                           const QueuedWork& queued,
                                           TimePoint now) const {
  if (work.deadline <= now) return RefusalCode::kDeadlineExceeded;
  if (!traits.is_ranked) return RefusalCode::kNone;
  const Duration hold_time =
      flows.ServiceTimeOf(flows.At(queued.flow)).MeanHoldTime();
  const Duration time_left = work.deadline - now;
  if (queue.empty() && CanDispatch(now)) {
    // The service time is a mean, so many calls take less, and no other call is
    // waiting for the slot.
    const auto least = std::chrono::duration_cast<Duration>(
        hold_time * kMinServiceTimeFraction);
    return least <= time_left ? RefusalCode::kNone
                              : RefusalCode::kDeadlineExceeded;
  }
  const uint32_t ahead =
      queue.CountAhead(queued.priority_class, queued.flow, queued.position);
  const Duration wait = hold_time * (ahead / Limit());
  if (wait + hold_time > time_left) return RefusalCode::kDeadlineExceeded;
  const bool fits_rate =
      rate_limit.TimeFor(ahead + 1, now) + hold_time <= time_left;
  return fits_rate ? RefusalCode::kNone : RefusalCode::kRateLimited;
}

RefusalCode Admission::Impl::CheckOffer(const Work& work,
                                        const QueuedWork& queued,
                                        TimePoint now) {
  Flow& flow = flows.At(queued.flow);
  if (work.is_nested) ++nested_offered;
  if (traits.is_ranked) thresholds.OnArrival(&flow, work.shed_hash);
  const RefusalCode code = CheckDeadline(work, queued, now);
  if (code == RefusalCode::kDeadlineExceeded) {
    flows.ServiceTimeOf(flow).RecordRefusal();
  }
  if (code != RefusalCode::kNone) return code;
  if (!traits.is_ranked) return RefusalCode::kNone;
  // Thresholds do not apply while slots are free.
  if (queue.empty() && CanDispatch(now)) return RefusalCode::kNone;
  // Queued calls of lower priority are shed first (P2).
  if (queue.HasLowerPriority(flow.priority_class)) return RefusalCode::kNone;
  if (!thresholds.ThresholdOf(flow).Admits(work.rank, work.shed_hash)) {
    return RefusalCode::kBelowThreshold;
  }
  return RefusalCode::kNone;
}

void Admission::Impl::Enqueue(const QueuedWork& queued, TimePoint now,
                              AdmissionActions* actions) {
  RefuseExpired(now, actions);
  if (queue.empty() && CanDispatch(now)) {
    return StartCall(queued, now, actions);
  }
  was_limit_reached = true;
  queue.Insert(queued, ParametersOf(flows.At(queued.flow)));
  DispatchQueued(now, actions);
  RefuseExcess(now, actions);
}

void Admission::Impl::RefuseExcess(TimePoint now, AdmissionActions* actions) {
  while (queue.size() > QueueBound()) {
    Reject(*queue.PopLast(), QueueRefusal(now), now, actions);
  }
}

void Admission::Impl::StartCall(const QueuedWork& queued, TimePoint now,
                                AdmissionActions* actions) {
  running[queued.id] = {now, queued.flow};
  rate_limit.OnSent(now);
  ++counters.dispatched;
  actions->push_back(Dispatch{queued.id, now - queued.offered});
}

void Admission::Impl::Reject(const QueuedWork& queued, RefusalCode code,
                             TimePoint now, AdmissionActions* actions) {
  CountRefusal(code);
  const bool is_nested = IsNested(flows.At(queued.flow).priority_class);
  if (is_nested && code == RefusalCode::kOverload) ++nested_refused;
  const auto threshold = thresholds.ThresholdOf(flows.At(queued.flow));
  actions->push_back(Refuse{queued.id, code, threshold, now - queued.offered});
}

void Admission::Impl::CountRefusal(RefusalCode code) {
  switch (code) {
    case RefusalCode::kBelowThreshold:
      ++counters.refused_threshold;
      break;
    case RefusalCode::kDeadlineExceeded:
      ++counters.refused_deadline;
      break;
    case RefusalCode::kCancelled:
      ++counters.cancelled;
      break;
    case RefusalCode::kRateLimited:
      ++counters.refused_rate;
      break;
    default:
      ++counters.refused_overload;
      break;
  }
}

void Admission::Impl::RefuseExpired(TimePoint now, AdmissionActions* actions) {
  while (const auto expired = queue.PopExpired(now)) {
    Reject(*expired, expired->expiry_code, now, actions);
  }
}

void Admission::Impl::DispatchQueued(TimePoint now, AdmissionActions* actions) {
  while (CanDispatch(now)) {
    const auto next = queue.PopFirst();
    if (!next) break;
    StartCall(*next, now, actions);
  }
  min_queue_length = std::min(min_queue_length, queue.size());
}

void Admission::Impl::RecordResult(const RunningCall& call,
                                   const BackendResult& result, TimePoint now) {
  if (result.outcome == BackendOutcome::kShed) {
    ++counters.shed_by_backend;
    // The shed call has already been removed from `running`.
    limit.OnShed(InFlight() + 1, call.dispatched, now);
    return;
  }
  if (call.dispatched < samples_valid_from) return;
  const Duration hold_time = now - call.dispatched;
  ++finished;
  total_hold_time += hold_time;
  ServiceTimeEstimator& estimate = flows.ServiceTimeOf(flows.At(call.flow));
  if (result.outcome == BackendOutcome::kFailed) {
    estimate.AddLowerBound(hold_time);
    return;
  }
  estimate.Add(hold_time, result.latency);
  limit.OnLatency(estimate.Slowdown(result.latency), call.dispatched, now);
}

Admission::Builder& Admission::Builder::SetSlots(uint32_t slots) {
  m_settings.slots = slots;
  return *this;
}

Admission::Builder& Admission::Builder::SetQueueBound(uint32_t calls) {
  m_settings.queue_bound = calls;
  return *this;
}

Admission::Builder& Admission::Builder::SetTargetQueueDelay(Duration delay) {
  m_settings.target_queue_delay = delay;
  return *this;
}

Admission::Builder& Admission::Builder::SetMaxQueueWait(Duration wait) {
  m_settings.max_queue_wait = wait;
  return *this;
}

Admission::Builder& Admission::Builder::SetPolicy(AdmissionPolicy policy) {
  m_settings.policy = policy;
  return *this;
}

Admission::Builder& Admission::Builder::SetPolicyName(std::string_view name) {
  const auto policy = ParseAdmissionPolicy(name);
  if (policy) {
    m_settings.policy = *policy;
  } else {
    m_unknown_policy = name;
  }
  return *this;
}

Admission::Builder& Admission::Builder::AddTenant(std::string_view tenant,
                                                  uint32_t weight) {
  m_settings.tenant_weights.push_back({std::string(tenant), weight});
  return *this;
}

std::unique_ptr<Admission> Admission::Builder::Build(TimePoint now,
                                                     Findings* findings) const {
  const size_t before = findings->size();
  const auto report = [findings](std::string text) {
    findings->push_back({"admission", 0, 0, std::move(text)});
  };
  if (m_settings.slots == 0 || m_settings.slots > kMaxSlots) {
    report(absl::StrCat("slots must be from 1 to ", kMaxSlots, ", not ",
                        m_settings.slots));
  }
  if (m_settings.target_queue_delay <= Duration::zero()) {
    report("the target queue delay must be above zero");
  }
  if (m_settings.max_queue_wait < m_settings.target_queue_delay) {
    report("the maximum queue wait must not be below the target queue delay");
  }
  if (!m_unknown_policy.empty()) {
    report(absl::StrCat("unknown policy \"", m_unknown_policy,
                        "\"; expected adaptive, fixed, none or ranked"));
  }
  for (const TenantWeight& item : m_settings.tenant_weights) {
    if (item.weight > 0) continue;
    report(absl::StrCat("the weight of tenant \"", item.tenant,
                        "\" must be above zero"));
  }
  if (findings->size() > before) return nullptr;
  return std::unique_ptr<Admission>(
      new Admission(std::make_unique<Impl>(m_settings, now)));
}

Admission::Admission(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Admission::~Admission() = default;

void Admission::Offer(const Work& work, TimePoint now,
                      AdmissionActions* actions) {
  Impl& impl = *m_impl;
  impl.AdvanceTime(now);
  ++impl.counters.offered;
  if (impl.queue.Contains(work.id) || impl.running.contains(work.id)) {
    ++impl.counters.refused_overload;
    actions->push_back(Refuse{work.id, RefusalCode::kDuplicateCall, {}, {}});
    return;
  }
  const QueuedWork queued = impl.MakeQueuedWork(work, impl.FlowFor(work), now);
  const RefusalCode code = impl.CheckOffer(work, queued, now);
  if (code != RefusalCode::kNone) {
    return impl.Reject(queued, code, now, actions);
  }
  impl.Enqueue(queued, now, actions);
}

void Admission::OnFinished(WorkId id, const BackendResult& result,
                           TimePoint now, AdmissionActions* actions) {
  Impl& impl = *m_impl;
  impl.AdvanceTime(now);
  const auto found = impl.running.find(id);
  if (found == impl.running.end()) return;
  const RunningCall call = found->second;
  impl.running.erase(found);
  impl.RecordResult(call, result, now);
  impl.RefuseExpired(now, actions);
  impl.DispatchQueued(now, actions);
}

void Admission::OnCancelled(WorkId id, TimePoint now,
                            AdmissionActions* actions) {
  Impl& impl = *m_impl;
  impl.AdvanceTime(now);
  const auto removed = impl.queue.Remove(id);
  if (!removed) return;
  impl.Reject(*removed, RefusalCode::kCancelled, now, actions);
  impl.min_queue_length = std::min(impl.min_queue_length, impl.queue.size());
}

void Admission::OnTick(TimePoint now, AdmissionActions* actions) {
  Impl& impl = *m_impl;
  impl.AdvanceTime(now);
  impl.RefuseExpired(now, actions);
  impl.DispatchQueued(now, actions);
  ThresholdController::OnTick(impl.queue, &impl.flows);
}

std::optional<TimePoint> Admission::NextRateDispatch(TimePoint now) const {
  if (m_impl->queue.empty() || m_impl->rate_limit.Allows(now)) {
    return std::nullopt;
  }
  return now + m_impl->rate_limit.TimeFor(1, now);
}

void Admission::OnBackendRestarted(TimePoint now) {
  m_impl->limit.BeginColdStart(now);
}

void Admission::RefuseQueued(RefusalCode code, TimePoint now,
                             AdmissionActions* actions) {
  while (const auto next = m_impl->queue.PopFirst()) {
    m_impl->Reject(*next, code, now, actions);
  }
}

void Admission::SetSlots(uint32_t slots) {
  m_impl->settings.slots = std::clamp(slots, 1U, kMaxSlots);
  m_impl->limit.SetSlots(m_impl->settings.slots);
  m_impl->saturation_limit.SetSlots(m_impl->settings.slots);
}

void Admission::SetRateLimit(std::optional<double> rate, TimePoint now,
                             AdmissionActions* actions) {
  Impl& impl = *m_impl;
  impl.AdvanceTime(now);
  impl.rate_limit.Set(rate, now);
  impl.DispatchQueued(now, actions);
  impl.RefuseExcess(now, actions);
}

void Admission::SetTenantWeights(const std::vector<TenantWeight>& weights) {
  for (const TenantWeight& item : weights) {
    m_impl->flows.SetTenantWeight(item.tenant, item.weight);
  }
}

AdmissionThreshold Admission::ThresholdFor(uint32_t rank, bool is_nested,
                                           std::string_view tenant,
                                           std::string_view method) const {
  const Flow* flow =
      m_impl->flows.Find(PriorityClass(rank, is_nested), tenant, method);
  if (flow == nullptr) return {};
  return m_impl->thresholds.ThresholdOf(*flow);
}

AdmissionState Admission::State() const {
  AdmissionState state = m_impl->counters;
  state.in_flight = m_impl->InFlight();
  state.queued = m_impl->queue.size();
  state.limit = m_impl->Limit();
  state.usable_slots = m_impl->UsableSlots();
  state.rate_limit = m_impl->rate_limit.rate();
  state.drain_time =
      std::max(m_impl->mean_hold_time * state.queued / state.limit,
               m_impl->rate_limit.TimeFor(state.queued, m_impl->last_event));
  state.is_overloaded = m_impl->thresholds.IsOverloaded();
  return state;
}

}  // namespace vanillatiller
