#include "node/callee.h"

#include <string>
#include <utility>

namespace vanillatiller {
namespace {

std::string RefusalText(RefusalCode code) {
  switch (code) {
    case RefusalCode::kBelowThreshold:
      return "below the admission threshold: slots are used by higher-priority "
             "calls";
    case RefusalCode::kDeadlineExceeded:
      return "call cannot finish before its deadline";
    case RefusalCode::kCancelled:
      return "cancelled by the caller while queued";
    default:
      return "no slot became available within the queueing time limit";
  }
}

BackendOutcome ToBackendOutcome(const CallAnswer& answer) {
  if (answer.outcome == Outcome::kComplete) return BackendOutcome::kOk;
  if (answer.reason.code == RefusalCode::kBackendRefused) {
    return BackendOutcome::kShed;
  }
  return BackendOutcome::kFailed;
}

}  // namespace

Callee::Callee(const Dependencies& dependencies)
    : m_settings(dependencies.settings),
      m_ids(dependencies.ids),
      m_active_calls(dependencies.active_calls),
      m_incarnation(dependencies.incarnation),
      m_metrics(dependencies.metrics),
      m_backend(dependencies.settings.backend,
                dependencies.settings.max_body_bytes),
      m_admission(dependencies.settings, dependencies.view, BootClock::now()),
      m_records(dependencies.incarnation),
      m_workers(dependencies.settings.max_http_threads) {}

Callee::~Callee() { m_workers.Shutdown(); }

void Callee::Handle(CallContext context, std::string body, AnswerCallback done,
                    TimePoint now) {
  Reason reason = CheckAcceptable(context, now);
  const uint32_t unspent = context.extra_attempts;
  if (reason.code != RefusalCode::kNone) {
    return Refuse(Outcome::kNotRun, reason, unspent, done);
  }
  if (IsRefusedDownstream(context, now)) {
    return RefuseForDownstream(context, done, now);
  }

  auto pending = std::make_shared<PendingCall>();
  pending->context = std::move(context);
  pending->body = std::move(body);
  pending->done = std::move(done);
  pending->received_at = now;
  {
    const std::lock_guard lock(m_mutex);
    if (!m_pending.emplace(pending->context.call, pending).second) {
      reason = {RefusalCode::kDuplicateCall,
                "a call with this ID is already running"};
    } else {
      ++m_unanswered_calls;
    }
  }
  if (reason.code != RefusalCode::kNone) {
    return Refuse(Outcome::kUnknown, reason, unspent, pending->done);
  }
  Admit(pending, now);
}

void Callee::Admit(const std::shared_ptr<PendingCall>& pending, TimePoint now) {
  const AdmissionState state = m_admission.State();
  m_metrics.RecordOffer(state.in_flight >= state.limit);
  pending->work = m_admission.NextId();
  m_admission.Offer(pending->work, pending->context,
                    {.dispatch =
                         [this, pending] {
                           m_workers.Post([this, pending] { Run(pending); });
                         },
                     .refuse =
                         [this, pending](const struct Refuse& refuse) {
                           OnRefused(*pending, refuse);
                         }},
                    now);
}

bool Callee::IsRefusedDownstream(const CallContext& context, TimePoint now) {
  if (m_settings.admission != AdmissionPolicy::kAdaptive) return false;
  if (context.depth > 0) return false;
  return m_downstream_thresholds.Check(context, now) ==
         ThresholdTable::Decision::kRefuse;
}

void Callee::RefuseForDownstream(const CallContext& context,
                                 const AnswerCallback& done, TimePoint now) {
  CallAnswer answer = NotRun(RefusalCode::kBelowThreshold,
                             "a downstream service is overloaded");
  answer.refused_by = m_settings.service;
  answer.load = load();
  answer.load.threshold = m_downstream_thresholds.Get(context, now);
  answer.unspent_attempts = context.extra_attempts;
  answer.attempts = 1;
  done(std::move(answer));
}

void Callee::OnRefused(PendingCall& pending, const struct Refuse& refuse) {
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
  m_admission.Cancel(work, now);
  if (active) active->cancellation().Cancel();
}

void Callee::StartDrain() { m_draining = true; }

bool Callee::WaitUntilIdle(std::chrono::milliseconds timeout) {
  std::unique_lock lock(m_mutex);
  return m_all_answered.wait_for(lock, timeout,
                                 [this] { return m_unanswered_calls == 0; });
}

LoadReport Callee::load() const {
  LoadReport load;
  const AdmissionState state = m_admission.State();
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
            "call is addressed to another incarnation of this node"};
  }
  if (context.deadline <= now) {
    return {RefusalCode::kDeadlineExceeded, "deadline had expired on arrival"};
  }
  return {};
}

void Callee::Refuse(Outcome outcome, Reason reason, uint32_t unspent_attempts,
                    const AnswerCallback& done) const {
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
                  "deadline expired before dispatch");
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
  answer.reason = {BeginRefusal(result), "refused by the execution ledger"};
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
  answer.attempts = 1 + active->downstream_attempts();
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
  result.outcome = ToBackendOutcome(answer);
  const Duration downstream =
      pending.active ? pending.active->downstream_time() : Duration::zero();
  result.latency = std::max(Duration::zero(), answer.backend_time - downstream);
  const bool is_unreachable =
      answer.reason.code == RefusalCode::kBackendUnreachable;
  const bool was_unreachable =
      m_is_backend_unreachable.exchange(is_unreachable);
  if (was_unreachable && !is_unreachable) m_admission.OnBackendRestarted(now);
  m_admission.Finish(pending.work, result, now);
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
  AdmissionThreshold threshold = m_admission.ThresholdFor(pending.context);
  if (pending.active) {
    const auto downstream = pending.active->downstream_threshold();
    m_downstream_thresholds.Update(pending.context, downstream.Packed(),
                                   BootClock::now());
    threshold = AdmissionThreshold::Stricter(threshold, downstream);
  }
  answer.load.threshold = threshold.Packed();
  // Stores the answer before sending it, so that a fence can return it if the
  // response is lost.
  if (pending.is_recorded) m_records.Complete(pending.context.call, answer);
  pending.done(std::move(answer));
  const std::lock_guard lock(m_mutex);
  --m_unanswered_calls;
  m_all_answered.notify_all();
}

}  // namespace vanillatiller
