#include "relay/reader_selection.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <tuple>

namespace vanillatiller {
namespace {

// Where a reader is, the preferred place first.
enum class Place : uint8_t { kOwnDomain, kOwnRegion, kOtherRegion };

// The reader of one failure domain.
struct RankedReader {
  Place place = Place::kOtherRegion;
  // Spreads the nodes over the readers of a place.
  uint64_t hash = 0;
  const FleetNode* node = nullptr;

  static bool IsBefore(const RankedReader& a, const RankedReader& b) {
    return std::tie(a.place, a.hash) < std::tie(b.place, b.hash);
  }
};

}  // namespace

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

std::set<std::string_view> ReaderSelection::Domains() const {
  std::set<std::string_view> domains;
  for (const FleetNode& node : m_nodes) domains.insert(node.failure_domain);
  return domains;
}

size_t ReaderSelection::CountReadersBefore(TimePoint now) const {
  const uint64_t own_weight = HashBytes(m_own.address.ToString());
  size_t count = 0;
  for (const std::string_view domain : Domains()) {
    const FleetNode* reader = ReaderOf(domain, now);
    if (reader != nullptr &&
        HashBytes(reader->address.ToString()) > own_weight) {
      ++count;
    }
  }
  return count;
}

std::vector<SocketAddress> ReaderSelection::Select(TimePoint now) const {
  std::vector<RankedReader> readers;
  const uint64_t own_hash = HashBytes(m_own.address.ToString());
  for (const std::string_view domain : Domains()) {
    const FleetNode* reader = ReaderOf(domain, now);
    if (reader == nullptr || reader->address == m_own.address) continue;
    Place place = Place::kOtherRegion;
    if (reader->region == m_own.region) place = Place::kOwnRegion;
    if (domain == m_own.failure_domain) place = Place::kOwnDomain;
    readers.push_back({place, MixHash(own_hash, HashBytes(domain)), reader});
  }
  std::sort(readers.begin(), readers.end(), &RankedReader::IsBefore);
  // The first reader of each place comes first, so that feeds come from
  // different places.
  std::vector<RankedReader> first;
  std::vector<RankedReader> others;
  for (const RankedReader& reader : readers) {
    const bool is_first = first.empty() || first.back().place != reader.place;
    (is_first ? first : others).push_back(reader);
  }
  first.insert(first.end(), others.begin(), others.end());
  std::vector<SocketAddress> selected;
  for (const RankedReader& reader : first) {
    if (selected.size() == kMaxFeeds) break;
    selected.push_back(reader.node->address);
  }
  return selected;
}

}  // namespace vanillatiller
