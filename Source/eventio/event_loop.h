#ifndef VANILLATILLER_SOURCE_EVENTIO_EVENT_LOOP_H_
#define VANILLATILLER_SOURCE_EVENTIO_EVENT_LOOP_H_

#include <uv.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "base/base.h"

namespace vanillatiller {

// Identity of a scheduled task; never reused. 0 names no task.
using TimerId = uint64_t;

// One thread that waits for sockets, timers and signals (libuv).
class EventLoop {
 public:
  using Task = std::function<void(TimePoint now)>;

  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs until Stop().
  void Run();
  void Stop();

  // Runs `task` once, at `when` or later. A task may schedule others.
  TimerId Schedule(TimePoint when, Task task);
  // Does nothing for a task that ran or was cancelled; clears the identity.
  void Cancel(TimerId* id);

  // Calls `task` whenever the process receives `signal`.
  void OnSignal(int signal, Task task);

  uv_loop_t* raw() { return &m_loop; }
  // Shared by all reads, whose data is consumed before the next read.
  uv_buf_t ReadBuffer() {
    return uv_buf_init(m_buffer.data(), m_buffer.size());
  }

 private:
  using Key = std::pair<TimePoint, TimerId>;

  void Arm();
  void RunDueTasks();

  static constexpr size_t kReadBufferBytes = size_t{64} << 10;

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
