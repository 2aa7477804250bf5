#ifndef VANILLATILLER_SOURCE_NODE_CONTROL_PLANE_H_
#define VANILLATILLER_SOURCE_NODE_CONTROL_PLANE_H_

#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "base/base.h"
#include "membership/membership.h"
#include "node/fleet_view.h"
#include "node/peer_channels.h"
#include "node/platform_client.h"
#include "node/settings.h"
#include "peer.grpc.pb.h"
#include "spread/spread.h"

namespace vanillatiller {

// State of the control plane, for status reports.
struct ControlStatus {
  ConfigStamp config;
  bool confirmed = false;
  std::optional<ReportConflict> conflict;
  bool is_config_reader = false;
  bool is_membership_relay = false;
  bool is_in_self_preservation = false;
  bool is_superseded = false;
  bool backend_healthy = true;
  MembershipCounters membership;
  SpreadCounters spread;
  // The complete member table, including failed members.
  MemberList members;
};

// Runs Membership and ConfigSpread, which decide but do no I/O: performs their
// actions over gRPC and HTTP, passes the results back to them, and publishes
// the member list and the configuration to the FleetView.
//
// One mutex protects both. While it is held, RPCs are only started and no HTTP
// request is made. One thread runs the ticks and publishes, one long-polls the
// configuration service, and one polls the VM list and the health of the
// backend server.
class ControlPlane {
 public:
  struct Parts {
    const NodeSettings& settings;
    FleetView& view;
    Incarnation incarnation;
    std::shared_ptr<grpc::ChannelCredentials> credentials;
    std::shared_ptr<const DeltaCodec> codec;
    std::shared_ptr<const ConfigValidator> validator;
  };

  explicit ControlPlane(const Parts& parts);
  ~ControlPlane();

  // Starts the threads. Returns false and sets `reason` if the settings do not
  // describe a valid member.
  bool Start(Reason* reason);
  // Joins the threads and waits for outstanding RPCs. Idempotent.
  void Stop();

  // Marks this node as leaving and announces it to the peers.
  void AnnounceLeaving();

  // True once the VM list, a peer or the backend server has reported this node
  // as leaving.
  bool IsLeaving() const;

  // Handlers for RPCs from other nodes.
  void Exchange(const v1::ExchangeRequest& request, v1::ExchangeAnswer* answer);
  void FetchConfig(const v1::FetchConfigRequest& request,
                   v1::FetchConfigAnswer* answer);
  // Calls `done` exactly once, on any thread. `answer` must stay valid until
  // then.
  void IndirectProbe(const v1::IndirectProbeRequest& request,
                     v1::IndirectProbeAnswer* answer,
                     std::function<void()> done);

  ControlStatus status() const;
  // Returns the value that the request path uses; nullptr if there is none.
  std::shared_ptr<const ConfigValue> config_value() const;

 private:
  void RunTickLoop();
  void RunConfigWatchLoop();
  void RunPollLoop();
  bool WaitUntil(TimePoint time);
  void Publish();
  void LogMemberChanges(const MemberList& before, const MemberList& after);

  // These require m_mutex to be held. The RPCs that they start never run their
  // callbacks on the calling thread, where locking m_mutex would deadlock.
  void Perform(MembershipActions actions, TimePoint now);
  void Perform(const SpreadActions& actions);
  void Send(const SendProbe& probe);
  void Send(const SendIndirectProbe& probe);
  void Send(const FetchFromPeer& fetch);
  std::shared_ptr<v1::Peer::Stub> GetStub(const std::string& address);
  void CloseIdleChannels(TimePoint now);
  void ProcessPeerConfigVersion(const std::string& vm,
                                const v1::ConfigVersion& config, TimePoint now);
  void SetConfigVersion(v1::ConfigVersion* message) const;

  void OnProbeFinished(uint64_t probe_id, const grpc::Status& status,
                       const v1::ExchangeAnswer& answer);
  void OnFetchFinished(const std::string& vm, const grpc::Status& status,
                       const v1::FetchConfigAnswer& answer);
  void OnRpcFinished();

  FleetView& m_view;
  const Member m_self;
  const std::shared_ptr<const DeltaCodec> m_codec;
  const std::shared_ptr<const ConfigValidator> m_validator;
  PeerChannels m_channels;
  PlatformClient m_config_client;
  PlatformClient m_vm_client;
  PlatformClient m_backend_client;

  mutable std::mutex m_mutex;
  std::condition_variable m_wake;
  std::condition_variable m_rpcs_done;
  bool m_started = false;
  bool m_stopping = false;
  size_t m_outstanding_rpcs = 0;
  Membership::Generator m_rng;
  std::optional<Membership> m_membership;
  std::optional<ConfigSpread> m_spread;
  // Time of last use of each channel, by peer address.
  std::map<std::string, TimePoint> m_channel_last_use;
  TimePoint m_next_channel_check;
  std::optional<WatchService> m_watch;
  // Pending updates, consumed by the tick thread, the only one that publishes.
  std::optional<MemberList> m_new_members;
  std::shared_ptr<const ConfigValue> m_new_config;
  MemberList m_published_members;
  std::shared_ptr<const ConfigValue> m_published_config;

  std::thread m_tick_thread;
  std::thread m_watch_thread;
  std::thread m_poll_thread;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_CONTROL_PLANE_H_
