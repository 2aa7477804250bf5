#ifndef VANILLATILLER_SOURCE_ADMISSION_SERVICE_TIME_H_
#define VANILLATILLER_SOURCE_ADMISSION_SERVICE_TIME_H_

#include <cstdint>

#include "base/base.h"

namespace vanillatiller {

// Estimates for one method at one backend server.
class ServiceTime {
 public:
  // A call held its slot for `hold`, of which the backend server itself took
  // `latency`.
  void Add(Duration hold, Duration latency);

  // A call was given up after `hold`: its true time is at least that.
  void AddAtLeast(Duration hold);

  // Mean time that a call holds its slot; zero before the first call.
  Duration Hold() const;

  // `latency` relative to the latency without load; 1 before there is enough
  // to compare with.
  double Slowdown(Duration latency) const;

  // A call was refused because of the estimate.
  void NoteRefused() { m_was_refused = true; }

  // Called at the end of each window. `was_reached` tells whether the limit
  // held calls back in it, which keeps its latency out of the base.
  void OnWindow(bool was_reached);

 private:
  // Mean of many calls, which jumps to the mean of the last few calls where
  // the two are far apart. Seconds.
  struct Mean {
    double slow = 0;
    double fast = 0;

    void Add(double value, uint32_t samples);
  };

  Mean m_hold;
  Mean m_latency;
  double m_base_latency = 0;
  uint32_t m_samples = 0;
  bool m_was_sampled = false;
  bool m_was_refused = false;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ADMISSION_SERVICE_TIME_H_
