#include "execution/execution_ledger.h"

#include <utility>

namespace vanillatiller {

RefusalCode BeginRefusal(BeginResult result) {
  switch (result) {
    case BeginResult::kRun:
      return RefusalCode::kNone;
    case BeginResult::kDuplicate:
      return RefusalCode::kDuplicateCall;
    case BeginResult::kFenced:
      return RefusalCode::kFenced;
    case BeginResult::kDeadlineOutOfRange:
    case BeginResult::kRecordExpired:
      return RefusalCode::kDeadlineExceeded;
    case BeginResult::kOtherIncarnation:
      return RefusalCode::kUnknownIncarnation;
    case BeginResult::kFull:
      break;
  }
  return RefusalCode::kOverload;
}

Outcome BeginOutcome(BeginResult result) {
  const bool may_have_run = result == BeginResult::kDuplicate ||
                            result == BeginResult::kRecordExpired ||
                            result == BeginResult::kRun;
  return may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
}

BeginResult ExecutionLedger::Begin(const CallId& call, Incarnation callee,
                                   TimePoint deadline, TimePoint now) {
  if (callee != m_settings.incarnation) return BeginResult::kOtherIncarnation;
  // The record is checked before the deadline: an expired deadline does not
  // prove that the call has not run.
  const auto found = m_records.find(call);
  if (found != m_records.end()) {
    const bool is_fenced = found->second.state == State::kFenced;
    return is_fenced ? BeginResult::kFenced : BeginResult::kDuplicate;
  }
  if (deadline < now - m_settings.margin) return BeginResult::kRecordExpired;
  if (deadline <= now || deadline > now + m_settings.max_remaining_time) {
    return BeginResult::kDeadlineOutOfRange;
  }
  Expire(now);
  if (m_records.size() >= m_settings.max_records ||
      m_bytes >= m_settings.max_bytes) {
    return BeginResult::kFull;
  }
  Add(call, State::kRunning, deadline);
  return BeginResult::kRun;
}

void ExecutionLedger::Complete(const CallId& call, StoredAnswer answer) {
  const auto found = m_records.find(call);
  if (found == m_records.end()) return;
  Record& record = found->second;
  if (record.state != State::kRunning) return;
  record.state = State::kAnswered;
  const size_t size = answer.payload.size();
  if (m_bytes + size > m_settings.max_bytes + m_settings.max_bytes / 8) return;
  m_bytes += size;
  record.answer = std::make_shared<const StoredAnswer>(std::move(answer));
}

FenceResult ExecutionLedger::Fence(const CallId& call, Incarnation callee,
                                   TimePoint deadline, TimePoint now) {
  if (callee != m_settings.incarnation) return {FenceState::kUnknown, nullptr};
  const auto found = m_records.find(call);
  if (found != m_records.end()) return Describe(found->second);
  // The record may have been dropped.
  if (deadline < now - m_settings.margin) {
    return {FenceState::kUnknown, nullptr};
  }
  // No record is needed because Begin() refuses the call after its deadline.
  if (deadline <= now) return {FenceState::kNeverRuns, nullptr};
  Expire(now);
  if (deadline > now + m_settings.max_remaining_time ||
      m_records.size() >= m_settings.max_records + m_settings.max_records / 8) {
    return {FenceState::kUnknown, nullptr};
  }
  Add(call, State::kFenced, deadline);
  return {FenceState::kNeverRuns, nullptr};
}

void ExecutionLedger::Expire(TimePoint now) {
  while (m_expiry.IsDue(now)) {
    const CallId call = m_expiry.Pop();
    const auto found = m_records.find(call);
    const Record& record = found->second;
    if (record.state == State::kRunning) {
      m_expiry.Push(now + m_settings.margin, call);
      continue;
    }
    if (record.answer) m_bytes -= record.answer->payload.size();
    m_records.erase(found);
  }
}

FenceResult ExecutionLedger::Describe(const Record& record) const {
  switch (record.state) {
    case State::kRunning:
      return {FenceState::kRunning, nullptr};
    case State::kFenced:
      return {FenceState::kNeverRuns, nullptr};
    case State::kAnswered:
      break;
  }
  if (!record.answer) return {FenceState::kUnknown, nullptr};
  return {FenceState::kAnswered, record.answer};
}

void ExecutionLedger::Add(const CallId& call, State state, TimePoint deadline) {
  m_records.emplace(call, Record{state, nullptr});
  m_expiry.Push(deadline + m_settings.margin, call);
}

}  // namespace vanillatiller
