#include "vtstub/service_time.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <chrono>

namespace vanillatiller {
namespace {

// Lognormal shape with a 99th percentile of about four times the mean. The
// location -sigma^2/2 makes the mean 1.
constexpr double kLognormalSigma = 0.8;
constexpr double kLognormalLocation = -kLognormalSigma * kLognormalSigma / 2;

}  // namespace

std::optional<ServiceTimeShape> ParseServiceTimeShape(std::string_view name) {
  if (name == "constant") return ServiceTimeShape::kConstant;
  if (name == "exponential") return ServiceTimeShape::kExponential;
  if (name == "lognormal") return ServiceTimeShape::kLognormal;
  return std::nullopt;
}

ServiceTime::ServiceTime(ServiceTimeShape shape, Duration mean, uint64_t seed)
    : m_shape(shape), m_mean(mean), m_generator(seed) {}

Duration ServiceTime::Draw(TimePoint now) {
  const double factor = DrawUnit() * m_slow_factor * ColdFactor(now);
  return std::chrono::duration_cast<Duration>(m_mean * factor);
}

void ServiceTime::StartCold(double factor, Duration length, TimePoint now) {
  m_cold_factor = factor;
  m_cold_length = length;
  m_cold_since = now;
}

double ServiceTime::DrawUnit() {
  switch (m_shape) {
    case ServiceTimeShape::kExponential:
      return boost::random::exponential_distribution<double>()(m_generator);
    case ServiceTimeShape::kLognormal:
      return boost::random::lognormal_distribution<double>(
          kLognormalLocation, kLognormalSigma)(m_generator);
    case ServiceTimeShape::kConstant:
      break;
  }
  return 1;
}

double ServiceTime::ColdFactor(TimePoint now) const {
  const Duration elapsed = now - m_cold_since;
  if (m_cold_length <= Duration::zero() || elapsed >= m_cold_length) return 1;
  const double left = 1 - static_cast<double>(elapsed.count()) /
                              static_cast<double>(m_cold_length.count());
  return 1 + (m_cold_factor - 1) * left;
}

}  // namespace vanillatiller
