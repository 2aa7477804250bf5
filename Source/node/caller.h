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

// One call to make.
struct OutgoingCall {
  // `call`, `callee_incarnation`, `not_after` and `extra_attempts` are set anew
  // for each attempt.
  const CallContext& context;
  const std::string& body;
  // Extra attempts of the active call that this one belongs to.
  std::shared_ptr<ChainBudget> budget;
  // False for a call from a backend server without a known context.
  bool known_context = true;
  CalleeKind callee = CalleeKind::kNonLeaf;
};

// The calling side of a node: picks a node of the called service, makes the
// attempts of one call, and fences those whose answer is lost.
class Caller {
 public:
  struct Parts {
    const NodeSettings& settings;
    const FleetView& view;
    IdGenerator& ids;
    PeerChannels& channels;
    PeerRouter& router;
    // Serves attempts whose chosen node is this one.
    Callee& callee;
    MetricsRegistry& metrics;
  };

  explicit Caller(const Parts& parts);

  // Makes the call and blocks until it is answered, its deadline passes or
  // `cancellation` fires. A lost answer of a non-idempotent call may take
  // kFenceGrace longer.
  CallAnswer Call(const OutgoingCall& call, Cancellation& cancellation,
                  TimePoint now);

  // Has the issuer of a ticket run a caller's request. A lost answer gives an
  // unknown outcome.
  CallAnswer Forward(const std::string& issuer, const std::string& ticket,
                     const CallContext& context, const std::string& body,
                     TimePoint now);

  // How long after its deadline the fate of a call is still asked for.
  static constexpr std::chrono::milliseconds kFenceGrace{300};

 private:
  // One attempt and how it ended.
  struct Attempt {
    PeerChoice choice;
    CallContext context;
    CallAnswer answer;
    // Set unless the answer is complete.
    FailureKind failure = FailureKind::kUnknown;
  };

  // State of one call over its attempts.
  struct Progress {
    RetryCall retry;
    // Attempts started, the ones below included.
    uint32_t attempts = 0;
    std::vector<std::string> tried;
    AttemptShare share;
  };

  void MakeAttempt(const OutgoingCall& call, Cancellation& cancellation,
                   Progress& progress, Attempt& attempt);
  // Makes one attempt and records it in the metrics of its edge.
  void RecordedAttempt(const OutgoingCall& call, Cancellation& cancellation,
                       bool is_first, Attempt& attempt);
  // What follows the attempt, after fencing it if need be.
  RetryDecision DecideNext(Cancellation& cancellation, Progress& progress,
                           Attempt& attempt);
  // Waits, picks another peer and pays for the retry; false if any fails.
  bool PrepareRetry(const OutgoingCall& call, const RetryDecision& decision,
                    Cancellation& cancellation, Progress& progress,
                    Attempt& attempt);

  void AttemptLocal(const std::string& body, Cancellation& cancellation,
                    Attempt& attempt);
  void AttemptRemote(const std::string& body, Cancellation& cancellation,
                     Attempt& attempt);
  // Sends the call. False if its answer did not arrive whole.
  bool Exchange(const v1::CallRequest& request, Cancellation& cancellation,
                OutgoingAttempt& outgoing, const CallId& call,
                CallAnswer* answer);

  // Asks for the fate of an attempt whose answer was lost and sets its answer
  // and failure accordingly.
  void Fence(Cancellation& cancellation, Attempt& attempt);
  // True if the fence settled the attempt.
  static bool ApplyFence(const v1::FenceAnswer& response, Attempt& attempt);
  // Sets the callee's incarnation and clock in `context`; asks the callee if
  // they are not known.
  bool StampClock(const std::string& address, CallContext* context);
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
  EdgeBudgets m_edges;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_CALLER_H_
