#include "relay/request_router.h"

#include <algorithm>
#include <boost/random/uniform_01.hpp>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"
#include "relay/refusal_policy.h"

namespace vanillatiller {
namespace {

constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;
constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
constexpr int kFirstServerError = 500;
// Usual time for a stopped process to be replaced.
constexpr Duration kRestartTime = std::chrono::milliseconds(1500);
// Maximum time for which a request waits for routes and servers: two attempts
// to read them, of which the first fails.
constexpr Duration kMaxEarlyWait = std::chrono::milliseconds(1000);
// Divisor of the remaining time that gives a request's maximum wait for them.
constexpr int kEarlyWaitDivisor = 4;
// Usual time until memory for another request is free: a request that makes no
// progress has given way by then.
constexpr Duration kMemoryWait = std::chrono::milliseconds(1000);
// Remaining time assumed for a request without the header field.
constexpr Duration kDefaultTimeLeft = std::chrono::seconds(30);
// Minimum remaining time for another attempt.
constexpr Duration kMinTimeForRetry = std::chrono::milliseconds(50);

}  // namespace

// State of one request of a caller.
struct RequestRouter::Request {
  HttpResponderPtr responder;
  std::string id;
  // Without the body.
  HttpRequest http;
  HeldBytesPtr body;
  std::shared_ptr<ActiveRoute> route;
  std::string service;
  // The configuration that selected the route, when it had been confirmed, and
  // whether it was current at that time.
  uint64_t config_version = 0;
  TimePoint config_confirmed_at;
  bool is_config_current = true;
  TimePoint received;
  // Time until which the caller waits.
  TimePoint deadline;
  // Time by which the caller gets a response in any case.
  TimePoint answer_deadline;
  // Rank and shed hash of the root request; a nested request inherits them from
  // its parent call.
  uint32_t rank = 0;
  uint32_t shed_hash = 0;
  bool is_nested = false;
  bool is_continuation = false;
  // The parent call is a retry.
  bool parent_is_repeat = false;
  TimerId timer = 0;
  // Servers that the request was sent to, including those that refused it.
  std::vector<std::string> tried_servers;
  // Number of attempts that may have reached a server.
  uint32_t attempts = 0;
  bool may_have_run = false;
  // The last attempt failed because a downstream service is overloaded.
  bool overload_below = false;
  Duration shortest_wait = Duration::max();
  // Began although its answer may find no memory.
  bool is_trial = false;
  // A server takes no more calls a second.
  bool is_rate_limited = false;
  // ID of the call in progress; 0 if there is none.
  uint64_t call = 0;
  std::string server_id;
  SocketAddress node;
  std::shared_ptr<PeerState> state;
  std::shared_ptr<ServerQuality> quality;
  TimePoint sent_at;
  // Last error response from a server.
  std::optional<HttpResponse> failure;
  ByteCharge failure_charge;

  size_t BodyBytes() const { return body ? body->size() : 0; }
};

RequestRouter::RequestRouter(EventLoop* loop, const ProtocolNames* names,
                             std::string own_service,
                             const Placement* placement,
                             CallTransport* transport, CallExecutor* executor,
                             const WindowBudgetSettings& budget, EventLog* log,
                             RelayMetrics* metrics, uint64_t seed)
    : m_loop(loop),
      m_names(names),
      m_own_service(std::move(own_service)),
      m_placement(placement),
      m_transport(transport),
      m_executor(executor),
      m_budget(budget),
      m_log(log),
      m_metrics(metrics),
      m_random(seed) {}

RequestRouter::~RequestRouter() {
  for (auto& [key, early] : m_early_requests) m_loop->Cancel(&early.timer);
  for (const auto& [key, request] : m_requests) m_loop->Cancel(&request->timer);
}

std::shared_ptr<ActiveRoute> RequestRouter::FindRoute(
    const HttpRequest& http) const {
  if (!m_routes) return nullptr;
  return m_routes->Find(http.headers.Find(m_names->authority).value_or(""),
                        http.target);
}

bool RequestRouter::IsIdempotent(const HttpRequest& request) const {
  const auto route = FindRoute(request);
  return route && route->route().idempotent;
}

void RequestRouter::OnRequest(const HttpResponderPtr& responder,
                              HttpRequest http, TimePoint now) {
  if (!m_is_serving && !m_draining &&
      m_early_requests.size() < kMaxEarlyRequests) {
    QueueEarlyRequest(responder, std::move(http), now);
    return;
  }
  RouteRequest(responder, std::move(http), now);
}

void RequestRouter::QueueEarlyRequest(const HttpResponderPtr& responder,
                                      HttpRequest http, TimePoint now) {
  const Duration wait =
      std::min(kMaxEarlyWait,
               TimeLeft(http.headers, kDefaultTimeLeft) / kEarlyWaitDivisor);
  EarlyRequest& early = m_early_requests[responder.get()];
  early.responder = responder;
  early.http = std::move(http);
  early.timer = m_loop->Schedule(
      now + wait, [this, key = responder.get()](TimePoint later) {
        auto late = m_early_requests.extract(key);
        if (late.empty()) return;
        EarlyRequest& request = late.mapped();
        RouteRequest(request.responder, std::move(request.http), later);
      });
}

void RequestRouter::StartServing(TimePoint now) {
  if (std::exchange(m_is_serving, true)) return;
  m_log->Write(LogTopic::kFleetState, "serving",
               {{"config", std::to_string(config_version())},
                {"early_requests", std::to_string(m_early_requests.size())}},
               now);
  for (auto& [key, early] : std::exchange(m_early_requests, {})) {
    m_loop->Cancel(&early.timer);
    RouteRequest(early.responder, std::move(early.http), now);
  }
}

void RequestRouter::CheckConfirmation(TimePoint now) {
  const bool is_confirmed = !m_routes || m_confirmation.IsCurrent(now);
  if (is_confirmed == std::exchange(m_is_confirmed, is_confirmed)) return;
  m_log->Write(LogTopic::kFleetState,
               is_confirmed ? "config-confirmed" : "config-unconfirmed",
               {{"version", std::to_string(config_version())},
                {"confirmed_ms_ago", FormatAge(m_confirmation.at(), now)}},
               now);
}

Duration RequestRouter::TimeLeft(const HttpHeaders& headers,
                                 Duration default_value) const {
  uint64_t left_ms = 0;
  const auto left = headers.Find(m_names->time_left_ms);
  if (!left || !absl::SimpleAtoi(std::string(*left), &left_ms)) {
    return std::min(default_value, kMaxCallTime);
  }
  // A larger value would overflow the clock.
  constexpr uint64_t kMaxLeftMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(kMaxCallTime)
          .count();
  return std::chrono::milliseconds(std::min(left_ms, kMaxLeftMs));
}

void RequestRouter::RouteRequest(const HttpResponderPtr& responder,
                                 HttpRequest http, TimePoint now) {
  const std::shared_ptr<ActiveRoute> route = FindRoute(http);
  if (!route) {
    RespondUnrouted(responder, http, now);
    return;
  }
  auto request = std::make_shared<Request>();
  const TimePoint received = responder->received();
  request->responder = responder;
  request->id = http.headers.Find(m_names->request_id).value_or("");
  request->route = route;
  request->service = route->NextService();
  request->config_version = config_version();
  request->config_confirmed_at = m_confirmation.at();
  request->is_config_current = m_confirmation.IsCurrent(now);
  if (!request->is_config_current) ++m_metrics->requests_unconfirmed;
  request->received = received;
  request->deadline = received + TimeLeft(http.headers, route->route().timeout);
  request->answer_deadline =
      std::min(request->deadline, received + route->route().timeout);
  request->rank = route->route().rank;
  request->shed_hash = static_cast<uint32_t>(HashBytes(request->id));
  if (const auto parent = m_executor->FindParent(request->id)) {
    request->rank = parent->rank;
    request->shed_hash = parent->shed_hash;
    request->is_nested = true;
    request->is_continuation = parent->is_in_progress;
    request->parent_is_repeat = parent->is_repeat;
  }
  http.headers.RemoveConnectionFields();
  http.headers.Remove("expect");
  http.headers.Remove(m_names->time_left_ms);
  http.headers.Remove(m_names->target_server);
  http.headers.Remove(m_names->calling_service);
  http.headers.Add(m_names->calling_service, m_own_service);
  if (!http.body.empty()) {
    request->body = responder->ShareBody(std::exchange(http.body, {}));
  }
  request->http = std::move(http);
  request->timer = m_loop->Schedule(
      request->answer_deadline,
      [this, request](TimePoint later) { OnTimeout(request, later); });
  m_requests[responder.get()] = request;
  if (m_draining || !CanAnswerBeforeStop(*request, now)) {
    Refuse(request, RefusalCode::kLeaving, kRestartTime, now);
    return;
  }
  if (!ReserveAnswer(request, now)) {
    ++m_metrics->memory_refusals;
    Refuse(request, RefusalCode::kNoMemory, kMemoryWait, now);
    return;
  }
  if (request->parent_is_repeat) {
    RetryBudgetFor(request->service, now).RecordRetry(now);
  } else {
    RetryBudgetFor(request->service, now).RecordRequest(now);
  }
  SendToServer(request, now);
}

bool RequestRouter::ReserveAnswer(const RequestPtr& request, TimePoint now) {
  const ByteBudget& memory = m_loop->memory();
  const RelayRoute& route = request->route->route();
  // The work of a parent call would be lost.
  const bool is_urgent = request->rank == 0 || request->is_nested;
  const bool is_small = m_call_averages.MeanKilobytes(route.name) * 1024 <=
                        ByteBudget::kOrdinaryBytes;
  if (memory.MayBeginRequest(is_urgent, is_small)) return true;
  // The answers of a route differ in size. Nothing is lost if the answer of an
  // idempotent request must be discarded.
  const auto pause = m_trial_pauses.find(route.name);
  const bool is_paused = pause != m_trial_pauses.end() && now < pause->second;
  if (!route.idempotent || is_paused || m_trials >= kMaxTrials ||
      !memory.MayBeginRequest(true, true)) {
    // For those that come later.
    memory.Reclaim(ByteUse::kOutput);
    return false;
  }
  ++m_trials;
  request->is_trial = true;
  return true;
}

bool RequestRouter::CanHold(const HttpResponse& response) const {
  const size_t bytes = response.body.size();
  // For the decision only: the bytes are counted when they are queued.
  ByteCharge charge(&m_loop->memory(), bytes <= ByteBudget::kOrdinaryBytes
                                           ? ByteUse::kOutput
                                           : ByteUse::kPeerAnswer);
  return charge.TryResize(bytes);
}

bool RequestRouter::CanAnswerBeforeStop(const Request& request,
                                        TimePoint now) const {
  return !m_stop_plan ||
         m_stop_plan->MayStart(
             request.answer_deadline,
             m_durations.Longest(request.route->route().name, now), now);
}

void RequestRouter::SendToServer(const RequestPtr& request, TimePoint now) {
  const CallTraits traits = {
      m_call_averages.MeanKilobytes(request->route->route().name),
      request->rank};
  const Candidate* server = m_placement->Pick(
      request->service, traits, request->tried_servers, now, &m_random);
  if (server == nullptr || request->tried_servers.size() >= kMaxPlacements) {
    RefusalCode code = RefusalCode::kOverload;
    if (request->is_rate_limited) code = RefusalCode::kRateLimited;
    if (request->tried_servers.empty()) code = RefusalCode::kNoPeer;
    EndWithFailure(request, code, now);
    return;
  }
  request->tried_servers.push_back(server->id);
  request->server_id = server->id;
  request->node = server->node;
  request->state = server->state;
  request->quality = server->quality;
  request->sent_at = now;
  request->state->OnSent();
  const CallMessage message = {MakeCall(*request, *server, now), request->body};
  request->call = message.call.id();
  m_transport->Call(
      *server, message,
      [this, request, id = message.call.id()](CallResult result,
                                              TimePoint later) {
        if (request->call == id) OnResult(request, std::move(result), later);
      },
      now);
}

relay::Call RequestRouter::MakeCall(const Request& request,
                                    const Candidate& server, TimePoint now) {
  relay::Call call;
  call.set_id(++m_last_call);
  call.set_server_id(server.id);
  call.set_declared_slots(server.slots);
  call.set_method(request.http.method);
  call.set_target(request.http.target);
  EncodeHeaders(request.http.headers, call.mutable_headers());
  const RelayRoute& route = request.route->route();
  call.set_time_left_us(ToMicroseconds(request.answer_deadline - now));
  call.set_idempotent(route.idempotent);
  call.set_rank(request.rank);
  call.set_shed_hash(request.shed_hash);
  call.set_is_nested(request.is_nested);
  call.set_is_continuation(request.is_continuation);
  call.set_is_repeat(request.parent_is_repeat || request.attempts > 0);
  call.set_route(route.name);
  call.set_server_started_ms(server.started_ms);
  if (server.rate->limit) {
    call.set_server_rate_limit(*server.rate->limit);
    call.set_server_rate_request(server.rate->request_id);
  }
  return call;
}

void RequestRouter::OnResult(const RequestPtr& request, CallResult result,
                             TimePoint now) {
  request->call = 0;
  if (result.outcome == Outcome::kComplete && !CanHold(result.response)) {
    result.outcome = Outcome::kUnknown;
    result.code = RefusalCode::kNoMemory;
    result.response = {};
  }
  if (result.outcome == Outcome::kUnknown &&
      result.code == RefusalCode::kNoMemory) {
    ++m_metrics->answers_discarded;
    m_trial_pauses[request->route->route().name] = now + kTrialPause;
  }
  RecordResult(*request, result, now);
  // The connection of the request may have given way for its answer.
  if (!request->responder) return;
  switch (result.outcome) {
    case Outcome::kComplete:
      // The request ID is omitted between nodes; see ClassifyExchange().
      result.response.headers.Add(m_names->request_id, request->id);
      if (result.response.status >= kFirstServerError) {
        request->failure_charge =
            ByteCharge(&m_loop->memory(), ByteUse::kOutput);
        request->failure_charge.Resize(result.response.body.capacity());
        request->failure = std::move(result.response);
        OnFailed(request, result, now);
        return;
      }
      if (request->is_nested) m_executor->OnNestedAnswered(request->id);
      Answer(request, std::move(result.response), "answered",
             RefusalCode::kNone, now);
      return;
    case Outcome::kNotRun:
      OnNotRun(request, result, now);
      return;
    case Outcome::kUnknown:
      OnFailed(request, result, now);
      return;
  }
}

void RequestRouter::RecordResult(const Request& request,
                                 const CallResult& result, TimePoint now) {
  PeerState& state = *request.state;
  // This node had no memory for the answer, which says nothing of the other.
  if (result.code == RefusalCode::kNoMemory && !result.has_load) {
    state.OnAbandoned();
    return;
  }
  if (result.code == RefusalCode::kBackendUnreachable) {
    state.OnFailure(PeerFailure::kBackendDown, now);
    return;
  }
  if (!result.has_load) {
    state.OnFailure(PeerFailure::kUnreachable, now);
    return;
  }
  state.OnAnswer(result.load, now);
  const bool was_served = result.outcome == Outcome::kComplete &&
                          result.response.status < kFirstServerError;
  if (was_served) {
    const double relative_time =
        m_call_averages.Add(request.route->route().name, now - request.sent_at,
                            request.BodyBytes() + result.response.body.size());
    request.quality->OnSuccess(relative_time, now);
    return;
  }
  // Refusals by the server's node indicate load, not poor quality.
  const bool is_servers_failure = result.outcome != Outcome::kNotRun ||
                                  result.code == RefusalCode::kBackendRefused;
  // A node had no memory for the answer.
  if (result.code == RefusalCode::kNoMemory) return;
  if (is_servers_failure && !result.overload_below) {
    request.quality->OnFailure(now);
  }
}

void RequestRouter::OnNotRun(const RequestPtr& request,
                             const CallResult& result, TimePoint now) {
  if (result.expected_wait > Duration::zero()) {
    request->shortest_wait =
        std::min(request->shortest_wait, result.expected_wait);
  }
  if (result.code == RefusalCode::kRateLimited) request->is_rate_limited = true;
  // The server itself received and refused the request, so an attempt on
  // another server counts as a retry.
  if (result.code == RefusalCode::kBackendRefused ||
      result.code == RefusalCode::kUnknownIncarnation) {
    ++request->attempts;
    if (!CanRetry(*request, now) || !SpendRetry(*request, now)) {
      EndWithFailure(request, result.code, now);
      return;
    }
  }
  if (now + kMinTimeForRetry >= request->answer_deadline) {
    EndWithFailure(request, result.code, now);
    return;
  }
  SendToServer(request, now);
}

bool RequestRouter::CanRetry(const Request& request, TimePoint now) const {
  const RelayRoute& route = request.route->route();
  return request.attempts < route.max_attempts &&
         now + kMinTimeForRetry < request.answer_deadline;
}

void RequestRouter::OnFailed(const RequestPtr& request,
                             const CallResult& result, TimePoint now) {
  ++request->attempts;
  request->may_have_run = true;
  // If a nested call was refused, a retry would send the same calls to the
  // overloaded service again.
  request->overload_below = result.overload_below;
  const bool may_help =
      !result.overload_below && result.code != RefusalCode::kNoMemory;
  if (request->route->route().idempotent && may_help &&
      CanRetry(*request, now) && SpendRetry(*request, now)) {
    SendToServer(request, now);
    return;
  }
  EndWithFailure(request, result.code, now);
}

void RequestRouter::EndWithFailure(const RequestPtr& request, RefusalCode code,
                                   TimePoint now) {
  if (!request->may_have_run) {
    Refuse(request, code, request->shortest_wait, now);
    return;
  }
  if (request->failure) {
    Answer(request, *std::move(request->failure), "server-failed", code, now);
    return;
  }
  const int status =
      code == RefusalCode::kDeadlineExceeded ? kGatewayTimeout : kBadGateway;
  Fail(request, status, code, now);
}

bool RequestRouter::SpendRetry(const Request& request, TimePoint now) {
  const double standing =
      RetryPriority(request.rank, request.is_continuation, request.shed_hash);
  if (RetryBudgetFor(request.service, now).TrySpend(standing, now)) {
    ++m_metrics->retries;
    return true;
  }
  ++m_metrics->retries_denied;
  return false;
}

WindowBudget& RequestRouter::RetryBudgetFor(const std::string& service,
                                            TimePoint now) {
  std::unique_ptr<WindowBudget>& budget = m_budgets[service];
  if (!budget) budget = std::make_unique<WindowBudget>(m_budget, now);
  return *budget;
}

void RequestRouter::AbandonCall(const RequestPtr& request, TimePoint now) {
  if (request->call == 0) return;
  m_transport->Cancel(request->node, request->call, now);
  request->state->OnAbandoned();
  request->call = 0;
  request->may_have_run = true;
}

void RequestRouter::OnTimeout(const RequestPtr& request, TimePoint now) {
  request->timer = 0;
  if (request->call != 0) request->quality->OnFailure(now);
  AbandonCall(request, now);
  Fail(request, kGatewayTimeout, RefusalCode::kDeadlineExceeded, now);
}

void RequestRouter::EndAll(TimePoint now) {
  m_draining = true;
  for (auto& [key, early] : std::exchange(m_early_requests, {})) {
    m_loop->Cancel(&early.timer);
    RouteRequest(early.responder, std::move(early.http), now);
  }
  for (const auto& [key, request] : std::map(m_requests)) {
    AbandonCall(request, now);
    EndWithFailure(request, RefusalCode::kLeaving, now);
  }
}

void RequestRouter::OnCallerDisconnected(const HttpResponderPtr& responder,
                                         TimePoint now) {
  if (auto early = m_early_requests.extract(responder.get())) {
    m_loop->Cancel(&early.mapped().timer);
    ++m_metrics->callers_gone;
    return;
  }
  const auto found = m_requests.find(responder.get());
  if (found == m_requests.end()) return;
  const RequestPtr request = found->second;
  ++m_metrics->callers_gone;
  AbandonCall(request, now);
  m_log->Write(
      LogTopic::kRequest, "caller-gone",
      {{"request", request->id},
       {"route", request->route->route().name},
       {"server", request->server_id},
       {"after_ms", std::to_string(ToMilliseconds(now - request->received))}},
      now);
  RemoveRequest(request);
}

void RequestRouter::Refuse(const RequestPtr& request, RefusalCode code,
                           Duration wait, TimePoint now) {
  if (wait == Duration::max()) wait = Duration::zero();
  HttpResponse response;
  response.status = kUnavailable;
  AddRetryAfter(&response, wait, request->deadline - now,
                request->route->route().objective);
  Answer(request, std::move(response), "refused", code, now);
}

void RequestRouter::AddRetryAfter(HttpResponse* response, Duration wait,
                                  Duration time_left, Duration objective) {
  boost::random::uniform_01<double> draw;
  const Duration after = RetryAfter(wait, time_left, objective, draw(m_random));
  response->headers.Add(
      m_names->retry_after,
      absl::StrFormat("%.3f", std::chrono::duration<double>(after).count()));
}

void RequestRouter::Fail(const RequestPtr& request, int status,
                         RefusalCode code, TimePoint now) {
  HttpResponse response;
  response.status = status;
  Answer(request, std::move(response), "failed", code, now);
}

void RequestRouter::Answer(const RequestPtr& request, HttpResponse response,
                           std::string_view decision, RefusalCode code,
                           TimePoint now) {
  ++m_metrics->answers[response.status];
  m_metrics->request_time.Add(now - request->received);
  if (decision != "refused") {
    m_durations.Add(request->route->route().name, now - request->received, now);
  }
  const bool is_served = decision == "answered";
  if (!is_served || !request->is_config_current) {
    m_log->Write(
        is_served ? LogTopic::kServed : LogTopic::kRequest, decision,
        {{"request", request->id},
         {"route", request->route->route().name},
         {"service", request->service},
         {"status", std::to_string(response.status)},
         {"reason", std::string(RefusalCodeName(code))},
         {"server", request->server_id},
         {"placements", std::to_string(request->tried_servers.size())},
         {"attempts", std::to_string(request->attempts)},
         {"after_ms", std::to_string(ToMilliseconds(now - request->received))},
         {"config", std::to_string(request->config_version)},
         {"config_confirmed_ms_before",
          FormatAge(request->config_confirmed_at, request->received)}},
        now);
  }
  const bool was_overloaded =
      IsOverload(code) && response.status == kUnavailable;
  if (request->is_nested && (request->overload_below || was_overloaded)) {
    m_executor->OnNestedOverloaded(request->id);
  }
  if (m_draining) request->responder->CloseAfterResponse();
  request->responder->Respond(std::move(response), now);
  RemoveRequest(request);
}

HttpResponse RequestRouter::MakeDenial(int status, const HttpHeaders& headers,
                                       TimePoint now) {
  HttpResponse response;
  response.status = status;
  if (m_routes && m_confirmation.IsCurrent(now)) return response;
  response.status = kUnavailable;
  AddRetryAfter(&response, kRestartTime, TimeLeft(headers, kDefaultTimeLeft),
                kRestartTime);
  return response;
}

HttpResponse RequestRouter::Reject(int status, const HttpHeaders& headers,
                                   TimePoint now) {
  const bool depends_on_limits =
      status == kBodyTooLarge || status == kHeadersTooLarge;
  HttpResponse response;
  response.status = status;
  if (depends_on_limits) response = MakeDenial(status, headers, now);
  if (status == kUnavailable) {
    ++m_metrics->memory_refusals;
    AddRetryAfter(&response, kMemoryWait, TimeLeft(headers, kDefaultTimeLeft),
                  kMemoryWait);
  }
  ++m_metrics->answers[response.status];
  m_log->Write(
      LogTopic::kRequest, "rejected",
      {{"request",
        std::string(headers.Find(m_names->request_id).value_or("-"))},
       {"problem", std::to_string(status)},
       {"status", std::to_string(response.status)},
       {"config", std::to_string(config_version())},
       {"config_confirmed_ms_before", FormatAge(m_confirmation.at(), now)}},
      now);
  return response;
}

void RequestRouter::RespondUnrouted(const HttpResponderPtr& responder,
                                    const HttpRequest& request, TimePoint now) {
  const HttpResponse response = MakeDenial(kNotFound, request.headers, now);
  ++m_metrics->answers[response.status];
  m_log->Write(
      LogTopic::kRequest, "unrouted",
      {{"request",
        std::string(request.headers.Find(m_names->request_id).value_or("-"))},
       {"authority",
        std::string(request.headers.Find(m_names->authority).value_or("-"))},
       {"target", request.target},
       {"status", std::to_string(response.status)},
       {"config", std::to_string(config_version())},
       {"config_confirmed_ms_before", FormatAge(m_confirmation.at(), now)}},
      now);
  responder->Respond(response, now);
}

void RequestRouter::RemoveRequest(const RequestPtr& request) {
  m_loop->Cancel(&request->timer);
  m_requests.erase(request->responder.get());
  if (std::exchange(request->is_trial, false)) --m_trials;
  // A call that may not be cancelled refers to the request until it ends.
  request->responder.reset();
  request->body.reset();
  request->http = {};
}

}  // namespace vanillatiller
