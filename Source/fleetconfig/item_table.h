#ifndef VANILLATILLER_SOURCE_FLEETCONFIG_ITEM_TABLE_H_
#define VANILLATILLER_SOURCE_FLEETCONFIG_ITEM_TABLE_H_

#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "fleetconfig/fleet_config.h"

namespace vanillatiller {

// Returns the name by which a note refers to an item.
template <typename T>
std::string ItemName(const T& item) {
  return item.name;
}
inline std::string ItemName(const LinkConfig& link) {
  return absl::StrCat(link.from, "->", link.to);
}

// Editable list of items of one kind, used to apply a note. The index by name
// is built on first use.
template <typename T>
class ItemTable {
 public:
  explicit ItemTable(std::vector<T>* items) : m_items(items) {}

  // Returns null if the item does not exist or was removed. The pointer is
  // valid until the next Add or Compact.
  T* Find(const std::string& name) {
    if (!m_is_indexed) BuildIndex();
    const auto found = m_index.find(name);
    return found == m_index.end() ? nullptr : &(*m_items)[found->second];
  }

  void Add(T item) {
    if (!m_is_indexed) BuildIndex();
    m_index.emplace(ItemName(item), m_items->size());
    m_items->push_back(std::move(item));
  }

  void Remove(const std::string& name) {
    if (!m_is_indexed) BuildIndex();
    m_index.erase(name);
    m_has_removals = true;
  }

  // Erases removed items from the underlying vector.
  void Compact() {
    if (!m_has_removals) return;
    std::erase_if(*m_items, [this](const T& item) {
      return !m_index.contains(ItemName(item));
    });
  }

 private:
  void BuildIndex() {
    m_index.reserve(m_items->size());
    for (size_t i = 0; i < m_items->size(); ++i) {
      m_index.emplace(ItemName((*m_items)[i]), i);
    }
    m_is_indexed = true;
  }

  std::vector<T>* m_items;
  absl::flat_hash_map<std::string, size_t> m_index;
  bool m_is_indexed = false;
  bool m_has_removals = false;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_FLEETCONFIG_ITEM_TABLE_H_
