/// A VM that is suspended, as its processes see it: no time passes by the
/// monotonic clock, nor for the timers of an event loop, while CLOCK_BOOTTIME
/// and the time of day go on.
#pragma once

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// The process, with all that runs in it, was just suspended for so long. Holds
/// for the whole program, which tests run in a process of their own.
void Suspend(Millis aTime);

}  // namespace spindleweir
