#include "relay/call_averages.h"

namespace vanillatiller {
namespace {

// Weight of one call in the moving averages, which cover about the last fifty
// calls.
constexpr double kSampleWeight = 0.02;
constexpr double kBytesPerKilobyte = 1000;

}  // namespace

double CallAverages::Add(std::string_view route, Duration time, size_t bytes) {
  const double seconds = std::chrono::duration<double>(time).count();
  const double kilobytes = static_cast<double>(bytes) / kBytesPerKilobyte;
  const auto found = m_routes.find(route);
  if (found == m_routes.end()) {
    m_routes.emplace(route, Means{seconds, kilobytes});
    return 1;
  }
  Means& means = found->second;
  const double usual = means.seconds;
  means.seconds += kSampleWeight * (seconds - usual);
  means.kilobytes += kSampleWeight * (kilobytes - means.kilobytes);
  return usual > 0 ? seconds / usual : 1;
}

double CallAverages::MeanKilobytes(std::string_view route) const {
  const auto found = m_routes.find(route);
  return found == m_routes.end() ? 0 : found->second.kilobytes;
}

}  // namespace vanillatiller
