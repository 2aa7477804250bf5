#include "relay/call_executor.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "absl/strings/str_format.h"
#include "relay/call_order.h"
#include "relay/server_answer.h"

namespace vanillatiller {
namespace {

std::string FormatRate(std::optional<double> rate) {
  return rate ? absl::StrFormat("%g", *rate) : "none";
}

}  // namespace

CallExecutor::CallExecutor(EventLoop* loop, SocketAddress server,
                           const ProtocolNames* names, EventLog* log,
                           RelayMetrics* metrics, TimePoint now)
    : m_loop(loop),
      m_server(std::move(server)),
      m_names(names),
      m_log(log),
      m_metrics(metrics) {
  Findings findings;
  m_admission = Admission::Builder()
                    .SetSlots(m_slots)
                    .SetPolicy(AdmissionPolicy::kRanked)
                    .SetMaxQueueWait(kMaxQueueWait)
                    .Build(now, &findings);
}

CallExecutor::~CallExecutor() {
  m_loop->Cancel(&m_rate_timer);
  for (auto& [handle, local] : m_calls) {
    m_loop->Cancel(&local.timer);
    if (local.session) local.session->Abort();
  }
}

void CallExecutor::Resize(uint32_t slots) {
  if (slots == 0 || slots == m_slots) return;
  m_slots = slots;
  m_admission->SetSlots(slots);
}

CallExecutor::Handle CallExecutor::Start(CallMessage message, Done done,
                                         TimePoint now) {
  // The directory of the caller's node may be newer than this node's.
  Resize(message.call.declared_slots());
  const Handle handle = ++m_last_handle;
  LocalCall& local = m_calls[handle];
  local.call = std::move(message.call);
  local.body = std::move(message.body);
  const relay::Call& call = local.call;
  local.done = std::move(done);
  local.received = now;
  local.deadline = now + TimeLeft(call);
  const HttpHeaders headers = DecodeHeaders(call.headers());
  local.request_id = headers.Find(m_names->request_id).value_or("");
  if (m_draining || IsForLeavingServer(call)) {
    Finish(handle, MakeRefusal(RefusalCode::kLeaving), now);
    return handle;
  }
  OnReportedRate(call, now);
  AdmissionActions actions;
  m_admission->Offer(MakeWork(local.call, handle, now), now, &actions);
  ApplyActions(&actions, now);
  return handle;
}

void CallExecutor::ApplyActions(AdmissionActions* actions, TimePoint now) {
  // Applying an action may finish a call and append further actions.
  for (size_t i = 0; i < actions->size(); ++i) {
    const AdmissionAction action = (*actions)[i];
    if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
      m_metrics->queue_wait.Add(dispatch->queue_wait);
      Run(dispatch->id, now);
      continue;
    }
    const Refuse& refuse = std::get<Refuse>(action);
    CallResult refusal = MakeRefusal(refuse.code);
    refusal.expected_wait = m_admission->State().drain_time;
    Finish(refuse.id, std::move(refusal), now);
  }
  ScheduleRateDispatch(now);
}

void CallExecutor::ScheduleRateDispatch(TimePoint now) {
  if (m_rate_timer != 0) return;
  const auto next = m_admission->NextRateDispatch(now);
  if (!next) return;
  m_rate_timer = m_loop->Schedule(*next, [this](TimePoint later) {
    m_rate_timer = 0;
    Tick(later);
  });
}

CallResult CallExecutor::MakeRefusal(RefusalCode code) {
  CallResult result;
  result.outcome = Outcome::kNotRun;
  result.code = code;
  return result;
}

HttpRequest CallExecutor::MakeRequest(const LocalCall& local,
                                      TimePoint now) const {
  HttpRequest request;
  request.method = local.call.method();
  request.target = local.call.target();
  request.headers = DecodeHeaders(local.call.headers());
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      local.deadline - now);
  request.headers.Add(m_names->time_left_ms,
                      std::to_string(std::max<int64_t>(left.count(), 1)));
  request.headers.Add(m_names->target_server, local.call.server_id());
  return request;
}

void CallExecutor::Run(Handle handle, TimePoint now) {
  const auto found = m_calls.find(handle);
  if (found == m_calls.end()) return;
  LocalCall& local = found->second;
  local.dispatched = now;
  local.server = TargetOf(local.call);
  m_dispatched_calls.Add(now);
  m_active_by_request_id[local.request_id] = handle;
  local.session = AcquireSession(local.request_id, now);
  local.timer = m_loop->Schedule(local.deadline + kDeadlineGrace,
                                 [this, handle](TimePoint t) {
                                   const auto late = m_calls.find(handle);
                                   if (late == m_calls.end()) return;
                                   late->second.session->Abort();
                                   CallResult result;
                                   result.code = RefusalCode::kDeadlineExceeded;
                                   Finish(handle, std::move(result), t);
                                 });
  local.session->Send(
      MakeRequest(local, now), std::exchange(local.body, nullptr),
      [this, handle](ExchangeResult exchange, TimePoint t) {
        OnExchange(handle, std::move(exchange), t);
      },
      now);
}

void CallExecutor::OnExchange(Handle handle, ExchangeResult exchange,
                              TimePoint now) {
  const auto found = m_calls.find(handle);
  if (found == m_calls.end()) return;
  ReturnSession(std::exchange(found->second.session, nullptr), now);
  CallResult result = ClassifyExchange(std::move(exchange), *m_names);
  if (result.has_notice) OnNotice(found->second, result.notice, now);
  Finish(handle, std::move(result), now);
}

void CallExecutor::OnNotice(const LocalCall& local, const ServerNotice& notice,
                            TimePoint now) {
  // Without the list, calls name the server on this VM.
  if (m_incarnation.id.empty()) m_incarnation = local.server;
  OnRateNotice(local, notice, now);
  if (notice.is_leaving) OnLeavingNotice(local, now);
}

void CallExecutor::OnRateNotice(const LocalCall& local,
                                const ServerNotice& notice, TimePoint now) {
  if (notice.is_unreadable) {
    if (notice.unreadable == m_unreadable_notice) return;
    m_unreadable_notice = notice.unreadable;
    m_log->Write(LogTopic::kFleetState, "server-limit-ignored",
                 {{"server", local.call.server_id()},
                  {"request", local.request_id},
                  {"value", notice.unreadable}},
                 now);
    return;
  }
  const std::optional<double> before = m_rate.rate();
  if (m_rate.OnAnswer(notice.rate_limit, local.request_id, local.dispatched,
                      now)) {
    ApplyRate(before, "answer", now);
  }
}

ServerIncarnation CallExecutor::TargetOf(const relay::Call& call) const {
  ServerIncarnation server{call.server_id(), call.server_started_ms()};
  // Either node may be the first to know of a restart.
  if (server.id == m_incarnation.id) {
    server.started_ms = std::max(server.started_ms, m_incarnation.started_ms);
  }
  return server;
}

bool CallExecutor::IsForLeavingServer(const relay::Call& call) const {
  return m_leaving && call.server_id() == m_leaving->id &&
         TargetOf(call).started_ms <= m_leaving->started_ms;
}

void CallExecutor::OnLeavingNotice(const LocalCall& local, TimePoint now) {
  if (m_leaving == local.server) return;
  m_leaving = local.server;
  m_leaving_request = local.request_id;
  const AdmissionState state = m_admission->State();
  m_log->Write(LogTopic::kFleetState, "server-leaving",
               {{"server", local.server.id},
                {"started_ms", std::to_string(local.server.started_ms)},
                {"source", "answer"},
                {"request", local.request_id},
                {"in_flight", std::to_string(state.in_flight)},
                {"queued", std::to_string(state.queued)}},
               now);
  // Queued calls have not run, so that they can go to another server.
  AdmissionActions actions;
  m_admission->RefuseQueued(RefusalCode::kLeaving, now, &actions);
  ApplyActions(&actions, now);
  if (m_notice_listener) m_notice_listener(now);
}

void CallExecutor::OnReportedRate(const relay::Call& call, TimePoint now) {
  if (!call.has_server_rate_limit()) return;
  // The caller's node may not know that another server, or another run of it,
  // is on this VM now.
  const bool is_known = !m_incarnation.id.empty();
  if (is_known && (call.server_id() != m_incarnation.id ||
                   call.server_started_ms() < m_incarnation.started_ms)) {
    return;
  }
  const std::optional<double> before = m_rate.rate();
  if (m_rate.OnReport(call.server_rate_limit(), call.server_rate_request(),
                      now)) {
    ApplyRate(before, "node", now);
  }
}

void CallExecutor::ApplyRate(std::optional<double> before,
                             std::string_view source, TimePoint now) {
  const AdmissionState state = m_admission->State();
  m_log->Write(LogTopic::kFleetState, "server-limit",
               {{"server", m_incarnation.id},
                {"limit", FormatRate(m_rate.rate())},
                {"before", FormatRate(before)},
                {"source", std::string(source)},
                {"request", m_rate.request_id()},
                {"calls_4s", std::to_string(m_dispatched_calls.Count(now))},
                {"in_flight", std::to_string(state.in_flight)},
                {"queued", std::to_string(state.queued)}},
               now);
  AdmissionActions actions;
  m_admission->SetRateLimit(m_rate.rate(), now, &actions);
  ApplyActions(&actions, now);
  if (m_notice_listener) m_notice_listener(now);
}

void CallExecutor::LogRateRefusal(const LocalCall& local, TimePoint now) {
  m_log->Write(LogTopic::kRequest, "rate-limited",
               {{"request", local.request_id},
                {"server", local.call.server_id()},
                {"limit", FormatRate(m_rate.rate())},
                {"limit_request", m_rate.request_id()},
                {"limit_read_ms_ago", FormatAge(m_rate.read_at(), now)},
                {"calls_4s", std::to_string(m_dispatched_calls.Count(now))}},
               now);
}

std::optional<relay::ServerNotice> CallExecutor::Notice() const {
  const bool is_leaving = m_leaving && m_leaving->id == m_incarnation.id &&
                          m_leaving->started_ms >= m_incarnation.started_ms;
  if (!is_leaving && !m_rate.has_known_limit()) return std::nullopt;
  const ServerIncarnation& server = is_leaving ? *m_leaving : m_incarnation;
  relay::ServerNotice notice;
  notice.set_server_id(server.id);
  notice.set_started_ms(server.started_ms);
  if (m_rate.rate()) {
    notice.set_rate_limit(*m_rate.rate());
    notice.set_request_id(m_rate.request_id());
  }
  if (is_leaving) {
    notice.set_leaving(true);
    notice.set_leaving_request(m_leaving_request);
  }
  return notice;
}

void CallExecutor::Finish(Handle handle, CallResult result, TimePoint now) {
  const auto found = m_calls.find(handle);
  if (found == m_calls.end()) return;
  LocalCall local = std::move(found->second);
  m_calls.erase(found);
  m_loop->Cancel(&local.timer);
  const auto active = m_active_by_request_id.find(local.request_id);
  if (active != m_active_by_request_id.end() && active->second == handle) {
    m_active_by_request_id.erase(active);
  }
  const bool was_dispatched = local.dispatched != TimePoint{};
  result.overload_below = local.overload_below;
  if (was_dispatched) m_metrics->server_time.Add(now - local.dispatched);
  m_metrics->CountCall(result.outcome);
  if (result.outcome != Outcome::kComplete) {
    m_log->Write(LogTopic::kRequest, "call-ended",
                 {{"request", local.request_id},
                  {"route", local.call.route()},
                  {"server", local.call.server_id()},
                  {"outcome", std::string(OutcomeName(result.outcome))},
                  {"reason", std::string(RefusalCodeName(result.code))},
                  {"waited_ms", std::to_string(ToMilliseconds(
                                    (was_dispatched ? local.dispatched : now) -
                                    local.received))},
                  {"in_flight", std::to_string(m_admission->State().in_flight)},
                  {"queued", std::to_string(m_admission->State().queued)},
                  {"limit", std::to_string(m_admission->State().limit)}},
                 now);
  }
  if (result.code == RefusalCode::kRateLimited) LogRateRefusal(local, now);
  if (was_dispatched) ReleaseSlot(handle, result, now);
  if (!local.is_cancelled) local.done(std::move(result), now);
}

void CallExecutor::ReleaseSlot(Handle handle, const CallResult& result,
                               TimePoint now) {
  BackendResult backend;
  backend.outcome = BackendOutcome::kOk;
  if (IsShed(result)) backend.outcome = BackendOutcome::kShed;
  if (result.outcome == Outcome::kUnknown) {
    backend.outcome = BackendOutcome::kFailed;
  }
  AdmissionActions actions;
  m_admission->OnFinished(handle, backend, now, &actions);
  ApplyActions(&actions, now);
}

bool CallExecutor::Cancel(Handle handle, TimePoint now) {
  const auto found = m_calls.find(handle);
  if (found == m_calls.end()) return true;
  LocalCall& local = found->second;
  const bool is_running = local.dispatched != TimePoint{};
  if (is_running && !local.call.idempotent()) return false;
  local.is_cancelled = true;
  if (!is_running) {
    AdmissionActions actions;
    m_admission->OnCancelled(handle, now, &actions);
    ApplyActions(&actions, now);
    return true;
  }
  local.session->Abort();
  CallResult result;
  result.code = RefusalCode::kCancelled;
  Finish(handle, std::move(result), now);
  return true;
}

std::optional<CallExecutor::Handle> CallExecutor::FindParentHandle(
    std::string_view request_id) const {
  const size_t dot = request_id.rfind('.');
  if (dot == std::string_view::npos) return std::nullopt;
  const auto active = m_active_by_request_id.find(request_id.substr(0, dot));
  if (active == m_active_by_request_id.end()) return std::nullopt;
  return active->second;
}

std::optional<CallExecutor::ActiveCall> CallExecutor::FindParent(
    std::string_view request_id) const {
  const auto handle = FindParentHandle(request_id);
  if (!handle) return std::nullopt;
  const LocalCall& parent = m_calls.at(*handle);
  return ActiveCall{parent.call.rank(), parent.call.shed_hash(),
                    parent.deadline,
                    parent.is_in_progress || parent.call.is_continuation(),
                    parent.call.is_repeat()};
}

void CallExecutor::OnNestedAnswered(std::string_view request_id) {
  if (const auto handle = FindParentHandle(request_id)) {
    m_calls.at(*handle).is_in_progress = true;
  }
}

void CallExecutor::OnNestedOverloaded(std::string_view request_id) {
  if (const auto handle = FindParentHandle(request_id)) {
    m_calls.at(*handle).overload_below = true;
  }
}

void CallExecutor::StartDraining(TimePoint now) {
  m_draining = true;
  AdmissionActions actions;
  m_admission->RefuseQueued(RefusalCode::kLeaving, now, &actions);
  ApplyActions(&actions, now);
}

void CallExecutor::OnServerChanged(const ServerIncarnation& server,
                                   uint32_t slots, bool is_cold,
                                   TimePoint now) {
  Resize(slots);
  const bool is_other_server =
      !m_incarnation.id.empty() && m_incarnation != server;
  m_incarnation = server;
  if (is_other_server) {
    const std::optional<double> before = m_rate.rate();
    m_rate.Reset();
    if (before) ApplyRate(before, "restart", now);
  }
  if (is_cold) m_admission->OnBackendRestarted(now);
  m_idle_sessions.clear();
}

PeerLoad CallExecutor::Load() const {
  const AdmissionState state = m_admission->State();
  return {state.in_flight, state.queued, state.usable_slots, m_draining,
          state.rate_limit.has_value()};
}

std::shared_ptr<HttpClientSession> CallExecutor::AcquireSession(
    std::string_view request_id, TimePoint now) {
  for (auto it = m_idle_sessions.end(); it != m_idle_sessions.begin();) {
    --it;
    if (!(*it)->IsReusable(now)) {
      it = m_idle_sessions.erase(it);
      continue;
    }
    if ((*it)->HasCarried(request_id)) continue;
    std::shared_ptr<HttpClientSession> session = std::move(*it);
    m_idle_sessions.erase(it);
    return session;
  }
  return std::make_shared<HttpClientSession>(
      m_loop, m_server, m_names->request_id, kAnswerLimits);
}

void CallExecutor::ReturnSession(std::shared_ptr<HttpClientSession> session,
                                 TimePoint now) {
  if (session && session->IsReusable(now)) {
    m_idle_sessions.push_back(std::move(session));
  }
}

void CallExecutor::Tick(TimePoint now) {
  AdmissionActions actions;
  m_admission->OnTick(now, &actions);
  ApplyActions(&actions, now);
  std::erase_if(m_idle_sessions,
                [now](const std::shared_ptr<HttpClientSession>& item) {
                  return !item->IsReusable(now);
                });
}

}  // namespace vanillatiller
