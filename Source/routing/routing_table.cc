#include "routing/routing_table.h"

#include <algorithm>
#include <utility>

namespace vanillatiller {
namespace {

constexpr size_t kSameFailureDomain = 0;
constexpr size_t kSameRegion = 1;
constexpr size_t kOtherRegion = 2;

// Load above which a tier counts as full and the next one is tried. It is below
// 1 because load reports are delayed by one round trip.
constexpr double kSpilloverLoad = 0.9;

std::string StateKey(const Member& member) {
  return member.vm + " " + std::to_string(member.incarnation);
}

}  // namespace

RoutingTable::Builder& RoutingTable::Builder::Self(Member self) {
  m_self = std::move(self);
  return *this;
}

RoutingTable::Builder& RoutingTable::Builder::Members(
    std::span<const Member> members) {
  m_members = members;
  return *this;
}

RoutingTable::Builder& RoutingTable::Builder::Config(
    std::shared_ptr<const FleetConfig> config) {
  m_config = std::move(config);
  return *this;
}

RoutingTable::Builder& RoutingTable::Builder::Previous(
    std::shared_ptr<const RoutingTable> previous) {
  m_previous = std::move(previous);
  return *this;
}

RoutingTable::Builder& RoutingTable::Builder::Random(bool is_random) {
  m_random = is_random;
  return *this;
}

RoutingTable::Builder& RoutingTable::Builder::SubsetSize(size_t peers) {
  m_subset_size = peers;
  return *this;
}

std::shared_ptr<const RoutingTable> RoutingTable::Builder::Build(
    TimePoint now) const {
  auto table = std::shared_ptr<RoutingTable>(new RoutingTable);
  table->m_random = m_random;
  for (const Member& member : m_members) {
    const bool is_usable = member.state == MemberState::kLive ||
                           member.state == MemberState::kSuspect;
    if (is_usable) table->AddMember(*this, member, now);
  }
  table->LimitSubsets(*this);
  return table;
}

std::optional<PeerChoice> RoutingTable::Pick(const PickRequest& request,
                                             TimePoint now, Generator& random,
                                             Reason* reason) const {
  const auto found = m_services.find(std::string(request.service));
  if (found == m_services.end()) {
    *reason = {RefusalCode::kNoPeer, "no live node provides service \"" +
                                         std::string(request.service) + "\""};
    return std::nullopt;
  }
  const ServicePeers& peers = found->second;
  const Peer* nearest = nullptr;
  bool is_link_exhausted = false;
  for (size_t tier = 0; tier < kTiers; ++tier) {
    const Peer* peer = PickInTier(peers, tier, request, now, random);
    if (peer == nullptr) continue;
    const bool is_full =
        peer->state->Load(peers.declared_slots, now) > kSpilloverLoad;
    // If all tiers are full, the nearest one is used.
    if (is_full && !m_random) {
      if (nearest == nullptr) nearest = peer;
      continue;
    }
    if (peer->link && !peer->link->TryTake(request.bytes, now)) {
      is_link_exhausted = true;
      continue;
    }
    return PeerChoice{peer->member, peer->state, peer->link};
  }
  if (nearest != nullptr) {
    if (!nearest->link || nearest->link->TryTake(request.bytes, now)) {
      return PeerChoice{nearest->member, nearest->state, nearest->link};
    }
    is_link_exhausted = true;
  }
  *reason =
      is_link_exhausted
          ? Reason{RefusalCode::kLinkBudget,
                   "the byte budget of the link to another region that "
                   "provides \"" +
                       std::string(request.service) + "\" is exhausted"}
          : Reason{RefusalCode::kNoPeer,
                   "all nodes of service \"" + std::string(request.service) +
                       "\" have been tried or are leaving"};
  return std::nullopt;
}

size_t RoutingTable::PeerCount(std::string_view service) const {
  const auto found = m_services.find(std::string(service));
  if (found == m_services.end()) return 0;
  size_t count = 0;
  for (const auto& tier : found->second.tiers) count += tier.size();
  return count;
}

void RoutingTable::AddMember(const Builder& builder, const Member& member,
                             TimePoint now) {
  const std::string key = StateKey(member);
  std::shared_ptr<PeerState> state;
  if (builder.m_previous) {
    const auto known = builder.m_previous->m_states.find(key);
    if (known != builder.m_previous->m_states.end()) state = known->second;
  }
  if (!state) {
    // Peers in the first table were members before this node started and need
    // no slow start.
    state = std::make_shared<PeerState>(now, builder.m_previous != nullptr);
  }
  m_states[key] = state;

  ServicePeers& peers = m_services[member.service];
  if (builder.m_config) {
    const ServiceConfig* service =
        builder.m_config->FindService(member.service);
    if (service != nullptr) peers.declared_slots = service->slots;
  }
  const size_t tier = TierOf(builder, member);
  std::shared_ptr<LinkBudget> link;
  if (tier == kOtherRegion) link = LinkBudgetFor(builder, member.region, now);
  peers.tiers[tier].push_back({member, std::move(state), std::move(link)});
}

// Limits each tier to the peers with the largest rendezvous weights. A
// membership change barely alters the subset of a node, and different nodes get
// different subsets.
void RoutingTable::LimitSubsets(const Builder& builder) {
  const std::string& self = builder.m_self.vm;
  const auto is_preferred = [&self](const Peer& a, const Peer& b) {
    return RendezvousWeight(self, a.member.vm) >
           RendezvousWeight(self, b.member.vm);
  };
  for (auto& [service, peers] : m_services) {
    for (std::vector<Peer>& tier : peers.tiers) {
      if (tier.size() <= builder.m_subset_size) continue;
      std::sort(tier.begin(), tier.end(), is_preferred);
      tier.erase(tier.begin() + static_cast<ptrdiff_t>(builder.m_subset_size),
                 tier.end());
    }
  }
}

// Each node of a region gets an equal share of the link, so that together they
// stay within its limit without coordination.
std::shared_ptr<LinkBudget> RoutingTable::LinkBudgetFor(
    const Builder& builder, const std::string& region, TimePoint now) {
  std::shared_ptr<LinkBudget>& budget = m_links[region];
  if (budget || !builder.m_config) return budget;
  for (const LinkConfig& link : builder.m_config->links) {
    if (link.from != builder.m_self.region || link.to != region) continue;
    const auto node_count =
        std::count_if(builder.m_members.begin(), builder.m_members.end(),
                      [&](const Member& member) {
                        return member.region == builder.m_self.region;
                      });
    const uint64_t share =
        link.bytes_per_second / std::max<uint64_t>(1, node_count);
    if (builder.m_previous) {
      const auto known = builder.m_previous->m_links.find(region);
      if (known != builder.m_previous->m_links.end() && known->second &&
          known->second->bytes_per_second() == share) {
        budget = known->second;
        return budget;
      }
    }
    budget = std::make_shared<LinkBudget>(share, now);
  }
  return budget;
}

size_t RoutingTable::TierOf(const Builder& builder,
                            const Member& member) const {
  if (m_random) return kSameFailureDomain;
  if (member.failure_domain == builder.m_self.failure_domain) {
    return kSameFailureDomain;
  }
  return member.region == builder.m_self.region ? kSameRegion : kOtherRegion;
}

const RoutingTable::Peer* RoutingTable::PickInTier(const ServicePeers& peers,
                                                   size_t tier,
                                                   const PickRequest& request,
                                                   TimePoint now,
                                                   Generator& random) const {
  const std::vector<const Peer*> eligible =
      EligiblePeers(peers.tiers[tier], request, now);
  if (eligible.empty()) return nullptr;
  const Peer* first = eligible[random() % eligible.size()];
  if (m_random || eligible.size() == 1) return first;
  const Peer* second = eligible[random() % eligible.size()];
  const double first_load = first->state->Load(peers.declared_slots, now);
  const double second_load = second->state->Load(peers.declared_slots, now);
  return second_load < first_load ? second : first;
}

// Returns the peers that are neither leaving nor already tried. Ejected peers
// are excluded only if at least half of these remain, so that wrong failure
// detection cannot leave a service without peers.
std::vector<const RoutingTable::Peer*> RoutingTable::EligiblePeers(
    const std::vector<Peer>& peers, const PickRequest& request,
    TimePoint now) const {
  std::vector<const Peer*> candidates;
  std::vector<const Peer*> healthy;
  for (const Peer& peer : peers) {
    if (peer.state->IsLeaving()) continue;
    if (std::find(request.excluded.begin(), request.excluded.end(),
                  peer.member.vm) != request.excluded.end()) {
      continue;
    }
    candidates.push_back(&peer);
    if (!peer.state->IsEjected(now)) healthy.push_back(&peer);
  }
  if (m_random || healthy.size() * 2 < candidates.size()) return candidates;
  return healthy;
}

}  // namespace vanillatiller
