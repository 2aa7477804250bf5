#include "routing/peer_state.h"

#include <algorithm>

namespace vanillatiller {
namespace {

constexpr std::chrono::seconds kSlowStartTime{10};
// Minimum traffic of a peer in slow start, as a fraction of a warm peer's;
// without any traffic it would not warm up.
constexpr double kMinSlowStartFactor = 0.1;
constexpr std::chrono::seconds kReportLifetime{1};
constexpr std::chrono::seconds kRateReportLifetime{2};
constexpr uint32_t kFailuresBeforeEjection = 3;
constexpr std::chrono::seconds kFirstEjection{1};
constexpr uint32_t kMaxEjectionDoublings = 4;

}  // namespace

PeerState::PeerState(TimePoint first_seen, bool slow_start)
    : m_first_seen(first_seen), m_slow_start(slow_start) {}

void PeerState::OnAnswer(const PeerLoad& load, TimePoint now) {
  --m_outstanding;
  m_failures = 0;
  m_ejected_until = TimePoint{};
  OnReport(load, now);
}

void PeerState::OnReport(const PeerLoad& load, TimePoint now) {
  m_reported = load.in_flight + load.queued;
  m_limit = load.concurrency_limit;
  m_reported_at = now;
  m_leaving = load.leaving;
  m_is_rate_limited = load.is_rate_limited;
}

void PeerState::OnFailure(PeerFailure failure, TimePoint now) {
  --m_outstanding;
  uint32_t failures = ++m_failures;
  // A node whose backend server is down refuses every call, so the peer is
  // ejected at once; waiting for more failures would only waste attempts.
  if (failure == PeerFailure::kBackendDown) {
    failures = std::max(failures, kFailuresBeforeEjection);
  }
  if (failures < kFailuresBeforeEjection) return;
  const uint32_t doublings =
      std::min(failures - kFailuresBeforeEjection, kMaxEjectionDoublings);
  m_ejected_until = now + kFirstEjection * (1U << doublings);
}

void PeerState::OnSuspected(TimePoint now) {
  m_failures = std::max(m_failures.load(), kFailuresBeforeEjection);
  m_ejected_until = std::max(m_ejected_until.load(), now + kFirstEjection);
}

double PeerState::Load(uint32_t declared_slots, TimePoint now) const {
  const Duration age = now - m_reported_at.load();
  const uint32_t limit = m_limit;
  const bool has_limit =
      limit != 0 && (!m_is_rate_limited || age < kRateReportLifetime);
  const double slots = std::max(1U, has_limit ? limit : declared_slots);
  const bool is_fresh = age < kReportLifetime;
  const double own = std::max(0, m_outstanding.load());
  // The report already includes this node's calls, so the two are not added.
  const double taken =
      is_fresh ? std::max(own, static_cast<double>(m_reported)) : own;
  return (taken + 1) / slots / SlowStartFactor(now);
}

bool PeerState::IsEjected(TimePoint now) const {
  return now < m_ejected_until.load();
}

double PeerState::SlowStartFactor(TimePoint now) const {
  if (!m_slow_start) return 1;
  const double fraction =
      std::chrono::duration<double>(now - m_first_seen) / kSlowStartTime;
  return std::clamp(fraction, kMinSlowStartFactor, 1.0);
}

}  // namespace vanillatiller
