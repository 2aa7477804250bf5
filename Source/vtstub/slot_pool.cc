#include "vtstub/slot_pool.h"

#include <algorithm>
#include <chrono>

namespace vanillatiller {
namespace {

constexpr std::chrono::milliseconds kGiveUpInterval{50};

}  // namespace

SlotPool::Result SlotPool::Acquire(uint32_t queue_limit,
                                   const std::function<bool()>& give_up) {
  std::unique_lock lock(m_mutex);
  if (m_in_use < m_slots && m_queue.empty()) {
    ++m_in_use;
    return Result::kAcquired;
  }
  if (m_queue.size() >= queue_limit) return Result::kQueueFull;
  Waiter self;
  m_queue.push_back(&self);
  while (!self.is_granted) {
    lock.unlock();
    const bool abandon = give_up();
    lock.lock();
    if (self.is_granted) break;
    if (abandon) {
      m_queue.erase(std::find(m_queue.begin(), m_queue.end(), &self));
      return Result::kGivenUp;
    }
    self.granted_condition.wait_for(lock, kGiveUpInterval);
  }
  return Result::kAcquired;
}

void SlotPool::Release() {
  const std::lock_guard lock(m_mutex);
  if (m_queue.empty()) {
    --m_in_use;
    return;
  }
  // The slot passes to the first waiting call.
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
