#include "relay/usual_calls.h"

namespace vanillatiller {
namespace {

// Weight of one call in the means: about the last fifty calls count.
constexpr double kSampleWeight = 0.02;
constexpr double kBytesInKilobyte = 1000;

// Adds a value to a route's mean. Returns the mean before, or the value if it
// is the first.
double AddSample(std::map<std::string, double, std::less<>>* means,
                 std::string_view route, double value) {
  const auto found = means->find(route);
  if (found == means->end()) {
    means->emplace(route, value);
    return value;
  }
  const double before = found->second;
  found->second += kSampleWeight * (value - before);
  return before;
}

}  // namespace

double UsualCalls::RelateTime(std::string_view route, Duration time) {
  const double seconds = std::chrono::duration<double>(time).count();
  const double usual = AddSample(&m_seconds, route, seconds);
  return usual > 0 ? seconds / usual : 1;
}

void UsualCalls::AddSize(std::string_view route, size_t bytes) {
  AddSample(&m_kilobytes, route, static_cast<double>(bytes) / kBytesInKilobyte);
}

double UsualCalls::Kilobytes(std::string_view route) const {
  const auto found = m_kilobytes.find(route);
  return found == m_kilobytes.end() ? 0 : found->second;
}

}  // namespace vanillatiller
