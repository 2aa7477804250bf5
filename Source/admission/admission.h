#ifndef VANILLATILLER_SOURCE_ADMISSION_ADMISSION_H_
#define VANILLATILLER_SOURCE_ADMISSION_ADMISSION_H_

// Public header of the admission library, which schedules and sheds the calls
// to one backend server.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admission/admission_policy.h"     // IWYU pragma: export
#include "admission/admission_threshold.h"  // IWYU pragma: export
#include "admission/threshold_table.h"      // IWYU pragma: export
#include "admission/work.h"                 // IWYU pragma: export
#include "base/base.h"

namespace vanillatiller {

struct TenantWeight {
  std::string tenant;
  uint32_t weight = 1;
};

struct AdmissionSettings {
  AdmissionPolicy policy = AdmissionPolicy::kAdaptive;
  // Concurrent calls that the backend server declares it can handle.
  uint32_t slots = 1;
  // Maximum queue length; 0 selects twice the number of slots, at least 16.
  uint32_t queue_bound = 0;
  // Standing queue delay above which the thresholds are lowered.
  Duration target_queue_delay = std::chrono::milliseconds(5);
  // Maximum queueing time of unprotected work.
  Duration max_queue_wait = std::chrono::milliseconds(100);
  // Tenants without an entry have weight 1.
  std::vector<TenantWeight> tenant_weights;
};

// Current state, and counters since construction, for metrics and reports.
struct AdmissionState {
  uint32_t in_flight = 0;
  uint32_t queued = 0;
  uint32_t limit = 0;
  // Concurrent calls for which both the limit and the server's rate limit leave
  // room: at the rate limit, so many run on average (Little's law).
  uint32_t usable_slots = 0;
  // Calls a second that the backend server takes; nullopt if it names no limit.
  std::optional<double> rate_limit;
  // Estimated time until every call now queued has been dispatched.
  Duration drain_time{};
  bool is_overloaded = false;
  uint64_t offered = 0;
  uint64_t dispatched = 0;
  uint64_t refused_overload = 0;
  uint64_t refused_threshold = 0;
  uint64_t refused_deadline = 0;
  uint64_t refused_rate = 0;
  uint64_t cancelled = 0;
  uint64_t shed_by_backend = 0;
};

// Admission control for one backend server. Each event appends actions that the
// caller must execute. Not thread-safe: the caller holds a lock during each
// event and executes the actions after releasing it.
class Admission {
 public:
  // Validates the settings and reports all findings at once.
  class Builder {
   public:
    Builder& SetSlots(uint32_t slots);
    Builder& SetQueueBound(uint32_t calls);
    Builder& SetTargetQueueDelay(Duration delay);
    Builder& SetMaxQueueWait(Duration wait);
    Builder& SetPolicy(AdmissionPolicy policy);
    // Accepts the names that ParseAdmissionPolicy accepts.
    Builder& SetPolicyName(std::string_view name);
    Builder& AddTenant(std::string_view tenant, uint32_t weight);

    // Returns nullptr if there are findings.
    std::unique_ptr<Admission> Build(TimePoint now, Findings* findings) const;

   private:
    AdmissionSettings m_settings;
    std::string m_unknown_policy;
  };

  ~Admission();
  Admission(const Admission&) = delete;
  Admission& operator=(const Admission&) = delete;

  void Offer(const Work& work, TimePoint now, AdmissionActions* actions);

  // Reports the end of a dispatched call. Unknown IDs are ignored.
  void OnFinished(WorkId id, const BackendResult& result, TimePoint now,
                  AdmissionActions* actions);

  // Reports that the caller cancelled. A queued call is refused with
  // kCancelled; a running call keeps its slot until OnFinished.
  void OnCancelled(WorkId id, TimePoint now, AdmissionActions* actions);

  // Must be called every 5 to 20 ms.
  void OnTick(TimePoint now, AdmissionActions* actions);

  // When the rate limit lets the next queued call through; nullopt if no call
  // waits for it. OnTick() should be called then.
  std::optional<TimePoint> NextRateDispatch(TimePoint now) const;

  // Reports a restart of the backend server; the limit ramps up again.
  void OnBackendRestarted(TimePoint now);

  // Refuses all queued calls with `code`. Used when the node leaves.
  void RefuseQueued(RefusalCode code, TimePoint now, AdmissionActions* actions);

  // Apply a configuration change. Queued calls keep their order.
  void SetSlots(uint32_t slots);
  // The backend server takes so many calls a second; nullopt if it names no
  // limit. Queued calls for which that leaves no room are refused.
  void SetRateLimit(std::optional<double> rate, TimePoint now,
                    AdmissionActions* actions);
  void SetTenantWeights(const std::vector<TenantWeight>& weights);

  // Returns the threshold to send in LoadReport for calls of this rank, tenant
  // and method.
  AdmissionThreshold ThresholdFor(uint32_t rank, bool is_nested,
                                  std::string_view tenant,
                                  std::string_view method) const;

  AdmissionState State() const;

 private:
  struct Impl;

  explicit Admission(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ADMISSION_ADMISSION_H_
