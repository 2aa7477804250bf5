#include "node/callee.h"

#include <limits>
#include <utility>

namespace vanillatiller {

Callee::Callee(const Parts& parts)
    : m_settings(parts.settings),
      m_view(parts.view),
      m_ids(parts.ids),
      m_active_calls(parts.active_calls),
      m_incarnation(parts.incarnation),
      m_metrics(parts.metrics),
      m_backend(parts.settings.backend, parts.settings.max_body_bytes),
      m_workers(parts.settings.max_http_threads) {}

Callee::~Callee() { m_workers.Shutdown(); }

void Callee::Handle(CallContext context, std::string body, Done done,
                    TimePoint now) {
  Reason reason = CheckAcceptable(context, now);
  if (reason.code != RefusalCode::kNone) return Refuse(reason, done);

  auto pending = std::make_shared<PendingCall>();
  pending->context = std::move(context);
  pending->body = std::move(body);
  pending->done = std::move(done);
  pending->received_at = now;
  {
    const std::lock_guard lock(m_mutex);
    if (m_pending.size() >= SlotLimit(pending->context)) {
      reason = {RefusalCode::kOverload, "no free slot"};
    } else if (!m_pending.emplace(pending->context.call, pending).second) {
      reason = {RefusalCode::kDuplicateCall, "call is running already"};
    } else {
      ++m_unanswered;
    }
  }
  m_metrics.RecordOffer(reason.code == RefusalCode::kOverload);
  if (reason.code != RefusalCode::kNone) return Refuse(reason, pending->done);
  m_workers.Post([this, pending] { Run(pending); });
}

void Callee::Cancel(const CallId& call, TimePoint /*now*/) {
  std::shared_ptr<ActiveCall> active;
  {
    const std::lock_guard lock(m_mutex);
    const auto found = m_pending.find(call);
    if (found == m_pending.end()) return;
    active = found->second->active;
  }
  if (active) active->cancellation().Cancel();
}

void Callee::StartDrain() { m_draining = true; }

bool Callee::WaitUntilIdle(std::chrono::milliseconds timeout) {
  std::unique_lock lock(m_mutex);
  return m_idle.wait_for(lock, timeout, [this] { return m_unanswered == 0; });
}

LoadReport Callee::load() const {
  LoadReport load;
  const std::lock_guard lock(m_mutex);
  load.in_flight = static_cast<uint32_t>(m_pending.size());
  load.leaving = m_draining;
  load.incarnation = m_incarnation;
  return load;
}

Reason Callee::CheckAcceptable(const CallContext& context,
                               TimePoint now) const {
  if (m_draining) return {RefusalCode::kLeaving, "node is leaving"};
  if (context.service != m_settings.service) {
    return {RefusalCode::kUnknownService,
            "this node serves \"" + m_settings.service + "\", not \"" +
                context.service + "\""};
  }
  if (context.callee_incarnation != 0 &&
      context.callee_incarnation != m_incarnation) {
    return {RefusalCode::kUnknownIncarnation,
            "call names another incarnation of this node"};
  }
  if (context.deadline <= now) {
    return {RefusalCode::kDeadlineExceeded, "deadline passed on arrival"};
  }
  return {};
}

void Callee::Refuse(Reason reason, const Done& done) const {
  CallAnswer answer = NotRun(reason.code, std::move(reason.text));
  answer.refused_by = m_settings.service;
  answer.load = load();
  answer.attempts = 1;
  done(std::move(answer));
}

uint32_t Callee::SlotLimit(const CallContext& context) const {
  constexpr uint32_t kNoLimit = std::numeric_limits<uint32_t>::max();
  if (m_settings.admission == AdmissionPolicy::kNone) return kNoLimit;
  const auto config = m_view.config();
  const ServiceConfig* service =
      config ? config->FindService(context.service) : nullptr;
  return service ? service->slots : kNoLimit;
}

void Callee::Run(const std::shared_ptr<PendingCall>& pending) {
  Finish(*pending, Execute(*pending));
}

CallAnswer Callee::Execute(PendingCall& pending) {
  const TimePoint now = BootClock::now();
  if (pending.context.deadline <= now) {
    return NotRun(RefusalCode::kDeadlineExceeded,
                  "deadline passed before dispatch");
  }
  const auto active =
      m_active_calls.Add(pending.context, m_ids.NextCall().ToString());
  {
    const std::lock_guard lock(m_mutex);
    pending.active = active;
  }
  CallAnswer answer = m_backend.Dispatch(*active, pending.body, now);
  m_active_calls.Remove(active->token());
  answer.queue_wait = now - pending.received_at;
  answer.backend_time = BootClock::now() - now;
  answer.attempts = 1 + active->attempts_below();
  if (const auto refusal = active->last_refusal()) {
    answer.reason = refusal->reason;
    answer.refused_by = refusal->refused_by;
  }
  return answer;
}

void Callee::Finish(PendingCall& pending, CallAnswer answer) {
  {
    const std::lock_guard lock(m_mutex);
    m_pending.erase(pending.context.call);
  }
  if (answer.outcome != Outcome::kComplete && answer.refused_by.empty()) {
    answer.refused_by = m_settings.service;
  }
  answer.load = load();
  pending.done(std::move(answer));
  const std::lock_guard lock(m_mutex);
  --m_unanswered;
  m_idle.notify_all();
}

}  // namespace vanillatiller
