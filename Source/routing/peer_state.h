#ifndef VANILLATILLER_SOURCE_ROUTING_PEER_STATE_H_
#define VANILLATILLER_SOURCE_ROUTING_PEER_STATE_H_

#include <atomic>
#include <cstdint>
#include <memory>

#include "base/base.h"
#include "membership/membership.h"

namespace vanillatiller {

// Load reported by a peer.
struct PeerLoad {
  uint32_t in_flight = 0;
  uint32_t queued = 0;
  // 0 if the peer reported no limit.
  uint32_t concurrency_limit = 0;
  bool leaving = false;
  // The limit follows from a rate that the backend server has named, and ends
  // when the server says so.
  bool is_rate_limited = false;
};

// Failures of an attempt that routing distinguishes.
enum class PeerFailure : uint8_t {
  // The connection could not be established or was lost before the answer.
  kUnreachable,
  // The peer answers, but its backend server does not.
  kBackendDown,
};

// State of one peer as observed by this node. Preserved when the routing table
// is rebuilt. Thread-safe.
class PeerState {
 public:
  // `slow_start` is false for peers that were already members when this node
  // started.
  PeerState(TimePoint first_seen, bool slow_start);

  void OnSent() { ++m_outstanding; }
  void OnAnswer(const PeerLoad& load, TimePoint now);
  // Records a load report that was not part of an answer.
  void OnReport(const PeerLoad& load, TimePoint now);
  // Records an attempt that ended without an answer from the peer.
  void OnFailure(PeerFailure failure, TimePoint now);
  // Ejects the peer temporarily because it is unresponsive.
  void OnSuspected(TimePoint now);
  // Records an attempt that ended for a reason unrelated to the peer.
  void OnAbandoned() { --m_outstanding; }

  // Estimated utilization of the peer: occupied slots relative to its limit.
  // Uses the last report while it is recent, and this node's outstanding
  // attempts. During slow start the estimate is scaled up. `declared_slots`
  // replaces the limit until the peer has reported one, and if a limit that
  // follows from a rate has not been reported for some time: a server that gets
  // no calls cannot say that its limit has ended.
  double Load(uint32_t declared_slots, TimePoint now) const;

  // True while the peer is excluded from selection after failures.
  bool IsEjected(TimePoint now) const;
  bool IsLeaving() const { return m_leaving; }
  // Time of the last load report; the epoch if there was none.
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
  std::atomic<bool> m_is_rate_limited{false};
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ROUTING_PEER_STATE_H_
