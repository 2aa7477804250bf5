#ifndef VANILLATILLER_SOURCE_BASE_CLOCK_H_
#define VANILLATILLER_SOURCE_BASE_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace vanillatiller {

// Clock that goes on counting while the VM is suspended (CLOCK_BOOTTIME), so
// that a deadline that passed during a suspension is seen to have passed.
//
// Only programs read it. Decision code gets the present time as an argument.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

using TimePoint = BootClock::time_point;
using Duration = BootClock::duration;

// Whole microseconds in `duration`, as they travel between nodes.
// Negative durations give 0.
uint64_t ToMicroseconds(Duration duration);

// Milliseconds in `duration`, for reports.
double ToMilliseconds(Duration duration);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_BASE_CLOCK_H_
