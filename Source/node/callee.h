#ifndef VANILLATILLER_SOURCE_NODE_CALLEE_H_
#define VANILLATILLER_SOURCE_NODE_CALLEE_H_

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/base.h"
#include "http/http.h"
#include "metrics/metrics.h"
#include "node/active_calls.h"
#include "node/admission_executor.h"
#include "node/backend_client.h"
#include "node/call_answer.h"
#include "node/call_records.h"
#include "node/fleet_view.h"
#include "node/id_generator.h"
#include "node/settings.h"
#include "node/sharded_threshold_table.h"

namespace vanillatiller {

// The serving side of a node: takes attempts of calls from other nodes, admits
// them, and runs them on the backend server beside it.
class Callee {
 public:
  using Done = std::function<void(CallAnswer)>;

  struct Parts {
    const NodeSettings& settings;
    const FleetView& view;
    IdGenerator& ids;
    ActiveCalls& active_calls;
    Incarnation incarnation;
    MetricsRegistry& metrics;
  };

  explicit Callee(const Parts& parts);
  ~Callee();

  // Takes one attempt. `done` is called exactly once, on any thread.
  void Handle(CallContext context, std::string body, Done done, TimePoint now);

  // Settles the fate of an attempt whose answer was lost.
  void Fence(const v1::FenceRequest& request, TimePoint now,
             v1::FenceAnswer* response);

  // Stops the work of an attempt that nobody waits for any more. A
  // non-idempotent call that was dispatched goes on, so that its answer can be
  // fetched by a fence.
  void Cancel(const CallId& call, TimePoint now);

  // Refuses new calls as not run from now on.
  void StartDrain();
  // Refuses new calls as not run while the backend server is leaving. Unlike a
  // drain this can end, since the news of it may be false.
  void SetBackendLeaving(bool is_leaving) { m_backend_leaving = is_leaving; }
  bool IsLeaving() const { return m_draining || m_backend_leaving; }

  // Waits until no call is in flight. False if `timeout` passes first.
  bool WaitUntilIdle(std::chrono::milliseconds timeout);

  // To be called about once a second.
  void ExpireThresholds(TimePoint now) { m_downstream.Expire(now); }
  // To be called every 5 to 20 ms.
  void OnTick(TimePoint now) { m_gate.OnTick(now); }

  LoadReport load() const;
  Incarnation incarnation() const { return m_incarnation; }
  AdmissionState admission_state() const { return m_gate.State(); }

 private:
  struct PendingCall {
    CallContext context;
    std::string body;
    Done done;
    TimePoint received_at;
    WorkId work = 0;
    std::shared_ptr<ActiveCall> active;
    bool is_cancelled = false;
    // True if the call is in m_records and its answer must be kept.
    bool is_recorded = false;
  };

  // Why a call cannot be taken at all; code kNone if it can.
  Reason CheckAcceptable(const CallContext& context, TimePoint now) const;
  void Refuse(Outcome outcome, Reason reason, uint32_t unspent_attempts,
              const Done& done) const;
  // Has the gate decide over a call that was entered in m_pending.
  void Admit(const std::shared_ptr<PendingCall>& pending, TimePoint now);
  // True if a service below would refuse the call.
  bool IsDoomed(const CallContext& context, TimePoint now);
  void RefuseDoomed(const CallContext& context, const Done& done,
                    TimePoint now);
  void EndRefused(PendingCall& pending, const struct Refuse& refuse);
  void Run(const std::shared_ptr<PendingCall>& pending);
  // Last checks before the dispatch; nullopt if the call may run.
  std::optional<CallAnswer> CheckBeforeDispatch(PendingCall& pending,
                                                TimePoint now);
  CallAnswer Execute(PendingCall& pending);
  // Tells the gate how a dispatched call ended.
  void ReportResult(const PendingCall& pending, const CallAnswer& answer);
  void Finish(PendingCall& pending, CallAnswer answer);

  const NodeSettings& m_settings;
  IdGenerator& m_ids;
  ActiveCalls& m_active_calls;
  const Incarnation m_incarnation;
  MetricsRegistry& m_metrics;
  BackendClient m_backend;
  std::atomic<bool> m_draining{false};
  std::atomic<bool> m_backend_leaving{false};
  std::atomic<bool> m_is_backend_unreachable{false};
  AdmissionExecutor m_gate;
  CallRecords m_records;
  // Thresholds of the services that calls of this service depend on. Many
  // entry nodes send probes; the callees refuse most of them before they cost
  // work.
  ShardedThresholdTable m_downstream;

  mutable std::mutex m_mutex;
  std::condition_variable m_idle;
  std::unordered_map<CallId, std::shared_ptr<PendingCall>, WideIdHash>
      m_pending;
  // Calls whose answer has not been handed over yet.
  size_t m_unanswered = 0;
  WorkerPool m_workers;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_CALLEE_H_
