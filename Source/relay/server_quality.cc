#include "relay/server_quality.h"

#include <algorithm>
#include <cmath>

namespace vanillatiller {
namespace {

// Weight of one call in the moving averages, which cover about the last ten
// calls.
constexpr double kSampleWeight = 0.1;
// Time in which observations decay to about a third (1/e).
constexpr Duration kDecayTime = std::chrono::seconds(3);
// Excess time that is normal variation between servers of a service.
constexpr double kToleratedExcess = 0.6;
// Upper bound on the relative time of a call, so that a single expensive call
// does not penalize a server.
constexpr double kMaxRelativeTime = 6;
// Cost of taking twice the mean time, and of failing every call. See Placement
// for the cost of another region on the same scale.
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
