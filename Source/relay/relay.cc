#include "relay/relay.h"

#include <algorithm>
#include <utility>

namespace vanillatiller {

namespace {

FleetNode MakeFleetNode(const SocketAddress& address, const std::string& domain,
                        const Locality& locality) {
  const auto region = locality.regions.find(domain);
  return {address, domain,
          region == locality.regions.end() ? "" : region->second};
}

}  // namespace

// Serves health checks and metrics.
class Relay::HealthHandler : public HttpRequestHandler {
 public:
  explicit HealthHandler(Relay* relay) : m_relay(relay) {}

  void OnRequest(const HttpResponderPtr& responder, HttpRequest request,
                 TimePoint now) override {
    HttpResponse response;
    if (request.target == "/metrics") {
      response.status = 200;
      response.headers.Add("Content-Type", "text/plain; version=0.0.4");
      response.body = m_relay->m_metrics.Format();
    } else {
      response.status = m_relay->IsReady() ? 200 : 503;
    }
    responder->Respond(std::move(response), now);
  }

  void OnCallerDisconnected(const HttpResponderPtr&, TimePoint) override {}

 private:
  Relay* m_relay;
};

Relay::Relay(EventLoop* loop, const RelaySettings& settings, EventLog* log,
             TimePoint now)
    : m_loop(loop),
      m_settings(settings),
      m_log(log),
      m_directory(settings.record_lifetime),
      m_placement(settings.locality),
      m_executor(loop, settings.server, &m_settings.names, log, &m_metrics,
                 now),
      m_peer_server(this, &loop->memory()),
      m_router(loop, &m_settings.names, settings.service, &m_placement, this,
               &m_executor, settings.retry_budget, log, &m_metrics,
               settings.incarnation),
      m_health(std::make_unique<HealthHandler>(this)),
      m_fleet_state(
          MakeFleetNode(settings.peer_listener,
                        settings.locality.failure_domain, settings.locality),
          settings.incarnation, this, log) {
  m_executor.SetNoticeListener(
      [this](TimePoint later) { OnOwnServerNotice(later); });
  m_callers = MakeSessionPool("callers", &m_router, m_caller_limits,
                              settings.holding.callers);
  m_health_clients = MakeSessionPool("health", m_health.get(), {},
                                     settings.holding.health_clients);
  m_loop->memory().SetCapacity(settings.holding.memory_bytes);
  m_loop->memory().SetReclaimer(
      [this](ByteUse use) { return ReclaimMemory(use, BootClock::now()); });
}

std::unique_ptr<HttpSessionPool> Relay::MakeSessionPool(
    std::string_view listener, HttpRequestHandler* handler,
    std::shared_ptr<const HttpServerLimits> http_limits,
    const HttpSessionPool::Limits& limits) {
  return std::make_unique<HttpSessionPool>(
      m_loop, handler, std::move(http_limits), limits,
      [this, listener = std::string(listener)](
          std::string_view what, size_t connections, TimePoint now) {
        m_log->Write(LogTopic::kRequest, what,
                     {{"listener", listener},
                      {"connections", std::to_string(connections)},
                      {"held", std::to_string(m_loop->memory().used())},
                      {"budget", std::to_string(m_loop->memory().capacity())}},
                     now);
      });
}

bool Relay::ReclaimMemory(ByteUse use, TimePoint now) {
  const bool is_request =
      use == ByteUse::kOrdinaryRequest || use == ByteUse::kLargeRequest;
  for (HttpSessionPool* pool : {m_callers.get(), m_health_clients.get()}) {
    if (is_request && pool->GiveUpStalledRequest(now)) return true;
    if (pool->CloseStalledReader(now)) return true;
  }
  return false;
}

Relay::~Relay() {
  for (TimerId* timer : {&m_tick_timer, &m_expiry_timer, &m_stop_timer}) {
    m_loop->Cancel(timer);
  }
  m_loop->memory().SetReclaimer(nullptr);
}

bool Relay::Start(std::string* reason) {
  struct ListenerSpec {
    SocketAddress address;
    TcpListener::Accepted accepted;
  };
  const std::vector<ListenerSpec> specs = {
      {m_settings.health_listener,
       [this](std::shared_ptr<TcpConnection> connection, TimePoint now) {
         m_health_clients->Accept(std::move(connection), now);
       }},
      {m_settings.caller_listener,
       [this](std::shared_ptr<TcpConnection> connection, TimePoint now) {
         m_callers->Accept(std::move(connection), now);
       }},
      {m_settings.peer_listener,
       [this](std::shared_ptr<TcpConnection> connection, TimePoint) {
         m_peer_server.Accept(std::move(connection));
       }},
  };
  for (const ListenerSpec& spec : specs) {
    auto listener =
        TcpListener::Listen(m_loop, spec.address, spec.accepted, reason);
    if (!listener) return false;
    m_listeners.push_back(std::move(listener));
  }
  m_started = BootClock::now();
  OnTick(m_started);
  return true;
}

bool Relay::HasRoutesAndServers() const {
  return m_router.config_version() != 0 && m_has_servers;
}

bool Relay::IsReady() const { return HasRoutesAndServers() && !m_stopped; }

void Relay::ApplyConfig(const RelayConfig& config, TimePoint now) {
  if (config.version <= m_router.config_version()) return;
  m_log->Write(LogTopic::kFleetState, "config",
               {{"version", std::to_string(config.version)},
                {"before", std::to_string(m_router.config_version())},
                {"routes", std::to_string(config.routes.size())}},
               now);
  m_caller_limits->message = {config.limits.max_header_bytes,
                              config.limits.max_body_bytes};
  m_caller_limits->header_timeout = config.limits.header_timeout;
  m_caller_limits->idle_timeout = config.limits.idle_timeout;
  m_router.SetRoutes(std::make_shared<const RouteTable>(config));
  if (HasRoutesAndServers()) m_router.StartServing(now);
}

void Relay::ApplyServer(const ServerRecord& record, TimePoint now) {
  if (m_directory.Apply(record, now)) OnServersChanged(now);
}

void Relay::RemoveServer(std::string_view id, const StateRevision& revision,
                         TimePoint now) {
  if (m_directory.Remove(id, revision, now)) OnServersChanged(now);
}

void Relay::ApplyServers(const std::vector<ServerRecord>& list,
                         const StateRevision& revision, TimePoint now) {
  const bool is_first = !std::exchange(m_has_servers, true);
  if (m_directory.ApplyList(list, revision, now) > 0 || is_first) {
    OnServersChanged(now);
  }
  if (HasRoutesAndServers()) m_router.StartServing(now);
}

void Relay::OnPlatformBack(TimePoint now) {
  m_directory.OnSourceAvailable(now);
}

void Relay::OnPlatformRestored(TimePoint now) {
  m_directory.OnSourceAvailable(now);
  m_router.OnSourceRestored(now);
}

void Relay::OnServersChanged(TimePoint now) {
  m_directory.Advance(now);
  const auto usable = m_directory.Usable(now);
  m_placement.Update(usable, now);
  m_log->Write(LogTopic::kFleetState, "servers",
               {{"usable", std::to_string(usable.size())},
                {"known", std::to_string(m_directory.size())},
                {"revision", m_directory.revision().ToString()}},
               now);
  std::vector<FleetNode> nodes;
  nodes.reserve(usable.size());
  for (const ServerRecord* server : usable) {
    nodes.push_back(
        MakeFleetNode({server->address.ip, m_settings.peer_listener.port},
                      server->failure_domain, m_settings.locality));
  }
  m_fleet_state.SetNodes(std::move(nodes), now);
  const ServerRecord* own = m_directory.FindByAddress(m_settings.server, now);
  if (own != nullptr &&
      (own->id != m_server_id || own->started_ms != m_server_started_ms)) {
    m_executor.OnServerChanged({own->id, own->started_ms}, own->slots,
                               own->warmup_left > Duration::zero(), now);
    m_server_id = own->id;
    m_server_started_ms = own->started_ms;
  }
  m_loop->Cancel(&m_expiry_timer);
  if (const auto next = m_directory.NextExpiry(now)) {
    m_expiry_timer = m_loop->Schedule(
        *next, [this](TimePoint later) { OnServersChanged(later); });
  }
}

PeerClient& Relay::ClientFor(const SocketAddress& node) {
  std::unique_ptr<PeerClient>& client = m_clients[node];
  if (client) return *client;
  PeerClient::Callbacks callbacks;
  callbacks.make_hello = [this](TimePoint now) { return MakeHello(now); };
  callbacks.on_view = [this, node](const relay::View& view, TimePoint now) {
    m_fleet_state.OnNodeView(node, view, now);
  };
  callbacks.on_load = [this, node](const PeerLoad& load, TimePoint now) {
    for (const Candidate* candidate : m_placement.FindByNode(node)) {
      candidate->state->OnReport(load, now);
    }
  };
  callbacks.on_server_notice = [this, node](const relay::ServerNotice& notice,
                                            TimePoint now) {
    OnServerNotice(node, notice, now);
  };
  callbacks.on_suspect = [this, node](TimePoint now) {
    for (const Candidate* candidate : m_placement.FindByNode(node)) {
      candidate->state->OnSuspected(now);
    }
  };
  callbacks.on_frame = [this, node](const relay::Frame& frame, TimePoint now) {
    m_fleet_state.OnNodeFrame(node, frame, now);
  };
  callbacks.on_connection_event = [this, node](std::string_view what,
                                               TimePoint now) {
    m_log->Write(LogTopic::kFleetState, "peer",
                 {{"node", node.ToString()}, {"change", std::string(what)}},
                 now);
    m_fleet_state.OnConnectionLost(node, now);
  };
  client = std::make_unique<PeerClient>(m_loop, node, std::move(callbacks));
  return *client;
}

void Relay::OnOwnServerNotice(TimePoint now) {
  if (const auto notice = m_executor.Notice()) {
    OnServerNotice(m_settings.peer_listener, *notice, now);
  }
  m_peer_server.BroadcastLoad();
}

void Relay::OnServerNotice(const SocketAddress& node,
                           const relay::ServerNotice& notice, TimePoint now) {
  for (const Candidate* candidate : m_placement.FindByNode(node)) {
    if (candidate->id != notice.server_id() ||
        candidate->started_ms != notice.started_ms()) {
      continue;
    }
    *candidate->rate = {};
    if (notice.has_rate_limit()) {
      *candidate->rate = {notice.rate_limit(), notice.request_id()};
    }
  }
  if (!notice.leaving()) return;
  const ServerIncarnation server{notice.server_id(), notice.started_ms()};
  if (!m_directory.MarkLeaving(server, now)) return;
  m_log->Write(LogTopic::kFleetState, "server-leaving",
               {{"server", server.id},
                {"started_ms", std::to_string(server.started_ms)},
                {"source", "node"},
                {"node", node.ToString()},
                {"request", notice.leaving_request()}},
               now);
  OnServersChanged(now);
}

relay::Load Relay::Load() const {
  relay::Load load = EncodeLoad(m_executor.Load());
  if (auto notice = m_executor.Notice()) {
    *load.mutable_server() = *std::move(notice);
  }
  return load;
}

void Relay::Call(const Candidate& server, const CallMessage& message, Done done,
                 TimePoint now) {
  if (server.node != m_settings.peer_listener) {
    ClientFor(server.node).Call(message, std::move(done), now);
    return;
  }
  const uint64_t id = message.call.id();
  m_own_calls[id] = 0;
  const CallExecutor::Handle handle = m_executor.Start(
      message,
      [this, id, done = std::move(done)](CallResult result, TimePoint later) {
        m_own_calls.erase(id);
        result.has_load = true;
        result.load = m_executor.Load();
        done(std::move(result), later);
      },
      now);
  const auto found = m_own_calls.find(id);
  if (found != m_own_calls.end()) found->second = handle;
}

void Relay::Cancel(const SocketAddress& node, uint64_t call_id, TimePoint now) {
  if (node != m_settings.peer_listener) {
    ClientFor(node).Cancel(call_id);
    return;
  }
  const auto found = m_own_calls.find(call_id);
  if (found == m_own_calls.end()) return;
  if (m_executor.Cancel(found->second, now)) m_own_calls.erase(call_id);
}

void Relay::OnPeerCall(const PeerCallKey& key, CallMessage message,
                       TimePoint now) {
  // The caller's node has decided by the size of the answer that it expects.
  const ByteBudget& memory = m_loop->memory();
  if (!memory.MayBeginRequest(true, true) ||
      !memory.HasRoom(ByteUse::kOrdinaryRequest, 0)) {
    OnPeerCallRefused(key, now);
    CallResult refusal;
    refusal.outcome = Outcome::kNotRun;
    refusal.code = RefusalCode::kNoMemory;
    m_peer_server.Answer(key, std::move(refusal), now);
    return;
  }
  m_peer_calls[key] = 0;
  const CallExecutor::Handle handle = m_executor.Start(
      std::move(message),
      [this, key](CallResult result, TimePoint later) {
        m_peer_calls.erase(key);
        m_peer_server.Answer(key, std::move(result), later);
      },
      now);
  const auto found = m_peer_calls.find(key);
  if (found != m_peer_calls.end()) found->second = handle;
}

void Relay::OnPeerCallRefused(const PeerCallKey& key, TimePoint now) {
  ++m_metrics.memory_refusals;
  m_log->Write(
      LogTopic::kRequest, "call-refused",
      {{"caller", std::to_string(key.incarnation)},
       {"call", std::to_string(key.id)},
       {"reason", std::string(RefusalCodeName(RefusalCode::kNoMemory))},
       {"held", std::to_string(m_loop->memory().used())},
       {"budget", std::to_string(m_loop->memory().capacity())}},
      now);
}

void Relay::OnAnswersDiscarded(size_t answers, TimePoint now) {
  m_metrics.answers_discarded += answers;
  m_log->Write(LogTopic::kRequest, "answers-discarded",
               {{"answers", std::to_string(answers)},
                {"held", std::to_string(m_loop->memory().used())},
                {"budget", std::to_string(m_loop->memory().capacity())}},
               now);
}

void Relay::OnPeerCancel(const PeerCallKey& key, TimePoint now) {
  const auto found = m_peer_calls.find(key);
  if (found == m_peer_calls.end()) return;
  if (!m_executor.Cancel(found->second, now)) return;
  m_peer_calls.erase(key);
  m_peer_server.Forget(key);
}

void Relay::OnPeerFrame(const relay::Frame& frame,
                        const std::function<void(const relay::Frame&)>& reply,
                        TimePoint now) {
  m_fleet_state.OnFrame(frame, reply, now);
}

relay::View Relay::View() const { return m_fleet_state.View(); }

relay::Hello Relay::MakeHello(TimePoint now) const {
  relay::Hello hello;
  hello.set_uptime_us(ToMicroseconds(now - m_started));
  hello.set_incarnation(m_settings.incarnation);
  *hello.mutable_view() = View();
  return hello;
}

void Relay::SendToNode(const SocketAddress& node, const relay::Frame& frame) {
  ClientFor(node).SendFrame(frame);
}

bool Relay::KeepConnected(const SocketAddress& node, TimePoint now) {
  PeerClient& client = ClientFor(node);
  client.KeepConnected(now);
  return client.IsUp();
}

std::vector<SocketAddress> Relay::ConnectedNodes() const {
  std::vector<SocketAddress> nodes;
  for (const auto& [node, client] : m_clients) {
    if (client->IsUp()) nodes.push_back(node);
  }
  return nodes;
}

void Relay::OnTick(TimePoint now) {
  m_executor.Tick(now);
  if (now >= m_next_periodic_tasks) {
    m_next_periodic_tasks = now + kTickPeriod;
    RunPeriodicTasks(now);
  }
  const Duration period =
      m_executor.Load().queued > 0 ? kQueueTickPeriod : kTickPeriod;
  m_tick_timer = m_loop->Schedule(now + period,
                                  [this](TimePoint later) { OnTick(later); });
}

void Relay::RunPeriodicTasks(TimePoint now) {
  for (const auto& [node, client] : m_clients) client->Tick(now);
  m_peer_server.Tick(now);
  m_fleet_state.Tick(now);
  m_callers->Tick(now);
  m_health_clients->Tick(now);
  m_router.CheckConfirmation(now);
  const PeerLoad load = m_executor.Load();
  m_metrics.gauges["in_flight"] = load.in_flight;
  m_metrics.gauges["queued"] = load.queued;
  m_metrics.gauges["server_calls_4s"] = m_executor.RecentCalls(now);
  m_metrics.gauges.erase("server_rate_limit");
  if (const auto& rate = m_executor.rate_limit()) {
    m_metrics.gauges["server_rate_limit"] = *rate;
  }
  m_metrics.gauges["concurrency_limit"] = load.concurrency_limit;
  m_metrics.gauges["config_version"] =
      static_cast<double>(m_router.config_version());
  UpdateMemoryMetrics();
  m_metrics.gauges["log_lines_lost"] = static_cast<double>(m_log->lost());
  m_log->Flush();
  if (m_stopped) ContinueStop(now);
}

void Relay::UpdateMemoryMetrics() {
  const ByteBudget& memory = m_loop->memory();
  const auto set = [this](const char* name, size_t value) {
    m_metrics.gauges[name] = static_cast<double>(value);
  };
  set("memory_budget_bytes", memory.capacity());
  set("held_bytes", memory.used());
  set("held_request_bytes", memory.used(ByteUse::kOrdinaryRequest) +
                                memory.used(ByteUse::kLargeRequest));
  set("held_output_bytes", memory.used(ByteUse::kOutput));
  set("held_retained_bytes", memory.used(ByteUse::kRetainedAnswer));
  set("held_peer_answer_bytes", memory.used(ByteUse::kPeerAnswer));
  set("unfinished_answer_bytes", memory.used(ByteUse::kServerAnswer));
  size_t held_responses = 0;
  m_callers->ForEach([&held_responses](const HttpServerSession& session) {
    held_responses += session.HeldBytes();
  });
  set("held_response_bytes", held_responses);
  set("caller_connections", m_callers->size());
  const HttpSessionPool::Counters& callers = m_callers->counters();
  const HttpSessionPool::Counters& health = m_health_clients->counters();
  m_metrics.stalled_requests =
      callers.stalled_requests + health.stalled_requests;
  m_metrics.stalled_readers = callers.stalled_readers + health.stalled_readers;
  m_metrics.idle_connections_closed =
      callers.idle_connections + health.idle_connections;
  m_metrics.connections_refused =
      callers.refused_connections + health.refused_connections;
}

void Relay::Stop(std::function<void()> stopped, TimePoint now) {
  if (m_stopped) return;
  m_stopped = std::move(stopped);
  m_stop_plan.emplace(now, m_settings.stop_grace);
  m_log->Write(LogTopic::kFleetState, "stopping", {}, now);
  m_executor.StartDraining(now);
  m_router.SetStopPlan(*m_stop_plan);
  m_peer_server.BroadcastLoad();
  m_stop_timer = m_loop->Schedule(m_stop_plan->answers_due(),
                                  [this](TimePoint later) { EndStop(later); });
}

void Relay::ContinueStop(TimePoint now) {
  if (now < m_stop_plan->notice_end()) return;
  m_router.StartDraining();
  m_callers->ForEach(
      [](HttpServerSession& session) { session.CloseAfterResponse(); });
  if (m_router.IsIdle() && m_executor.IsIdle()) FinishStop(true, now);
}

void Relay::EndStop(TimePoint now) {
  m_router.EndAll(now);
  m_stop_timer = m_loop->Schedule(
      now + kFlushTime, [this](TimePoint later) { FinishStop(false, later); });
}

void Relay::FinishStop(bool is_idle, TimePoint now) {
  m_loop->Cancel(&m_stop_timer);
  if (std::exchange(m_is_stop_finished, true)) return;
  m_log->Write(LogTopic::kFleetState, "stopped",
               {{"idle", is_idle ? "yes" : "no"}}, now);
  m_log->Flush();
  m_stopped();
}

}  // namespace vanillatiller
