#include "admission/work_queue.h"

#include <algorithm>

namespace vanillatiller {
namespace {

// Minimum cost of a call, used while its service time is unknown.
constexpr double kMinCostSeconds = 1e-6;

}  // namespace

void WorkQueue::Insert(const QueuedWork& work,
                       const FlowParameters& parameters) {
  EntryIndex entry = static_cast<EntryIndex>(m_entries.size());
  if (m_free_entries.empty()) {
    m_entries.push_back(work);
  } else {
    entry = m_free_entries.back();
    m_free_entries.pop_back();
    m_entries[entry] = work;
  }
  m_entry_by_id[work.id] = entry;
  m_by_expiry.emplace(work.expires, entry);
  if (m_flows.size() <= work.flow) m_flows.resize(work.flow + 1);
  FlowQueue& flow = m_flows[work.flow];
  ClassQueue& queue = m_classes[work.priority_class];
  if (flow.calls.empty()) {
    flow.parameters = parameters;
    Activate(&queue, work.flow);
  }
  flow.parameters.cost = parameters.cost;
  flow.calls.emplace(work.position, entry);
  ++queue.size;
}

void WorkQueue::Activate(ClassQueue* queue, FlowIndex index) {
  FlowQueue& flow = m_flows[index];
  flow.virtual_time = std::max(flow.virtual_time, queue->virtual_time);
  queue->active.emplace(flow.virtual_time, index);
  ++queue->active_of_tenant[flow.parameters.tenant];
}

void WorkQueue::Deactivate(ClassQueue* queue, FlowIndex index) {
  const FlowQueue& flow = m_flows[index];
  queue->active.erase({flow.virtual_time, index});
  const auto found = queue->active_of_tenant.find(flow.parameters.tenant);
  if (--found->second == 0) queue->active_of_tenant.erase(found);
}

double WorkQueue::WeightOf(const ClassQueue& queue,
                           const FlowQueue& flow) const {
  const auto found = queue.active_of_tenant.find(flow.parameters.tenant);
  return flow.parameters.weight / found->second;
}

QueuedWork WorkQueue::RemoveEntry(EntryIndex entry) {
  const QueuedWork work = m_entries[entry];
  FlowQueue& flow = m_flows[work.flow];
  const auto queue = m_classes.find(work.priority_class);
  flow.calls.erase({work.position, entry});
  if (flow.calls.empty()) Deactivate(&queue->second, work.flow);
  --queue->second.size;
  m_by_expiry.erase({work.expires, entry});
  m_entry_by_id.erase(work.id);
  m_free_entries.push_back(entry);
  return work;
}

std::optional<QueuedWork> WorkQueue::PopFirst() {
  for (auto& item : m_classes) {
    ClassQueue& queue = item.second;
    if (queue.size == 0) continue;
    const auto [virtual_time, index] = *queue.active.begin();
    FlowQueue& flow = m_flows[index];
    const double cost = std::max(flow.parameters.cost, kMinCostSeconds);
    queue.virtual_time = virtual_time;
    queue.active.erase(queue.active.begin());
    flow.virtual_time += cost / WeightOf(queue, flow);
    queue.active.emplace(flow.virtual_time, index);
    return RemoveEntry(flow.calls.begin()->second);
  }
  return std::nullopt;
}

FlowIndex WorkQueue::LongestWeightedFlow(const ClassQueue& queue) const {
  FlowIndex longest = queue.active.begin()->second;
  double max_length = -1;
  for (const auto& [virtual_time, index] : queue.active) {
    const FlowQueue& flow = m_flows[index];
    const double cost = std::max(flow.parameters.cost, kMinCostSeconds);
    const auto call_count = static_cast<double>(flow.calls.size());
    const double weighted_length = call_count * cost / WeightOf(queue, flow);
    if (weighted_length <= max_length) continue;
    max_length = weighted_length;
    longest = index;
  }
  return longest;
}

std::optional<QueuedWork> WorkQueue::PopLast() {
  for (auto item = m_classes.rbegin(); item != m_classes.rend(); ++item) {
    const ClassQueue& queue = item->second;
    if (queue.size == 0) continue;
    const FlowQueue& flow = m_flows[LongestWeightedFlow(queue)];
    return RemoveEntry(flow.calls.rbegin()->second);
  }
  return std::nullopt;
}

std::optional<QueuedWork> WorkQueue::PopExpired(TimePoint now) {
  if (m_by_expiry.empty()) return std::nullopt;
  const auto [expires, entry] = *m_by_expiry.begin();
  if (expires > now) return std::nullopt;
  return RemoveEntry(entry);
}

std::optional<QueuedWork> WorkQueue::Remove(WorkId id) {
  const auto found = m_entry_by_id.find(id);
  if (found == m_entry_by_id.end()) return std::nullopt;
  return RemoveEntry(found->second);
}

bool WorkQueue::HasLowerPriority(uint32_t priority_class) const {
  for (auto item = m_classes.rbegin(); item != m_classes.rend(); ++item) {
    if (item->first <= priority_class) return false;
    if (item->second.size > 0) return true;
  }
  return false;
}

uint32_t WorkQueue::CountAtOrAbovePriority(uint32_t priority_class) const {
  uint32_t count = 0;
  for (const auto& [other_class, queue] : m_classes) {
    if (other_class > priority_class) break;
    count += queue.size;
  }
  return count;
}

uint32_t WorkQueue::CountAhead(uint32_t priority_class, FlowIndex flow,
                               uint64_t position) const {
  uint32_t count = 0;
  for (const auto& [other_class, queue] : m_classes) {
    if (other_class >= priority_class) break;
    count += queue.size;
  }
  if (flow >= m_flows.size() || m_flows[flow].calls.empty()) return count;
  const auto& calls = m_flows[flow].calls;
  if (position > calls.rbegin()->first) {
    count += static_cast<uint32_t>(calls.size());
  }
  return count;
}

}  // namespace vanillatiller
