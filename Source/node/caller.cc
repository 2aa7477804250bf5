#include "node/caller.h"

#include <algorithm>
#include <future>
#include <thread>
#include <utility>

namespace vanillatiller {
namespace {

constexpr std::chrono::milliseconds kConnectTimeout{1000};
constexpr std::chrono::milliseconds kFenceTimeout{250};
constexpr std::chrono::milliseconds kInitialFenceDelay{10};
constexpr std::chrono::milliseconds kMaxFenceDelay{160};

std::chrono::system_clock::time_point GrpcDeadline(Duration time_left) {
  return std::chrono::system_clock::now() +
         std::chrono::duration_cast<std::chrono::system_clock::duration>(
             time_left);
}

CallAnswer AnswerFromStatus(const grpc::Status& status, bool is_lost) {
  if (is_lost) {
    return UnknownOutcome(RefusalCode::kConnectionLost,
                          "connection to the peer stopped responding");
  }
  const std::string text = "call to peer failed: " + status.error_message();
  if (status.error_code() == grpc::StatusCode::CANCELLED) {
    return UnknownOutcome(RefusalCode::kCancelled, text);
  }
  if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED) {
    return UnknownOutcome(RefusalCode::kDeadlineExceeded, text);
  }
  return UnknownOutcome(RefusalCode::kConnectionLost, text);
}

// gRPC uses the same status code for a connection that could not be established
// and for one that was lost; only the message distinguishes them.
bool IsConnectFailure(const grpc::Status& status) {
  return status.error_code() == grpc::StatusCode::UNAVAILABLE &&
         status.error_message().find("failed to connect") != std::string::npos;
}

RetrySettings MakeRetrySettings(const NodeSettings& settings) {
  RetrySettings result;
  if (settings.retries == RetryPolicyKind::kPlain) {
    result.mode = RetryMode::kPlain;
  }
  return result;
}

bool MayHaveRun(FailureKind kind) {
  return kind == FailureKind::kAnswerLost ||
         kind == FailureKind::kBackendLost || kind == FailureKind::kUnknown;
}

bool IsComplete(const CallAnswer& answer) {
  return answer.outcome == Outcome::kComplete;
}

}  // namespace

Caller::Caller(const Dependencies& dependencies)
    : m_settings(dependencies.settings),
      m_ids(dependencies.ids),
      m_channels(dependencies.channels),
      m_router(dependencies.router),
      m_callee(dependencies.callee),
      m_metrics(dependencies.metrics),
      m_policy(MakeRetrySettings(dependencies.settings)) {}

CallAnswer Caller::Call(const OutgoingCall& call, Cancellation& cancellation,
                        TimePoint now) {
  if (call.context.deadline <= now) {
    return NotRun(RefusalCode::kDeadlineExceeded, "deadline has expired");
  }
  Reason reason;
  std::optional<PeerChoice> choice =
      m_router.Pick(call.context, call.body.size(), {}, now, &reason);
  if (!choice) return NotRun(reason.code, reason.text);
  Attempt attempt;
  attempt.choice = std::move(*choice);
  Progress progress = {.share = call.budget->TakeFirst(call.callee)};
  progress.retry.idempotent = call.context.idempotent;
  progress.retry.known_context = call.known_context;
  progress.retry.deadline = call.context.deadline;
  while (true) {
    MakeAttempt(call, cancellation, progress, attempt);
    const RetryDecision decision = DecideNext(cancellation, progress, attempt);
    if (IsComplete(attempt.answer)) {
      m_edge_budgets.Get(call.context.service, now)
          .RecordSuccess(BootClock::now());
      break;
    }
    const bool is_retried =
        decision.action == RetryAction::kRetryElsewhere &&
        PrepareRetry(call, decision, cancellation, progress, attempt);
    if (is_retried) continue;
    attempt.answer.outcome = decision.outcome;
    break;
  }
  attempt.answer.attempts = progress.attempts;
  return std::move(attempt.answer);
}

void Caller::MakeAttempt(const OutgoingCall& call, Cancellation& cancellation,
                         Progress& progress, Attempt& attempt) {
  attempt.context = call.context;
  attempt.context.call = m_ids.NextCall();
  attempt.context.callee_incarnation = attempt.choice.member.incarnation;
  attempt.context.extra_attempts = progress.share.Count();
  progress.tried_vms.push_back(attempt.choice.member.vm);
  RunMeasuredAttempt(call, cancellation, progress.tried_vms.size() == 1,
                     attempt);
}

void Caller::RunMeasuredAttempt(const OutgoingCall& call,
                                Cancellation& cancellation, bool is_first,
                                Attempt& attempt) {
  const TimePoint start = BootClock::now();
  AttemptSample sample;
  // A request of an external caller does not originate in the service of this
  // node.
  if (call.context.depth != 0) sample.caller = m_settings.service;
  sample.callee = call.context.service;
  sample.rank = call.context.rank;
  sample.first = is_first;
  m_metrics.StartAttempt(sample.caller, sample.callee, sample.rank);
  if (attempt.choice.member.vm == m_settings.vm) {
    AttemptLocal(call.body, cancellation, attempt);
  } else {
    AttemptRemote(call.body, cancellation, attempt);
  }
  const CallAnswer& answer = attempt.answer;
  sample.outcome = answer.outcome;
  sample.refusal = answer.reason.code;
  sample.refused_by = answer.refused_by;
  sample.round_trip = BootClock::now() - start;
  sample.queue_wait = answer.queue_wait;
  sample.backend_time = answer.backend_time;
  m_metrics.EndAttempt(sample);
}

RetryDecision Caller::DecideNext(Cancellation& cancellation, Progress& progress,
                                 Attempt& attempt) {
  const auto random_fraction = [this] {
    return static_cast<double>(m_ids.NextRandom64() >> 11) * 0x1.0p-53;
  };
  RetryDecision decision;
  while (!IsComplete(attempt.answer)) {
    const std::string& refused_by = attempt.answer.refused_by;
    const bool is_adjacent =
        refused_by.empty() || refused_by == attempt.context.service;
    decision = m_policy.Decide({attempt.failure, is_adjacent}, progress.retry,
                               BootClock::now(), random_fraction);
    if (decision.action != RetryAction::kFenceFirst) break;
    Fence(cancellation, attempt);
  }
  if (attempt.failure == FailureKind::kNeverRuns &&
      !IsComplete(attempt.answer)) {
    progress.share.RefundAll();
  } else {
    progress.share.Refund(attempt.answer.unspent_attempts);
  }
  progress.attempts += std::max(attempt.answer.attempts, 1U);
  return decision;
}

bool Caller::PrepareRetry(const OutgoingCall& call,
                          const RetryDecision& decision,
                          Cancellation& cancellation, Progress& progress,
                          Attempt& attempt) {
  std::this_thread::sleep_for(decision.delay);
  const TimePoint now = BootClock::now();
  if (cancellation.IsCancelled() || now >= call.context.deadline) return false;
  Reason reason;
  std::optional<PeerChoice> choice = m_router.Pick(
      call.context, call.body.size(), progress.tried_vms, now, &reason);
  // The plain policy may retry on a server that was tried before.
  const bool is_plain = m_policy.Settings().mode == RetryMode::kPlain;
  if (!choice && is_plain) {
    choice = m_router.Pick(call.context, call.body.size(), {}, now, &reason);
  }
  if (!choice) return false;
  EdgeBudget& edge = m_edge_budgets.Get(call.context.service, now);
  std::optional<AttemptShare> share =
      m_policy.TakeRetry(*call.budget, edge, call.callee, now);
  if (!share) {
    attempt.answer.reason.text += "; retry budget exhausted";
    return false;
  }
  progress.share = std::move(*share);
  ++progress.retry.attempts;
  if (MayHaveRun(attempt.failure)) progress.retry.may_have_run = true;
  attempt.choice = std::move(*choice);
  return true;
}

void Caller::AttemptLocal(const std::string& body, Cancellation& cancellation,
                          Attempt& attempt) {
  const TimePoint now = BootClock::now();
  attempt.context.callee_incarnation = m_callee.incarnation();
  attempt.context.not_after = attempt.context.deadline;
  attempt.choice.state->OnSent();
  std::promise<CallAnswer> promise;
  m_callee.Handle(
      attempt.context, body,
      [&promise](CallAnswer answer) { promise.set_value(std::move(answer)); },
      now);
  const uint64_t key = cancellation.Add(
      [this, call = attempt.context.call, now] { m_callee.Cancel(call, now); });
  attempt.answer = promise.get_future().get();
  cancellation.Remove(key);
  attempt.failure =
      ClassifyAnswer(attempt.answer.outcome, attempt.answer.reason.code);
  PeerRouter::UpdatePeerState(*attempt.choice.state, attempt.answer,
                              BootClock::now());
}

void Caller::AttemptRemote(const std::string& body, Cancellation& cancellation,
                           Attempt& attempt) {
  const std::string& address = attempt.choice.member.peer_address;
  OutgoingAttempt outgoing;
  outgoing.choice = attempt.choice;
  m_router.OnAttemptStarted(outgoing, BootClock::now());
  const Duration time_left = attempt.context.deadline - BootClock::now();
  bool is_answered = true;
  if (!m_channels.WaitUntilConnected(
          address, std::min<Duration>(time_left, kConnectTimeout)) ||
      !SetCalleeClock(address, &attempt.context)) {
    attempt.answer =
        NotRun(RefusalCode::kConnectionLost,
               "could not connect to the peer; the call was not sent");
    attempt.answer.unspent_attempts = attempt.context.extra_attempts;
  } else {
    const TimePoint now = BootClock::now();
    v1::CallRequest request;
    ToWire(attempt.context, now, request.mutable_context());
    request.set_body(body);
    request.set_body_hash(HashBytes(body));
    is_answered = SendCall(request, cancellation, outgoing,
                           attempt.context.call, &attempt.answer);
  }
  attempt.failure = is_answered ? ClassifyAnswer(attempt.answer.outcome,
                                                 attempt.answer.reason.code)
                                : FailureKind::kAnswerLost;
  const TimePoint now = BootClock::now();
  m_clocks.Observe(address, attempt.answer.load, now);
  m_router.OnAttemptEnded(outgoing, attempt.answer, now);
}

bool Caller::SendCall(const v1::CallRequest& request,
                      Cancellation& cancellation, OutgoingAttempt& outgoing,
                      const CallId& call, CallAnswer* answer) {
  const auto time_left =
      std::chrono::microseconds(request.context().time_left_us());
  outgoing.context.set_deadline(GrpcDeadline(time_left));
  const auto stub = m_channels.Get(outgoing.choice.member.peer_address);
  v1::CallAnswer response;
  std::promise<grpc::Status> promise;
  stub->async()->Call(&outgoing.context, &request, &response,
                      [&promise](grpc::Status status) {
                        promise.set_value(std::move(status));
                      });
  const uint64_t key =
      cancellation.Add([&outgoing] { outgoing.context.TryCancel(); });
  const grpc::Status status = promise.get_future().get();
  cancellation.Remove(key);
  if (!status.ok()) {
    if (IsConnectFailure(status)) {
      m_metrics.RecordConnectFailure(m_settings.service,
                                     outgoing.choice.member.service);
    }
    *answer = AnswerFromStatus(status, outgoing.is_connection_lost);
    return false;
  }
  *answer = FromWire(response.answer(), call);
  const bool is_complete = answer->load.incarnation != 0;
  return is_complete;
}

CallAnswer Caller::Forward(const std::string& issuer, const std::string& ticket,
                           const CallContext& context, const std::string& body,
                           TimePoint now) {
  v1::CallRequest request;
  CallContext forwarded = context;
  forwarded.call = m_ids.NextCall();
  ToWire(forwarded, now, request.mutable_context());
  request.set_body(body);
  request.set_body_hash(HashBytes(body));
  request.set_ticket(ticket);
  grpc::ClientContext client;
  client.set_deadline(GrpcDeadline(context.deadline - now + kFenceGrace));
  v1::CallAnswer response;
  const grpc::Status status =
      m_channels.Get(issuer)->Call(&client, request, &response);
  if (!status.ok()) return AnswerFromStatus(status, false);
  return FromWire(response.answer(), forwarded.call);
}

void Caller::Fence(Cancellation& cancellation, Attempt& attempt) {
  const std::string& address = attempt.choice.member.peer_address;
  v1::FenceRequest request;
  request.set_call_high(attempt.context.call.high);
  request.set_call_low(attempt.context.call.low);
  request.set_callee_incarnation(attempt.context.callee_incarnation);
  request.set_not_after_us(
      ToMicroseconds(attempt.context.not_after.time_since_epoch()));
  const TimePoint fence_deadline = attempt.context.deadline + kFenceGrace;
  std::chrono::milliseconds delay = kInitialFenceDelay;
  auto stub = m_channels.Get(address);
  TimePoint now = BootClock::now();
  while (now < fence_deadline && !cancellation.IsCancelled()) {
    v1::FenceAnswer response;
    const Duration timeout =
        std::min<Duration>(fence_deadline - now, kFenceTimeout);
    const grpc::Status status =
        SendFence(*stub, address, request, timeout, &response);
    if (status.ok() && ApplyFence(response, attempt)) return;
    // The existing connection may be unresponsive.
    if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED) {
      stub = m_channels.OpenDedicated(address);
    }
    std::this_thread::sleep_for(delay);
    delay = std::min(delay * 2, kMaxFenceDelay);
    now = BootClock::now();
  }
  attempt.failure = FailureKind::kUnknown;
}

bool Caller::ApplyFence(const v1::FenceAnswer& response, Attempt& attempt) {
  switch (response.state()) {
    case v1::FenceAnswer::STATE_ANSWERED:
      attempt.answer = FromWire(response.answer(), attempt.context.call);
      attempt.failure =
          ClassifyAnswer(attempt.answer.outcome, attempt.answer.reason.code);
      return true;
    case v1::FenceAnswer::STATE_NEVER_RUNS:
      attempt.answer =
          NotRun(RefusalCode::kFenced,
                 "the answer was lost; the fence prevented the call from "
                 "running");
      attempt.failure = FailureKind::kNeverRuns;
      return true;
    case v1::FenceAnswer::STATE_RUNNING:
      return false;
    default:
      attempt.failure = FailureKind::kUnknown;
      return true;
  }
}

bool Caller::SetCalleeClock(const std::string& address, CallContext* context) {
  if (m_clocks.SetCalleeDeadline(address, context)) return true;
  const Duration time_left = context->deadline - BootClock::now();
  v1::FenceAnswer response;
  const grpc::Status status =
      SendFence(*m_channels.Get(address), address, {},
                std::min<Duration>(time_left, kFenceTimeout), &response);
  if (status.ok() && m_clocks.SetCalleeDeadline(address, context)) return true;
  // An idempotent call is never fenced, so it can be sent without the clock.
  context->callee_incarnation = 0;
  return context->idempotent;
}

grpc::Status Caller::SendFence(v1::Peer::Stub& stub, const std::string& address,
                               const v1::FenceRequest& request,
                               Duration timeout, v1::FenceAnswer* response) {
  grpc::ClientContext client;
  client.set_deadline(GrpcDeadline(timeout));
  grpc::Status status = stub.Fence(&client, request, response);
  if (status.ok()) {
    m_clocks.Observe(address, FromWire(response->answer().load()),
                     BootClock::now());
  }
  return status;
}

}  // namespace vanillatiller
