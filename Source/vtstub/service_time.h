#ifndef VANILLATILLER_SOURCE_VTSTUB_SERVICE_TIME_H_
#define VANILLATILLER_SOURCE_VTSTUB_SERVICE_TIME_H_

#include <boost/random/mersenne_twister.hpp>
#include <cstdint>
#include <optional>
#include <string_view>

#include "base/base.h"

namespace vanillatiller {

enum class ServiceTimeDistribution : uint8_t {
  kConstant,
  kExponential,
  kLognormal,
};

// Accepts "constant", "exponential" and "lognormal"; returns nullopt otherwise.
std::optional<ServiceTimeDistribution> ParseServiceTimeDistribution(
    std::string_view name);

// Samples the service times of a backend server. Not thread-safe.
class ServiceTimeSampler {
 public:
  ServiceTimeSampler(ServiceTimeDistribution distribution, Duration mean,
                     uint64_t seed);

  // Returns the next service time, with the slow and cold-start factors
  // applied.
  Duration Sample(TimePoint now);

  void SetMean(Duration mean) { m_mean = mean; }

  // Multiplies service times by `factor`; 1 disables the slowdown.
  void SetSlowFactor(double factor) { m_slow_factor = factor; }

  // Simulates a cold start: from `now` on, service times are multiplied by a
  // factor that falls linearly from `factor` to 1 over `duration`.
  void BeginColdStart(double factor, Duration duration, TimePoint now);

 private:
  double SampleUnitMean();
  double ColdStartFactor(TimePoint now) const;

  ServiceTimeDistribution m_distribution;
  Duration m_mean;
  boost::random::mt19937_64 m_generator;
  double m_slow_factor = 1;
  double m_cold_start_factor = 1;
  TimePoint m_cold_start_time;
  Duration m_cold_start_duration{0};
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTSTUB_SERVICE_TIME_H_
