/// Time for the decision modules: milliseconds from a hook, so that tests can
/// set the clock.
#pragma once

#include <time.h>

#include <chrono>
#include <cstdint>
#include <functional>

namespace spindleweir {

/// Milliseconds, of a monotonic clock unless the name contains "Wall".
using Millis = std::int64_t;

/// Returns the current time.
using ClockHook = std::function<Millis()>;

/// Monotonic milliseconds, including time in which the VM was suspended. The
/// standard library's steady clock leaves that time out: a VM resumed after 8 s
/// treated a lease of 2.5 s as valid and forwarded a request under it.
inline Millis SteadyNow() {
  constexpr Millis kMillisPerSecond = 1000;
  constexpr Millis kNanosPerMilli = 1000000;
  timespec now{};
  (void)clock_gettime(CLOCK_BOOTTIME, &now);
  return now.tv_sec * kMillisPerSecond + now.tv_nsec / kNanosPerMilli;
}

/// Milliseconds since 1970 by the VM's clock, for display and expiry dates.
inline Millis WallNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace spindleweir
