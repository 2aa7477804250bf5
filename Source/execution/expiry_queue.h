#ifndef VANILLATILLER_SOURCE_EXECUTION_EXPIRY_QUEUE_H_
#define VANILLATILLER_SOURCE_EXECUTION_EXPIRY_QUEUE_H_

#include <queue>
#include <vector>

#include "base/base.h"

namespace vanillatiller {

// Priority queue of keys ordered by expiry time.
template <typename Key>
class ExpiryQueue {
 public:
  void Push(TimePoint when, const Key& key) { m_entries.push({when, key}); }

  // True if the earliest entry expires before `now`.
  bool IsDue(TimePoint now) const {
    return !m_entries.empty() && m_entries.top().when < now;
  }

  // Removes and returns the earliest key. The queue must not be empty.
  Key Pop() {
    const Key key = m_entries.top().key;
    m_entries.pop();
    return key;
  }

  size_t Size() const { return m_entries.size(); }

 private:
  struct Entry {
    TimePoint when;
    Key key;
    bool operator<(const Entry& other) const { return when > other.when; }
  };

  std::priority_queue<Entry> m_entries;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_EXECUTION_EXPIRY_QUEUE_H_
