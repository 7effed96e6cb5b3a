#include "tests/suspension.h"

#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <atomic>

namespace {

constexpr long kNanosPerMilli = 1000000;
constexpr long kMillisPerSecond = 1000;

std::atomic<std::int64_t> sSuspended{0};

}  // namespace

namespace spindleweir {

void Suspend(Millis aTime) {
  sSuspended += aTime;
}

}  // namespace spindleweir

/// Stands in the place of the C library's, for all that the program links.
extern "C" int clock_gettime(clockid_t aClock, timespec* aTime) noexcept {
  const long result = syscall(SYS_clock_gettime, aClock, aTime);
  const bool counts = aClock == CLOCK_BOOTTIME || aClock == CLOCK_REALTIME;
  if (result != 0 || !counts) {
    return static_cast<int>(result);
  }
  const std::int64_t suspended = sSuspended;
  aTime->tv_sec += suspended / kMillisPerSecond;
  aTime->tv_nsec += suspended % kMillisPerSecond * kNanosPerMilli;
  if (aTime->tv_nsec >= kMillisPerSecond * kNanosPerMilli) {
    aTime->tv_nsec -= kMillisPerSecond * kNanosPerMilli;
    aTime->tv_sec++;
  }
  return 0;
}
