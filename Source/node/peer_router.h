#ifndef VANILLATILLER_SOURCE_NODE_PEER_ROUTER_H_
#define VANILLATILLER_SOURCE_NODE_PEER_ROUTER_H_

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <thread>

#include "metrics/metrics.h"
#include "node/call_answer.h"
#include "node/fleet_view.h"
#include "node/id_generator.h"
#include "node/peer_channels.h"
#include "node/settings.h"
#include "routing/routing.h"

namespace vanillatiller {

// One outstanding attempt on a remote peer.
struct OutgoingAttempt {
  PeerChoice choice;
  grpc::ClientContext context;
  // Set when the attempt was cancelled because its connection was found silent
  // or its peer unreachable.
  std::atomic<bool> is_connection_lost{false};
};

// Selects peers for attempts, updates their load and health from the results,
// and replaces silent connections, which are open but deliver no data.
// Thread-safe.
class PeerRouter {
 public:
  struct Parts {
    const NodeSettings& settings;
    const FleetView& view;
    IdGenerator& ids;
    PeerChannels& channels;
    MetricsRegistry& metrics;
  };

  explicit PeerRouter(const Parts& parts);
  ~PeerRouter();

  // Starts monitoring the connections.
  void Start();
  void Stop();

  // Selects a peer for one attempt of the call. `excluded` lists the VMs that
  // were already tried. Returns nullopt and sets `reason` if there is none.
  std::optional<PeerChoice> Pick(const CallContext& context, size_t bytes,
                                 std::span<const std::string> excluded,
                                 TimePoint now, Reason* reason);

  // Updates the load and health of `peer` from the answer to an attempt.
  static void UpdatePeerState(PeerState& peer, const CallAnswer& answer,
                              TimePoint now);

  // Must be called before and after each attempt on a remote peer.
  void OnAttemptStarted(OutgoingAttempt& attempt, TimePoint now);
  void OnAttemptEnded(OutgoingAttempt& attempt, const CallAnswer& answer,
                      TimePoint now);

 private:
  std::shared_ptr<const RoutingTable> GetTable(TimePoint now);
  void RunMonitorLoop();
  void ProbeConnection(const std::string& address);
  void CancelAttempts(const std::string& address);
  // Returns the service of an outstanding attempt on this peer; empty if there
  // is none.
  std::string FindOutgoingService(const std::string& address);

  const NodeSettings& m_settings;
  const FleetView& m_view;
  IdGenerator& m_ids;
  PeerChannels& m_channels;
  MetricsRegistry& m_metrics;
  const Member m_self;

  RcuPointer<RoutingTable> m_table;
  std::mutex m_rebuild_mutex;
  // The inputs that m_table was built from.
  std::shared_ptr<const MemberList> m_built_members;
  std::shared_ptr<const FleetConfig> m_built_config;
  std::atomic<const void*> m_members_key{nullptr};
  std::atomic<const void*> m_config_key{nullptr};

  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stopping = false;
  ConnectionMonitor m_monitor;
  std::set<OutgoingAttempt*> m_outgoing;
  std::thread m_thread;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_PEER_ROUTER_H_
