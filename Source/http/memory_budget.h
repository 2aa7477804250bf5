#ifndef VANILLATILLER_SOURCE_HTTP_MEMORY_BUDGET_H_
#define VANILLATILLER_SOURCE_HTTP_MEMORY_BUDGET_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace vanillatiller {

// Memory for the bodies that the threads of a process hold for clients, in
// bytes. Large bodies leave a quarter of it to ordinary ones. Thread-safe.
class MemoryBudget {
 public:
  using Clock = std::chrono::steady_clock;

  // Size up to which a body is ordinary.
  static constexpr size_t kOrdinaryBytes = size_t{64} << 10;

  explicit MemoryBudget(size_t capacity) : m_capacity(capacity) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  // Takes `bytes` more for a body that then has `total` bytes. Returns false,
  // and takes nothing, if there is no room.
  bool TryTake(size_t bytes, size_t total, Clock::time_point now) {
    const size_t most =
        total <= kOrdinaryBytes ? m_capacity : m_capacity / 4 * 3;
    size_t used = m_used.load(std::memory_order_relaxed);
    do {
      if (used > most || bytes > most - used) {
        m_refusals.fetch_add(1, std::memory_order_relaxed);
        m_refused_at.store(now.time_since_epoch().count(),
                           std::memory_order_relaxed);
        return false;
      }
    } while (!m_used.compare_exchange_weak(used, used + bytes,
                                           std::memory_order_relaxed));
    return true;
  }
  // Takes bytes that cannot be refused.
  void Take(size_t bytes) {
    m_used.fetch_add(bytes, std::memory_order_relaxed);
  }
  void Return(size_t bytes) {
    m_used.fetch_sub(bytes, std::memory_order_relaxed);
  }

  size_t used() const { return m_used.load(std::memory_order_relaxed); }
  // Whether a body has been refused a short time before `now`.
  bool IsShort(Clock::time_point now) const {
    const Clock::time_point refused_at{
        Clock::duration(m_refused_at.load(std::memory_order_relaxed))};
    return refusals() > 0 && now - refused_at < kShortTime;
  }
  uint64_t refusals() const {
    return m_refusals.load(std::memory_order_relaxed);
  }

 private:
  static constexpr std::chrono::seconds kShortTime{2};

  const size_t m_capacity;
  std::atomic<size_t> m_used{0};
  std::atomic<uint64_t> m_refusals{0};
  std::atomic<Clock::rep> m_refused_at{0};
};

// Bytes taken from a MemoryBudget, which are returned with this object. Used by
// one thread.
class MemoryCharge {
 public:
  MemoryCharge() = default;
  explicit MemoryCharge(MemoryBudget* budget) : m_budget(budget) {}
  ~MemoryCharge() { Resize(0); }
  MemoryCharge(MemoryCharge&& other) noexcept { *this = std::move(other); }
  MemoryCharge& operator=(MemoryCharge&& other) noexcept {
    if (this == &other) return *this;
    Resize(0);
    m_budget = other.m_budget;
    m_bytes = std::exchange(other.m_bytes, 0);
    return *this;
  }
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  // Returns false, and changes nothing, if the budget refuses that.
  bool TryResize(size_t bytes, MemoryBudget::Clock::time_point now) {
    if (m_budget != nullptr && bytes > m_bytes &&
        !m_budget->TryTake(bytes - m_bytes, bytes, now)) {
      return false;
    }
    if (m_budget != nullptr && bytes < m_bytes) {
      m_budget->Return(m_bytes - bytes);
    }
    m_bytes = bytes;
    return true;
  }
  // As TryResize(), but cannot be refused.
  void Resize(size_t bytes) {
    if (m_budget != nullptr) {
      m_budget->Return(m_bytes);
      m_budget->Take(bytes);
    }
    m_bytes = bytes;
  }

 private:
  MemoryBudget* m_budget = nullptr;
  size_t m_bytes = 0;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_HTTP_MEMORY_BUDGET_H_
