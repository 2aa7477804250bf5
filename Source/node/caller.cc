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

CallAnswer FromStatus(const grpc::Status& status) {
  const std::string text = "call to peer failed: " + status.error_message();
  if (status.error_code() == grpc::StatusCode::CANCELLED) {
    return UnknownOutcome(RefusalCode::kCancelled, text);
  }
  if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED) {
    return UnknownOutcome(RefusalCode::kDeadlineExceeded, text);
  }
  return UnknownOutcome(RefusalCode::kConnectionLost, text);
}

}  // namespace

Caller::Caller(const Parts& parts)
    : m_settings(parts.settings),
      m_view(parts.view),
      m_ids(parts.ids),
      m_channels(parts.channels),
      m_callee(parts.callee) {}

CallAnswer Caller::Call(CallContext context, const std::string& body,
                        Cancellation& cancellation, TimePoint now) {
  const std::optional<Member> member = Pick(context);
  if (!member) {
    return NotRun(RefusalCode::kNoPeer,
                  "no live node serves \"" + context.service + "\"");
  }
  context.call = m_ids.NextCall();
  context.callee_incarnation = member->incarnation;
  return Attempt(*member, context, body, cancellation, now);
}

std::optional<Member> Caller::Pick(const CallContext& context) {
  const auto members = m_view.members();
  if (!members) return std::nullopt;
  std::vector<const Member*> candidates;
  for (const Member& member : *members) {
    if (member.service == context.service &&
        member.state == MemberState::kLive) {
      candidates.push_back(&member);
    }
  }
  if (candidates.empty()) return std::nullopt;
  return *candidates[m_ids.NextWord() % candidates.size()];
}

CallAnswer Caller::Attempt(const Member& member, const CallContext& context,
                           const std::string& body, Cancellation& cancellation,
                           TimePoint now) {
  if (member.vm == m_settings.vm) {
    return AttemptLocal(context, body, cancellation, now);
  }
  return AttemptRemote(member, context, body, cancellation, now);
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

CallAnswer Caller::AttemptRemote(const Member& member,
                                 const CallContext& context,
                                 const std::string& body,
                                 Cancellation& cancellation, TimePoint now) {
  v1::CallRequest request;
  ToWire(context, now, request.mutable_context());
  request.set_body(body);
  request.set_body_hash(HashBytes(body));

  grpc::ClientContext client_context;
  client_context.set_deadline(GrpcDeadline(context.deadline - now));
  const auto stub = m_channels.Get(member.peer_address);
  v1::CallAnswer response;
  std::promise<grpc::Status> promise;
  stub->async()->Call(&client_context, &request, &response,
                      [&promise](grpc::Status status) {
                        promise.set_value(std::move(status));
                      });
  const uint64_t key =
      cancellation.Add([&client_context] { client_context.TryCancel(); });
  const grpc::Status status = promise.get_future().get();
  cancellation.Remove(key);
  if (!status.ok()) return FromStatus(status);
  return FromWire(response.answer(), context.call);
}

}  // namespace vanillatiller
