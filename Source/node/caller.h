#ifndef VANILLATILLER_SOURCE_NODE_CALLER_H_
#define VANILLATILLER_SOURCE_NODE_CALLER_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "metrics/metrics.h"
#include "node/call_answer.h"
#include "node/callee.h"
#include "node/cancellation.h"
#include "node/edge_budgets.h"
#include "node/fleet_view.h"
#include "node/id_generator.h"
#include "node/peer_channels.h"
#include "node/peer_clocks.h"
#include "node/peer_router.h"
#include "node/settings.h"
#include "retry/retry.h"

namespace vanillatiller {

// Parameters of one call.
struct OutgoingCall {
  // `call`, `callee_incarnation`, `not_after` and `extra_attempts` are
  // overwritten for each attempt.
  const CallContext& context;
  const std::string& body;
  // Retry budget of the call chain that this call belongs to.
  std::shared_ptr<ChainBudget> budget;
  // False for a call of a backend server that does not identify an active call.
  bool known_context = true;
  CalleeKind callee = CalleeKind::kNonLeaf;
};

// Client side of a node: selects a node of the called service, makes the
// attempts of a call and fences attempts whose answer was lost.
class Caller {
 public:
  struct Dependencies {
    const NodeSettings& settings;
    const FleetView& view;
    IdGenerator& ids;
    PeerChannels& channels;
    PeerRouter& router;
    // Handles attempts for which this node itself is selected.
    Callee& callee;
    MetricsRegistry& metrics;
  };

  explicit Caller(const Dependencies& dependencies);

  // Makes the call and blocks until it is answered, its deadline expires or it
  // is cancelled. If the answer to a non-idempotent call is lost, this may take
  // up to kFenceGrace beyond the deadline.
  CallAnswer Call(const OutgoingCall& call, Cancellation& cancellation,
                  TimePoint now);

  // Forwards a request of an external caller to the issuer of its ticket.
  // Returns an unknown outcome if the answer is lost.
  CallAnswer Forward(const std::string& issuer, const std::string& ticket,
                     const CallContext& context, const std::string& body,
                     TimePoint now);

  // How long after the deadline of a call fence requests are still sent for it.
  static constexpr std::chrono::milliseconds kFenceGrace{300};

 private:
  // An attempt and its result.
  struct Attempt {
    PeerChoice choice;
    CallContext context;
    CallAnswer answer;
    // Set unless the answer is complete.
    FailureKind failure = FailureKind::kUnknown;
  };

  // State of a call across its attempts.
  struct Progress {
    RetryCall retry;
    // Attempts started, including those of downstream calls.
    uint32_t attempts = 0;
    std::vector<std::string> tried_vms;
    AttemptShare share;
  };

  void MakeAttempt(const OutgoingCall& call, Cancellation& cancellation,
                   Progress& progress, Attempt& attempt);
  // Makes one attempt and records it in the metrics of the call edge.
  void RunMeasuredAttempt(const OutgoingCall& call, Cancellation& cancellation,
                          bool is_first, Attempt& attempt);
  // Decides how to proceed after the attempt. Fences the attempt if required.
  RetryDecision DecideNext(Cancellation& cancellation, Progress& progress,
                           Attempt& attempt);
  // Waits for the retry delay, selects another peer and charges the retry
  // budgets. Returns false if the call must not be retried.
  bool PrepareRetry(const OutgoingCall& call, const RetryDecision& decision,
                    Cancellation& cancellation, Progress& progress,
                    Attempt& attempt);

  void AttemptLocal(const std::string& body, Cancellation& cancellation,
                    Attempt& attempt);
  void AttemptRemote(const std::string& body, Cancellation& cancellation,
                     Attempt& attempt);
  // Sends the call. Returns false if no complete answer was received.
  bool SendCall(const v1::CallRequest& request, Cancellation& cancellation,
                OutgoingAttempt& outgoing, const CallId& call,
                CallAnswer* answer);

  // Queries the callee for the outcome of an attempt whose answer was lost, and
  // updates the answer and failure of the attempt.
  void Fence(Cancellation& cancellation, Attempt& attempt);
  // Returns true if the response determines the outcome of the attempt.
  static bool ApplyFence(const v1::FenceAnswer& response, Attempt& attempt);
  // Sets the incarnation of the callee and the deadline on its clock in
  // `context`. Queries the callee if they are not known. Returns false if the
  // call must not be sent.
  bool SetCalleeClock(const std::string& address, CallContext* context);
  grpc::Status SendFence(v1::Peer::Stub& stub, const std::string& address,
                         const v1::FenceRequest& request, Duration timeout,
                         v1::FenceAnswer* response);

  const NodeSettings& m_settings;
  IdGenerator& m_ids;
  PeerChannels& m_channels;
  PeerRouter& m_router;
  Callee& m_callee;
  MetricsRegistry& m_metrics;
  const RetryPolicy m_policy;
  PeerClocks m_clocks;
  EdgeBudgets m_edge_budgets;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_CALLER_H_
