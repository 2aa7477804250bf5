#include "membership/probe_ring.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "base/base.h"

namespace vanillatiller {
namespace {

struct RingPosition {
  // Position on the ring, in (0, 1).
  double position = 0;
  std::string domain;
  std::string vm;

  bool operator<(const RingPosition& other) const {
    return std::tie(position, domain, vm) <
           std::tie(other.position, other.domain, other.vm);
  }
};

using HashedName = std::pair<uint64_t, std::string>;

std::vector<RingPosition> PlaceDomainEvenly(const std::string& domain,
                                            std::vector<HashedName> names) {
  std::sort(names.begin(), names.end());
  std::vector<RingPosition> positions;
  const double size = static_cast<double>(names.size());
  for (size_t i = 0; i < names.size(); ++i) {
    const double position = (static_cast<double>(i) + 0.5) / size;
    positions.push_back({position, domain, names[i].second});
  }
  return positions;
}

}  // namespace

void ProbeRing::Rebuild(const MemberTable& table, std::string_view region,
                        std::string_view self) {
  std::map<std::string, std::vector<HashedName>> domains;
  for (const auto& [vm, member] : table.entries()) {
    if (member.region != region) continue;
    if (member.state == MemberState::kFailed) continue;
    domains[member.failure_domain].emplace_back(HashBytes(vm), vm);
  }
  std::vector<RingPosition> ring;
  for (auto& [domain, names] : domains) {
    const auto positions = PlaceDomainEvenly(domain, std::move(names));
    ring.insert(ring.end(), positions.begin(), positions.end());
  }
  std::sort(ring.begin(), ring.end());
  const auto own = std::find_if(
      ring.begin(), ring.end(),
      [self](const RingPosition& entry) { return entry.vm == self; });
  if (own != ring.end()) std::rotate(ring.begin(), own, ring.end());
  m_others.clear();
  for (RingPosition& entry : ring) {
    if (entry.vm != self) m_others.push_back(std::move(entry.vm));
  }
}

std::vector<std::string> ProbeRing::Successors(size_t count) const {
  const size_t size = std::min(count, m_others.size());
  return {m_others.begin(), m_others.begin() + static_cast<ptrdiff_t>(size)};
}

std::vector<std::string> ProbeRing::AtDoublingDistances() const {
  std::vector<std::string> result;
  for (size_t distance = 1; distance <= m_others.size(); distance *= 2) {
    result.push_back(m_others[distance - 1]);
  }
  return result;
}

std::vector<std::string> ChooseByRendezvous(const MemberList& members,
                                            std::string_view key,
                                            std::string_view region,
                                            std::string_view domain,
                                            size_t count) {
  std::vector<HashedName> weighted;
  for (const Member& member : members) {
    if (member.state != MemberState::kLive || member.region != region) continue;
    if (!domain.empty() && member.failure_domain != domain) continue;
    weighted.emplace_back(RendezvousWeight(key, member.vm), member.vm);
  }
  std::sort(weighted.rbegin(), weighted.rend());
  if (weighted.size() > count) weighted.resize(count);
  std::vector<std::string> names;
  names.reserve(weighted.size());
  for (HashedName& item : weighted) names.push_back(std::move(item.second));
  return names;
}

}  // namespace vanillatiller
