#ifndef VANILLATILLER_SOURCE_HTTP_WORKER_POOL_H_
#define VANILLATILLER_SOURCE_HTTP_WORKER_POOL_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>

namespace vanillatiller {

// Runs blocking tasks on threads that are started when they are needed, up to
// a bound, and end after being idle. A fixed pool would hold a thread for each
// connection that might ever come.
class WorkerPool {
 public:
  explicit WorkerPool(size_t max_threads);
  // Runs the tasks that wait, then ends all threads.
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  // Takes a task; after Shutdown it is dropped.
  void Post(std::function<void()> task);

  // Runs the tasks that wait, then ends all threads. Idempotent.
  void Shutdown();

 private:
  void Run();

  const size_t m_max_threads;
  std::mutex m_mutex;
  std::condition_variable m_work_ready;
  std::condition_variable m_thread_ended;
  std::deque<std::function<void()>> m_tasks;
  size_t m_threads = 0;
  size_t m_idle = 0;
  bool m_stopping = false;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_HTTP_WORKER_POOL_H_
