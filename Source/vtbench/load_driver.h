#ifndef VANILLATILLER_SOURCE_VTBENCH_LOAD_DRIVER_H_
#define VANILLATILLER_SOURCE_VTBENCH_LOAD_DRIVER_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "vtbench/arrival_schedule.h"
#include "vtbench/caller.h"

namespace vanillatiller {

// Starts each arrival at its intended time on a thread of its own, so that a
// slow answer delays no later request (an open loop).
class LoadDriver {
 public:
  using Perform = std::function<RequestResult(const Arrival&, uint64_t number,
                                              TimePoint intended)>;

  LoadDriver(Perform perform, uint32_t max_in_flight);
  ~LoadDriver();
  LoadDriver(const LoadDriver&) = delete;
  LoadDriver& operator=(const LoadDriver&) = delete;

  // Runs all arrivals and waits for their results, which are in the order of
  // the arrivals. `start` is the start of the first phase.
  std::vector<RequestResult> Run(const std::vector<Arrival>& arrivals,
                                 TimePoint start);

 private:
  struct Job {
    size_t index = 0;
    TimePoint intended;
  };

  void Work();
  bool Enqueue(const Job& job);

  Perform m_perform;
  uint32_t m_max_in_flight;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::deque<Job> m_jobs;
  size_t m_idle = 0;
  bool m_stopping = false;
  const std::vector<Arrival>* m_arrivals = nullptr;
  std::vector<RequestResult>* m_results = nullptr;
  std::vector<std::thread> m_threads;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTBENCH_LOAD_DRIVER_H_
