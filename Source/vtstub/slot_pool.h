#ifndef VANILLATILLER_SOURCE_VTSTUB_SLOT_POOL_H_
#define VANILLATILLER_SOURCE_VTSTUB_SLOT_POOL_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>

#include "base/base.h"

namespace vanillatiller {

// Limits the concurrency of a backend server. Calls that find no free slot wait
// in FIFO order, as in a server with a fixed-size thread pool. Thread-safe.
class SlotPool {
 public:
  enum class Result : uint8_t { kAcquired, kQueueFull, kAbandoned };

  explicit SlotPool(uint32_t slots) : m_slots(slots) {}

  // Waits for a slot. `queue_limit` is the maximum number of waiting calls.
  // `should_abandon` is polled while the call waits.
  Result Acquire(uint32_t queue_limit,
                 const std::function<bool()>& should_abandon);
  void Release();

  uint32_t in_use() const;
  uint32_t waiting() const;
  uint32_t slots() const { return m_slots; }

 private:
  // A waiting call. Each call has its own condition variable, so that releasing
  // a slot wakes only one of them.
  struct Waiter {
    std::condition_variable granted_condition;
    bool is_granted = false;
  };

  uint32_t m_slots;
  mutable std::mutex m_mutex;
  uint32_t m_in_use = 0;
  std::deque<Waiter*> m_queue;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTSTUB_SLOT_POOL_H_
