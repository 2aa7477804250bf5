#include "relay/server_quality.h"

#include <algorithm>
#include <cmath>

namespace vanillatiller {
namespace {

// Weight of one call in the averages: about the last ten calls count.
constexpr double kSampleWeight = 0.1;
// Time in which what was seen fades to a third.
constexpr Duration kDecayTime = std::chrono::seconds(3);
// Slowness that servers of one service differ by anyway.
constexpr double kToleratedExcess = 0.6;
// Calls relate to their usual time by this factor at the most, so that one
// call with much work does not condemn a server.
constexpr double kMaxRelativeTime = 6;
// Cost of taking twice the usual time, and of failing every call. Against the
// cost of another region, see Placement.
constexpr double kExcessTimeCost = 0.25;
constexpr double kFailureCost = 1.5;

}  // namespace

double ServerQuality::DecayFactor(Duration passed) {
  return std::exp(-std::chrono::duration<double>(passed) /
                  std::chrono::duration<double>(kDecayTime));
}

void ServerQuality::Decay(TimePoint now) {
  if (now <= m_updated) return;
  const double remaining = DecayFactor(now - m_updated);
  m_excess_time *= remaining;
  m_failures *= remaining;
  m_updated = now;
}

void ServerQuality::OnSuccess(double relative_time, TimePoint now) {
  Decay(now);
  const double excess = std::min(relative_time, kMaxRelativeTime) - 1;
  m_excess_time += kSampleWeight * (excess - m_excess_time);
  m_failures -= kSampleWeight * m_failures;
}

void ServerQuality::OnFailure(TimePoint now) {
  Decay(now);
  m_failures += kSampleWeight * (1 - m_failures);
}

double ServerQuality::Cost(TimePoint now) const {
  const double remaining = now > m_updated ? DecayFactor(now - m_updated) : 1.0;
  const double excess =
      std::max(0.0, m_excess_time * remaining - kToleratedExcess);
  return kExcessTimeCost * excess + kFailureCost * m_failures * remaining;
}

}  // namespace vanillatiller
