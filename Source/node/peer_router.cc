#include "node/peer_router.h"

#include <future>
#include <utility>
#include <vector>

#include "node/log.h"

namespace vanillatiller {
namespace {

constexpr std::chrono::milliseconds kMonitorInterval{50};
constexpr std::chrono::milliseconds kPingTimeout{500};

Member MakeSelfMember(const NodeSettings& settings) {
  Member self;
  self.vm = settings.vm;
  self.service = settings.service;
  self.peer_address = settings.advertised_peer.ToString();
  self.failure_domain = settings.failure_domain;
  self.region = settings.region;
  return self;
}

// State of one outstanding ping.
struct Ping {
  grpc::ClientContext context;
  v1::PingRequest request;
  v1::PingAnswer answer;
  // Time at which the RPC completed.
  TimePoint ended_at;
  std::promise<bool> promise;
};

void Send(v1::Peer::Stub& stub, Ping& ping) {
  ping.context.set_deadline(std::chrono::system_clock::now() + kPingTimeout);
  stub.async()->Ping(&ping.context, &ping.request, &ping.answer,
                     [&ping](const grpc::Status& status) {
                       ping.ended_at = BootClock::now();
                       ping.promise.set_value(status.ok());
                     });
}

}  // namespace

PeerRouter::PeerRouter(const Parts& parts)
    : m_settings(parts.settings),
      m_view(parts.view),
      m_ids(parts.ids),
      m_channels(parts.channels),
      m_metrics(parts.metrics),
      m_self(MakeSelfMember(parts.settings)),
      m_monitor(ConnectionMonitor::Builder().Build()) {}

PeerRouter::~PeerRouter() { Stop(); }

void PeerRouter::Start() {
  m_thread = std::thread([this] { RunMonitorLoop(); });
}

void PeerRouter::Stop() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_all();
  if (m_thread.joinable()) m_thread.join();
}

std::optional<PeerChoice> PeerRouter::Pick(
    const CallContext& context, size_t bytes,
    std::span<const std::string> excluded, TimePoint now, Reason* reason) {
  const auto table = GetTable(now);
  if (!table) {
    *reason = {RefusalCode::kNoPeer, "no member list is available yet"};
    return std::nullopt;
  }
  thread_local RandomGenerator random(m_ids.NextRandom64());
  return table->Pick({context.service, bytes, excluded}, now, random, reason);
}

void PeerRouter::OnAttemptStarted(OutgoingAttempt& attempt, TimePoint now) {
  attempt.choice.state->OnSent();
  const std::lock_guard lock(m_mutex);
  m_outgoing.insert(&attempt);
  m_monitor.OnSent(attempt.choice.member.peer_address, now);
}

void PeerRouter::OnAttemptEnded(OutgoingAttempt& attempt,
                                const CallAnswer& answer, TimePoint now) {
  UpdatePeerState(*attempt.choice.state, answer, now);
  if (attempt.choice.link) {
    attempt.choice.link->Charge(answer.body.size(), now);
  }
  const std::string& address = attempt.choice.member.peer_address;
  const std::lock_guard lock(m_mutex);
  m_outgoing.erase(&attempt);
  if (answer.load.incarnation != 0) m_monitor.OnProgress(address, now);
  m_monitor.OnEnded(address);
}

// Rebuilds the table if the member list or the configuration was replaced.
std::shared_ptr<const RoutingTable> PeerRouter::GetTable(TimePoint now) {
  auto members = m_view.members();
  auto config = m_view.config();
  if (!members) return nullptr;
  if (members.get() == m_members_key && config.get() == m_config_key) {
    return m_table.Get();
  }
  const std::lock_guard lock(m_rebuild_mutex);
  auto previous = m_table.Get();
  auto table = RoutingTable::Builder()
                   .Self(m_self)
                   .Members(*members)
                   .Config(config)
                   .Previous(std::move(previous))
                   .Random(m_settings.routing == RoutingPolicy::kRandom)
                   .Build(now);
  m_table.Set(table);
  // Keeps the old inputs alive until the keys are updated. Otherwise a new
  // object at the address of a freed one would be mistaken for it.
  const auto old_members = std::exchange(m_built_members, members);
  const auto old_config = std::exchange(m_built_config, config);
  m_members_key = members.get();
  m_config_key = config.get();
  return table;
}

void PeerRouter::RunMonitorLoop() {
  std::unique_lock lock(m_mutex);
  while (!m_stopping) {
    const auto actions = m_monitor.OnTick(BootClock::now());
    lock.unlock();
    for (const ConnectionAction& action : actions) {
      ProbeConnection(action.address);
    }
    lock.lock();
    m_wake.wait_for(lock, kMonitorInterval, [this] { return m_stopping; });
  }
}

void PeerRouter::ProbeConnection(const std::string& address) {
  Ping current_ping;
  Ping fresh_ping;
  const std::string service = FindOutgoingService(address);
  const TimePoint start = BootClock::now();
  const auto current_stub = m_channels.Get(address);
  const auto fresh_stub = m_channels.OpenDedicated(address);
  Send(*current_stub, current_ping);
  Send(*fresh_stub, fresh_ping);
  const bool current_answered = current_ping.promise.get_future().get();
  const bool fresh_answered = fresh_ping.promise.get_future().get();
  std::optional<Duration> round_trip;
  if (fresh_answered) round_trip = fresh_ping.ended_at - start;
  m_metrics.RecordProbe(m_settings.service, service, round_trip);

  std::optional<ConnectionAction> action;
  {
    const std::lock_guard lock(m_mutex);
    action = m_monitor.OnProbeResult(address, current_answered, fresh_answered,
                                     BootClock::now());
  }
  if (!action) return;
  const bool is_silent = action->kind == ConnectionAction::Kind::kReplace;
  Log(LogLevel::kWarning,
      is_silent ? "connection-replaced" : "peer-unreachable",
      {{"peer", address}});
  if (is_silent) {
    m_metrics.RecordSilentConnection(m_settings.service, service);
    m_channels.Remove(address);
  }
  CancelAttempts(address);
}

std::string PeerRouter::FindOutgoingService(const std::string& address) {
  const std::lock_guard lock(m_mutex);
  for (const OutgoingAttempt* attempt : m_outgoing) {
    const Member& member = attempt->choice.member;
    if (member.peer_address == address) return member.service;
  }
  return "";
}

void PeerRouter::CancelAttempts(const std::string& address) {
  const std::lock_guard lock(m_mutex);
  for (OutgoingAttempt* attempt : m_outgoing) {
    if (attempt->choice.member.peer_address != address) continue;
    attempt->is_connection_lost = true;
    attempt->context.TryCancel();
  }
}

void PeerRouter::UpdatePeerState(PeerState& peer, const CallAnswer& answer,
                                 TimePoint now) {
  if (answer.load.incarnation == 0) {
    const bool is_failure = answer.reason.code == RefusalCode::kConnectionLost;
    if (is_failure) return peer.OnFailure(PeerFailure::kUnreachable, now);
    return peer.OnAbandoned();
  }
  if (answer.reason.code == RefusalCode::kBackendUnreachable) {
    return peer.OnFailure(PeerFailure::kBackendDown, now);
  }
  peer.OnAnswer({answer.load.in_flight, answer.load.queued,
                 answer.load.concurrency_limit, answer.load.leaving},
                now);
}

}  // namespace vanillatiller
