#ifndef VANILLATILLER_SOURCE_ROUTING_ROUTING_TABLE_H_
#define VANILLATILLER_SOURCE_ROUTING_ROUTING_TABLE_H_

#include <array>
#include <boost/random/mersenne_twister.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/base.h"
#include "fleetconfig/fleetconfig.h"
#include "membership/membership.h"
#include "routing/link_budget.h"
#include "routing/peer_state.h"

namespace vanillatiller {

// A peer that was chosen for one attempt.
struct PeerChoice {
  Member member;
  std::shared_ptr<PeerState> state;
  // Null unless the peer is in another region.
  std::shared_ptr<LinkBudget> link;
};

struct PickRequest {
  std::string_view service;
  // Bytes that the attempt sends, charged to the link between regions.
  uint64_t bytes = 0;
  // VMs that this call has tried already.
  std::span<const std::string> excluded;
};

// Which peers a node may call for each service. Immutable but for what the
// peers' states learn; rebuilt when members or configuration change.
//
// A pick takes the less loaded of two random peers (M. Mitzenmacher, "The
// Power of Two Choices in Randomized Load Balancing", 2001) in the nearest
// tier that has room: own failure domain, own region, other regions.
class RoutingTable {
 public:
  using Generator = boost::random::mt19937_64;

  class Builder {
   public:
    // The node that picks; its failure domain and region set the tiers.
    Builder& Self(Member self);
    Builder& Members(std::span<const Member> members);
    Builder& Config(std::shared_ptr<const FleetConfig> config);
    // Keeps what was learned of peers that are still there.
    Builder& Previous(std::shared_ptr<const RoutingTable> previous);
    // Ignores load, distance and ejections; for comparisons.
    Builder& Random(bool is_random);
    // Peers that are kept for one service in one tier, at the most.
    Builder& SubsetSize(size_t peers);

    std::shared_ptr<const RoutingTable> Build(TimePoint now) const;

   private:
    friend class RoutingTable;

    Member m_self;
    std::span<const Member> m_members;
    std::shared_ptr<const FleetConfig> m_config;
    std::shared_ptr<const RoutingTable> m_previous;
    bool m_random = false;
    size_t m_subset_size = kDefaultSubsetSize;
  };

  // A peer for one attempt; nullopt with kNoPeer if no live peer serves the
  // service, or kLinkBudget if only links without budget lead to one.
  std::optional<PeerChoice> Pick(const PickRequest& request, TimePoint now,
                                 Generator& random, Reason* reason) const;

  // Peers kept for a service, in all tiers.
  size_t PeerCount(std::string_view service) const;

 private:
  static constexpr size_t kDefaultSubsetSize = 6;
  static constexpr size_t kTiers = 3;

  struct Peer {
    Member member;
    std::shared_ptr<PeerState> state;
    std::shared_ptr<LinkBudget> link;
  };

  struct ServicePeers {
    uint32_t declared_slots = 1;
    std::array<std::vector<Peer>, kTiers> tiers;
  };

  RoutingTable() = default;

  void AddMember(const Builder& builder, const Member& member, TimePoint now);
  void LimitSubsets(const Builder& builder);
  std::shared_ptr<LinkBudget> LinkBudgetFor(const Builder& builder,
                                            const std::string& region,
                                            TimePoint now);
  size_t TierOf(const Builder& builder, const Member& member) const;
  const Peer* PickInTier(const ServicePeers& peers, size_t tier,
                         const PickRequest& request, TimePoint now,
                         Generator& random) const;
  std::vector<const Peer*> EligiblePeers(const std::vector<Peer>& peers,
                                         const PickRequest& request,
                                         TimePoint now) const;

  bool m_random = false;
  std::unordered_map<std::string, ServicePeers> m_services;
  // By "VM incarnation": a restarted node is learned anew.
  std::unordered_map<std::string, std::shared_ptr<PeerState>> m_states;
  std::unordered_map<std::string, std::shared_ptr<LinkBudget>> m_links;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ROUTING_ROUTING_TABLE_H_
