#ifndef VANILLATILLER_SOURCE_MEMBERSHIP_UPDATE_QUEUE_H_
#define VANILLATILLER_SOURCE_MEMBERSHIP_UPDATE_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace vanillatiller {

// Queue of members whose entries are pending dissemination. Each entry is sent
// a bounded number of times, and new entries are sent first.
class UpdateQueue {
 public:
  // Enqueues `vm` for `transmissions` sends, replacing its remaining count.
  void Push(const std::string& vm, uint32_t transmissions);

  // Returns up to `limit` names and counts one transmission for each.
  std::vector<std::string> Take(size_t limit);

  // Returns the names that Take would return, without counting a transmission.
  std::vector<std::string> Peek(size_t limit) const;

  bool IsEmpty() const { return m_items.empty(); }

 private:
  struct Item {
    std::string vm;
    uint32_t transmissions = 0;
  };

  std::deque<Item> m_items;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_MEMBERSHIP_UPDATE_QUEUE_H_
