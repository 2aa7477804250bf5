#include "admission/work_queue.h"

#include <algorithm>

namespace vanillatiller {
namespace {

// Virtual time of a call whose slot time is not known yet, in seconds.
constexpr double kMinCost = 1e-6;

}  // namespace

void WorkQueue::Insert(const QueuedWork& work, const FlowStanding& standing) {
  Slot slot = static_cast<Slot>(m_slots.size());
  if (m_free.empty()) {
    m_slots.push_back(work);
  } else {
    slot = m_free.back();
    m_free.pop_back();
    m_slots[slot] = work;
  }
  m_ids[work.id] = slot;
  m_by_expiry.emplace(work.expires, slot);
  if (m_flows.size() <= work.flow) m_flows.resize(work.flow + 1);
  FlowQueue& flow = m_flows[work.flow];
  ClassQueue& queue = m_classes[work.order_class];
  if (flow.calls.empty()) {
    flow.standing = standing;
    Activate(&queue, work.flow);
  }
  flow.standing.cost = standing.cost;
  flow.calls.emplace(work.position, slot);
  ++queue.size;
}

void WorkQueue::Activate(ClassQueue* queue, FlowIndex index) {
  FlowQueue& flow = m_flows[index];
  flow.virtual_time = std::max(flow.virtual_time, queue->virtual_time);
  queue->active.emplace(flow.virtual_time, index);
  ++queue->active_of_tenant[flow.standing.tenant];
}

void WorkQueue::Deactivate(ClassQueue* queue, FlowIndex index) {
  const FlowQueue& flow = m_flows[index];
  queue->active.erase({flow.virtual_time, index});
  const auto found = queue->active_of_tenant.find(flow.standing.tenant);
  if (--found->second == 0) queue->active_of_tenant.erase(found);
}

double WorkQueue::WeightOf(const ClassQueue& queue,
                           const FlowQueue& flow) const {
  const auto found = queue.active_of_tenant.find(flow.standing.tenant);
  return flow.standing.weight / found->second;
}

QueuedWork WorkQueue::Take(Slot slot) {
  const QueuedWork work = m_slots[slot];
  FlowQueue& flow = m_flows[work.flow];
  const auto queue = m_classes.find(work.order_class);
  flow.calls.erase({work.position, slot});
  if (flow.calls.empty()) Deactivate(&queue->second, work.flow);
  --queue->second.size;
  m_by_expiry.erase({work.expires, slot});
  m_ids.erase(work.id);
  m_free.push_back(slot);
  return work;
}

std::optional<QueuedWork> WorkQueue::PopFirst() {
  for (auto& item : m_classes) {
    ClassQueue& queue = item.second;
    if (queue.size == 0) continue;
    const auto [virtual_time, index] = *queue.active.begin();
    FlowQueue& flow = m_flows[index];
    const double cost = std::max(flow.standing.cost, kMinCost);
    queue.virtual_time = virtual_time;
    queue.active.erase(queue.active.begin());
    flow.virtual_time += cost / WeightOf(queue, flow);
    queue.active.emplace(flow.virtual_time, index);
    return Take(flow.calls.begin()->second);
  }
  return std::nullopt;
}

FlowIndex WorkQueue::LongestFlow(const ClassQueue& queue) const {
  FlowIndex longest = queue.active.begin()->second;
  double length = -1;
  for (const auto& [virtual_time, index] : queue.active) {
    const FlowQueue& flow = m_flows[index];
    const double cost = std::max(flow.standing.cost, kMinCost);
    const auto length_now = static_cast<double>(flow.calls.size());
    const double own = length_now * cost / WeightOf(queue, flow);
    if (own <= length) continue;
    length = own;
    longest = index;
  }
  return longest;
}

std::optional<QueuedWork> WorkQueue::PopLast() {
  for (auto item = m_classes.rbegin(); item != m_classes.rend(); ++item) {
    const ClassQueue& queue = item->second;
    if (queue.size == 0) continue;
    const FlowQueue& flow = m_flows[LongestFlow(queue)];
    return Take(flow.calls.rbegin()->second);
  }
  return std::nullopt;
}

std::optional<QueuedWork> WorkQueue::PopExpired(TimePoint now) {
  if (m_by_expiry.empty()) return std::nullopt;
  const auto [expires, slot] = *m_by_expiry.begin();
  if (expires > now) return std::nullopt;
  return Take(slot);
}

std::optional<QueuedWork> WorkQueue::Remove(WorkId id) {
  const auto found = m_ids.find(id);
  if (found == m_ids.end()) return std::nullopt;
  return Take(found->second);
}

bool WorkQueue::HasLessImportant(uint32_t order_class) const {
  for (auto item = m_classes.rbegin(); item != m_classes.rend(); ++item) {
    if (item->first <= order_class) return false;
    if (item->second.size > 0) return true;
  }
  return false;
}

uint32_t WorkQueue::CountUpTo(uint32_t order_class) const {
  uint32_t count = 0;
  for (const auto& [other_class, queue] : m_classes) {
    if (other_class > order_class) break;
    count += queue.size;
  }
  return count;
}

uint32_t WorkQueue::CountAhead(uint32_t order_class, FlowIndex flow,
                               uint64_t position) const {
  uint32_t count = 0;
  for (const auto& [other_class, queue] : m_classes) {
    if (other_class >= order_class) break;
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
