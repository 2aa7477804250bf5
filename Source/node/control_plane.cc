#include "node/control_plane.h"

#include <algorithm>
#include <random>
#include <utility>
#include <variant>

#include "node/control_messages.h"
#include "node/log.h"

namespace vanillatiller {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr Duration kHealthInterval = std::chrono::seconds(1);
// Readers poll the VM list on behalf of all nodes, each at this average
// interval. A long list is read less often, so that the traffic of one reader
// averages at most kMaxVmListBytesPerSecond.
constexpr Duration kReaderVmListInterval = std::chrono::seconds(2);
constexpr double kMaxVmListBytesPerSecond = 3000;
// Other nodes read the list only to remove stale entries.
constexpr Duration kNonReaderVmListInterval = std::chrono::minutes(5);
// Upper bound of the random delay before the first read of the VM list, which
// spreads the reads of nodes that start at the same time.
constexpr Duration kStartupJitter = std::chrono::milliseconds(500);
constexpr Duration kChannelIdleTime = std::chrono::minutes(1);
constexpr Duration kChannelCheckInterval = std::chrono::seconds(10);
constexpr Duration kMaxIndirectTimeout = std::chrono::seconds(1);

std::chrono::system_clock::time_point RpcDeadline(Duration timeout) {
  using std::chrono::system_clock;
  return system_clock::now() +
         std::chrono::duration_cast<system_clock::duration>(timeout);
}

Member MakeSelfMember(const NodeSettings& settings, Incarnation incarnation) {
  Member self;
  self.vm = settings.vm;
  self.service = settings.service;
  self.peer_address = settings.advertised_peer.ToString();
  self.failure_domain = settings.failure_domain;
  self.region = settings.region;
  self.incarnation = incarnation;
  return self;
}

// State of one outgoing RPC; its callback keeps it alive. Owns a reference to
// the stub because PeerChannels may drop the channel during the RPC.
template <typename Request, typename Answer>
struct OutgoingRpc {
  std::shared_ptr<v1::Peer::Stub> stub;
  grpc::ClientContext context;
  Request request;
  Answer answer;
};

std::string_view StateName(MemberState state) {
  switch (state) {
    case MemberState::kLive:
      return "live";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kFailed:
      break;
  }
  return "failed";
}

}  // namespace

ControlPlane::ControlPlane(const Parts& parts)
    : m_view(parts.view),
      m_self(MakeSelfMember(parts.settings, parts.incarnation)),
      m_codec(parts.codec),
      m_validator(parts.validator),
      m_channels(parts.credentials),
      m_config_client(parts.settings.platform),
      m_vm_client(parts.settings.platform),
      m_backend_client(parts.settings.backend),
      m_rng(std::random_device{}()) {}

ControlPlane::~ControlPlane() { Stop(); }

bool ControlPlane::Start(Reason* reason) {
  Findings findings;
  {
    const std::lock_guard lock(m_mutex);
    m_membership = Membership::Builder().SetSelf(m_self).Build(&findings);
    m_spread = ConfigSpread::Builder()
                   .SetSelf(m_self)
                   .SetCodec(m_codec)
                   .SetValidator(m_validator)
                   .Build(&findings);
    m_started = findings.empty();
  }
  if (!findings.empty()) {
    *reason = {RefusalCode::kBadRequest, FormatFindings(findings)};
    return false;
  }
  m_tick_thread = std::thread([this] { RunTickLoop(); });
  m_watch_thread = std::thread([this] { RunConfigWatchLoop(); });
  m_poll_thread = std::thread([this] { RunPollLoop(); });
  return true;
}

void ControlPlane::Stop() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_all();
  m_config_client.Cancel();
  m_vm_client.Cancel();
  m_backend_client.Cancel();
  for (std::thread* thread :
       {&m_tick_thread, &m_watch_thread, &m_poll_thread}) {
    if (thread->joinable()) thread->join();
  }
  std::unique_lock lock(m_mutex);
  m_rpcs_done.wait(lock, [this] { return m_outstanding_rpcs == 0; });
}

void ControlPlane::AnnounceLeaving() {
  const std::lock_guard lock(m_mutex);
  if (!m_started) return;
  const TimePoint now = BootClock::now();
  Perform(m_membership->OnLocalBackend(true, true, now), now);
  Perform(m_membership->OnTick(now, m_rng), now);
}

bool ControlPlane::IsLeaving() const {
  const std::lock_guard lock(m_mutex);
  return m_started && m_membership->self().state == MemberState::kLeaving;
}

// --- Handlers for RPCs from other nodes --------------------------------------

void ControlPlane::Exchange(const v1::ExchangeRequest& request,
                            v1::ExchangeAnswer* answer) {
  const TimePoint now = BootClock::now();
  const ExchangeMessage message = FromWire(request);
  const std::lock_guard lock(m_mutex);
  if (!m_started) return;
  ExchangeOutcome outcome = m_membership->OnExchange(message, now);
  ToWire(outcome.answer, answer);
  SetConfigVersion(answer->mutable_config());
  Perform(std::move(outcome.actions), now);
  if (message.to_vm.empty() || message.to_vm == m_self.vm) {
    ProcessPeerConfigVersion(request.from_vm(), request.config(), now);
  }
}

void ControlPlane::FetchConfig(const v1::FetchConfigRequest& request,
                               v1::FetchConfigAnswer* answer) {
  const std::lock_guard lock(m_mutex);
  if (!m_started) return;
  ToWire(m_spread->AnswerFetch(FromWire(request)), answer);
}

void ControlPlane::IndirectProbe(const v1::IndirectProbeRequest& request,
                                 v1::IndirectProbeAnswer* answer,
                                 std::function<void()> done) {
  using Rpc = OutgoingRpc<v1::ExchangeRequest, v1::ExchangeAnswer>;
  std::unique_lock lock(m_mutex);
  const Member* target = nullptr;
  if (m_started && !m_stopping) {
    for (const auto& [vm, member] : m_membership->table().entries()) {
      if (member.peer_address == request.target_address()) target = &member;
    }
  }
  // Probes only known members, so that a request cannot make this node connect
  // to an arbitrary address.
  if (target == nullptr) {
    lock.unlock();
    done();
    return;
  }
  auto rpc = std::make_shared<Rpc>();
  const Duration timeout = std::chrono::microseconds(request.timeout_us());
  rpc->context.set_deadline(
      RpcDeadline(std::min(timeout, kMaxIndirectTimeout)));
  rpc->request.set_from_vm(m_self.vm);
  rpc->request.set_to_vm(target->vm);
  ToWire(*target, rpc->request.add_updates());
  SetConfigVersion(rpc->request.mutable_config());
  rpc->stub = m_channels.OpenDedicated(target->peer_address);
  ++m_outstanding_rpcs;
  const std::string vm = target->vm;
  lock.unlock();
  rpc->stub->async()->Exchange(
      &rpc->context, &rpc->request, &rpc->answer,
      [this, rpc, answer, vm,
       done = std::move(done)](const grpc::Status& status) {
        answer->set_reached(status.ok() && rpc->answer.from_vm() == vm);
        for (const v1::MemberUpdate& update : rpc->answer.updates()) {
          if (update.vm() == vm) *answer->mutable_target() = update;
        }
        done();
        OnRpcFinished();
      });
}

ControlStatus ControlPlane::status() const {
  const std::lock_guard lock(m_mutex);
  ControlStatus status;
  if (!m_started) return status;
  status.config = m_spread->stamp();
  status.confirmed = m_spread->IsConfirmed();
  status.conflict = m_spread->conflict();
  status.is_config_reader = m_spread->IsReader();
  status.spread = m_spread->counters();
  status.is_membership_relay = m_membership->IsRelay();
  status.is_in_self_preservation = m_membership->IsInSelfPreservation();
  status.is_superseded = m_membership->IsSuperseded();
  status.backend_healthy = m_membership->IsBackendHealthy();
  status.membership = m_membership->counters();
  for (const auto& [vm, member] : m_membership->table().entries()) {
    status.members.push_back(member);
  }
  return status;
}

std::shared_ptr<const ConfigValue> ControlPlane::config_value() const {
  const std::lock_guard lock(m_mutex);
  return m_published_config;
}

// --- Threads -----------------------------------------------------------------

// Waits until `time`. Returns false if the control plane is stopping.
bool ControlPlane::WaitUntil(TimePoint time) {
  std::unique_lock lock(m_mutex);
  const Duration left = time - BootClock::now();
  return !m_wake.wait_for(lock, left, [this] { return m_stopping; });
}

void ControlPlane::RunTickLoop() {
  TimePoint next = BootClock::now();
  do {
    const TimePoint now = BootClock::now();
    {
      const std::lock_guard lock(m_mutex);
      Perform(m_membership->OnTick(now, m_rng), now);
      Perform(m_spread->OnTick(now, m_rng));
      CloseIdleChannels(now);
    }
    Publish();
    next = std::max(next + kTickInterval, now);
  } while (WaitUntil(next));
}

void ControlPlane::RunConfigWatchLoop() {
  std::unique_lock lock(m_mutex);
  while (true) {
    m_wake.wait(lock, [this] { return m_stopping || m_watch; });
    if (m_stopping) return;
    const WatchService watch = *m_watch;
    m_watch.reset();
    lock.unlock();
    const ServiceAnswer answer =
        m_config_client.WatchConfig(watch.after_version, watch.wait);
    lock.lock();
    if (m_stopping) return;
    Perform(m_spread->OnServiceAnswer(answer, BootClock::now(), m_rng));
  }
}

void ControlPlane::RunPollLoop() {
  using Milliseconds = std::chrono::duration<double, std::milli>;
  TimePoint next_vm_list_read = BootClock::now();
  {
    const std::lock_guard lock(m_mutex);
    next_vm_list_read +=
        Duration(static_cast<int64_t>(m_rng() % kStartupJitter.count()));
  }
  TimePoint last_vm_list_read;
  bool has_vm_list = false;
  Duration reader_interval = kReaderVmListInterval;
  while (WaitUntil(
      std::min(next_vm_list_read, BootClock::now() + kHealthInterval))) {
    const TimePoint now = BootClock::now();
    if (now >= next_vm_list_read) {
      const auto list = m_vm_client.ReadVmList();
      last_vm_list_read = now;
      if (list) {
        has_vm_list = true;
        const Milliseconds interval_for_size(1000.0 *
                                             static_cast<double>(list->bytes) /
                                             kMaxVmListBytesPerSecond);
        reader_interval =
            std::max(kReaderVmListInterval,
                     std::chrono::duration_cast<Duration>(interval_for_size));
      }
      const std::lock_guard lock(m_mutex);
      if (list) {
        Perform(m_membership->OnVmList(list->members, BootClock::now()), now);
      }
    }
    const BackendHealth health = m_backend_client.ReadHealth();
    const std::lock_guard lock(m_mutex);
    const TimePoint after = BootClock::now();
    Perform(m_membership->OnLocalBackend(health.healthy, health.leaving, after),
            after);
    const bool reads_frequently = m_spread->IsReader() || !has_vm_list;
    const Duration interval =
        reads_frequently ? reader_interval : kNonReaderVmListInterval;
    // Randomizes the delay between 3/4 and 5/4 of the interval, so that readers
    // do not read in lockstep.
    const Duration jitter(
        static_cast<int64_t>(m_rng() % (interval.count() / 2)));
    if (next_vm_list_read <= now || reads_frequently) {
      next_vm_list_read = last_vm_list_read + interval * 3 / 4 + jitter;
    }
  }
}

// Passes pending updates to the request path.
void ControlPlane::Publish() {
  std::optional<MemberList> members;
  std::shared_ptr<const ConfigValue> config;
  {
    const std::lock_guard lock(m_mutex);
    members = std::exchange(m_new_members, std::nullopt);
    config = std::exchange(m_new_config, nullptr);
  }
  if (members) {
    LogMemberChanges(m_published_members, *members);
    m_published_members = *members;
    m_view.SetMembers(std::move(*members));
  }
  if (!config) return;
  Findings findings;
  auto parsed = ParseFleetConfig(config->text, "configuration", &findings);
  if (!parsed) {
    Log(LogLevel::kError, "config-refused",
        {{"findings", FormatFindings(findings)}});
    return;
  }
  m_view.SetConfig(std::move(*parsed));
  {
    const std::lock_guard lock(m_mutex);
    m_published_config = config;
  }
  Log(LogLevel::kInfo, "config-in-force",
      {{"version", std::to_string(config->stamp.version)},
       {"digest", ToHex(config->stamp.digest)}});
}

// Both lists must be sorted by VM name.
void ControlPlane::LogMemberChanges(const MemberList& before,
                                    const MemberList& after) {
  const auto compare_by_vm = [](const Member& first, const Member& second) {
    return first.vm < second.vm;
  };
  for (const Member& member : after) {
    const auto known =
        std::lower_bound(before.begin(), before.end(), member, compare_by_vm);
    const bool is_new = known == before.end() || known->vm != member.vm;
    if (!is_new && known->state == member.state) continue;
    if (is_new && member.state == MemberState::kLive) continue;
    Log(LogLevel::kInfo, "member",
        {{"member", member.vm},
         {"state", std::string(StateName(member.state))}});
  }
  for (const Member& member : before) {
    if (std::binary_search(after.begin(), after.end(), member, compare_by_vm)) {
      continue;
    }
    Log(LogLevel::kInfo, "member",
        {{"member", member.vm}, {"state", "failed"}});
  }
  if (before.size() != after.size()) {
    Log(LogLevel::kInfo, "members", {{"count", std::to_string(after.size())}});
  }
}

// --- Actions -----------------------------------------------------------------

void ControlPlane::Perform(MembershipActions actions, TimePoint now) {
  for (MembershipAction& action : actions) {
    if (const auto* probe = std::get_if<SendProbe>(&action)) {
      Send(*probe);
    } else if (const auto* indirect = std::get_if<SendIndirectProbe>(&action)) {
      Send(*indirect);
    } else {
      m_new_members = std::move(std::get<PublishTable>(action).members);
      m_spread->OnMembers(*m_new_members, now);
    }
  }
}

void ControlPlane::Perform(const SpreadActions& actions) {
  for (const SpreadAction& action : actions) {
    if (const auto* watch = std::get_if<WatchService>(&action)) {
      m_watch = *watch;
      m_wake.notify_all();
    } else if (const auto* fetch = std::get_if<FetchFromPeer>(&action)) {
      Send(*fetch);
    } else if (const auto* activation = std::get_if<PutInForce>(&action)) {
      m_new_config = activation->value;
      m_membership->RequestGossip();
    } else if (const auto* conflict = std::get_if<ReportConflict>(&action)) {
      Log(LogLevel::kError, "config-conflict",
          {{"version", std::to_string(conflict->other.version)},
           {"digest", ToHex(conflict->in_force.digest)},
           {"other_digest", ToHex(conflict->other.digest)},
           {"source", conflict->source}});
    } else {
      const auto& rejected = std::get<ReportRefusedValue>(action);
      Log(LogLevel::kError, "config-refused",
          {{"source", rejected.source}, {"findings", rejected.reason.text}});
    }
  }
}

void ControlPlane::Send(const SendProbe& probe) {
  using Rpc = OutgoingRpc<v1::ExchangeRequest, v1::ExchangeAnswer>;
  if (m_stopping) return;
  if (probe.fresh_connection) m_channels.Remove(probe.address);
  auto rpc = std::make_shared<Rpc>();
  rpc->stub = GetStub(probe.address);
  rpc->context.set_deadline(RpcDeadline(probe.timeout));
  ToWire(probe.message, &rpc->request);
  SetConfigVersion(rpc->request.mutable_config());
  ++m_outstanding_rpcs;
  rpc->stub->async()->Exchange(
      &rpc->context, &rpc->request, &rpc->answer,
      [this, rpc, id = probe.probe_id](const grpc::Status& status) {
        OnProbeFinished(id, status, rpc->answer);
        OnRpcFinished();
      });
}

void ControlPlane::Send(const SendIndirectProbe& probe) {
  using Rpc = OutgoingRpc<v1::IndirectProbeRequest, v1::IndirectProbeAnswer>;
  if (m_stopping) return;
  auto rpc = std::make_shared<Rpc>();
  rpc->stub = GetStub(probe.via_address);
  rpc->context.set_deadline(RpcDeadline(probe.timeout));
  rpc->request.set_target_address(probe.target_address);
  rpc->request.set_timeout_us(ToMicroseconds(probe.timeout));
  ++m_outstanding_rpcs;
  rpc->stub->async()->IndirectProbe(
      &rpc->context, &rpc->request, &rpc->answer,
      [this, rpc, id = probe.probe_id](const grpc::Status& status) {
        v1::ExchangeAnswer answer;
        const bool reached = status.ok() && rpc->answer.reached();
        if (rpc->answer.has_target()) {
          *answer.add_updates() = rpc->answer.target();
        }
        OnProbeFinished(id, reached ? status : grpc::Status::CANCELLED, answer);
        OnRpcFinished();
      });
}

void ControlPlane::Send(const FetchFromPeer& fetch) {
  using Rpc = OutgoingRpc<v1::FetchConfigRequest, v1::FetchConfigAnswer>;
  if (m_stopping) return;
  auto rpc = std::make_shared<Rpc>();
  rpc->stub = GetStub(fetch.address);
  rpc->context.set_deadline(RpcDeadline(fetch.timeout));
  ToWire(fetch.request, &rpc->request);
  ++m_outstanding_rpcs;
  rpc->stub->async()->FetchConfig(
      &rpc->context, &rpc->request, &rpc->answer,
      [this, rpc, vm = fetch.vm](const grpc::Status& status) {
        OnFetchFinished(vm, status, rpc->answer);
        OnRpcFinished();
      });
}

std::shared_ptr<v1::Peer::Stub> ControlPlane::GetStub(
    const std::string& address) {
  m_channel_last_use[address] = BootClock::now();
  return m_channels.Get(address);
}

// Probe targets change over time; without this, a node would eventually keep a
// channel to every other node of the fleet.
void ControlPlane::CloseIdleChannels(TimePoint now) {
  if (now < m_next_channel_check) return;
  m_next_channel_check = now + kChannelCheckInterval;
  std::erase_if(m_channel_last_use, [this, now](const auto& item) {
    if (now < item.second + kChannelIdleTime) return false;
    m_channels.Remove(item.first);
    return true;
  });
}

void ControlPlane::ProcessPeerConfigVersion(const std::string& vm,
                                            const v1::ConfigVersion& config,
                                            TimePoint now) {
  const Member* peer = m_membership->table().Find(vm);
  if (peer == nullptr || peer->vm == m_self.vm) return;
  Perform(m_spread->OnPeerStamp({vm, peer->peer_address, peer->failure_domain,
                                 FromWire(config), config.confirmed()},
                                now, m_rng));
}

void ControlPlane::SetConfigVersion(v1::ConfigVersion* message) const {
  ToWire(m_spread->stamp(), m_spread->IsConfirmed(), message);
}

void ControlPlane::OnProbeFinished(uint64_t probe_id,
                                   const grpc::Status& status,
                                   const v1::ExchangeAnswer& answer) {
  const TimePoint now = BootClock::now();
  ProbeResult result;
  result.probe_id = probe_id;
  result.reached = status.ok();
  if (status.ok()) result.answer = FromWire(answer);
  const std::lock_guard lock(m_mutex);
  if (m_stopping) return;
  Perform(m_membership->OnProbeResult(result, now), now);
  if (answer.has_config()) {
    ProcessPeerConfigVersion(answer.from_vm(), answer.config(), now);
  }
}

void ControlPlane::OnFetchFinished(const std::string& vm,
                                   const grpc::Status& status,
                                   const v1::FetchConfigAnswer& answer) {
  const TimePoint now = BootClock::now();
  std::optional<FetchAnswer> fetched;
  if (status.ok()) fetched = FromWire(answer);
  const std::lock_guard lock(m_mutex);
  if (m_stopping) return;
  Perform(m_spread->OnFetchAnswer(vm, fetched, now, m_rng));
}

void ControlPlane::OnRpcFinished() {
  const std::lock_guard lock(m_mutex);
  --m_outstanding_rpcs;
  if (m_outstanding_rpcs == 0) m_rpcs_done.notify_all();
}

}  // namespace vanillatiller
