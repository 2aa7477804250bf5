#ifndef VANILLATILLER_SOURCE_EVENTIO_EVENT_LOOP_H_
#define VANILLATILLER_SOURCE_EVENTIO_EVENT_LOOP_H_

#include <uv.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "base/base.h"
#include "eventio/byte_budget.h"

namespace vanillatiller {

// Identifies a scheduled task; IDs are never reused. 0 means no task.
using TimerId = uint64_t;

// Single-threaded event loop for sockets, timers and signals, based on libuv.
class EventLoop {
 public:
  using Task = std::function<void(TimePoint now)>;

  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Processes events until Stop() is called.
  void Run();
  void Stop();

  // Runs `task` once, at or after `when`. A task may schedule further tasks.
  TimerId Schedule(TimePoint when, Task task);
  // Cancels a pending task and sets `*id` to 0. No effect if the task has
  // already run or been cancelled.
  void Cancel(TimerId* id);

  // Calls `task` whenever the process receives `signal`.
  void OnSignal(int signal, Task task);

  // What the connections of this loop hold.
  ByteBudget& memory() { return m_memory; }

  uv_loop_t* raw() { return &m_loop; }
  // One buffer serves all reads, because each read is consumed before the
  // next one starts.
  uv_buf_t ReadBuffer() {
    return uv_buf_init(m_buffer.data(), m_buffer.size());
  }

 private:
  using Key = std::pair<TimePoint, TimerId>;

  void ArmTimer();
  void RunDueTasks();

  static constexpr size_t kReadBufferBytes = size_t{64} << 10;

  // Must outlive all that is counted in it.
  ByteBudget m_memory;
  uv_loop_t m_loop;
  uv_timer_t m_timer;
  std::string m_buffer;
  TimerId m_last_id = 0;
  TimePoint m_armed_for = TimePoint::max();
  std::map<Key, Task> m_tasks;
  std::map<TimerId, TimePoint> m_due;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_EVENTIO_EVENT_LOOP_H_
