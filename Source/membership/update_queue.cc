#include "membership/update_queue.h"

#include <algorithm>
#include <utility>

namespace vanillatiller {

void UpdateQueue::Push(const std::string& vm, uint32_t transmissions) {
  if (transmissions == 0) return;
  std::erase_if(m_items, [&vm](const Item& item) { return item.vm == vm; });
  m_items.push_front({vm, transmissions});
}

std::vector<std::string> UpdateQueue::Take(size_t limit) {
  std::vector<std::string> names;
  const size_t count = std::min(limit, m_items.size());
  for (size_t i = 0; i < count; ++i) {
    Item item = std::move(m_items.front());
    m_items.pop_front();
    names.push_back(item.vm);
    --item.transmissions;
    if (item.transmissions > 0) m_items.push_back(std::move(item));
  }
  return names;
}

std::vector<std::string> UpdateQueue::Peek(size_t limit) const {
  std::vector<std::string> names;
  const size_t count = std::min(limit, m_items.size());
  for (size_t i = 0; i < count; ++i) names.push_back(m_items[i].vm);
  return names;
}

}  // namespace vanillatiller
