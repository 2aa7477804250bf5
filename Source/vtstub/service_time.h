#ifndef VANILLATILLER_SOURCE_VTSTUB_SERVICE_TIME_H_
#define VANILLATILLER_SOURCE_VTSTUB_SERVICE_TIME_H_

#include <boost/random/mersenne_twister.hpp>
#include <cstdint>
#include <optional>
#include <string_view>

#include "base/base.h"

namespace vanillatiller {

enum class ServiceTimeShape : uint8_t { kConstant, kExponential, kLognormal };

// "constant", "exponential" or "lognormal"; nullopt for other names.
std::optional<ServiceTimeShape> ParseServiceTimeShape(std::string_view name);

// Draws the time that a backend server works on a call. Not thread-safe.
class ServiceTime {
 public:
  ServiceTime(ServiceTimeShape shape, Duration mean, uint64_t seed);

  // The next service time, with slowness and cold start applied.
  Duration Draw(TimePoint now);

  void SetMean(Duration mean) { m_mean = mean; }

  // Multiplies service times; 1 is normal.
  void SetSlowFactor(double factor) { m_slow_factor = factor; }

  // From `now` on, service times are multiplied by `factor`, which falls to 1
  // linearly over `length`.
  void StartCold(double factor, Duration length, TimePoint now);

 private:
  double DrawUnit();
  double ColdFactor(TimePoint now) const;

  ServiceTimeShape m_shape;
  Duration m_mean;
  boost::random::mt19937_64 m_generator;
  double m_slow_factor = 1;
  double m_cold_factor = 1;
  TimePoint m_cold_since;
  Duration m_cold_length{0};
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTSTUB_SERVICE_TIME_H_
