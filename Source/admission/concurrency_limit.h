#ifndef VANILLATILLER_SOURCE_ADMISSION_CONCURRENCY_LIMIT_H_
#define VANILLATILLER_SOURCE_ADMISSION_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "base/base.h"

namespace vanillatiller {

// Adaptive limit on the concurrent calls of one backend server.
//
// The limit starts at the declared slots and never exceeds them. It is lowered
// when the backend server refuses calls. It is also lowered when latency rises,
// but a decrease that does not reduce latency is reverted: in that case the
// calls just take longer, and a lower limit would only cost throughput. The
// use of latency as a congestion signal follows TCP Vegas (Brakmo and
// Peterson, 1995).
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(uint32_t slots);

  // Returns the current limit, in [1, slots].
  uint32_t Current() const;

  // Reports that a call dispatched at `dispatched` took `slowdown` times the
  // baseline latency of its method.
  void OnLatency(double slowdown, TimePoint dispatched, TimePoint now);

  // Reports that the backend server refused a call with `in_flight` calls in
  // flight, including the refused one. Refusals of calls dispatched before the
  // previous decrease are ignored, as that decrease already accounts for them.
  void OnShed(uint32_t in_flight, TimePoint dispatched, TimePoint now);

  // Adjusts the limit at the end of each measurement window.
  // `was_limit_reached` tells whether calls had to queue during the window.
  void OnWindow(bool was_limit_reached, TimePoint now);

  // Lowers the limit and ramps it up after a restart of the backend server.
  void BeginColdStart(TimePoint now);

  // Scales the limit to a changed number of declared slots.
  void SetSlots(uint32_t slots);

 private:
  enum class Phase : uint8_t {
    // Grows while the limit is reached.
    kSteady = 1,
    // Grows fast, after a cold start.
    kRampUp = 2,
    // Trial of a lower limit; calls from before the decrease are still running.
    kTrialSettling = 3,
    // Trial of a lower limit; latency is being measured.
    kTrialMeasuring = 4,
  };

  void Grow();
  void RampUp(double slowdown);
  // `error` is the standard error of the logarithm of the mean slowdown.
  void StartTrial(double slowdown, double error, TimePoint now);
  void EvaluateTrial(double slowdown, double error, TimePoint now);
  void EndTrial(TimePoint now);
  void ResetSamples();

  double m_slots;
  double m_limit;
  Phase m_phase = Phase::kSteady;
  // Statistics of the slowdowns since the last adjustment.
  double m_slowdown_sum = 0;
  double m_slowdown_square_sum = 0;
  uint32_t m_sample_count = 0;
  // Calls dispatched before this time are not sampled.
  TimePoint m_samples_valid_from;
  TimePoint m_trial_start;
  double m_limit_before_trial = 0;
  double m_slowdown_before_trial = 0;
  double m_error_before_trial = 0;
  // Slowdown that a lower limit did not reduce. Until m_accepted_until, trials
  // start relative to it.
  double m_accepted_slowdown = 1;
  TimePoint m_accepted_until;
  // Limit above which the backend server was last overloaded; growth beyond it
  // is slow.
  double m_overload_limit;
  // Growth per window beyond the overload limit, as a fraction of the slots.
  double m_slow_growth = 1;
  TimePoint m_last_shed;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ADMISSION_CONCURRENCY_LIMIT_H_
