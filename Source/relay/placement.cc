#include "relay/placement.h"

#include <algorithm>
#include <array>
#include <boost/random/uniform_01.hpp>
#include <utility>

namespace vanillatiller {
namespace {

// Distance costs, on the same scale as LoadCost().
struct DistanceCost {
  // Network latency.
  double per_call = 0;
  // Traffic, which is billed between failure domains and costs seven times as
  // much between regions.
  double per_kilobyte = 0;
};
constexpr std::array<DistanceCost, 4> kDistanceCosts = {
    {{0, 0}, {0.01, 0}, {0.12, 0.05}, {0.5, 0.35}}};
// Factor on the traffic cost for calls of the most important rank, which value
// latency more.
constexpr double kTopRankByteCostFactor = 0.25;
// Load cost: low while slots are free, and rising steeply above kHighLoad,
// where calls begin to queue.
constexpr double kCostPerLoad = 0.2;
constexpr double kHighLoad = 0.85;
constexpr double kCostPerLoadAboveHigh = 2.0;
// Time after which a node that reported that it is leaving becomes eligible
// again; a restart in place takes no longer than this.
constexpr Duration kLeavingReportLifetime = std::chrono::seconds(4);
// Random cost that prevents nodes with equal views from all selecting the same
// server.
constexpr double kJitter = 0.02;

double TransferCost(Distance distance, const CallTraits& call) {
  const DistanceCost& cost = kDistanceCosts.at(static_cast<size_t>(distance));
  const double part = call.rank == 0 ? kTopRankByteCostFactor : 1;
  return cost.per_call + part * cost.per_kilobyte * call.kilobytes;
}

double LoadCost(double load) {
  return kCostPerLoad * load +
         kCostPerLoadAboveHigh * std::max(0.0, load - kHighLoad);
}

}  // namespace

Distance Placement::DistanceTo(const ServerRecord& server) const {
  if (server.address.ip == m_locality.vm_ip) return Distance::kOwnVm;
  if (server.failure_domain == m_locality.failure_domain) {
    return Distance::kOwnDomain;
  }
  const auto own = m_locality.regions.find(m_locality.failure_domain);
  const auto other = m_locality.regions.find(server.failure_domain);
  const bool same_region = own != m_locality.regions.end() &&
                           other != m_locality.regions.end() &&
                           own->second == other->second;
  return same_region ? Distance::kOwnRegion : Distance::kOtherRegion;
}

void Placement::Update(std::span<const ServerRecord* const> servers,
                       TimePoint now) {
  // Servers in the first list are already running, most of them for a long
  // time, so they are not treated as cold.
  const bool may_be_cold = m_was_updated;
  m_was_updated = true;
  std::map<std::string, Candidate> known;
  for (const auto& [service, candidates] : m_services) {
    for (const Candidate& candidate : candidates) {
      known[candidate.id] = candidate;
    }
  }
  m_services.clear();
  for (const ServerRecord* server : servers) {
    Candidate candidate;
    candidate.id = server->id;
    candidate.service = server->service;
    candidate.server = server->address;
    candidate.node = {server->address.ip, m_locality.peer_port};
    candidate.slots = server->slots;
    candidate.started_ms = server->started_ms;
    candidate.distance = DistanceTo(*server);
    const auto found = known.find(server->id);
    if (found != known.end()) {
      candidate.state = found->second.state;
      candidate.quality = found->second.quality;
      candidate.rate = found->second.rate;
    } else {
      candidate.state = std::make_shared<PeerState>(
          now, may_be_cold && server->warmup_left > Duration::zero());
      candidate.quality = std::make_shared<ServerQuality>();
    }
    // A limit ends with the incarnation that named it.
    if (!candidate.rate || found->second.started_ms != server->started_ms) {
      candidate.rate = std::make_shared<ReportedRate>();
    }
    m_services[server->service].push_back(std::move(candidate));
  }
}

const Candidate* Placement::Pick(std::string_view service,
                                 const CallTraits& call,
                                 std::span<const std::string> excluded,
                                 TimePoint now, Generator* random) const {
  const auto found = m_services.find(service);
  if (found == m_services.end()) return nullptr;
  // Only a quality cost above the service mean counts, so that a problem common
  // to all servers does not affect selection.
  double mean_quality_cost = 0;
  for (const Candidate& candidate : found->second) {
    mean_quality_cost += candidate.quality->Cost(now) /
                         static_cast<double>(found->second.size());
  }
  const Candidate* best = nullptr;
  bool best_is_ejected = true;
  double best_cost = 0;
  boost::random::uniform_01<double> draw;
  for (const Candidate& candidate : found->second) {
    const PeerState& state = *candidate.state;
    const bool is_leaving =
        state.IsLeaving() && now - state.reported_at() < kLeavingReportLifetime;
    if (is_leaving || std::find(excluded.begin(), excluded.end(),
                                candidate.id) != excluded.end()) {
      continue;
    }
    const bool is_ejected = state.IsEjected(now);
    const double cost =
        LoadCost(state.Load(candidate.slots, now)) +
        TransferCost(candidate.distance, call) +
        std::max(0.0, candidate.quality->Cost(now) - mean_quality_cost) +
        kJitter * draw(*random);
    const bool is_better = best == nullptr ||
                           (best_is_ejected && !is_ejected) ||
                           (best_is_ejected == is_ejected && cost < best_cost);
    if (!is_better) continue;
    best = &candidate;
    best_is_ejected = is_ejected;
    best_cost = cost;
  }
  return best;
}

size_t Placement::CountServers(std::string_view service) const {
  const auto found = m_services.find(service);
  return found == m_services.end() ? 0 : found->second.size();
}

std::vector<const Candidate*> Placement::FindByNode(
    const SocketAddress& node) const {
  std::vector<const Candidate*> found;
  for (const auto& [service, candidates] : m_services) {
    for (const Candidate& candidate : candidates) {
      if (candidate.node == node) found.push_back(&candidate);
    }
  }
  return found;
}

}  // namespace vanillatiller
