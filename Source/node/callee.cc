#include "node/callee.h"

#include <string>
#include <utility>

namespace vanillatiller {
namespace {

std::string RefusalText(RefusalCode code) {
  switch (code) {
    case RefusalCode::kBelowThreshold:
      return "admission threshold: more important work fills the slots";
    case RefusalCode::kDeadlineExceeded:
      return "cannot finish before its deadline";
    case RefusalCode::kCancelled:
      return "cancelled by the caller while it waited";
    default:
      return "no slot became free in time";
  }
}

BackendOutcome OutcomeOf(const CallAnswer& answer) {
  if (answer.outcome == Outcome::kComplete) return BackendOutcome::kOk;
  if (answer.reason.code == RefusalCode::kBackendRefused) {
    return BackendOutcome::kShed;
  }
  return BackendOutcome::kFailed;
}

}  // namespace

Callee::Callee(const Parts& parts)
    : m_settings(parts.settings),
      m_ids(parts.ids),
      m_active_calls(parts.active_calls),
      m_incarnation(parts.incarnation),
      m_metrics(parts.metrics),
      m_backend(parts.settings.backend, parts.settings.max_body_bytes),
      m_gate(parts.settings, parts.view, BootClock::now()),
      m_records(parts.incarnation),
      m_workers(parts.settings.max_http_threads) {}

Callee::~Callee() { m_workers.Shutdown(); }

void Callee::Handle(CallContext context, std::string body, Done done,
                    TimePoint now) {
  Reason reason = CheckAcceptable(context, now);
  const uint32_t unspent = context.extra_attempts;
  if (reason.code != RefusalCode::kNone) {
    return Refuse(Outcome::kNotRun, reason, unspent, done);
  }
  if (IsDoomed(context, now)) return RefuseDoomed(context, done, now);

  auto pending = std::make_shared<PendingCall>();
  pending->context = std::move(context);
  pending->body = std::move(body);
  pending->done = std::move(done);
  pending->received_at = now;
  {
    const std::lock_guard lock(m_mutex);
    if (!m_pending.emplace(pending->context.call, pending).second) {
      reason = {RefusalCode::kDuplicateCall, "call is running already"};
    } else {
      ++m_unanswered;
    }
  }
  if (reason.code != RefusalCode::kNone) {
    return Refuse(Outcome::kUnknown, reason, unspent, pending->done);
  }
  Admit(pending, now);
}

void Callee::Admit(const std::shared_ptr<PendingCall>& pending, TimePoint now) {
  const AdmissionState state = m_gate.State();
  m_metrics.RecordOffer(state.in_flight >= state.limit);
  pending->work = m_gate.NextId();
  m_gate.Offer(pending->work, pending->context,
               {.dispatch =
                    [this, pending] {
                      m_workers.Post([this, pending] { Run(pending); });
                    },
                .refuse =
                    [this, pending](const struct Refuse& refuse) {
                      EndRefused(*pending, refuse);
                    }},
               now);
}

bool Callee::IsDoomed(const CallContext& context, TimePoint now) {
  if (m_settings.admission != AdmissionPolicy::kAdaptive) return false;
  if (context.depth > 0) return false;
  return m_downstream.Check(context, now) == ThresholdTable::Decision::kRefuse;
}

void Callee::RefuseDoomed(const CallContext& context, const Done& done,
                          TimePoint now) {
  CallAnswer answer = NotRun(RefusalCode::kBelowThreshold,
                             "a service that this call needs is overloaded");
  answer.refused_by = m_settings.service;
  answer.load = load();
  answer.load.threshold = m_downstream.Get(context, now);
  answer.unspent_attempts = context.extra_attempts;
  answer.attempts = 1;
  done(std::move(answer));
}

void Callee::EndRefused(PendingCall& pending, const struct Refuse& refuse) {
  CallAnswer answer = NotRun(refuse.code, RefusalText(refuse.code));
  answer.attempts = 1;
  answer.unspent_attempts = pending.context.extra_attempts;
  answer.queue_wait = refuse.queue_wait;
  Finish(pending, std::move(answer));
}

void Callee::Fence(const v1::FenceRequest& request, TimePoint now,
                   v1::FenceAnswer* response) {
  m_records.Fence(request, now, response);
  ToWire(load(), response->mutable_answer()->mutable_load());
}

void Callee::Cancel(const CallId& call, TimePoint now) {
  std::shared_ptr<ActiveCall> active;
  WorkId work = 0;
  {
    const std::lock_guard lock(m_mutex);
    const auto found = m_pending.find(call);
    if (found == m_pending.end()) return;
    if (found->second->is_recorded && !found->second->context.idempotent) {
      return;
    }
    found->second->is_cancelled = true;
    active = found->second->active;
    work = found->second->work;
  }
  m_gate.Cancel(work, now);
  if (active) active->cancellation().Cancel();
}

void Callee::StartDrain() { m_draining = true; }

bool Callee::WaitUntilIdle(std::chrono::milliseconds timeout) {
  std::unique_lock lock(m_mutex);
  return m_idle.wait_for(lock, timeout, [this] { return m_unanswered == 0; });
}

LoadReport Callee::load() const {
  LoadReport load;
  const AdmissionState state = m_gate.State();
  load.in_flight = state.in_flight;
  load.queued = state.queued;
  load.concurrency_limit = state.limit;
  load.leaving = IsLeaving();
  load.incarnation = m_incarnation;
  load.clock = BootClock::now();
  return load;
}

Reason Callee::CheckAcceptable(const CallContext& context,
                               TimePoint now) const {
  if (IsLeaving()) return {RefusalCode::kLeaving, "node is leaving"};
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

void Callee::Refuse(Outcome outcome, Reason reason, uint32_t unspent_attempts,
                    const Done& done) const {
  CallAnswer answer;
  answer.outcome = outcome;
  answer.reason = std::move(reason);
  answer.unspent_attempts = unspent_attempts;
  answer.refused_by = m_settings.service;
  answer.load = load();
  answer.attempts = 1;
  done(std::move(answer));
}

void Callee::Run(const std::shared_ptr<PendingCall>& pending) {
  CallAnswer answer = Execute(*pending);
  ReportResult(*pending, answer);
  Finish(*pending, std::move(answer));
}

std::optional<CallAnswer> Callee::CheckBeforeDispatch(PendingCall& pending,
                                                      TimePoint now) {
  if (pending.context.deadline <= now) {
    return NotRun(RefusalCode::kDeadlineExceeded,
                  "deadline passed before dispatch");
  }
  const std::lock_guard lock(m_mutex);
  if (pending.is_cancelled) {
    return NotRun(RefusalCode::kCancelled, "cancelled before dispatch");
  }
  const BeginResult result = m_records.Begin(pending.context, now);
  pending.is_recorded = result == BeginResult::kRun;
  if (pending.is_recorded) return std::nullopt;
  CallAnswer answer;
  answer.outcome = BeginOutcome(result);
  answer.reason = {BeginRefusal(result), "refused by the execution records"};
  return answer;
}

CallAnswer Callee::Execute(PendingCall& pending) {
  const TimePoint now = BootClock::now();
  if (auto refusal = CheckBeforeDispatch(pending, now)) {
    refusal->attempts = 1;
    refusal->unspent_attempts = pending.context.extra_attempts;
    return std::move(*refusal);
  }
  const auto active =
      m_active_calls.Add(pending.context, m_ids.NextCall().ToString());
  {
    const std::lock_guard lock(m_mutex);
    pending.active = active;
    if (pending.is_cancelled) active->cancellation().Cancel();
  }
  CallAnswer answer = m_backend.Dispatch(*active, pending.body, now);
  m_active_calls.Remove(active->token());
  answer.queue_wait = now - pending.received_at;
  answer.backend_time = BootClock::now() - now;
  answer.attempts = 1 + active->attempts_below();
  answer.unspent_attempts = active->budget()->Close();
  if (const auto refusal = active->last_refusal()) {
    answer.reason = refusal->reason;
    answer.refused_by = refusal->refused_by;
  }
  return answer;
}

void Callee::ReportResult(const PendingCall& pending,
                          const CallAnswer& answer) {
  const TimePoint now = BootClock::now();
  BackendResult result;
  result.outcome = OutcomeOf(answer);
  const Duration downstream =
      pending.active ? pending.active->downstream_time() : Duration::zero();
  result.latency = std::max(Duration::zero(), answer.backend_time - downstream);
  const bool is_unreachable =
      answer.reason.code == RefusalCode::kBackendUnreachable;
  const bool was_unreachable =
      m_is_backend_unreachable.exchange(is_unreachable);
  if (was_unreachable && !is_unreachable) m_gate.OnBackendRestarted(now);
  m_gate.Finish(pending.work, result, now);
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
  AdmissionThreshold threshold = m_gate.ThresholdFor(pending.context);
  if (pending.active) {
    const auto below = pending.active->downstream_threshold();
    m_downstream.Update(pending.context, below.Packed(), BootClock::now());
    threshold = AdmissionThreshold::Stricter(threshold, below);
  }
  answer.load.threshold = threshold.Packed();
  // Before the answer leaves, so that a fence after its loss finds it.
  if (pending.is_recorded) m_records.Complete(pending.context.call, answer);
  pending.done(std::move(answer));
  const std::lock_guard lock(m_mutex);
  --m_unanswered;
  m_idle.notify_all();
}

}  // namespace vanillatiller
