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

// Server side of a node: receives call attempts from other nodes, applies
// admission control and executes them on the local backend server.
class Callee {
 public:
  using AnswerCallback = std::function<void(CallAnswer)>;

  struct Dependencies {
    const NodeSettings& settings;
    const FleetView& view;
    IdGenerator& ids;
    ActiveCalls& active_calls;
    Incarnation incarnation;
    MetricsRegistry& metrics;
  };

  explicit Callee(const Dependencies& dependencies);
  ~Callee();

  // Handles one attempt. `done` is invoked exactly once, on any thread.
  void Handle(CallContext context, std::string body, AnswerCallback done,
              TimePoint now);

  // Resolves the outcome of an attempt whose answer was lost.
  void Fence(const v1::FenceRequest& request, TimePoint now,
             v1::FenceAnswer* response);

  // Cancels an attempt that its caller has abandoned. A non-idempotent call
  // that was already dispatched continues, so that a fence can fetch its
  // answer.
  void Cancel(const CallId& call, TimePoint now);

  // Starts refusing new calls with the outcome "not run".
  void StartDrain();
  // Refuses new calls with the outcome "not run" while the backend server is
  // leaving. Unlike a drain, this is reversible, because the backend server may
  // have been reported as leaving by mistake.
  void SetBackendLeaving(bool is_leaving) { m_backend_leaving = is_leaving; }
  bool IsLeaving() const { return m_draining || m_backend_leaving; }

  // Waits until no call is in flight. Returns false on timeout.
  bool WaitUntilIdle(std::chrono::milliseconds timeout);

  // Must be called about once per second.
  void ExpireThresholds(TimePoint now) { m_downstream_thresholds.Expire(now); }
  // Must be called every 5 to 20 ms.
  void OnTick(TimePoint now) { m_admission.OnTick(now); }

  LoadReport load() const;
  Incarnation incarnation() const { return m_incarnation; }
  AdmissionState admission_state() const { return m_admission.State(); }

 private:
  struct PendingCall {
    CallContext context;
    std::string body;
    AnswerCallback done;
    TimePoint received_at;
    WorkId work = 0;
    std::shared_ptr<ActiveCall> active;
    bool is_cancelled = false;
    // True if the call is in m_records, which requires its answer to be stored.
    bool is_recorded = false;
  };

  // Returns the reason why a call is unacceptable regardless of load, or code
  // kNone.
  Reason CheckAcceptable(const CallContext& context, TimePoint now) const;
  void Refuse(Outcome outcome, Reason reason, uint32_t unspent_attempts,
              const AnswerCallback& done) const;
  // Submits a call that is in m_pending to admission control.
  void Admit(const std::shared_ptr<PendingCall>& pending, TimePoint now);
  // Returns true if a downstream service would refuse the call.
  bool IsRefusedDownstream(const CallContext& context, TimePoint now);
  void RefuseForDownstream(const CallContext& context,
                           const AnswerCallback& done, TimePoint now);
  void OnRefused(PendingCall& pending, const struct Refuse& refuse);
  void Run(const std::shared_ptr<PendingCall>& pending);
  // Performs the final checks before dispatch. Returns nullopt if the call may
  // run.
  std::optional<CallAnswer> CheckBeforeDispatch(PendingCall& pending,
                                                TimePoint now);
  CallAnswer Execute(PendingCall& pending);
  // Reports the result of a dispatched call to admission control.
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
  AdmissionExecutor m_admission;
  CallRecords m_records;
  // Admission thresholds of downstream services. Many entry nodes send probes
  // to overloaded services; checking these thresholds here refuses most of the
  // probes before any work is spent on them.
  ShardedThresholdTable m_downstream_thresholds;

  mutable std::mutex m_mutex;
  std::condition_variable m_all_answered;
  std::unordered_map<CallId, std::shared_ptr<PendingCall>, WideIdHash>
      m_pending;
  // Calls whose answer has not been passed to the callback yet.
  size_t m_unanswered_calls = 0;
  WorkerPool m_workers;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_CALLEE_H_
