#ifndef VANILLATILLER_SOURCE_NODE_ACTIVE_CALLS_H_
#define VANILLATILLER_SOURCE_NODE_ACTIVE_CALLS_H_

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "admission/admission_threshold.h"
#include "base/base.h"
#include "node/cancellation.h"
#include "retry/retry.h"

namespace vanillatiller {

// A refusal returned to an active call by a downstream service.
struct DownstreamRefusal {
  Reason reason;
  std::string refused_by;
};

// A call that the local backend server is executing. Its downstream calls
// inherit its rank and deadline and share its retry budget.
class ActiveCall {
 public:
  ActiveCall(CallContext context, std::string token);

  const CallContext& context() const { return m_context; }
  // Identifies this call in the X-Vt-Call header of downstream requests.
  const std::string& token() const { return m_token; }
  Cancellation& cancellation() { return m_cancellation; }
  // Extra attempts shared by all downstream calls.
  const std::shared_ptr<ChainBudget>& budget() const { return m_budget; }

  // Stores the most recent downstream refusal, so that the answer can name the
  // service in which the refusal originated.
  void RecordRefusal(DownstreamRefusal refusal);
  std::optional<DownstreamRefusal> last_refusal() const;

  // Adds to the number of attempts started by downstream calls.
  void AddDownstreamAttempts(uint32_t count);
  uint32_t downstream_attempts() const;

  // Must bracket each downstream call.
  void BeginDownstream(TimePoint now);
  void EndDownstream(TimePoint now);
  // Total time of finished downstream calls; overlapping calls count once.
  Duration downstream_time() const;

  // Merges a threshold reported by a downstream service; the strictest one
  // applies.
  void RecordThreshold(uint64_t packed);
  AdmissionThreshold downstream_threshold() const;

 private:
  const CallContext m_context;
  const std::string m_token;
  const std::shared_ptr<ChainBudget> m_budget;
  Cancellation m_cancellation;
  mutable std::mutex m_mutex;
  std::optional<DownstreamRefusal> m_last_refusal;
  uint32_t m_downstream_attempts = 0;
  uint32_t m_downstream_running = 0;
  TimePoint m_downstream_start;
  Duration m_downstream_time{};
  AdmissionThreshold m_downstream_threshold;
};

// The active calls of one node, indexed by token. Thread-safe.
class ActiveCalls {
 public:
  std::shared_ptr<ActiveCall> Add(const CallContext& context,
                                  std::string token);
  // Returns null if no active call has this token.
  std::shared_ptr<ActiveCall> Find(std::string_view token) const;
  void Remove(const std::string& token);

 private:
  mutable std::mutex m_mutex;
  std::unordered_map<std::string, std::shared_ptr<ActiveCall>> m_calls;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_ACTIVE_CALLS_H_
