#include "base/clock.h"

#include <time.h>

namespace vanillatiller {

BootClock::time_point BootClock::now() noexcept {
  timespec value{};
  clock_gettime(CLOCK_BOOTTIME, &value);
  return time_point(std::chrono::seconds(value.tv_sec) +
                    std::chrono::nanoseconds(value.tv_nsec));
}

uint64_t ToMicroseconds(Duration duration) {
  if (duration <= Duration::zero()) return 0;
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace vanillatiller
