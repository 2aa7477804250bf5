#ifndef VANILLATILLER_SOURCE_EVENTIO_BYTE_BUDGET_H_
#define VANILLATILLER_SOURCE_EVENTIO_BYTE_BUDGET_H_

#include <cstddef>

namespace vanillatiller {

// Memory that several incomplete messages share, in bytes. Bounds what senders
// of endless messages can occupy together.
class ByteBudget {
 public:
  explicit ByteBudget(size_t capacity) : m_capacity(capacity) {}
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;

  // Returns false, and takes nothing, if less than `bytes` is left.
  bool TryTake(size_t bytes) {
    if (bytes > m_capacity - m_used) return false;
    m_used += bytes;
    return true;
  }
  void Return(size_t bytes) { m_used -= bytes; }

  size_t used() const { return m_used; }

 private:
  const size_t m_capacity;
  size_t m_used = 0;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_EVENTIO_BYTE_BUDGET_H_
