#include "node/admission_executor.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace vanillatiller {
namespace {

// Number of slots until a configuration is available.
constexpr uint32_t kInitialSlots = 16;

}  // namespace

AdmissionExecutor::AdmissionExecutor(const NodeSettings& settings,
                                     const FleetView& view, TimePoint now)
    : m_settings(settings), m_view(view) {
  Findings findings;
  m_admission = Admission::Builder()
                    .SetSlots(kInitialSlots)
                    .SetPolicy(settings.admission)
                    .Build(now, &findings);
  // The VM and its backend server may have just started.
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
  std::vector<PendingAction> pending_actions;
  {
    const std::lock_guard lock(m_mutex);
    work.is_protected = IsProtected(context.rank);
    m_handlers[id] = std::move(handlers);
    m_admission->Offer(work, now, &actions);
    pending_actions = TakePendingActions(actions);
  }
  Execute(pending_actions);
}

void AdmissionExecutor::Finish(WorkId id, const BackendResult& result,
                               TimePoint now) {
  AdmissionActions actions;
  std::vector<PendingAction> pending_actions;
  {
    const std::lock_guard lock(m_mutex);
    m_admission->OnFinished(id, result, now, &actions);
    pending_actions = TakePendingActions(actions);
  }
  Execute(pending_actions);
}

void AdmissionExecutor::Cancel(WorkId id, TimePoint now) {
  AdmissionActions actions;
  std::vector<PendingAction> pending_actions;
  {
    const std::lock_guard lock(m_mutex);
    m_admission->OnCancelled(id, now, &actions);
    pending_actions = TakePendingActions(actions);
  }
  Execute(pending_actions);
}

void AdmissionExecutor::OnBackendRestarted(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  m_admission->OnBackendRestarted(now);
}

void AdmissionExecutor::OnTick(TimePoint now) {
  const auto config = m_view.config();
  AdmissionActions actions;
  std::vector<PendingAction> pending_actions;
  {
    const std::lock_guard lock(m_mutex);
    if (config && config != m_config) {
      m_config = config;
      ApplyConfig(*config);
    }
    m_admission->OnTick(now, &actions);
    pending_actions = TakePendingActions(actions);
  }
  Execute(pending_actions);
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

std::vector<AdmissionExecutor::PendingAction>
AdmissionExecutor::TakePendingActions(const AdmissionActions& actions) {
  std::vector<PendingAction> pending_actions;
  pending_actions.reserve(actions.size());
  for (const AdmissionAction& action : actions) {
    const WorkId id =
        std::visit([](const auto& item) { return item.id; }, action);
    const auto found = m_handlers.find(id);
    pending_actions.push_back({action, std::move(found->second)});
    m_handlers.erase(found);
  }
  return pending_actions;
}

void AdmissionExecutor::Execute(
    const std::vector<PendingAction>& pending_actions) {
  for (const PendingAction& pending : pending_actions) {
    if (const auto* refuse = std::get_if<Refuse>(&pending.action)) {
      pending.handlers.refuse(*refuse);
    } else {
      pending.handlers.dispatch();
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
  return std::any_of(ranks.begin(), ranks.end(),
                     [rank](const RankConfig& config) {
                       return config.order == rank && config.is_protected;
                     });
}

}  // namespace vanillatiller
