#include "vtbench/arrival_schedule.h"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>

namespace vanillatiller {
namespace {

using Seconds = std::chrono::duration<double>;

uint32_t ClassIndex(const Experiment& experiment, const std::string& name) {
  for (uint32_t i = 0; i < experiment.classes.size(); ++i) {
    if (experiment.classes[i].name == name) return i;
  }
  return 0;
}

void AppendDemand(const Demand& demand, const Arrival& prototype,
                  const Phase& phase, boost::random::mt19937_64* generator,
                  std::vector<Arrival>* arrivals) {
  if (demand.rate <= 0) return;
  boost::random::exponential_distribution<double> gap(demand.rate);
  const double end = Seconds(phase.duration).count();
  for (double t = gap(*generator); t < end; t += gap(*generator)) {
    Arrival arrival = prototype;
    arrival.at +=
        std::chrono::duration_cast<std::chrono::nanoseconds>(Seconds(t));
    arrival.seed = (*generator)();
    arrivals->push_back(arrival);
  }
}

}  // namespace

std::vector<Arrival> BuildArrivals(const Experiment& experiment) {
  boost::random::mt19937_64 generator(experiment.seed);
  std::vector<Arrival> arrivals;
  std::chrono::nanoseconds start{0};
  for (uint32_t i = 0; i < experiment.phases.size(); ++i) {
    const Phase& phase = experiment.phases[i];
    for (const Demand& demand : phase.demands) {
      const Arrival prototype{start, i,
                              ClassIndex(experiment, demand.load_class), 0};
      AppendDemand(demand, prototype, phase, &generator, &arrivals);
    }
    start += phase.duration;
  }
  std::stable_sort(
      arrivals.begin(), arrivals.end(),
      [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  return arrivals;
}

}  // namespace vanillatiller
