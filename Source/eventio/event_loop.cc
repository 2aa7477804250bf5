#include "eventio/event_loop.h"

#include <algorithm>
#include <utility>

namespace vanillatiller {

EventLoop::EventLoop() : m_buffer(kReadBufferBytes, '\0') {
  uv_loop_init(&m_loop);
  uv_timer_init(&m_loop, &m_timer);
  m_timer.data = this;
}

void EventLoop::Run() { uv_run(&m_loop, UV_RUN_DEFAULT); }

void EventLoop::Stop() { uv_stop(&m_loop); }

TimerId EventLoop::Schedule(TimePoint when, Task task) {
  const TimerId id = ++m_last_id;
  m_tasks.emplace(Key{when, id}, std::move(task));
  m_due.emplace(id, when);
  if (when < m_armed_for) ArmTimer();
  return id;
}

void EventLoop::Cancel(TimerId* id) {
  const auto found = m_due.find(std::exchange(*id, 0));
  if (found == m_due.end()) return;
  m_tasks.erase(Key{found->second, found->first});
  m_due.erase(found);
}

void EventLoop::OnSignal(int signal, Task task) {
  // Never freed: signal handlers stay installed until the process exits.
  auto* handle = new uv_signal_t;
  handle->data = new Task(std::move(task));
  uv_signal_init(&m_loop, handle);
  uv_signal_start(
      handle,
      [](uv_signal_t* raised, int) {
        (*static_cast<Task*>(raised->data))(BootClock::now());
      },
      signal);
}

void EventLoop::ArmTimer() {
  if (m_tasks.empty()) {
    m_armed_for = TimePoint::max();
    uv_timer_stop(&m_timer);
    return;
  }
  m_armed_for = m_tasks.begin()->first.first;
  const Duration left = m_armed_for - BootClock::now();
  // Rounded up to the timer's resolution so that the task is due when the
  // timer fires.
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(left, Duration::zero()));
  uv_update_time(&m_loop);
  uv_timer_start(
      &m_timer,
      [](uv_timer_t* timer) {
        static_cast<EventLoop*>(timer->data)->RunDueTasks();
      },
      wait.count(), 0);
}

void EventLoop::RunDueTasks() {
  const TimePoint now = BootClock::now();
  while (!m_tasks.empty() && m_tasks.begin()->first.first <= now) {
    const auto node = m_tasks.extract(m_tasks.begin());
    m_due.erase(node.key().second);
    node.mapped()(now);
  }
  ArmTimer();
}

}  // namespace vanillatiller
