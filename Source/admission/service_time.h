#ifndef VANILLATILLER_SOURCE_ADMISSION_SERVICE_TIME_H_
#define VANILLATILLER_SOURCE_ADMISSION_SERVICE_TIME_H_

#include <cstdint>

#include "base/base.h"

namespace vanillatiller {

// Estimates for one method at one backend server.
class ServiceTimeEstimator {
 public:
  // A call held its slot for `hold`, of which the backend server itself took
  // `latency`.
  void Add(Duration hold_time, Duration latency);

  // A call was given up after `hold`: its true time is at least that.
  void AddLowerBound(Duration hold_time);

  // Mean time that a call holds its slot; zero before the first call.
  Duration MeanHoldTime() const;

  // `latency` relative to the latency without load; 1 before there is enough
  // to compare with.
  double Slowdown(Duration latency) const;

  // A call was refused because of the estimate.
  void RecordRefusal() { m_was_refused = true; }

  // Called at the end of each window. `was_reached` tells whether the limit
  // held calls back in it, which keeps its latency out of the base.
  void OnWindow(bool was_limit_reached);

 private:
  // Mean of many calls, which jumps to the mean of the last few calls where
  // the two are far apart. Seconds.
  struct Mean {
    double slow = 0;
    double fast = 0;

    void Add(double value, uint32_t sample_count);
  };

  Mean m_hold_time;
  Mean m_latency;
  double m_baseline_latency = 0;
  uint32_t m_sample_count = 0;
  bool m_was_sampled = false;
  bool m_was_refused = false;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ADMISSION_SERVICE_TIME_H_
