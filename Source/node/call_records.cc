#include "node/call_records.h"

#include <utility>

namespace vanillatiller {
namespace {

LedgerSettings MakeLedgerSettings(Incarnation incarnation) {
  LedgerSettings settings;
  settings.incarnation = incarnation;
  return settings;
}

v1::FenceAnswer::State ToWire(FenceState state) {
  switch (state) {
    case FenceState::kAnswered:
      return v1::FenceAnswer::STATE_ANSWERED;
    case FenceState::kNeverRuns:
      return v1::FenceAnswer::STATE_NEVER_RUNS;
    case FenceState::kRunning:
      return v1::FenceAnswer::STATE_RUNNING;
    case FenceState::kUnknown:
      break;
  }
  return v1::FenceAnswer::STATE_UNKNOWN;
}

}  // namespace

CallRecords::CallRecords(Incarnation incarnation)
    : m_incarnation(incarnation), m_ledger(MakeLedgerSettings(incarnation)) {}

BeginResult CallRecords::Begin(const CallContext& context, TimePoint now) {
  Incarnation callee = context.callee_incarnation;
  TimePoint deadline = context.not_after;
  const bool has_callee_deadline = callee != 0 && deadline != TimePoint();
  if (!has_callee_deadline) {
    if (!context.idempotent) return BeginResult::kOtherIncarnation;
    callee = m_incarnation;
    deadline = context.deadline;
  }
  const std::lock_guard lock(m_mutex);
  return m_ledger.Begin(context.call, callee, deadline, now);
}

void CallRecords::Complete(const CallId& call, const CallAnswer& answer) {
  v1::Answer message;
  ToWire(answer, call, &message);
  StoredAnswer stored = {answer.outcome, message.SerializeAsString()};
  const std::lock_guard lock(m_mutex);
  m_ledger.Complete(call, std::move(stored));
}

void CallRecords::Fence(const v1::FenceRequest& request, TimePoint now,
                        v1::FenceAnswer* response) {
  const CallId call{{request.call_high(), request.call_low()}};
  FenceResult result;
  // A fence request without a call ID only queries the incarnation and the
  // clock.
  if (call != CallId{}) {
    const std::lock_guard lock(m_mutex);
    result = m_ledger.Fence(call, request.callee_incarnation(),
                            ClockFromWire(request.not_after_us()), now);
  }
  response->set_state(ToWire(result.state));
  if (result.answer) {
    response->mutable_answer()->ParseFromString(result.answer->payload);
  }
}

}  // namespace vanillatiller
