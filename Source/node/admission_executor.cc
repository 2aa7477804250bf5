#include "node/admission_executor.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace vanillatiller {
namespace {

// Slots until the configuration says how many there are.
constexpr uint32_t kSlotsBeforeConfig = 16;

}  // namespace

AdmissionExecutor::AdmissionExecutor(const NodeSettings& settings,
                                     const FleetView& view, TimePoint now)
    : m_settings(settings), m_view(view) {
  Findings findings;
  m_admission = Admission::Builder()
                    .SetSlots(kSlotsBeforeConfig)
                    .SetPolicy(settings.admission)
                    .Build(now, &findings);
  // The VM may just have been started, and its backend server with it.
  m_admission->OnBackendRestarted(now);
}

void AdmissionExecutor::Offer(WorkId id, const CallContext& context,
                              Handlers handlers, TimePoint now) {
  Work work;
  work.id = id;
  work.shed_hash = ShedHash(context.request);
  work.rank = context.rank;
  work.is_nested = context.depth > 0;
  work.deadline = context.deadline;
  work.tenant = context.tenant;
  work.method = context.method;
  AdmissionActions actions;
  std::vector<Task> tasks;
  {
    const std::lock_guard lock(m_mutex);
    work.is_protected = IsProtected(context.rank);
    m_handlers[id] = std::move(handlers);
    m_admission->Offer(work, now, &actions);
    tasks = TakeTasks(actions);
  }
  Run(tasks);
}

void AdmissionExecutor::Finish(WorkId id, const BackendResult& result,
                               TimePoint now) {
  AdmissionActions actions;
  std::vector<Task> tasks;
  {
    const std::lock_guard lock(m_mutex);
    m_admission->OnFinished(id, result, now, &actions);
    tasks = TakeTasks(actions);
  }
  Run(tasks);
}

void AdmissionExecutor::Cancel(WorkId id, TimePoint now) {
  AdmissionActions actions;
  std::vector<Task> tasks;
  {
    const std::lock_guard lock(m_mutex);
    m_admission->OnCancelled(id, now, &actions);
    tasks = TakeTasks(actions);
  }
  Run(tasks);
}

void AdmissionExecutor::OnBackendRestarted(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  m_admission->OnBackendRestarted(now);
}

void AdmissionExecutor::OnTick(TimePoint now) {
  const auto config = m_view.config();
  AdmissionActions actions;
  std::vector<Task> tasks;
  {
    const std::lock_guard lock(m_mutex);
    if (config && config != m_config) {
      m_config = config;
      ApplyConfig(*config);
    }
    m_admission->OnTick(now, &actions);
    tasks = TakeTasks(actions);
  }
  Run(tasks);
}

AdmissionState AdmissionExecutor::State() const {
  const std::lock_guard lock(m_mutex);
  return m_admission->State();
}

AdmissionThreshold AdmissionExecutor::ThresholdFor(
    const CallContext& context) const {
  const std::lock_guard lock(m_mutex);
  return m_admission->ThresholdFor(context.rank, context.depth > 0,
                                   context.tenant, context.method);
}

std::vector<AdmissionExecutor::Task> AdmissionExecutor::TakeTasks(
    const AdmissionActions& actions) {
  std::vector<Task> tasks;
  tasks.reserve(actions.size());
  for (const AdmissionAction& action : actions) {
    const WorkId id = std::visit([](const auto& a) { return a.id; }, action);
    const auto found = m_handlers.find(id);
    tasks.push_back({action, std::move(found->second)});
    m_handlers.erase(found);
  }
  return tasks;
}

void AdmissionExecutor::Run(const std::vector<Task>& tasks) {
  for (const Task& task : tasks) {
    if (const auto* refuse = std::get_if<Refuse>(&task.action)) {
      task.handlers.refuse(*refuse);
    } else {
      task.handlers.dispatch();
    }
  }
}

void AdmissionExecutor::ApplyConfig(const FleetConfig& config) {
  const ServiceConfig* service = config.FindService(m_settings.service);
  if (service != nullptr) m_admission->SetSlots(service->slots);
  std::vector<TenantWeight> weights;
  weights.reserve(config.tenants.size());
  for (const TenantConfig& tenant : config.tenants) {
    weights.push_back({tenant.name, tenant.weight});
  }
  m_admission->SetTenantWeights(weights);
}

bool AdmissionExecutor::IsProtected(uint32_t rank) const {
  if (!m_config) return false;
  const auto& ranks = m_config->ranks;
  return std::any_of(ranks.begin(), ranks.end(), [rank](const RankConfig& r) {
    return r.order == rank && r.is_protected;
  });
}

}  // namespace vanillatiller
