#ifndef VANILLATILLER_SOURCE_ADMISSION_CONCURRENCY_LIMIT_H_
#define VANILLATILLER_SOURCE_ADMISSION_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "base/base.h"

namespace vanillatiller {

// Adaptive bound on the calls that one backend server holds at a time.
//
// It starts from the declared slots, which it never exceeds. It falls when the
// backend server refuses calls. It also falls when latency rises, but only as
// long as latency falls along with it: a lower limit that does not shorten
// latency costs throughput (a backend server whose calls merely take longer),
// and is taken back. Latency gradients as a signal for a limit: TCP Vegas
// (Brakmo and Peterson, 1995).
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(uint32_t slots);

  // The present bound, in [1, slots].
  uint32_t Current() const;

  // A call dispatched at `dispatched` took `slowdown` times the usual latency
  // of its method.
  void OnLatency(double slowdown, TimePoint dispatched, TimePoint now);

  // The backend server refused a call while it held `in_flight` calls, the
  // refused one included. Refusals of calls that were dispatched before the
  // last decrease belong to that decrease and are ignored.
  void OnShed(uint32_t in_flight, TimePoint dispatched, TimePoint now);

  // Adjusts the bound; called at the end of each measurement window.
  // `was_reached` tells whether the bound held calls back in it.
  void OnWindow(bool was_limit_reached, TimePoint now);

  // Starts low and ramps up: the backend server was started anew.
  void BeginColdStart(TimePoint now);

  // Takes over a changed number of declared slots.
  void SetSlots(uint32_t slots);

 private:
  enum class Phase : uint8_t {
    // Grows while the bound is reached.
    kSteady = 1,
    // Grows fast, after a cold start.
    kRampUp = 2,
    // Lowered for a test; calls from before the decrease still run.
    kTrialSettling = 3,
    // Lowered for a test; latency is measured.
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
  // Slowdowns since the last adjustment.
  double m_slowdown_sum = 0;
  double m_slowdown_square_sum = 0;
  uint32_t m_sample_count = 0;
  // Samples of calls that were dispatched earlier do not count.
  TimePoint m_samples_valid_from;
  TimePoint m_trial_start;
  double m_limit_before_trial = 0;
  double m_slowdown_before_trial = 0;
  double m_error_before_trial = 0;
  // Slowdown that a lower limit did not cure; it starts no trial while it is
  // accepted.
  double m_accepted_slowdown = 1;
  TimePoint m_accepted_until;
  // Bound above which the backend server last showed overload; growth beyond
  // it is slow.
  double m_overload_limit;
  // Growth for each window beyond that bound, as a part of the slots.
  double m_slow_growth = 1;
  TimePoint m_last_shed;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ADMISSION_CONCURRENCY_LIMIT_H_
