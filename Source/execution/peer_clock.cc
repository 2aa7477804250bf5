#include "execution/peer_clock.h"

namespace vanillatiller {
namespace {

constexpr int64_t kPartsPerMillion = 1'000'000;

}  // namespace

void PeerClock::Observe(Incarnation incarnation, TimePoint reading,
                        TimePoint now) {
  if (incarnation == 0 || incarnation < m_incarnation) return;
  const Duration offset = reading - now;
  const bool is_better = incarnation > m_incarnation || offset > OffsetAt(now);
  if (!is_better) return;
  m_incarnation = incarnation;
  m_offset = offset;
  m_observed = now;
}

std::optional<TimePoint> PeerClock::ToPeerTime(TimePoint when) const {
  if (m_incarnation == 0) return std::nullopt;
  return when + OffsetAt(when);
}

Duration PeerClock::OffsetAt(TimePoint when) const {
  if (when <= m_observed) return m_offset;
  return m_offset - (when - m_observed) / kPartsPerMillion * kMaxDriftPpm;
}

}  // namespace vanillatiller
