#include "vtbench/load_driver.h"

namespace vanillatiller {

LoadDriver::LoadDriver(Perform perform, uint32_t max_in_flight)
    : m_perform(std::move(perform)), m_max_in_flight(max_in_flight) {}

LoadDriver::~LoadDriver() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_all();
  for (std::thread& thread : m_threads) thread.join();
}

std::vector<RequestResult> LoadDriver::Run(const std::vector<Arrival>& arrivals,
                                           TimePoint start) {
  std::vector<RequestResult> results(arrivals.size());
  {
    const std::lock_guard lock(m_mutex);
    m_arrivals = &arrivals;
    m_results = &results;
    m_stopping = false;
  }
  for (size_t i = 0; i < arrivals.size(); ++i) {
    const TimePoint intended = start + arrivals[i].at;
    const auto wait = intended - BootClock::now();
    if (wait > Duration::zero()) std::this_thread::sleep_for(wait);
    if (!Enqueue({i, intended})) {
      results[i].arrival = arrivals[i];
      results[i].verdict = CallerVerdict::kNotSent;
    }
  }
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_all();
  for (std::thread& thread : m_threads) thread.join();
  m_threads.clear();
  m_idle = 0;
  return results;
}

bool LoadDriver::Enqueue(const Job& job) {
  const std::lock_guard lock(m_mutex);
  if (m_idle <= m_jobs.size()) {
    if (m_threads.size() >= m_max_in_flight) return false;
    m_threads.emplace_back([this] { Work(); });
    ++m_idle;
  }
  m_jobs.push_back(job);
  m_wake.notify_one();
  return true;
}

void LoadDriver::Work() {
  std::unique_lock lock(m_mutex);
  while (true) {
    m_wake.wait(lock, [this] { return m_stopping || !m_jobs.empty(); });
    if (m_jobs.empty()) return;
    const Job job = m_jobs.front();
    m_jobs.pop_front();
    --m_idle;
    const Arrival& arrival = (*m_arrivals)[job.index];
    lock.unlock();
    RequestResult result = m_perform(arrival, job.index, job.intended);
    lock.lock();
    (*m_results)[job.index] = std::move(result);
    ++m_idle;
  }
}

}  // namespace vanillatiller
