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

// A refusal somewhere below an active call.
struct DownstreamRefusal {
  Reason reason;
  std::string refused_by;
};

// A call that the local backend server is working on. Its downstream calls
// take their rank, deadline and attempts from here.
class ActiveCall {
 public:
  ActiveCall(CallContext context, std::string token);

  const CallContext& context() const { return m_context; }
  // What the backend server sends back to name this call.
  const std::string& token() const { return m_token; }
  Cancellation& cancellation() { return m_cancellation; }
  // Extra attempts that the calls below this one draw from.
  const std::shared_ptr<ChainBudget>& budget() const { return m_budget; }

  // Keeps the last refusal of a downstream call, so that the answer can name
  // the service that refused first.
  void RecordRefusal(DownstreamRefusal refusal);
  std::optional<DownstreamRefusal> last_refusal() const;

  // Counts attempts started below this call.
  void AddAttempts(uint32_t count);
  uint32_t attempts_below() const;

  // Must be called around each downstream call.
  void BeginDownstream(TimePoint now);
  void EndDownstream(TimePoint now);
  // Time of ended downstream calls; calls that run side by side count once.
  Duration downstream_time() const;

  // Keeps the strictest threshold of the services called below.
  void RecordThreshold(uint64_t packed);
  AdmissionThreshold downstream_threshold() const;

 private:
  const CallContext m_context;
  const std::string m_token;
  const std::shared_ptr<ChainBudget> m_budget;
  Cancellation m_cancellation;
  mutable std::mutex m_mutex;
  std::optional<DownstreamRefusal> m_last_refusal;
  uint32_t m_attempts_below = 0;
  uint32_t m_downstream_running = 0;
  TimePoint m_downstream_since;
  Duration m_downstream_time{};
  AdmissionThreshold m_downstream_threshold;
};

// The active calls of one node, found by token. Safe to use from several
// threads.
class ActiveCalls {
 public:
  std::shared_ptr<ActiveCall> Add(const CallContext& context,
                                  std::string token);
  // Null if no active call has this token.
  std::shared_ptr<ActiveCall> Find(std::string_view token) const;
  void Remove(const std::string& token);

 private:
  mutable std::mutex m_mutex;
  std::unordered_map<std::string, std::shared_ptr<ActiveCall>> m_calls;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_ACTIVE_CALLS_H_
