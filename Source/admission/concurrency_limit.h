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

  // `slowdown` is the latency of one call relative to the usual latency of its
  // method; `in_flight` counts the calls held with it.
  void OnLatency(double slowdown, uint32_t in_flight);

  // The backend server refused a call while it held `in_flight` calls, the
  // refused one included. All refusals of calls that were dispatched before
  // the last decrease count as one.
  void OnShed(uint32_t in_flight, TimePoint dispatched, TimePoint now);

  // Adjusts the bound; called at the end of each measurement window.
  // `was_reached` tells whether calls waited for a slot in it.
  void OnWindow(bool was_reached, TimePoint now);

  // Starts low and ramps up: the backend server was started anew.
  void StartCold(TimePoint now);

  // Takes over a changed number of declared slots.
  void SetSlots(uint32_t slots);

 private:
  // What the limit does about latency.
  enum class Phase : uint8_t { kSteady = 1, kTrial = 2, kRamp = 3 };

  void Grow(TimePoint now);
  void StartTrial(double slowdown);
  void JudgeTrial(double slowdown, TimePoint now);
  void Clamp();

  double m_slots;
  double m_limit;
  Phase m_phase = Phase::kSteady;
  // Sum and number of the slowdowns of this window.
  double m_slowdown_sum = 0;
  uint32_t m_samples = 0;
  // Trial: the limit and the slowdown before the decrease.
  double m_limit_before = 0;
  double m_slowdown_before = 0;
  uint32_t m_trial_windows = 0;
  // Slowdown that a lower limit did not cure; no new trial below it.
  double m_accepted_slowdown = 1;
  TimePoint m_accepted_until;
  // Bound at which the backend server last refused calls; growth beyond it is
  // slow.
  double m_shed_bound;
  TimePoint m_last_shed;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_ADMISSION_CONCURRENCY_LIMIT_H_
