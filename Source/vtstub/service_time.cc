#include "vtstub/service_time.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <chrono>

namespace vanillatiller {
namespace {

// With this sigma, the 99th percentile is about four times the mean. The
// location -sigma^2/2 gives a mean of 1.
constexpr double kLognormalSigma = 0.8;
constexpr double kLognormalLocation = -kLognormalSigma * kLognormalSigma / 2;

}  // namespace

std::optional<ServiceTimeDistribution> ParseServiceTimeDistribution(
    std::string_view name) {
  if (name == "constant") return ServiceTimeDistribution::kConstant;
  if (name == "exponential") return ServiceTimeDistribution::kExponential;
  if (name == "lognormal") return ServiceTimeDistribution::kLognormal;
  return std::nullopt;
}

ServiceTimeSampler::ServiceTimeSampler(ServiceTimeDistribution distribution,
                                       Duration mean, uint64_t seed)
    : m_distribution(distribution), m_mean(mean), m_generator(seed) {}

Duration ServiceTimeSampler::Sample(TimePoint now) {
  const double factor = SampleUnitMean() * m_slow_factor * ColdStartFactor(now);
  return std::chrono::duration_cast<Duration>(m_mean * factor);
}

void ServiceTimeSampler::BeginColdStart(double factor, Duration duration,
                                        TimePoint now) {
  m_cold_start_factor = factor;
  m_cold_start_duration = duration;
  m_cold_start_time = now;
}

double ServiceTimeSampler::SampleUnitMean() {
  switch (m_distribution) {
    case ServiceTimeDistribution::kExponential:
      return boost::random::exponential_distribution<double>()(m_generator);
    case ServiceTimeDistribution::kLognormal:
      return boost::random::lognormal_distribution<double>(
          kLognormalLocation, kLognormalSigma)(m_generator);
    case ServiceTimeDistribution::kConstant:
      break;
  }
  return 1;
}

double ServiceTimeSampler::ColdStartFactor(TimePoint now) const {
  const Duration elapsed = now - m_cold_start_time;
  if (m_cold_start_duration <= Duration::zero() ||
      elapsed >= m_cold_start_duration) {
    return 1;
  }
  const double remaining =
      1 - static_cast<double>(elapsed.count()) /
              static_cast<double>(m_cold_start_duration.count());
  return 1 + (m_cold_start_factor - 1) * remaining;
}

}  // namespace vanillatiller
