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

// Puts Admission on the request path: serializes its events, and carries out
// its actions after the lock is released. Safe to use from several threads.
class AdmissionExecutor {
 public:
  // What becomes of one call. Exactly one of the two runs, once, on any thread
  // that uses the gate. They must not block.
  struct Handlers {
    std::function<void()> dispatch;
    std::function<void(const Refuse&)> refuse;
  };

  AdmissionExecutor(const NodeSettings& settings, const FleetView& view,
                    TimePoint now);

  WorkId NextId() { return ++m_last_id; }

  // Offers a call under an identity of NextId. Its handler may run before this
  // returns.
  void Offer(WorkId id, const CallContext& context, Handlers handlers,
             TimePoint now);
  // A dispatched call ended.
  void Finish(WorkId id, const BackendResult& result, TimePoint now);
  // The caller of a queued call gave up; no effect on a dispatched one.
  void Cancel(WorkId id, TimePoint now);
  // The backend server answers again after it could not be reached.
  void OnBackendRestarted(TimePoint now);
  // Takes over a changed configuration and refuses what waited too long.
  void OnTick(TimePoint now);

  AdmissionState State() const;
  AdmissionThreshold ThresholdFor(const CallContext& context) const;

 private:
  using HandlerMap = absl::flat_hash_map<WorkId, Handlers>;

  // One action with the handlers of its call.
  struct Task {
    AdmissionAction action;
    Handlers handlers;
  };

  std::vector<Task> TakeTasks(const AdmissionActions& actions);
  static void Run(const std::vector<Task>& tasks);
  void ApplyConfig(const FleetConfig& config);
  bool IsProtected(uint32_t rank) const;

  const NodeSettings& m_settings;
  const FleetView& m_view;
  std::atomic<WorkId> m_last_id{0};

  mutable std::mutex m_mutex;
  std::unique_ptr<Admission> m_admission;
  HandlerMap m_handlers;
  // The configuration that m_admission follows.
  std::shared_ptr<const FleetConfig> m_config;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_ADMISSION_EXECUTOR_H_
