#ifndef VANILLATILLER_SOURCE_NODE_ADMISSION_EXECUTOR_H_
#define VANILLATILLER_SOURCE_NODE_ADMISSION_EXECUTOR_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "admission/admission.h"
#include "base/base.h"
#include "node/fleet_view.h"
#include "node/settings.h"

namespace vanillatiller {

// Thread-safe driver of Admission: serializes its events under a lock and
// executes the resulting actions after the lock is released.
class AdmissionExecutor {
 public:
  // Outcome callbacks of one call. Exactly one of them is invoked, once, on any
  // thread that calls into the executor. They must not block.
  struct Handlers {
    std::function<void()> dispatch;
    std::function<void(const Refuse&)> refuse;
  };

  AdmissionExecutor(const NodeSettings& settings, const FleetView& view,
                    TimePoint now);

  WorkId NextId() { return ++m_last_id; }

  // Submits a call under an ID from NextId(). Its handler may run before this
  // function returns.
  void Offer(WorkId id, const CallContext& context, Handlers handlers,
             TimePoint now);
  // Reports the end of a dispatched call.
  void Finish(WorkId id, const BackendResult& result, TimePoint now);
  // Removes a queued call whose caller cancelled it. Has no effect on a
  // dispatched call.
  void Cancel(WorkId id, TimePoint now);
  // Reports that the backend server is reachable again.
  void OnBackendRestarted(TimePoint now);
  // Applies a changed configuration and refuses calls that were queued for too
  // long.
  void OnTick(TimePoint now);

  AdmissionState State() const;
  AdmissionThreshold ThresholdFor(const CallContext& context) const;

 private:
  using HandlerMap = absl::flat_hash_map<WorkId, Handlers>;

  // An admission action with the handlers of its call.
  struct PendingAction {
    AdmissionAction action;
    Handlers handlers;
  };

  std::vector<PendingAction> TakePendingActions(
      const AdmissionActions& actions);
  static void Execute(const std::vector<PendingAction>& pending_actions);
  void ApplyConfig(const FleetConfig& config);
  bool IsProtected(uint32_t rank) const;

  const NodeSettings& m_settings;
  const FleetView& m_view;
  std::atomic<WorkId> m_last_id{0};

  mutable std::mutex m_mutex;
  std::unique_ptr<Admission> m_admission;
  HandlerMap m_handlers;
  // The configuration last applied to m_admission.
  std::shared_ptr<const FleetConfig> m_config;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_ADMISSION_EXECUTOR_H_
