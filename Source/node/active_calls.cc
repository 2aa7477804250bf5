#include "node/active_calls.h"

#include <utility>

namespace vanillatiller {

ActiveCall::ActiveCall(CallContext context, std::string token)
    : m_context(std::move(context)),
      m_token(std::move(token)),
      m_budget(ChainBudget::Create(m_context.extra_attempts)) {}

void ActiveCall::RecordRefusal(DownstreamRefusal refusal) {
  const std::lock_guard lock(m_mutex);
  m_last_refusal = std::move(refusal);
}

std::optional<DownstreamRefusal> ActiveCall::last_refusal() const {
  const std::lock_guard lock(m_mutex);
  return m_last_refusal;
}

void ActiveCall::AddDownstreamAttempts(uint32_t count) {
  const std::lock_guard lock(m_mutex);
  m_downstream_attempts += count;
}

uint32_t ActiveCall::downstream_attempts() const {
  const std::lock_guard lock(m_mutex);
  return m_downstream_attempts;
}

void ActiveCall::BeginDownstream(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  if (m_downstream_running++ == 0) m_downstream_start = now;
}

void ActiveCall::EndDownstream(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  if (--m_downstream_running == 0) {
    m_downstream_time += now - m_downstream_start;
  }
}

Duration ActiveCall::downstream_time() const {
  const std::lock_guard lock(m_mutex);
  return m_downstream_time;
}

void ActiveCall::RecordThreshold(uint64_t packed) {
  const std::lock_guard lock(m_mutex);
  m_downstream_threshold = AdmissionThreshold::Stricter(
      m_downstream_threshold, AdmissionThreshold::FromPacked(packed));
}

AdmissionThreshold ActiveCall::downstream_threshold() const {
  const std::lock_guard lock(m_mutex);
  return m_downstream_threshold;
}

std::shared_ptr<ActiveCall> ActiveCalls::Add(const CallContext& context,
                                             std::string token) {
  auto call = std::make_shared<ActiveCall>(context, std::move(token));
  const std::lock_guard lock(m_mutex);
  m_calls[call->token()] = call;
  return call;
}

std::shared_ptr<ActiveCall> ActiveCalls::Find(std::string_view token) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_calls.find(std::string(token));
  return found == m_calls.end() ? nullptr : found->second;
}

void ActiveCalls::Remove(const std::string& token) {
  const std::lock_guard lock(m_mutex);
  m_calls.erase(token);
}

}  // namespace vanillatiller
