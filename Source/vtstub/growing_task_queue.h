#ifndef VANILLATILLER_SOURCE_VTSTUB_GROWING_TASK_QUEUE_H_
#define VANILLATILLER_SOURCE_VTSTUB_GROWING_TASK_QUEUE_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "httplib.h"

namespace vanillatiller {

// Threads of an HTTP server, started as connections arrive. httplib keeps one
// thread for each open connection, so a fixed pool would limit the stub's
// concurrency below that of the server it stands for.
class GrowingTaskQueue : public httplib::TaskQueue {
 public:
  explicit GrowingTaskQueue(size_t max_threads) : m_max_threads(max_threads) {}

  void enqueue(std::function<void()> task) override;
  void shutdown() override;

 private:
  void Work();

  size_t m_max_threads;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::deque<std::function<void()>> m_tasks;
  size_t m_idle = 0;
  bool m_stopping = false;
  std::vector<std::thread> m_threads;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTSTUB_GROWING_TASK_QUEUE_H_
