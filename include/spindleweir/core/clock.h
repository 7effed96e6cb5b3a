/// Time as the decision modules see it: milliseconds from a hook, so that a
/// test can set it.
#pragma once

#include <time.h>

#include <chrono>
#include <cstdint>
#include <functional>

namespace spindleweir {

/// Milliseconds; of a monotonic clock unless a name says "Wall".
using Millis = std::int64_t;

/// Gives the time now.
using ClockHook = std::function<Millis()>;

/// Monotonic milliseconds, those included in which the VM was suspended: the
/// steady clock of the standard library leaves them out, and a VM that went on
/// after 8 s took a lease of 2.5 s for valid and passed a request on with it.
inline Millis SteadyNow() {
  constexpr Millis kMillisPerSecond = 1000;
  constexpr Millis kNanosPerMilli = 1000000;
  timespec now{};
  (void)clock_gettime(CLOCK_BOOTTIME, &now);
  return now.tv_sec * kMillisPerSecond + now.tv_nsec / kNanosPerMilli;
}

/// Milliseconds since 1970 by the VM's clock, for people and expiry dates.
inline Millis WallNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace spindleweir
