#ifndef VANILLATILLER_SOURCE_RELAY_FLEET_STATE_EXCHANGE_H_
#define VANILLATILLER_SOURCE_RELAY_FLEET_STATE_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "relay/event_log.h"
#include "relay/fleet_state_store.h"
#include "relay/reader_selection.h"

namespace vanillatiller {

// Connections to other nodes, as the exchange needs them.
class FleetStateTransport {
 public:
  virtual ~FleetStateTransport() = default;
  // Sends a frame, or drops it if the connection to the node is down.
  virtual void SendToNode(const SocketAddress& node,
                          const relay::Frame& frame) = 0;
  // Connects to the node if necessary. Returns true if the connection is up.
  virtual bool KeepConnected(const SocketAddress& node, TimePoint now) = 0;
  // Nodes with a connection that is up, in order.
  virtual std::vector<SocketAddress> ConnectedNodes() const = 0;
};

// Exchanges the fleet state with other nodes: takes reports of changes from
// readers of the platform, reports changes to subscribers, and asks for a
// snapshot if this node cannot read the platform or is behind a peer. Decides
// whether this node itself must read the platform. Does no I/O of its own.
class FleetStateExchange {
 public:
  using Reply = std::function<void(const relay::Frame&)>;

  FleetStateExchange(FleetNode own, uint64_t incarnation,
                     FleetStateTransport* transport, EventLog* log);

  // `store` must outlive the exchange. Without a store nothing is exchanged.
  void SetStore(FleetStateStore* store);
  relay::View View() const;

  // The listed nodes changed.
  void SetNodes(std::vector<FleetNode> nodes, TimePoint now);
  // A frame from a node that called this one; `reply` answers on the same
  // connection.
  void OnFrame(const relay::Frame& frame, const Reply& reply, TimePoint now);
  // A frame from a node that this one is connected to.
  void OnNodeFrame(const SocketAddress& node, const relay::Frame& frame,
                   TimePoint now);
  // A node reported a view; requests a snapshot if this node stays behind it.
  void OnNodeView(const SocketAddress& node, const relay::View& view,
                  TimePoint now);
  void OnConnectionLost(const SocketAddress& node, TimePoint now);
  void Tick(TimePoint now);

  // Number of nodes that take reports from this one.
  size_t CountSubscribers() const { return m_subscribers.size(); }

 private:
  // A node that reports changes to this one.
  struct Provider {
    SocketAddress node;
    TimePoint selected;
    TimePoint last_received;
    TimePoint last_subscribed;
    bool is_subscribed = false;
    // Time up to which the platform has confirmed its reports.
    TimePoint confirmed_at;
    // When it announced changes that this node does not know yet.
    std::optional<TimePoint> announced;
  };
  // A node that takes reports from this one.
  struct Subscriber {
    Reply send;
    TimePoint last_renewed;
    // Time of the last renewal on the subscriber's clock, as it says.
    Duration renewal_sent{};
    TimePoint last_sent;
    // ConfirmedAt() of the last report.
    TimePoint reported_confirmation;
    StateRevision revision;
    bool wants_changes = false;
  };
  // A peer that knows more than this node.
  struct NewerNode {
    SocketAddress node;
    relay::View view;
    TimePoint since;
  };

  void OnChanges(const FleetStateChanges& changes, TimePoint now);
  void OnSubscribe(const relay::Subscribe& subscribe, const Reply& reply,
                   TimePoint now);
  void OnFeed(const SocketAddress& node, const relay::Feed& feed,
              TimePoint now);
  void OnSnapshot(const relay::Snapshot& snapshot, TimePoint now);
  // Sends a report with the changes that the subscriber does not know yet, or
  // without them.
  void Report(Subscriber* subscriber, bool with_changes, TimePoint now);
  void SendSnapshot(const Reply& reply) const;
  void AddChanges(const StateRevision& since, relay::Feed* feed) const;
  void RememberChanges(const FleetStateChanges& changes);
  void UpdateProviders(TimePoint now);
  void RenewSubscription(Provider* provider, TimePoint now);
  void UpdateReadMode(TimePoint now);
  void RequestSnapshot(TimePoint now);
  void CheckNewerNode(TimePoint now);
  relay::Frame MakeSnapshotRequest() const;
  Provider* FindProvider(const SocketAddress& node);
  // Whether the subscription must be renewed.
  static bool IsOverdue(const Provider& provider, TimePoint now);
  static bool IsAlive(const Provider& provider, TimePoint now);
  // Whether the platform has confirmed a state recently enough for it to count
  // as current.
  static bool IsCurrent(TimePoint confirmed_at, TimePoint now);
  // Asks the platform for a confirmation if this node reads it and the last one
  // is getting old.
  void ConfirmIfDue(TimePoint now);

  // Period of snapshot requests while the platform cannot be read.
  static constexpr Duration kSnapshotRequestPeriod =
      std::chrono::milliseconds(600);
  // Usual spread of the times at which nodes learn of a change: changes are
  // batched for half a second, and a slow platform adds a quarter of a second.
  static constexpr Duration kPropagationDelay = std::chrono::milliseconds(1000);
  // Period of subscriptions, and time without one after which it has ended.
  static constexpr Duration kSubscribePeriod = std::chrono::milliseconds(1000);
  static constexpr Duration kSubscriptionLifetime = std::chrono::seconds(3);
  // Longest time between two reports, and time without one after which the
  // provider counts as failed.
  static constexpr Duration kReportPeriod = std::chrono::milliseconds(400);
  static constexpr Duration kProviderTimeout = std::chrono::milliseconds(1200);
  // Time for announced changes to arrive from the preferred provider.
  static constexpr Duration kAnnouncedWait = std::chrono::milliseconds(100);
  // Time for a provider to send its first confirmed report before this node
  // reads for itself.
  static constexpr Duration kFirstReportTime = std::chrono::milliseconds(800);
  // Time after which a state that the platform has not confirmed no longer
  // counts as current, so that a node reads the platform itself. Together with
  // that read it must stay below the time in which changes must be in force,
  // 2.5 s on the users' deployments.
  static constexpr Duration kMaxConfirmationAge =
      std::chrono::milliseconds(1600);
  // Age of the last confirmation at which the first reader asks for the next
  // one, and what each further one adds, so that usually one of them asks for
  // all. Leaves time for a slow platform and for reports over two nodes.
  static constexpr Duration kConfirmAge = std::chrono::milliseconds(700);
  static constexpr Duration kConfirmStep = std::chrono::milliseconds(200);
  static constexpr size_t kMaxConfirmSteps = 2;
  // Advance of the confirmation that is reported at once.
  static constexpr Duration kReportedAdvance = std::chrono::milliseconds(200);
  // Time without a confirmation after which a provider is replaced, if the
  // platform confirms the state to others.
  static constexpr Duration kUnconfirmedTimeout = kMaxConfirmationAge * 2;
  // Keys whose last change is remembered for subscribers.
  static constexpr size_t kMaxRecentChanges = 512;

  const uint64_t m_incarnation;
  FleetStateTransport* m_transport;
  EventLog* m_log;
  FleetStateStore* m_store = nullptr;
  ReaderSelection m_readers;
  std::vector<Provider> m_providers;
  // By incarnation.
  std::map<uint64_t, Subscriber> m_subscribers;
  // The last change of each key since m_recent_since.
  std::map<std::string, ChangedItem> m_recent;
  StateRevision m_recent_since;
  std::optional<NewerNode> m_newer_node;
  ReadMode m_mode = ReadMode::kReader;
  TimePoint m_next_snapshot_request;
  // Node that received the last snapshot request.
  SocketAddress m_last_snapshot_node;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_RELAY_FLEET_STATE_EXCHANGE_H_
