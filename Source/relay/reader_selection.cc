#include "relay/reader_selection.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace vanillatiller {

void ReaderSelection::Avoid(const SocketAddress& node, TimePoint now) {
  std::erase_if(m_avoided_until,
                [now](const auto& item) { return item.second <= now; });
  m_avoided_until[node] = now + kAvoidTime;
}

bool ReaderSelection::IsAvoided(const SocketAddress& node,
                                TimePoint now) const {
  const auto found = m_avoided_until.find(node);
  return found != m_avoided_until.end() && now < found->second;
}

const FleetNode* ReaderSelection::ReaderOf(std::string_view domain,
                                           TimePoint now) const {
  const FleetNode* reader = nullptr;
  uint64_t highest = 0;
  for (const FleetNode& node : m_nodes) {
    if (node.failure_domain != domain || IsAvoided(node.address, now)) continue;
    const uint64_t weight = HashBytes(node.address.ToString());
    if (reader != nullptr && weight <= highest) continue;
    reader = &node;
    highest = weight;
  }
  return reader;
}

std::vector<SocketAddress> ReaderSelection::Select(TimePoint now) const {
  std::set<std::string_view> domains;
  for (const FleetNode& node : m_nodes) domains.insert(node.failure_domain);
  // The reader of each domain with its rank; the lowest rank is preferred.
  std::vector<std::tuple<int, uint64_t, const FleetNode*>> readers;
  const uint64_t own_hash = HashBytes(m_own.address.ToString());
  for (const std::string_view domain : domains) {
    const FleetNode* reader = ReaderOf(domain, now);
    if (reader == nullptr || reader->address == m_own.address) continue;
    int rank = 2;
    if (reader->region == m_own.region) rank = 1;
    if (domain == m_own.failure_domain) rank = 0;
    readers.emplace_back(rank, MixHash(own_hash, HashBytes(domain)), reader);
  }
  std::sort(readers.begin(), readers.end());
  std::vector<SocketAddress> selected;
  for (const auto& [rank, hash, reader] : readers) {
    // One reader of each rank, so that feeds come from different places.
    const bool is_first_of_rank =
        selected.empty() ||
        std::none_of(readers.begin(), readers.end(), [&](const auto& other) {
          return std::get<0>(other) == rank && std::get<1>(other) < hash;
        });
    if (is_first_of_rank) selected.push_back(reader->address);
    if (selected.size() == kMaxFeeds) return selected;
  }
  for (const auto& [rank, hash, reader] : readers) {
    if (selected.size() == kMaxFeeds) break;
    if (std::find(selected.begin(), selected.end(), reader->address) ==
        selected.end()) {
      selected.push_back(reader->address);
    }
  }
  return selected;
}

}  // namespace vanillatiller
