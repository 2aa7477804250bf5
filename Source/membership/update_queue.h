#ifndef VANILLATILLER_SOURCE_MEMBERSHIP_UPDATE_QUEUE_H_
#define VANILLATILLER_SOURCE_MEMBERSHIP_UPDATE_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace vanillatiller {

// Names of the members whose entries are still to be sent, each a bounded
// number of times. The newest are sent first.
class UpdateQueue {
 public:
  // Replaces an earlier count for the same VM.
  void Push(const std::string& vm, uint32_t transmissions);

  // At most `limit` names; each counts as sent once.
  std::vector<std::string> Take(size_t limit);

  // The same names as Take would give, without counting.
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
