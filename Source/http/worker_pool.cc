#include "http/worker_pool.h"

#include <chrono>
#include <thread>
#include <utility>

namespace vanillatiller {
namespace {

constexpr std::chrono::seconds kIdleTime{10};

}  // namespace

WorkerPool::WorkerPool(size_t max_threads) : m_max_threads(max_threads) {}

WorkerPool::~WorkerPool() { Shutdown(); }

void WorkerPool::Post(std::function<void()> task) {
  const std::lock_guard lock(m_mutex);
  if (m_stopping) return;
  m_tasks.push_back(std::move(task));
  if (m_idle >= m_tasks.size() || m_threads == m_max_threads) {
    m_work_ready.notify_one();
    return;
  }
  ++m_threads;
  std::thread([this] { Run(); }).detach();
}

void WorkerPool::Shutdown() {
  std::unique_lock lock(m_mutex);
  m_stopping = true;
  m_work_ready.notify_all();
  m_thread_ended.wait(lock, [this] { return m_threads == 0; });
}

void WorkerPool::Run() {
  std::unique_lock lock(m_mutex);
  while (true) {
    if (m_tasks.empty()) {
      if (m_stopping) break;
      ++m_idle;
      const bool woken = m_work_ready.wait_for(
          lock, kIdleTime, [this] { return m_stopping || !m_tasks.empty(); });
      --m_idle;
      if (!woken) break;
      continue;
    }
    std::function<void()> task = std::move(m_tasks.front());
    m_tasks.pop_front();
    lock.unlock();
    task();
    task = nullptr;
    lock.lock();
  }
  --m_threads;
  m_thread_ended.notify_all();
}

}  // namespace vanillatiller
