#include "vtstub/growing_task_queue.h"

namespace vanillatiller {

void GrowingTaskQueue::enqueue(std::function<void()> task) {
  const std::lock_guard lock(m_mutex);
  m_tasks.push_back(std::move(task));
  if (m_idle < m_tasks.size() && m_threads.size() < m_max_threads) {
    m_threads.emplace_back([this] { Work(); });
    ++m_idle;
  }
  m_wake.notify_one();
}

void GrowingTaskQueue::shutdown() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_all();
  for (std::thread& thread : m_threads) thread.join();
}

void GrowingTaskQueue::Work() {
  std::unique_lock lock(m_mutex);
  while (true) {
    m_wake.wait(lock, [this] { return m_stopping || !m_tasks.empty(); });
    if (m_tasks.empty()) return;
    const auto task = std::move(m_tasks.front());
    m_tasks.pop_front();
    --m_idle;
    lock.unlock();
    task();
    lock.lock();
    ++m_idle;
  }
}

}  // namespace vanillatiller
