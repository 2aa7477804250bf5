#include "node/request_pipeline.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace vanillatiller {
namespace {

constexpr std::string_view kDefaultTenant = "default";

// A whole number of milliseconds above 0; nullopt for anything else.
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

RequestPipeline::RequestPipeline(const Parts& parts)
    : m_settings(parts.settings),
      m_view(parts.view),
      m_ids(parts.ids),
      m_active_calls(parts.active_calls),
      m_caller(parts.caller),
      m_tickets(parts.settings.advertised_peer.ToString(), parts.incarnation),
      m_metrics(parts.metrics) {}

CallAnswer RequestPipeline::Handle(IncomingRequest request, TimePoint now) {
  // The filters after CheckTicket refuse in the name of the issuer, so that
  // "not run" holds for every copy of the request.
  static constexpr std::array<Filter, 7> kFilters = {
      &RequestPipeline::Identify,      &RequestPipeline::InheritFromParent,
      &RequestPipeline::SetDeadline,   &RequestPipeline::CheckTicket,
      &RequestPipeline::CheckDraining, &RequestPipeline::CheckThreshold,
      &RequestPipeline::MakeCall,
  };
  const bool is_outside = !request.is_local;
  if (is_outside) ++m_in_flight;
  Exchange exchange;
  exchange.request = std::move(request);
  for (const Filter filter : kFilters) {
    if ((this->*filter)(exchange, now) == Step::kAnswered) break;
  }
  FinishTicket(exchange);
  if (is_outside) --m_in_flight;
  Record(exchange, BootClock::now() - now);
  return std::move(exchange.answer);
}

RequestPipeline::Step RequestPipeline::CheckDraining(Exchange& exchange,
                                                     TimePoint /*now*/) {
  // Downstream calls of requests in flight still go out while draining.
  if (!m_draining || exchange.request.is_local) return Step::kNext;
  return Refuse(exchange, RefusalCode::kLeaving, "node is leaving");
}

RequestPipeline::Step RequestPipeline::Identify(Exchange& exchange,
                                                TimePoint /*now*/) {
  exchange.config = m_view.config();
  if (!exchange.config && !exchange.request.ticket.empty()) {
    // An earlier copy of the request may have run under the ticket.
    exchange.answer = UnknownOutcome(RefusalCode::kNoConfiguration,
                                     "no configuration is in force yet");
    return Step::kAnswered;
  }
  if (!exchange.config) {
    return Refuse(exchange, RefusalCode::kNoConfiguration,
                  "no configuration is in force yet");
  }
  const IncomingRequest& request = exchange.request;
  const FleetConfig& config = *exchange.config;
  const ServiceConfig* service = config.FindService(request.service);
  if (service == nullptr) {
    return Refuse(exchange, RefusalCode::kUnknownService,
                  "service \"" + request.service + "\" is not declared");
  }
  exchange.method = service->FindMethod(request.method);
  if (exchange.method == nullptr) {
    return Refuse(exchange, RefusalCode::kUnknownMethod,
                  "method \"" + request.service + "." + request.method +
                      "\" is not declared");
  }
  const RankConfig* rank = config.FindRank(exchange.method->rank);
  if (rank == nullptr) {
    return Refuse(exchange, RefusalCode::kNoConfiguration,
                  "rank \"" + exchange.method->rank + "\" is not declared");
  }
  CallContext& context = exchange.context;
  context.request = m_ids.NextRequest();
  context.service = request.service;
  context.method = request.method;
  context.rank = rank->order;
  context.idempotent = exchange.method->idempotent;
  context.extra_attempts = config.chain.extra_attempts;
  const TenantConfig* tenant = config.FindTenant(request.tenant);
  context.tenant = tenant ? tenant->name : kDefaultTenant;
  return Step::kNext;
}

RequestPipeline::Step RequestPipeline::InheritFromParent(Exchange& exchange,
                                                         TimePoint /*now*/) {
  if (!exchange.request.is_local) return Step::kNext;
  CallContext& context = exchange.context;
  exchange.parent = m_active_calls.Find(exchange.request.call_token);
  if (!exchange.parent) {
    // Without a known parent nothing says how many retries the chain has left.
    context.extra_attempts = 0;
    return Step::kNext;
  }
  const CallContext& parent = exchange.parent->context();
  if (parent.depth + 1 >= exchange.config->chain.max_depth) {
    return Refuse(exchange, RefusalCode::kDepthExceeded,
                  "call chain is deeper than " +
                      std::to_string(exchange.config->chain.max_depth));
  }
  if (parent.idempotent && !context.idempotent) {
    return Refuse(exchange, RefusalCode::kNotIdempotent,
                  "an idempotent call may not make a non-idempotent one");
  }
  context.request = parent.request;
  context.tenant = parent.tenant;
  context.rank = parent.rank;
  context.depth = parent.depth + 1;
  return Step::kNext;
}

RequestPipeline::Step RequestPipeline::SetDeadline(Exchange& exchange,
                                                   TimePoint now) {
  CallContext& context = exchange.context;
  context.deadline = now + exchange.method->timeout;
  if (exchange.parent) {
    context.deadline =
        std::min(context.deadline, exchange.parent->context().deadline);
  }
  if (exchange.request.forwarded_deadline) {
    context.deadline =
        std::min(context.deadline, *exchange.request.forwarded_deadline);
  }
  const std::string& text = exchange.request.timeout_ms;
  if (!text.empty()) {
    const auto timeout = ParseTimeout(text);
    if (!timeout) {
      return Refuse(exchange, RefusalCode::kBadRequest,
                    "X-Vt-Timeout-Ms: expected a whole number above 0");
    }
    context.deadline = std::min(context.deadline, now + *timeout);
  }
  // The issuer of a ticket checks again whether the request ran before.
  if (context.deadline > now || exchange.request.forwarded_deadline) {
    return Step::kNext;
  }
  return Refuse(exchange, RefusalCode::kDeadlineExceeded,
                "deadline of the calling request has passed");
}

RequestPipeline::Step RequestPipeline::CheckTicket(Exchange& exchange,
                                                   TimePoint now) {
  const IncomingRequest& request = exchange.request;
  const CallContext& context = exchange.context;
  if (request.is_local || context.idempotent) return Step::kNext;
  if (request.ticket.empty()) {
    if (m_draining) return Step::kNext;
    return Refuse(exchange, RefusalCode::kTicketRequired,
                  "the method is not idempotent: repeat the request with the "
                  "ticket of this response");
  }
  Reason reason;
  const std::optional<Ticket> ticket = ParseTicket(request.ticket, &reason);
  if (!ticket) return Refuse(exchange, reason.code, reason.text);
  if (!m_tickets.IsIssuer(*ticket)) return Forward(exchange, *ticket, now);
  TicketManager::Entrance entrance =
      m_tickets.Enter(request.ticket,
                      RequestDigest(context.service, context.method,
                                    context.tenant, request.body),
                      context.deadline, now);
  exchange.ticket_sequence = entrance.sequence;
  if (entrance.sequence) return Step::kNext;
  exchange.answer = std::move(entrance.answer);
  return Step::kAnswered;
}

RequestPipeline::Step RequestPipeline::Forward(Exchange& exchange,
                                               const Ticket& ticket,
                                               TimePoint now) {
  const IncomingRequest& request = exchange.request;
  // The ticket is not authenticated here, so it must not name an address that
  // is no peer, and a request is forwarded once only.
  if (request.forwarded_deadline || !IsPeer(ticket.issuer)) {
    exchange.answer = UnknownOutcome(RefusalCode::kUnknownIncarnation,
                                     "the issuer of the ticket is gone");
    return Step::kAnswered;
  }
  exchange.answer = m_caller.Forward(ticket.issuer, request.ticket,
                                     exchange.context, request.body, now);
  return Step::kAnswered;
}

bool RequestPipeline::IsPeer(const std::string& address) const {
  const auto members = m_view.members();
  if (!members) return false;
  return std::any_of(
      members->begin(), members->end(),
      [&](const Member& member) { return member.peer_address == address; });
}

void RequestPipeline::FinishTicket(Exchange& exchange) {
  if (exchange.ticket_sequence) {
    m_tickets.Complete(*exchange.ticket_sequence, exchange.answer);
  }
  const IncomingRequest& request = exchange.request;
  const bool wants_ticket = !request.is_local && !request.forwarded_deadline;
  if (wants_ticket && !m_draining) {
    exchange.answer.ticket = m_tickets.Issue(BootClock::now());
  }
}

// Work that a service below would refuse is refused before anything is spent
// on it. Calls of backend servers go on: work was spent on their requests.
RequestPipeline::Step RequestPipeline::CheckThreshold(Exchange& exchange,
                                                      TimePoint now) {
  if (exchange.request.is_local) return Step::kNext;
  if (m_settings.admission != AdmissionPolicy::kAdaptive) return Step::kNext;
  const auto decision = m_thresholds.Check(exchange.context, now);
  if (decision != ThresholdTable::Decision::kRefuse) return Step::kNext;
  exchange.answer = NotRun(RefusalCode::kBelowThreshold,
                           "service \"" + exchange.context.service +
                               "\" or one below it is overloaded");
  exchange.answer.refused_by = exchange.context.service;
  m_metrics.RecordEarlyRefusal("", exchange.context.service,
                               exchange.context.rank,
                               RefusalCode::kBelowThreshold);
  return Step::kAnswered;
}

RequestPipeline::Step RequestPipeline::MakeCall(Exchange& exchange,
                                                TimePoint now) {
  Cancellation own_cancellation;
  Cancellation& cancellation =
      exchange.parent ? exchange.parent->cancellation() : own_cancellation;
  if (exchange.parent) exchange.parent->BeginDownstream(now);
  OutgoingCall call{exchange.context, exchange.request.body};
  call.known_context = !exchange.request.is_local || exchange.parent;
  call.callee =
      exchange.method->calls.empty() ? CalleeKind::kLeaf : CalleeKind::kNonLeaf;
  call.budget = exchange.parent
                    ? exchange.parent->budget()
                    : ChainBudget::Create(exchange.context.extra_attempts);
  exchange.answer = m_caller.Call(call, cancellation, now);
  const TimePoint answered = BootClock::now();
  const LoadReport& load = exchange.answer.load;
  const bool has_load = load.incarnation != 0;
  if (has_load && !exchange.request.is_local) {
    m_thresholds.Update(exchange.context, load.threshold, answered);
  }
  if (exchange.parent) {
    exchange.parent->EndDownstream(answered);
    if (has_load) exchange.parent->RecordThreshold(load.threshold);
    exchange.parent->AddAttempts(exchange.answer.attempts);
    if (!exchange.answer.refused_by.empty()) {
      exchange.parent->RecordRefusal(
          {exchange.answer.reason, exchange.answer.refused_by});
    }
  }
  return Step::kAnswered;
}

void RequestPipeline::Record(const Exchange& exchange, Duration latency) {
  const CallContext& context = exchange.context;
  const CallAnswer& answer = exchange.answer;
  RequestSample sample;
  // Names in the context were found in the configuration.
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

RequestPipeline::Step RequestPipeline::Refuse(Exchange& exchange,
                                              RefusalCode code,
                                              std::string text) {
  exchange.answer = NotRun(code, std::move(text));
  if (exchange.parent) {
    exchange.parent->RecordRefusal(
        {exchange.answer.reason, m_settings.service});
  }
  return Step::kAnswered;
}

}  // namespace vanillatiller
