#include "relay/server_quality.h"

#include <algorithm>
#include <cmath>

namespace vanillatiller {
namespace {

// Weight of one call in the averages: about the last ten calls count.
constexpr double kSampleWeight = 0.1;
// Time in which what was seen fades to a third.
constexpr Duration kFadeTime = std::chrono::seconds(3);
// Slowness that servers of one service differ by anyway.
constexpr double kToleratedExcess = 0.6;
// Calls relate to their usual time by this factor at the most, so that one
// call with much work does not condemn a server.
constexpr double kMaxRelativeTime = 6;
// Cost of taking twice the usual time, and of failing every call. Against the
// cost of another region, see Placement.
constexpr double kCostOfExcess = 0.25;
constexpr double kCostOfFailures = 1.5;

}  // namespace

double ServerQuality::Remaining(Duration passed) {
  return std::exp(-std::chrono::duration<double>(passed) /
                  std::chrono::duration<double>(kFadeTime));
}

void ServerQuality::Fade(TimePoint now) {
  if (now <= m_updated) return;
  const double remaining = Remaining(now - m_updated);
  m_excess_time *= remaining;
  m_failures *= remaining;
  m_updated = now;
}

void ServerQuality::OnSuccess(double relative_time, TimePoint now) {
  Fade(now);
  const double excess = std::min(relative_time, kMaxRelativeTime) - 1;
  m_excess_time += kSampleWeight * (excess - m_excess_time);
  m_failures -= kSampleWeight * m_failures;
}

void ServerQuality::OnFailure(TimePoint now) {
  Fade(now);
  m_failures += kSampleWeight * (1 - m_failures);
}

double ServerQuality::Cost(TimePoint now) const {
  const double remaining = now > m_updated ? Remaining(now - m_updated) : 1.0;
  const double excess =
      std::max(0.0, m_excess_time * remaining - kToleratedExcess);
  return kCostOfExcess * excess + kCostOfFailures * m_failures * remaining;
}

}  // namespace vanillatiller
