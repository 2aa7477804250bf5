#ifndef VANILLATILLER_SOURCE_ROUTING_PEER_STATE_H_
#define VANILLATILLER_SOURCE_ROUTING_PEER_STATE_H_

#include <atomic>
#include <cstdint>
#include <memory>

#include "base/base.h"
#include "membership/membership.h"

namespace vanillatiller {

// Load of a peer as it reported it with an answer.
struct PeerLoad {
  uint32_t in_flight = 0;
  uint32_t queued = 0;
  // 0 means that the peer named no limit.
  uint32_t concurrency_limit = 0;
  bool leaving = false;
};

// How an attempt on a peer failed, as far as routing cares.
enum class PeerFailure : uint8_t {
  // No connection, or the connection ended before the answer.
  kUnreachable,
  // The peer answers but its backend server does not.
  kBackendDown,
};

// What one node has learned of one peer. Survives rebuilds of the routing
// table. Safe to use from several threads.
class PeerState {
 public:
  // `slow_start` is false for peers that were there when this node started.
  PeerState(TimePoint first_seen, bool slow_start);

  void OnSent() { ++m_outstanding; }
  void OnAnswer(const PeerLoad& load, TimePoint now);
  // The peer reported its load without an answer.
  void OnReport(const PeerLoad& load, TimePoint now);
  // The attempt ended without an answer from the peer.
  void OnFailure(PeerFailure failure, TimePoint now);
  // The peer gives no sign of life: left out for a while.
  void OnSuspected(TimePoint now);
  // The attempt ended for a reason that says nothing of the peer.
  void OnAbandoned() { --m_outstanding; }

  // Slots taken at the peer relative to its limit, as far as known: its last
  // report while that is fresh, and what this node has outstanding. A cold
  // peer counts as more loaded than it is. `declared_slots` stands in for the
  // limit until the peer has reported one.
  double Load(uint32_t declared_slots, TimePoint now) const;

  // True while the peer is left out after failures.
  bool IsEjected(TimePoint now) const;
  bool IsLeaving() const { return m_leaving; }
  // Time of the last report; the epoch if there was none.
  TimePoint reported_at() const { return m_reported_at; }
  uint32_t outstanding() const { return m_outstanding; }

 private:
  double SlowStartFactor(TimePoint now) const;

  const TimePoint m_first_seen;
  const bool m_slow_start;
  std::atomic<int32_t> m_outstanding{0};
  std::atomic<uint32_t> m_reported{0};
  std::atomic<uint32_t> m_limit{0};
  std::atomic<TimePoint> m_reported_at{TimePoint{}};
  std::atomic<uint32_t> m_failures{0};
  std::atomic<TimePoint> m_ejected_until{TimePoint{}};
  std::atomic<bool> m_leaving{false};
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ROUTING_PEER_STATE_H_
