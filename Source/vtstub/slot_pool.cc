#include "vtstub/slot_pool.h"

#include <algorithm>
#include <chrono>

namespace vanillatiller {
namespace {

constexpr std::chrono::milliseconds kGiveUpInterval{5};

}  // namespace

SlotPool::Result SlotPool::Acquire(uint32_t queue_limit,
                                   const std::function<bool()>& give_up) {
  std::unique_lock lock(m_mutex);
  if (m_in_use < m_slots && m_queue.empty()) {
    ++m_in_use;
    return Result::kAcquired;
  }
  if (m_queue.size() >= queue_limit) return Result::kQueueFull;
  const uint64_t position = m_next_position++;
  m_queue.push_back(position);
  while (true) {
    if (m_in_use < m_slots && m_queue.front() == position) {
      m_queue.pop_front();
      ++m_in_use;
      m_changed.notify_all();
      return Result::kAcquired;
    }
    lock.unlock();
    const bool abandon = give_up();
    lock.lock();
    if (abandon) {
      m_queue.erase(std::find(m_queue.begin(), m_queue.end(), position));
      m_changed.notify_all();
      return Result::kGivenUp;
    }
    m_changed.wait_for(lock, kGiveUpInterval);
  }
}

void SlotPool::Release() {
  const std::lock_guard lock(m_mutex);
  --m_in_use;
  m_changed.notify_all();
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
