#ifndef VANILLATILLER_SOURCE_RELAY_RELAY_H_
#define VANILLATILLER_SOURCE_RELAY_RELAY_H_

// Public header of the relay library, which forwards requests from callers on
// this VM to backend servers through their nodes, and returns the responses.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "eventio/eventio.h"
#include "relay/call_averages.h"         // IWYU pragma: export
#include "relay/call_executor.h"         // IWYU pragma: export
#include "relay/call_order.h"            // IWYU pragma: export
#include "relay/config_confirmation.h"   // IWYU pragma: export
#include "relay/event_log.h"             // IWYU pragma: export
#include "relay/fleet_state_exchange.h"  // IWYU pragma: export
#include "relay/fleet_state_store.h"     // IWYU pragma: export
#include "relay/peer_client.h"           // IWYU pragma: export
#include "relay/peer_server.h"           // IWYU pragma: export
#include "relay/placement.h"             // IWYU pragma: export
#include "relay/protocol_names.h"        // IWYU pragma: export
#include "relay/read_backoff.h"          // IWYU pragma: export
#include "relay/reader_selection.h"      // IWYU pragma: export
#include "relay/relay_config.h"          // IWYU pragma: export
#include "relay/relay_metrics.h"         // IWYU pragma: export
#include "relay/request_router.h"        // IWYU pragma: export
#include "relay/route_table.h"           // IWYU pragma: export
#include "relay/server_directory.h"      // IWYU pragma: export
#include "relay/server_quality.h"        // IWYU pragma: export
#include "relay/stop_plan.h"             // IWYU pragma: export

namespace vanillatiller {

// What the process may hold for others.
struct HoldingLimits {
  // Memory of all requests and answers, in bytes; see ByteBudget. The process
  // needs as much again for the message that it is copying, for its own state
  // and for what the allocator adds.
  size_t memory_bytes = size_t{128} << 20;
  // Connections of callers, and of clients of the health listener.
  HttpSessionPool::Limits callers;
  HttpSessionPool::Limits health_clients = {64, std::chrono::seconds(1)};
};

struct RelaySettings {
  std::string vm;
  std::string service;
  Locality locality;
  SocketAddress caller_listener;
  SocketAddress peer_listener;
  // Serves the health check and /metrics.
  SocketAddress health_listener;
  // The local backend server.
  SocketAddress server;
  ProtocolNames names;
  // This node's share of the retry budget of each service.
  WindowBudgetSettings retry_budget;
  // Time after Stop() at which the process is killed; the `stopped` callback
  // comes before.
  Duration stop_grace = std::chrono::seconds(6);
  uint64_t incarnation = 0;
  HoldingLimits holding;
  // Time without a sign of life after which the platform drops the record of a
  // server.
  Duration record_lifetime = std::chrono::seconds(6);
  // Time in which a change of the configuration must be in force.
  Duration config_bound = std::chrono::milliseconds(2500);
};

// The relay of one VM.
class Relay : private CallTransport,
              private PeerCallHandler,
              private FleetStateTransport {
 public:
  Relay(EventLoop* loop, const RelaySettings& settings, EventLog* log,
        TimePoint now);
  ~Relay() override;

  // Returns false and sets `reason` if a listener cannot be opened.
  bool Start(std::string* reason);
  // Shuts down gracefully, then calls `stopped`.
  void Stop(std::function<void()> stopped, TimePoint now);

  // Applies a configuration; versions that are not newer are ignored.
  void ApplyConfig(const RelayConfig& config, TimePoint now);
  // The source had no newer configuration at `at`.
  void OnConfigConfirmed(TimePoint at) { m_router.OnConfigConfirmed(at); }
  // Apply changes of the server list.
  void ApplyServer(const ServerRecord& record, TimePoint now);
  void RemoveServer(std::string_view id, const StateRevision& revision,
                    TimePoint now);
  void ApplyServers(const std::vector<ServerRecord>& list,
                    const StateRevision& revision, TimePoint now);
  // The platform is readable again after an outage, in which records may have
  // expired.
  void OnPlatformBack(TimePoint now);
  // The platform has come back from a copy of an earlier state.
  void OnPlatformRestored(TimePoint now);

  // Must be called before Start(). `store` must outlive the relay.
  void SetFleetStateStore(FleetStateStore* store) {
    m_fleet_state.SetStore(store);
    m_router.RequireConfirmation(m_settings.config_bound);
  }
  // See ServerDirectory.
  Duration RenewalLeft(TimePoint now) const {
    return m_directory.RenewalLeft(now);
  }
  void ExtendRenewal(Duration left, TimePoint now) {
    m_directory.ExtendRenewal(left, now);
  }

  uint64_t config_version() const { return m_router.config_version(); }
  RelayMetrics* metrics() { return &m_metrics; }

 private:
  class HealthHandler;

  void Call(const Candidate& server, const CallMessage& message, Done done,
            TimePoint now) override;
  void Cancel(const SocketAddress& node, uint64_t call_id,
              TimePoint now) override;

  void OnPeerCall(const PeerCallKey& key, CallMessage message,
                  TimePoint now) override;
  void OnPeerCallRefused(const PeerCallKey& key, TimePoint now) override;
  void OnAnswersDiscarded(size_t answers, TimePoint now) override;
  void OnPeerCancel(const PeerCallKey& key, TimePoint now) override;
  relay::Load Load() const override;
  relay::View View() const override;
  relay::Hello MakeHello(TimePoint now) const override;
  void OnPeerFrame(const relay::Frame& frame,
                   const std::function<void(const relay::Frame&)>& reply,
                   TimePoint now) override;

  void SendToNode(const SocketAddress& node,
                  const relay::Frame& frame) override;
  bool KeepConnected(const SocketAddress& node, TimePoint now) override;
  std::vector<SocketAddress> ConnectedNodes() const override;

  PeerClient& ClientFor(const SocketAddress& node);
  void OnServersChanged(TimePoint now);
  // What the server on this VM says of itself has changed.
  void OnOwnServerNotice(TimePoint now);
  // A node reported what its server says of itself.
  void OnServerNotice(const SocketAddress& node,
                      const relay::ServerNotice& notice, TimePoint now);
  void OnTick(TimePoint now);
  void RunPeriodicTasks(TimePoint now);
  void ContinueStop(TimePoint now);
  // The grace period is about to end: all that is open gets a final answer.
  void EndStop(TimePoint now);
  void FinishStop(bool is_idle, TimePoint now);
  std::unique_ptr<HttpSessionPool> MakeSessionPool(
      std::string_view listener, HttpRequestHandler* handler,
      std::shared_ptr<const HttpServerLimits> http_limits,
      const HttpSessionPool::Limits& limits);
  // Releases bytes that are held for a client that makes no progress; false if
  // there is none.
  bool ReclaimMemory(ByteUse use, TimePoint now);
  void UpdateMemoryMetrics();
  bool HasRoutesAndServers() const;
  bool IsReady() const;

  // Tick period of the executor while calls are queued.
  static constexpr Duration kQueueTickPeriod = std::chrono::milliseconds(20);
  // Period of all other recurring tasks.
  static constexpr Duration kTickPeriod = std::chrono::milliseconds(200);
  // Time for the last answers to be sent before the process ends.
  static constexpr Duration kFlushTime = std::chrono::milliseconds(50);

  EventLoop* m_loop;
  const RelaySettings m_settings;
  EventLog* m_log;
  RelayMetrics m_metrics;
  ServerDirectory m_directory;
  Placement m_placement;
  CallExecutor m_executor;
  PeerServer m_peer_server;
  RequestRouter m_router;
  std::unique_ptr<HealthHandler> m_health;
  std::vector<std::unique_ptr<TcpListener>> m_listeners;
  std::map<SocketAddress, std::unique_ptr<PeerClient>> m_clients;
  std::map<PeerCallKey, CallExecutor::Handle> m_peer_calls;
  std::map<uint64_t, CallExecutor::Handle> m_own_calls;
  // Shared with all connections of callers, which follow its changes.
  const std::shared_ptr<HttpServerLimits> m_caller_limits =
      std::make_shared<HttpServerLimits>();
  std::unique_ptr<HttpSessionPool> m_callers;
  std::unique_ptr<HttpSessionPool> m_health_clients;
  FleetStateExchange m_fleet_state;
  bool m_has_servers = false;
  // ID and start time of the local server as last seen.
  std::string m_server_id;
  uint64_t m_server_started_ms = 0;
  // When the listeners were opened.
  TimePoint m_started;
  std::function<void()> m_stopped;
  std::optional<StopPlan> m_stop_plan;
  TimerId m_stop_timer = 0;
  bool m_is_stop_finished = false;
  TimePoint m_next_periodic_tasks;
  TimerId m_tick_timer = 0;
  // Fires when the next server record expires.
  TimerId m_expiry_timer = 0;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_RELAY_H_
