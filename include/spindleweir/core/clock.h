/// Time as the decision modules see it: milliseconds from a hook, so that a
/// test can set it.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace spindleweir {

/// Milliseconds; of a monotonic clock unless a name says "Wall".
using Millis = std::int64_t;

/// Gives the time now.
using ClockHook = std::function<Millis()>;

/// Monotonic milliseconds of this process.
inline Millis SteadyNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

/// Milliseconds since 1970 by the VM's clock, for people and expiry dates.
inline Millis WallNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace spindleweir
