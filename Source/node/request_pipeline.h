#ifndef VANILLATILLER_SOURCE_NODE_REQUEST_PIPELINE_H_
#define VANILLATILLER_SOURCE_NODE_REQUEST_PIPELINE_H_

#include <atomic>
#include <memory>
#include <optional>
#include <string>

#include "base/base.h"
#include "metrics/metrics.h"
#include "node/active_calls.h"
#include "node/call_answer.h"
#include "node/caller.h"
#include "node/fleet_view.h"
#include "node/id_generator.h"
#include "node/settings.h"
#include "node/sharded_threshold_table.h"
#include "node/ticket_manager.h"

namespace vanillatiller {

// An HTTP request as received by a listener of the node.
struct IncomingRequest {
  std::string service;
  std::string method;
  std::string body;
  // Values of X-Vt-Tenant, X-Vt-Ticket and X-Vt-Call; empty if absent.
  std::string tenant;
  std::string ticket;
  std::string call_token;
  // Unparsed value of X-Vt-Timeout-Ms; empty if absent.
  std::string timeout_ms;
  // True if received on the local listener, which serves the backend server.
  bool is_local = false;
  // Set if another node forwarded the request to this node as the issuer of
  // its ticket.
  std::optional<TimePoint> forwarded_deadline;
};

// Processes requests of external callers and downstream calls of the local
// backend server with a chain of filters. The last filter makes the call.
class RequestPipeline {
 public:
  struct Dependencies {
    const NodeSettings& settings;
    const FleetView& view;
    IdGenerator& ids;
    ActiveCalls& active_calls;
    Caller& caller;
    MetricsRegistry& metrics;
    Incarnation incarnation;
  };

  explicit RequestPipeline(const Dependencies& dependencies);

  // Handles one request and blocks until it is answered.
  CallAnswer Handle(IncomingRequest request, TimePoint now);

  // Must be called about once per second.
  void OnTick(TimePoint now) { m_thresholds.Expire(now); }

  void StartDrain() { m_draining = true; }
  // Number of requests of external callers in progress.
  uint32_t in_flight() const { return m_in_flight; }

 private:
  // State of one request, shared by the filters.
  struct RequestState {
    IncomingRequest request;
    std::shared_ptr<const FleetConfig> config;
    const MethodConfig* method = nullptr;
    // Active call that made this request; null for an external request.
    std::shared_ptr<ActiveCall> parent;
    CallContext context;
    CallAnswer answer;
    // Set while the request holds a ticket issued by this node.
    std::optional<uint64_t> ticket_sequence;
  };

  enum class Step { kNext, kAnswered };
  using Filter = Step (RequestPipeline::*)(RequestState&, TimePoint now);

  Step ResolveMethod(RequestState& state, TimePoint now);
  Step InheritFromParent(RequestState& state, TimePoint now);
  Step SetDeadline(RequestState& state, TimePoint now);
  // Requires a ticket for a non-idempotent request of an external caller.
  // Forwards the request to the issuer if that is another node.
  Step CheckTicket(RequestState& state, TimePoint now);
  Step CheckDraining(RequestState& state, TimePoint now);
  Step CheckThreshold(RequestState& state, TimePoint now);
  Step MakeCall(RequestState& state, TimePoint now);

  Step Forward(RequestState& state, const Ticket& ticket, TimePoint now);
  bool IsPeer(const std::string& address) const;
  // Stores the answer for duplicates of the request and issues a new ticket to
  // the caller.
  void CompleteTicket(RequestState& state);

  void Record(const RequestState& state, Duration latency);
  Step Refuse(RequestState& state, RefusalCode code, std::string text);

  const NodeSettings& m_settings;
  const FleetView& m_view;
  IdGenerator& m_ids;
  ActiveCalls& m_active_calls;
  Caller& m_caller;
  TicketManager m_tickets;
  ShardedThresholdTable m_thresholds;
  MetricsRegistry& m_metrics;
  std::atomic<bool> m_draining{false};
  std::atomic<uint32_t> m_in_flight{0};
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_REQUEST_PIPELINE_H_
