#ifndef VANILLATILLER_SOURCE_NODE_NODE_H_
#define VANILLATILLER_SOURCE_NODE_NODE_H_

#include <grpcpp/grpcpp.h>

#include <memory>
#include <string>

#include "http/http.h"
#include "metrics/metrics.h"
#include "node/active_calls.h"
#include "node/callee.h"
#include "node/caller.h"
#include "node/control_plane.h"
#include "node/fleet_view.h"
#include "node/http_listener.h"
#include "node/id_generator.h"
#include "node/operator_service.h"
#include "node/peer_channels.h"
#include "node/peer_router.h"
#include "node/peer_service.h"
#include "node/request_pipeline.h"
#include "node/settings.h"
#include "node/status_report.h"
#include "node/ticker.h"

namespace vanillatiller {

// Owns and connects the components of one node.
class Node {
 public:
  explicit Node(NodeSettings settings);
  ~Node();

  // Starts the listeners, the control plane and the background threads. Returns
  // false and sets `reason` if a listener cannot bind its address or the
  // control plane cannot start.
  bool Start(Reason* reason);

  // Shuts down gracefully: refuses new work as not run, completes the work
  // in flight, then stops the listeners. Blocks until then.
  void Drain();

 private:
  void TickAdmission(TimePoint now);
  void WaitUntilIdle();
  // Metrics of what is held for clients, in the Prometheus text format.
  std::string RenderHeldBodies() const;

  const NodeSettings m_settings;
  const Incarnation m_incarnation;
  FleetView m_view;
  IdGenerator m_ids;
  std::unique_ptr<MetricsRegistry> m_metrics;
  ActiveCalls m_active_calls;
  PeerChannels m_channels;
  PeerRouter m_router;
  Callee m_callee;
  Caller m_caller;
  RequestPipeline m_entry;
  ControlPlane m_control;
  StatusReport m_report;
  MemoryBudget m_held_bodies;
  PeerService m_peer_service;
  OperatorService m_operator_service;
  HttpListener m_public_front;
  HttpListener m_local_front;
  HttpListener m_admin_front;
  std::unique_ptr<grpc::Server> m_server;
  Ticker m_admission_ticker;
  Ticker m_threshold_ticker;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_NODE_H_
