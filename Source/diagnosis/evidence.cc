#include "diagnosis/evidence.h"

#include <algorithm>
#include <span>

namespace vanillatiller {
namespace {

using EdgeCounter = uint64_t EdgeEvidence::*;
using ConnectionCounter = uint64_t ConnectionEvidence::*;

constexpr EdgeCounter kEdgeCounters[] = {&EdgeEvidence::calls,
                                         &EdgeEvidence::attempts,
                                         &EdgeEvidence::complete,
                                         &EdgeEvidence::overload_refusals,
                                         &EdgeEvidence::deadline_exceeded,
                                         &EdgeEvidence::connections_lost,
                                         &EdgeEvidence::round_trip_us,
                                         &EdgeEvidence::queue_wait_us,
                                         &EdgeEvidence::backend_us};

constexpr ConnectionCounter kConnectionCounters[] = {
    &ConnectionEvidence::connect_failures,
    &ConnectionEvidence::silent_connections, &ConnectionEvidence::probes,
    &ConnectionEvidence::probe_failures,
    &ConnectionEvidence::probe_round_trip_us};

bool HasSameKey(const EdgeEvidence& left, const EdgeEvidence& right) {
  return left.caller == right.caller && left.callee == right.callee &&
         left.rank == right.rank;
}

bool HasSameKey(const ConnectionEvidence& left,
                const ConnectionEvidence& right) {
  return left.caller == right.caller && left.callee == right.callee;
}

bool HasSameKey(const ServiceEvidence& left, const ServiceEvidence& right) {
  return left.service == right.service;
}

template <typename T>
T* FindByKey(std::vector<T>& items, const T& item) {
  const auto found = std::ranges::find_if(
      items, [&](const T& other) { return HasSameKey(other, item); });
  return found == items.end() ? nullptr : &*found;
}

template <typename T>
const T* FindByKey(const std::vector<T>& items, const T& item) {
  return FindByKey(const_cast<std::vector<T>&>(items), item);
}

template <typename T>
bool HasCounterReset(const T& earlier, const T& later,
                     std::span<uint64_t T::*const> counters) {
  return std::ranges::any_of(counters, [&](uint64_t T::*counter) {
    return later.*counter < earlier.*counter;
  });
}

template <typename T>
void Subtract(const T& earlier, std::span<uint64_t T::*const> counters,
              T* later) {
  for (uint64_t T::*counter : counters) later->*counter -= earlier.*counter;
}

template <typename T>
void AddCounters(const T& item, std::span<uint64_t T::*const> counters,
                 T* sum) {
  for (uint64_t T::*counter : counters) sum->*counter += item.*counter;
}

void SubtractRefusers(const EdgeEvidence& earlier, EdgeEvidence* later) {
  for (const auto& [service, count] : earlier.first_refusers) {
    const auto found = later->first_refusers.find(service);
    if (found == later->first_refusers.end()) continue;
    found->second -= std::min(found->second, count);
    if (found->second == 0) later->first_refusers.erase(found);
  }
}

void AddService(const ServiceEvidence& item, ServiceEvidence* sum) {
  sum->nodes += item.nodes;
  sum->slots += item.slots;
  sum->concurrency_limit += item.concurrency_limit;
  sum->in_flight += item.in_flight;
  sum->queued += item.queued;
  sum->offered += item.offered;
  sum->limit_reached += item.limit_reached;
}

}  // namespace

FleetEvidence EvidenceSince(const FleetEvidence& earlier,
                            const FleetEvidence& later) {
  FleetEvidence result = later;
  for (EdgeEvidence& edge : result.edges) {
    const EdgeEvidence* before = FindByKey(earlier.edges, edge);
    if (before == nullptr) continue;
    if (HasCounterReset<EdgeEvidence>(*before, edge, kEdgeCounters)) continue;
    Subtract<EdgeEvidence>(*before, kEdgeCounters, &edge);
    SubtractRefusers(*before, &edge);
  }
  for (ConnectionEvidence& item : result.connections) {
    const ConnectionEvidence* before = FindByKey(earlier.connections, item);
    if (before == nullptr) continue;
    if (HasCounterReset<ConnectionEvidence>(*before, item,
                                            kConnectionCounters)) {
      continue;
    }
    Subtract<ConnectionEvidence>(*before, kConnectionCounters, &item);
  }
  for (ServiceEvidence& service : result.services) {
    const ServiceEvidence* before = FindByKey(earlier.services, service);
    if (before == nullptr || service.offered < before->offered) continue;
    service.offered -= before->offered;
    service.limit_reached -=
        std::min(service.limit_reached, before->limit_reached);
  }
  return result;
}

void Add(const FleetEvidence& item, FleetEvidence* sum) {
  for (const EdgeEvidence& edge : item.edges) {
    EdgeEvidence* total = FindByKey(sum->edges, edge);
    if (total == nullptr) {
      sum->edges.push_back(edge);
      continue;
    }
    AddCounters<EdgeEvidence>(edge, kEdgeCounters, total);
    for (const auto& [service, count] : edge.first_refusers) {
      total->first_refusers[service] += count;
    }
  }
  for (const ConnectionEvidence& connection : item.connections) {
    ConnectionEvidence* total = FindByKey(sum->connections, connection);
    if (total == nullptr) {
      sum->connections.push_back(connection);
      continue;
    }
    AddCounters<ConnectionEvidence>(connection, kConnectionCounters, total);
  }
  for (const ServiceEvidence& service : item.services) {
    ServiceEvidence* total = FindByKey(sum->services, service);
    if (total == nullptr) {
      sum->services.push_back(service);
      continue;
    }
    AddService(service, total);
  }
  sum->missing_nodes.insert(sum->missing_nodes.end(),
                            item.missing_nodes.begin(),
                            item.missing_nodes.end());
}

}  // namespace vanillatiller
