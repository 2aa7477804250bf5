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

// One HTTP request to a node, as its listener received it.
struct IncomingRequest {
  std::string service;
  std::string method;
  std::string body;
  // X-Vt-Tenant, X-Vt-Ticket, X-Vt-Call; empty if absent.
  std::string tenant;
  std::string ticket;
  std::string call_token;
  // X-Vt-Timeout-Ms as received; empty if absent.
  std::string timeout_ms;
  // True on the local listener, where the backend server calls.
  bool is_local = false;
  // Set if another node forwarded the request to the issuer of its ticket.
  std::optional<TimePoint> forwarded_deadline;
};

// Takes requests of callers and downstream calls of the local backend server
// through a chain of filters, the last of which makes the call.
class RequestPipeline {
 public:
  struct Parts {
    const NodeSettings& settings;
    const FleetView& view;
    IdGenerator& ids;
    ActiveCalls& active_calls;
    Caller& caller;
    MetricsRegistry& metrics;
    Incarnation incarnation;
  };

  explicit RequestPipeline(const Parts& parts);

  // Blocks until the request is answered.
  CallAnswer Handle(IncomingRequest request, TimePoint now);

  // To be called about once a second.
  void OnTick(TimePoint now) { m_thresholds.Expire(now); }

  void StartDrain() { m_draining = true; }
  // Requests of outside callers that are not answered yet.
  uint32_t in_flight() const { return m_in_flight; }

 private:
  // What the filters know of one request.
  struct Exchange {
    IncomingRequest request;
    std::shared_ptr<const FleetConfig> config;
    const MethodConfig* method = nullptr;
    // The call that this one is made for; null for an outside request.
    std::shared_ptr<ActiveCall> parent;
    CallContext context;
    CallAnswer answer;
    // Set while the request uses a ticket of this node.
    std::optional<uint64_t> ticket_sequence;
  };

  enum class Step { kNext, kAnswered };
  using Filter = Step (RequestPipeline::*)(Exchange&, TimePoint now);

  Step Identify(Exchange& exchange, TimePoint now);
  Step InheritFromParent(Exchange& exchange, TimePoint now);
  Step SetDeadline(Exchange& exchange, TimePoint now);
  // Lets a non-idempotent request of a caller run only under a ticket and only
  // at the issuer; forwards it there.
  Step CheckTicket(Exchange& exchange, TimePoint now);
  Step CheckDraining(Exchange& exchange, TimePoint now);
  Step CheckThreshold(Exchange& exchange, TimePoint now);
  Step MakeCall(Exchange& exchange, TimePoint now);

  Step Forward(Exchange& exchange, const Ticket& ticket, TimePoint now);
  bool IsPeer(const std::string& address) const;
  // Keeps the answer for repeats and gives the caller a fresh ticket.
  void FinishTicket(Exchange& exchange);

  void Record(const Exchange& exchange, Duration latency);
  Step Refuse(Exchange& exchange, RefusalCode code, std::string text);

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
