#ifndef VANILLATILLER_SOURCE_ADMISSION_SERVICE_TIME_H_
#define VANILLATILLER_SOURCE_ADMISSION_SERVICE_TIME_H_

#include <cstdint>

#include "base/base.h"

namespace vanillatiller {

// Estimates slot occupancy and slowdown for one method at one backend server.
class ServiceTimeEstimator {
 public:
  // Adds a call that held its slot for `hold_time`, of which `latency` was
  // processing by the backend server itself.
  void Add(Duration hold_time, Duration latency);

  // Adds a call that failed after `hold_time`, which is a lower bound of its
  // service time.
  void AddLowerBound(Duration hold_time);

  // Returns the mean slot occupancy of a call; zero before the first call.
  Duration MeanHoldTime() const;

  // Returns the ratio of `latency` to the latency without load, or 1 until
  // there are enough samples.
  double Slowdown(Duration latency) const;

  // Reports that a call was refused because of the estimate.
  void RecordRefusal() { m_was_refused = true; }

  // Must be called at the end of each window. If calls had to queue in it
  // (`was_limit_reached`), its latency hardly affects the baseline.
  void OnWindow(bool was_limit_reached);

 private:
  // Slow moving average, which is reset to a fast one when the two differ
  // widely. In seconds.
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
