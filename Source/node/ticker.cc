#include "node/ticker.h"

#include <utility>

namespace vanillatiller {

Ticker::Ticker(std::chrono::milliseconds interval, Function function)
    : m_interval(interval), m_function(std::move(function)) {}

Ticker::~Ticker() { Stop(); }

void Ticker::Start() {
  m_thread = std::thread([this] { Run(); });
}

void Ticker::Stop() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_all();
  if (m_thread.joinable()) m_thread.join();
}

void Ticker::Run() {
  std::unique_lock lock(m_mutex);
  while (!m_stopping) {
    lock.unlock();
    m_function(BootClock::now());
    lock.lock();
    m_wake.wait_for(lock, m_interval, [this] { return m_stopping; });
  }
}

}  // namespace vanillatiller
