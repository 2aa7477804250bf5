#include "node/request_pipeline.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace vanillatiller {
namespace {

constexpr std::string_view kDefaultTenant = "default";

// Parses a positive integer number of milliseconds. Returns nullopt on any
// other input.
std::optional<std::chrono::milliseconds> ParseTimeout(std::string_view text) {
  uint32_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end || value == 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(value);
}

}  // namespace

RequestPipeline::RequestPipeline(const Dependencies& dependencies)
    : m_settings(dependencies.settings),
      m_view(dependencies.view),
      m_ids(dependencies.ids),
      m_active_calls(dependencies.active_calls),
      m_caller(dependencies.caller),
      m_tickets(dependencies.settings.advertised_peer.ToString(),
                dependencies.incarnation),
      m_metrics(dependencies.metrics) {}

CallAnswer RequestPipeline::Handle(IncomingRequest request, TimePoint now) {
  // For a request with a ticket, the filters after CheckTicket run only on the
  // issuer, so that their outcome "not run" applies to every copy of it.
  static constexpr std::array<Filter, 7> kFilters = {
      &RequestPipeline::ResolveMethod, &RequestPipeline::InheritFromParent,
      &RequestPipeline::SetDeadline,   &RequestPipeline::CheckTicket,
      &RequestPipeline::CheckDraining, &RequestPipeline::CheckThreshold,
      &RequestPipeline::MakeCall,
  };
  const bool is_external = !request.is_local;
  if (is_external) ++m_in_flight;
  RequestState state;
  state.request = std::move(request);
  for (const Filter filter : kFilters) {
    if ((this->*filter)(state, now) == Step::kAnswered) break;
  }
  CompleteTicket(state);
  if (is_external) --m_in_flight;
  Record(state, BootClock::now() - now);
  return std::move(state.answer);
}

RequestPipeline::Step RequestPipeline::CheckDraining(RequestState& state,
                                                     TimePoint /*now*/) {
  // Requests in flight may still make downstream calls while the node drains.
  if (!m_draining || state.request.is_local) return Step::kNext;
  return Refuse(state, RefusalCode::kLeaving, "node is leaving");
}

RequestPipeline::Step RequestPipeline::ResolveMethod(RequestState& state,
                                                     TimePoint /*now*/) {
  state.config = m_view.config();
  if (!state.config && !state.request.ticket.empty()) {
    // An earlier copy of the request may have run with this ticket.
    state.answer = UnknownOutcome(RefusalCode::kNoConfiguration,
                                  "no configuration is in force yet");
    return Step::kAnswered;
  }
  if (!state.config) {
    return Refuse(state, RefusalCode::kNoConfiguration,
                  "no configuration is in force yet");
  }
  const IncomingRequest& request = state.request;
  const FleetConfig& config = *state.config;
  const ServiceConfig* service = config.FindService(request.service);
  if (service == nullptr) {
    return Refuse(state, RefusalCode::kUnknownService,
                  "service \"" + request.service + "\" is not declared");
  }
  state.method = service->FindMethod(request.method);
  if (state.method == nullptr) {
    return Refuse(state, RefusalCode::kUnknownMethod,
                  "method \"" + request.service + "." + request.method +
                      "\" is not declared");
  }
  const RankConfig* rank = config.FindRank(state.method->rank);
  if (rank == nullptr) {
    return Refuse(state, RefusalCode::kNoConfiguration,
                  "rank \"" + state.method->rank + "\" is not declared");
  }
  CallContext& context = state.context;
  context.request = m_ids.NextRequest();
  context.service = request.service;
  context.method = request.method;
  context.rank = rank->order;
  context.idempotent = state.method->idempotent;
  context.extra_attempts = config.chain.extra_attempts;
  const TenantConfig* tenant = config.FindTenant(request.tenant);
  context.tenant = tenant ? tenant->name : kDefaultTenant;
  return Step::kNext;
}

RequestPipeline::Step RequestPipeline::InheritFromParent(RequestState& state,
                                                         TimePoint /*now*/) {
  if (!state.request.is_local) return Step::kNext;
  CallContext& context = state.context;
  state.parent = m_active_calls.Find(state.request.call_token);
  if (!state.parent) {
    // The remaining retry budget of the chain is unknown without a parent.
    context.extra_attempts = 0;
    return Step::kNext;
  }
  const CallContext& parent = state.parent->context();
  if (parent.depth + 1 >= state.config->chain.max_depth) {
    return Refuse(state, RefusalCode::kDepthExceeded,
                  "call chain is deeper than " +
                      std::to_string(state.config->chain.max_depth));
  }
  if (parent.idempotent && !context.idempotent) {
    return Refuse(state, RefusalCode::kNotIdempotent,
                  "an idempotent method must not call a non-idempotent one");
  }
  context.request = parent.request;
  context.tenant = parent.tenant;
  context.rank = parent.rank;
  context.depth = parent.depth + 1;
  return Step::kNext;
}

RequestPipeline::Step RequestPipeline::SetDeadline(RequestState& state,
                                                   TimePoint now) {
  CallContext& context = state.context;
  context.deadline = now + state.method->timeout;
  if (state.parent) {
    context.deadline =
        std::min(context.deadline, state.parent->context().deadline);
  }
  if (state.request.forwarded_deadline) {
    context.deadline =
        std::min(context.deadline, *state.request.forwarded_deadline);
  }
  const std::string& text = state.request.timeout_ms;
  if (!text.empty()) {
    const auto timeout = ParseTimeout(text);
    if (!timeout) {
      return Refuse(state, RefusalCode::kBadRequest,
                    "X-Vt-Timeout-Ms: expected a positive integer");
    }
    context.deadline = std::min(context.deadline, now + *timeout);
  }
  // The issuer still processes a forwarded request with an expired deadline,
  // because it has to check whether the request has already run.
  if (context.deadline > now || state.request.forwarded_deadline) {
    return Step::kNext;
  }
  return Refuse(state, RefusalCode::kDeadlineExceeded,
                "deadline of the parent call has expired");
}

RequestPipeline::Step RequestPipeline::CheckTicket(RequestState& state,
                                                   TimePoint now) {
  const IncomingRequest& request = state.request;
  const CallContext& context = state.context;
  if (request.is_local || context.idempotent) return Step::kNext;
  if (request.ticket.empty()) {
    if (m_draining) return Step::kNext;
    return Refuse(state, RefusalCode::kTicketRequired,
                  "the method is not idempotent: resend the request with the "
                  "ticket from this response");
  }
  Reason reason;
  const std::optional<Ticket> ticket = ParseTicket(request.ticket, &reason);
  if (!ticket) return Refuse(state, reason.code, reason.text);
  if (!m_tickets.IsIssuer(*ticket)) return Forward(state, *ticket, now);
  TicketManager::ClaimResult claim =
      m_tickets.Claim(request.ticket,
                      RequestDigest(context.service, context.method,
                                    context.tenant, request.body),
                      context.deadline, now);
  state.ticket_sequence = claim.sequence;
  if (claim.sequence) return Step::kNext;
  state.answer = std::move(claim.answer);
  return Step::kAnswered;
}

RequestPipeline::Step RequestPipeline::Forward(RequestState& state,
                                               const Ticket& ticket,
                                               TimePoint now) {
  const IncomingRequest& request = state.request;
  // The ticket has not been authenticated at this point, so the request is
  // forwarded only to known peer addresses, and at most once.
  if (request.forwarded_deadline || !IsPeer(ticket.issuer)) {
    state.answer = UnknownOutcome(RefusalCode::kUnknownIncarnation,
                                  "the issuer of the ticket is not available");
    return Step::kAnswered;
  }
  state.answer = m_caller.Forward(ticket.issuer, request.ticket, state.context,
                                  request.body, now);
  return Step::kAnswered;
}

bool RequestPipeline::IsPeer(const std::string& address) const {
  const auto members = m_view.members();
  if (!members) return false;
  return std::any_of(
      members->begin(), members->end(),
      [&](const Member& member) { return member.peer_address == address; });
}

void RequestPipeline::CompleteTicket(RequestState& state) {
  if (state.ticket_sequence) {
    m_tickets.Complete(*state.ticket_sequence, state.answer);
  }
  const IncomingRequest& request = state.request;
  const bool needs_ticket = !request.is_local && !request.forwarded_deadline;
  if (needs_ticket && !m_draining) {
    state.answer.ticket = m_tickets.Issue(BootClock::now());
  }
}

// Refuses requests early if the called service or one downstream of it would
// refuse them. Calls of the local backend server are exempt, because work has
// already been spent on the requests that they belong to.
RequestPipeline::Step RequestPipeline::CheckThreshold(RequestState& state,
                                                      TimePoint now) {
  if (state.request.is_local) return Step::kNext;
  if (m_settings.admission != AdmissionPolicy::kAdaptive) return Step::kNext;
  const auto decision = m_thresholds.Check(state.context, now);
  if (decision != ThresholdTable::Decision::kRefuse) return Step::kNext;
  state.answer = NotRun(RefusalCode::kBelowThreshold,
                        "service \"" + state.context.service +
                            "\" or one of its downstream services is "
                            "overloaded");
  state.answer.refused_by = state.context.service;
  m_metrics.RecordEarlyRefusal("", state.context.service, state.context.rank,
                               RefusalCode::kBelowThreshold);
  return Step::kAnswered;
}

RequestPipeline::Step RequestPipeline::MakeCall(RequestState& state,
                                                TimePoint now) {
  Cancellation local_cancellation;
  Cancellation& cancellation =
      state.parent ? state.parent->cancellation() : local_cancellation;
  if (state.parent) state.parent->BeginDownstream(now);
  OutgoingCall call{state.context, state.request.body};
  call.known_context = !state.request.is_local || state.parent;
  call.callee =
      state.method->calls.empty() ? CalleeKind::kLeaf : CalleeKind::kNonLeaf;
  call.budget = state.parent
                    ? state.parent->budget()
                    : ChainBudget::Create(state.context.extra_attempts);
  state.answer = m_caller.Call(call, cancellation, now);
  const TimePoint answered_at = BootClock::now();
  const LoadReport& load = state.answer.load;
  const bool has_load = load.incarnation != 0;
  if (has_load && !state.request.is_local) {
    m_thresholds.Update(state.context, load.threshold, answered_at);
  }
  if (state.parent) {
    state.parent->EndDownstream(answered_at);
    if (has_load) state.parent->RecordThreshold(load.threshold);
    state.parent->AddDownstreamAttempts(state.answer.attempts);
    if (!state.answer.refused_by.empty()) {
      state.parent->RecordRefusal(
          {state.answer.reason, state.answer.refused_by});
    }
  }
  return Step::kAnswered;
}

void RequestPipeline::Record(const RequestState& state, Duration latency) {
  const CallContext& context = state.context;
  const CallAnswer& answer = state.answer;
  RequestSample sample;
  // The names in the context come from the configuration, which bounds the
  // number of metric label values.
  sample.tenant = context.tenant;
  sample.service = context.service;
  sample.rank = context.rank;
  sample.outcome = answer.outcome;
  sample.refusal = answer.reason.code;
  sample.latency = latency;
  sample.queue_wait = answer.queue_wait;
  sample.added = latency - answer.queue_wait - answer.backend_time;
  m_metrics.RecordRequest(sample);
}

RequestPipeline::Step RequestPipeline::Refuse(RequestState& state,
                                              RefusalCode code,
                                              std::string text) {
  state.answer = NotRun(code, std::move(text));
  if (state.parent) {
    state.parent->RecordRefusal({state.answer.reason, m_settings.service});
  }
  return Step::kAnswered;
}

}  // namespace vanillatiller
