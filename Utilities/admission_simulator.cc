#include "admission_simulator.h"

#include <algorithm>
#include <stdexcept>

namespace vanillatiller {
namespace {

constexpr Duration kNetworkDelay = std::chrono::microseconds(500);
constexpr Duration kTick = std::chrono::milliseconds(10);
constexpr Duration kBinWidth = std::chrono::milliseconds(100);
constexpr Duration kShedLatency = std::chrono::microseconds(500);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

double StreamResult::SuccessFraction() const {
  if (offered == 0) return 1.0;
  return static_cast<double>(succeeded) / static_cast<double>(offered);
}

const StreamResult& SimulationResult::Stream(const std::string& name) const {
  for (const StreamResult& stream : streams) {
    if (stream.name == name) return stream;
  }
  throw std::out_of_range("no stream " + name);
}

bool AdmissionSimulator::Event::operator>(const Event& other) const {
  if (time != other.time) return time > other.time;
  return sequence > other.sequence;
}

AdmissionSimulator::AdmissionSimulator(const SimulationSettings& settings)
    : m_settings(settings),
      m_random(settings.seed),
      m_start(std::chrono::hours(1)),
      m_now(m_start),
      m_entry_tables(settings.entry_nodes) {
  for (uint32_t i = 0; i < m_settings.services.size(); ++i) {
    const SimulatedService& service = m_settings.services[i];
    Admission::Builder builder;
    builder.SetSlots(service.slots).SetPolicy(m_settings.policy);
    for (const TenantWeight& item : m_settings.tenant_weights) {
      builder.AddTenant(item.tenant, item.weight);
    }
    Findings findings;
    Server server;
    server.admission = builder.Build(m_start, &findings);
    if (server.admission == nullptr) {
      throw std::invalid_argument(FormatFindings(findings));
    }
    if (service.has_cold_start) server.admission->OnBackendRestarted(m_start);
    m_servers.push_back(std::move(server));
    m_service_names.push_back(std::to_string(i));
    Schedule(m_start + kTick, EventKind::kTick, i, i);
  }
  for (uint32_t i = 0; i < m_settings.streams.size(); ++i) {
    m_result.streams.push_back({m_settings.streams[i].name, 0, 0, 0});
    m_now = m_start + m_settings.streams[i].from;
    ScheduleArrival(i);
  }
  m_now = m_start;
}

SimulationResult AdmissionSimulator::Run() {
  const TimePoint end = m_start + m_settings.duration;
  while (!m_events.empty() && m_events.top().time < end) {
    Event event = m_events.top();
    m_events.pop();
    const TimePoint resumed = EffectiveTime(event);
    if (resumed > event.time) {
      event.time = resumed;
      m_events.push(event);
      continue;
    }
    m_now = event.time;
    Handle(event);
  }
  const Duration measured = m_settings.duration - m_settings.measure_from;
  uint64_t succeeded = 0;
  for (const StreamResult& stream : m_result.streams) {
    succeeded += stream.succeeded;
  }
  m_result.goodput = static_cast<double>(succeeded) / Seconds(measured);
  m_result.wasted_fraction =
      m_total_work > 0 ? m_wasted_work / m_total_work : 0;
  return m_result;
}

void AdmissionSimulator::Schedule(TimePoint time, EventKind kind,
                                  uint32_t subject, uint32_t service) {
  m_events.push({time, ++m_sequence, kind, subject, service});
}

// Delays the events of a paused service until the end of the fault.
TimePoint AdmissionSimulator::EffectiveTime(const Event& event) const {
  if (event.kind == EventKind::kArrival) return event.time;
  for (const SimulatedFault& fault : m_settings.faults) {
    const bool is_inside =
        event.time >= m_start + fault.from && event.time < m_start + fault.to;
    if (fault.is_paused && fault.service == event.service && is_inside) {
      return m_start + fault.to;
    }
  }
  return event.time;
}

void AdmissionSimulator::Handle(const Event& event) {
  AdmissionActions actions;
  switch (event.kind) {
    case EventKind::kArrival:
      return Arrive(event.subject);
    case EventKind::kOffer:
      return OfferCall(event.subject, event.service);
    case EventKind::kWorkDone:
      return FinishWork(event.subject, event.service);
    case EventKind::kAnswer:
      return EndCall(event.subject, event.service, BackendOutcome::kOk);
    case EventKind::kTick:
      m_servers[event.service].admission->OnTick(m_now, &actions);
      ExecuteActions(actions, event.service);
      Schedule(m_now + kTick, EventKind::kTick, event.service, event.service);
      return;
  }
}

void AdmissionSimulator::ScheduleArrival(uint32_t stream_index) {
  const SimulatedStream& stream = m_settings.streams[stream_index];
  if (stream.rate <= 0) return;
  std::exponential_distribution<double> interarrival_time(stream.rate);
  const TimePoint next = m_now + FromSeconds(interarrival_time(m_random));
  if (next >= m_start + stream.to) return;
  Schedule(next, EventKind::kArrival, stream_index, 0);
}

uint32_t AdmissionSimulator::LastService(const Request& request) const {
  const SimulatedStream& stream = m_settings.streams[request.stream];
  return stream.first_service + stream.chain_length - 1;
}

bool AdmissionSimulator::IsMeasured(const Request& request) const {
  const TimePoint end = m_start + m_settings.duration;
  return request.arrived >= m_start + m_settings.measure_from &&
         request.deadline < end;
}

void AdmissionSimulator::Arrive(uint32_t stream_index) {
  ScheduleArrival(stream_index);
  const SimulatedStream& stream = m_settings.streams[stream_index];
  const auto index = static_cast<uint32_t>(m_requests.size());
  Request request;
  request.stream = stream_index;
  request.shed_hash = ShedHash(RequestId{{m_random(), m_random()}});
  request.entry_node =
      static_cast<uint32_t>(m_random() % m_entry_tables.size());
  request.arrived = m_now;
  request.deadline = m_now + stream.timeout;
  const size_t services = m_settings.services.size();
  request.dispatched.resize(services);
  request.own_latency.resize(services);
  request.actions.resize(services);
  m_requests.push_back(request);
  StreamResult& result = m_result.streams[stream_index];
  if (IsMeasured(request)) ++result.offered;
  ThresholdTable& table = m_entry_tables[request.entry_node];
  if (UsesThresholdTables() &&
      table.Check(FirstCallKey(stream), stream.rank, request.shed_hash,
                  m_now) == ThresholdTable::Decision::kRefuse) {
    if (IsMeasured(request)) ++result.refused_at_entry;
    m_requests[index].is_ended = true;
    return;
  }
  Schedule(m_now + kNetworkDelay, EventKind::kOffer, index,
           stream.first_service);
}

bool AdmissionSimulator::UsesThresholdTables() const {
  return m_settings.use_threshold_table &&
         m_settings.policy == AdmissionPolicy::kAdaptive;
}

ThresholdKey AdmissionSimulator::FirstCallKey(
    const SimulatedStream& stream) const {
  return {m_service_names[stream.first_service], stream.method, stream.tenant};
}

void AdmissionSimulator::OfferCall(uint32_t request_index, uint32_t service) {
  Request& request = m_requests[request_index];
  const SimulatedStream& stream = m_settings.streams[request.stream];
  const bool is_first = service == stream.first_service;
  if (is_first && UsesThresholdTables() && m_settings.use_callee_table &&
      m_callee_table.Check(FirstCallKey(stream), stream.rank, request.shed_hash,
                           m_now) == ThresholdTable::Decision::kRefuse) {
    request.has_failed = true;
    request.threshold =
        m_callee_table.Get(FirstCallKey(stream), stream.rank, m_now);
    return Answer(request_index, service);
  }
  Work work;
  work.id = request_index;
  work.shed_hash = request.shed_hash;
  work.rank = stream.rank;
  work.is_protected = stream.is_protected;
  work.is_nested = !is_first;
  work.deadline = request.deadline;
  work.tenant = stream.tenant;
  work.method = stream.method;
  AdmissionActions actions;
  m_servers[service].admission->Offer(work, m_now, &actions);
  ExecuteActions(actions, service);
}

void AdmissionSimulator::ExecuteActions(const AdmissionActions& actions,
                                        uint32_t service) {
  const AdmissionState state = m_servers[service].admission->State();
  for (const AdmissionAction& action : actions) {
    if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
      const auto index = static_cast<uint32_t>(dispatch->id);
      if (m_requests[index].actions[service]++ > 0) {
        ++m_result.wrong_action_count;
      }
      m_result.limit_exceeded |= state.in_flight > state.limit;
      StartWork(index, service);
      continue;
    }
    const auto& refuse = std::get<Refuse>(action);
    const auto index = static_cast<uint32_t>(refuse.id);
    if (m_requests[index].actions[service]++ > 0) {
      ++m_result.wrong_action_count;
    }
    m_requests[index].has_failed = true;
    Answer(index, service);
  }
}

void AdmissionSimulator::StartWork(uint32_t request_index, uint32_t service) {
  Request& request = m_requests[request_index];
  Server& server = m_servers[service];
  const SimulatedService& spec = m_settings.services[service];
  request.dispatched[service] = m_now;
  ++server.held_calls;
  if (spec.shed_above > 0 && server.held_calls > spec.shed_above) {
    request.has_failed = true;
    // The refusal arrives after a short delay.
    request.own_latency[service] = kShedLatency;
    Schedule(m_now + kShedLatency, EventKind::kAnswer, request_index, service);
    return;
  }
  if (server.busy_workers >= spec.workers) {
    server.waiting.push_back(request_index);
    return;
  }
  ++server.busy_workers;
  std::exponential_distribution<double> time(1.0 / Seconds(spec.mean_time));
  const double seconds = time(m_random) * Slowdown(service);
  request.work_seconds += seconds;
  Schedule(m_now + FromSeconds(seconds), EventKind::kWorkDone, request_index,
           service);
}

double AdmissionSimulator::Slowdown(uint32_t service) const {
  const SimulatedService& spec = m_settings.services[service];
  const bool is_nearly_full =
      m_servers[service].held_calls >= spec.nearly_full * spec.slots;
  double result = is_nearly_full ? spec.nearly_full_slowdown : 1;
  for (const SimulatedFault& fault : m_settings.faults) {
    const bool is_inside =
        m_now >= m_start + fault.from && m_now < m_start + fault.to;
    if (fault.service == service && is_inside) result *= fault.slowdown;
  }
  return result;
}

void AdmissionSimulator::FinishWork(uint32_t request_index, uint32_t service) {
  Request& request = m_requests[request_index];
  request.own_latency[service] = m_now - request.dispatched[service];
  if (service < LastService(request) && m_now < request.deadline) {
    // The backend server keeps its worker occupied during downstream calls.
    Schedule(m_now + kNetworkDelay, EventKind::kOffer, request_index,
             service + 1);
    return;
  }
  if (service == LastService(request) && m_now >= request.deadline) {
    request.has_failed = true;
  }
  EndCall(request_index, service, BackendOutcome::kOk);
}

void AdmissionSimulator::EndCall(uint32_t request_index, uint32_t service,
                                 BackendOutcome outcome) {
  Request& request = m_requests[request_index];
  Server& server = m_servers[service];
  const bool was_shed = request.own_latency[service] == kShedLatency &&
                        m_settings.services[service].shed_above > 0;
  --server.held_calls;
  if (!was_shed) ReleaseWorker(service);
  AdmissionActions actions;
  const BackendResult result{was_shed ? BackendOutcome::kShed : outcome,
                             request.own_latency[service]};
  server.admission->OnFinished(request_index, result, m_now, &actions);
  const SimulatedStream& stream = m_settings.streams[request.stream];
  if (service == stream.first_service && stream.chain_length > 1) {
    m_callee_table.Update(FirstCallKey(stream), stream.rank, request.threshold,
                          m_now);
  }
  ExecuteActions(actions, service);
  Answer(request_index, service);
}

void AdmissionSimulator::ReleaseWorker(uint32_t service) {
  Server& server = m_servers[service];
  --server.busy_workers;
  while (!server.waiting.empty()) {
    const uint32_t next = server.waiting.front();
    server.waiting.pop_front();
    Request& request = m_requests[next];
    if (m_now < request.deadline) {
      ++server.busy_workers;
      const Duration mean = m_settings.services[service].mean_time;
      std::exponential_distribution<double> time(1.0 / Seconds(mean));
      const double seconds = time(m_random) * Slowdown(service);
      request.work_seconds += seconds;
      Schedule(m_now + FromSeconds(seconds), EventKind::kWorkDone, next,
               service);
      return;
    }
    // The backend server drops calls past their deadline without processing
    // them.
    request.has_failed = true;
    request.own_latency[service] = m_now - request.dispatched[service];
    --server.held_calls;
    AdmissionActions actions;
    server.admission->OnFinished(
        next, {BackendOutcome::kFailed, request.own_latency[service]}, m_now,
        &actions);
    Answer(next, service);
    ExecuteActions(actions, service);
  }
}

// Sends the response of `service` to its caller.
void AdmissionSimulator::Answer(uint32_t request_index, uint32_t service) {
  Request& request = m_requests[request_index];
  const SimulatedStream& stream = m_settings.streams[request.stream];
  const bool is_first = service == stream.first_service;
  const auto own = m_servers[service].admission->ThresholdFor(
      stream.rank, !is_first, stream.tenant, stream.method);
  request.threshold = AdmissionThreshold::Stricter(request.threshold, own);
  if (!is_first) {
    Schedule(m_now + kNetworkDelay, EventKind::kAnswer, request_index,
             service - 1);
    return;
  }
  EndRequest(request_index);
}

void AdmissionSimulator::EndRequest(uint32_t request_index) {
  Request& request = m_requests[request_index];
  const SimulatedStream& stream = m_settings.streams[request.stream];
  m_entry_tables[request.entry_node].Update(FirstCallKey(stream), stream.rank,
                                            request.threshold, m_now);
  request.is_ended = true;
  const bool is_success = !request.has_failed && m_now < request.deadline;
  if (IsMeasured(request)) {
    m_total_work += request.work_seconds;
    if (!is_success) m_wasted_work += request.work_seconds;
    if (is_success) ++m_result.streams[request.stream].succeeded;
  }
  if (!is_success) return;
  const size_t bin = (request.arrived - m_start) / kBinWidth;
  if (m_result.succeeded_by_arrival.size() <= bin) {
    m_result.succeeded_by_arrival.resize(bin + 1);
  }
  ++m_result.succeeded_by_arrival[bin];
}

}  // namespace vanillatiller
