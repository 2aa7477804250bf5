#ifndef VANILLATILLER_SOURCE_VTBENCH_ARRIVAL_SCHEDULE_H_
#define VANILLATILLER_SOURCE_VTBENCH_ARRIVAL_SCHEDULE_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "vtbench/experiment.h"

namespace vanillatiller {

// One request that the experiment will send.
struct Arrival {
  // Intended start, from the start of the first phase.
  std::chrono::nanoseconds at{0};
  uint32_t phase = 0;
  // Index in Experiment::classes.
  uint32_t load_class = 0;
  // Seeds the request's own random choices.
  uint64_t seed = 0;
};

// All arrivals in order of their intended start. Arrivals of each class are a
// Poisson process. They depend on nothing but the experiment and its seed, so
// all policies get the same demand however slowly they answer.
std::vector<Arrival> BuildArrivals(const Experiment& experiment);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTBENCH_ARRIVAL_SCHEDULE_H_
