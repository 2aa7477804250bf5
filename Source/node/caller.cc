#include "node/caller.h"

#include <future>
#include <utility>
#include <vector>

namespace vanillatiller {
namespace {

std::chrono::system_clock::time_point GrpcDeadline(Duration left) {
  return std::chrono::system_clock::now() +
         std::chrono::duration_cast<std::chrono::system_clock::duration>(left);
}

CallAnswer FromStatus(const grpc::Status& status, bool is_lost) {
  if (is_lost) {
    return UnknownOutcome(RefusalCode::kConnectionLost,
                          "connection to the peer was silent");
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

// gRPC has one status code for a connection that could not be opened and for
// one that was lost; only the text tells them apart.
bool IsConnectFailure(const grpc::Status& status) {
  return status.error_code() == grpc::StatusCode::UNAVAILABLE &&
         status.error_message().find("failed to connect") != std::string::npos;
}

}  // namespace

Caller::Caller(const Parts& parts)
    : m_settings(parts.settings),
      m_ids(parts.ids),
      m_channels(parts.channels),
      m_router(parts.router),
      m_callee(parts.callee),
      m_metrics(parts.metrics) {}

CallAnswer Caller::Call(CallContext context, const std::string& body,
                        Cancellation& cancellation, TimePoint now) {
  Reason reason;
  const std::optional<PeerChoice> choice =
      m_router.Pick(context, body.size(), {}, now, &reason);
  if (!choice) return NotRun(reason.code, reason.text);
  context.call = m_ids.NextCall();
  context.callee_incarnation = choice->member.incarnation;
  return RecordedAttempt(*choice, context, body, cancellation,
                         /*is_first=*/true, now);
}

CallAnswer Caller::RecordedAttempt(const PeerChoice& choice,
                                   const CallContext& context,
                                   const std::string& body,
                                   Cancellation& cancellation, bool is_first,
                                   TimePoint now) {
  AttemptSample sample;
  // A caller's request does not come from this node's own service.
  if (context.depth != 0) sample.caller = m_settings.service;
  sample.callee = context.service;
  sample.rank = context.rank;
  sample.first = is_first;
  m_metrics.StartAttempt(sample.caller, sample.callee, sample.rank);
  CallAnswer answer = Attempt(choice, context, body, cancellation, now);
  sample.outcome = answer.outcome;
  sample.refusal = answer.reason.code;
  sample.refused_by = answer.refused_by;
  sample.round_trip = BootClock::now() - now;
  sample.queue_wait = answer.queue_wait;
  sample.backend_time = answer.backend_time;
  m_metrics.EndAttempt(sample);
  return answer;
}

CallAnswer Caller::Attempt(const PeerChoice& choice, const CallContext& context,
                           const std::string& body, Cancellation& cancellation,
                           TimePoint now) {
  if (choice.member.vm == m_settings.vm) {
    choice.state->OnSent();
    CallAnswer answer = AttemptLocal(context, body, cancellation, now);
    PeerRouter::Learn(*choice.state, answer, BootClock::now());
    return answer;
  }
  return AttemptRemote(choice, context, body, cancellation, now);
}

CallAnswer Caller::AttemptLocal(const CallContext& context,
                                const std::string& body,
                                Cancellation& cancellation, TimePoint now) {
  std::promise<CallAnswer> promise;
  m_callee.Handle(
      context, body,
      [&promise](CallAnswer answer) { promise.set_value(std::move(answer)); },
      now);
  const uint64_t key = cancellation.Add(
      [this, call = context.call, now] { m_callee.Cancel(call, now); });
  CallAnswer answer = promise.get_future().get();
  cancellation.Remove(key);
  return answer;
}

CallAnswer Caller::AttemptRemote(const PeerChoice& choice,
                                 const CallContext& context,
                                 const std::string& body,
                                 Cancellation& cancellation, TimePoint now) {
  v1::CallRequest request;
  ToWire(context, now, request.mutable_context());
  request.set_body(body);
  request.set_body_hash(HashBytes(body));

  OutgoingAttempt attempt;
  attempt.choice = choice;
  attempt.context.set_deadline(GrpcDeadline(context.deadline - now));
  const auto stub = m_channels.Get(choice.member.peer_address);
  v1::CallAnswer response;
  std::promise<grpc::Status> promise;
  m_router.Begin(attempt, now);
  stub->async()->Call(&attempt.context, &request, &response,
                      [&promise](grpc::Status status) {
                        promise.set_value(std::move(status));
                      });
  const uint64_t key =
      cancellation.Add([&attempt] { attempt.context.TryCancel(); });
  const grpc::Status status = promise.get_future().get();
  cancellation.Remove(key);
  CallAnswer answer = status.ok() ? FromWire(response.answer(), context.call)
                                  : FromStatus(status, attempt.is_lost);
  if (IsConnectFailure(status)) {
    m_metrics.RecordConnectFailure(m_settings.service, context.service);
  }
  m_router.End(attempt, answer, BootClock::now());
  return answer;
}

}  // namespace vanillatiller
