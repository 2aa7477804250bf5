#include "vtstub/slot_pool.h"

#include <algorithm>
#include <chrono>

namespace vanillatiller {
namespace {

constexpr std::chrono::milliseconds kAbandonCheckInterval{50};

}  // namespace

SlotPool::Result SlotPool::Acquire(
    uint32_t queue_limit, const std::function<bool()>& should_abandon) {
  std::unique_lock lock(m_mutex);
  if (m_in_use < m_slots && m_queue.empty()) {
    ++m_in_use;
    return Result::kAcquired;
  }
  if (m_queue.size() >= queue_limit) return Result::kQueueFull;
  Waiter waiter;
  m_queue.push_back(&waiter);
  while (!waiter.is_granted) {
    lock.unlock();
    const bool abandoned = should_abandon();
    lock.lock();
    if (waiter.is_granted) break;
    if (abandoned) {
      m_queue.erase(std::find(m_queue.begin(), m_queue.end(), &waiter));
      return Result::kAbandoned;
    }
    waiter.granted_condition.wait_for(lock, kAbandonCheckInterval);
  }
  return Result::kAcquired;
}

void SlotPool::Release() {
  const std::lock_guard lock(m_mutex);
  if (m_queue.empty()) {
    --m_in_use;
    return;
  }
  // Transfers the slot to the longest-waiting call.
  Waiter* next = m_queue.front();
  m_queue.pop_front();
  next->is_granted = true;
  next->granted_condition.notify_one();
}

uint32_t SlotPool::in_use() const {
  const std::lock_guard lock(m_mutex);
  return m_in_use;
}

uint32_t SlotPool::waiting() const {
  const std::lock_guard lock(m_mutex);
  return static_cast<uint32_t>(m_queue.size());
}

}  // namespace vanillatiller
