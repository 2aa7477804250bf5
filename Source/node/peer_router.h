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

// One attempt on its way to a peer.
struct OutgoingAttempt {
  PeerChoice choice;
  grpc::ClientContext context;
  // Set when the connection was found silent and the attempt was given up.
  std::atomic<bool> is_lost{false};
};

// Picks peers for attempts, learns from how the attempts end, and replaces
// silent connections. Safe to use from several threads.
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

  // Starts to watch connections.
  void Start();
  void Stop();

  // A peer for one attempt of `context`; nullopt with a reason if there is
  // none. `excluded` are VMs that were tried already.
  std::optional<PeerChoice> Pick(const CallContext& context, size_t bytes,
                                 std::span<const std::string> excluded,
                                 TimePoint now, Reason* reason);

  // Keeps what an answer tells of the peer's load and health.
  static void Learn(PeerState& peer, const CallAnswer& answer, TimePoint now);

  // Must be called around each attempt on a remote peer.
  void Begin(OutgoingAttempt& attempt, TimePoint now);
  void End(OutgoingAttempt& attempt, const CallAnswer& answer, TimePoint now);

 private:
  std::shared_ptr<const RoutingTable> Table(TimePoint now);
  void Run();
  void Probe(const std::string& address);
  void GiveUpAttempts(const std::string& address);
  // Service of an attempt that waits for this peer; empty if there is none.
  std::string ServiceAt(const std::string& address);

  const NodeSettings& m_settings;
  const FleetView& m_view;
  IdGenerator& m_ids;
  PeerChannels& m_channels;
  MetricsRegistry& m_metrics;
  const Member m_self;

  RcuPointer<RoutingTable> m_table;
  std::mutex m_rebuild_mutex;
  // The tables that m_table was built from.
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
