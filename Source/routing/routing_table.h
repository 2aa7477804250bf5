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

// The peer selected for one attempt.
struct PeerChoice {
  Member member;
  std::shared_ptr<PeerState> state;
  // Set only if the peer is in another region with a configured link budget.
  std::shared_ptr<LinkBudget> link;
};

struct PickRequest {
  std::string_view service;
  // Size of the request, charged to the budget of a link between regions.
  uint64_t bytes = 0;
  // VMs that the call has already tried.
  std::span<const std::string> excluded;
};

// The peers that a node may call for each service. Immutable except for the
// shared peer states and link budgets; rebuilt when the members or the
// configuration change.
//
// Pick() selects the less loaded of two random peers (M. Mitzenmacher, "The
// Power of Two Choices in Randomized Load Balancing", 2001) in the nearest tier
// with spare capacity: same failure domain, same region, other regions.
class RoutingTable {
 public:
  using Generator = boost::random::mt19937_64;

  class Builder {
   public:
    // The local node; its failure domain and region determine the tiers.
    Builder& Self(Member self);
    Builder& Members(std::span<const Member> members);
    Builder& Config(std::shared_ptr<const FleetConfig> config);
    // Carries over peer states and link budgets from the previous table.
    Builder& Previous(std::shared_ptr<const RoutingTable> previous);
    // Selects uniformly, ignoring load, tiers and ejections; a baseline for
    // comparisons.
    Builder& Random(bool is_random);
    // Maximum number of peers per service and tier.
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

  // Selects a peer for one attempt. Returns nullopt with kNoPeer if no peer of
  // the service is available, or with kLinkBudget if the available peers are
  // reachable only through links whose budget is exhausted.
  std::optional<PeerChoice> Pick(const PickRequest& request, TimePoint now,
                                 Generator& random, Reason* reason) const;

  // Number of peers of a service in all tiers.
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
  // Keyed by "VM incarnation", so that a restarted node gets a new state.
  std::unordered_map<std::string, std::shared_ptr<PeerState>> m_states;
  std::unordered_map<std::string, std::shared_ptr<LinkBudget>> m_links;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ROUTING_ROUTING_TABLE_H_
