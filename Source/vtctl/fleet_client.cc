#include "vtctl/fleet_client.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace vanillatiller {
namespace {

// Maximum number of nodes called at the same time. A node that does not answer
// occupies a thread until the call times out.
constexpr size_t kMaxConcurrentCalls = 32;

}  // namespace

void ForEachInParallel(size_t count, const std::function<void(size_t)>& work) {
  std::atomic<size_t> next{0};
  const auto run_worker = [&] {
    for (size_t i = next++; i < count; i = next++) work(i);
  };
  std::vector<std::thread> threads;
  const size_t thread_count = std::min(count, kMaxConcurrentCalls);
  for (size_t i = 1; i < thread_count; ++i) threads.emplace_back(run_worker);
  run_worker();
  for (std::thread& thread : threads) thread.join();
}

}  // namespace vanillatiller
