/// Preloaded into processes of a soak: shifts the wall clock, delays syncs to
/// disk or fails them as on a full disk. The file named by SOAK_SHIM holds
/// "OFFSET_MS SYNC_MS FULL [SPREAD_MS]" and is read at most twenty times a
/// second. A sync takes from SYNC_MS to SYNC_MS + SPREAD_MS longer, drawn anew
/// each time. The steady clock isn't changed.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstdlib>
#include <random>

namespace {

constexpr long kReadIntervalMs = 50;
constexpr long kMsPerSecond = 1000;
constexpr long kNsPerMs = 1000000;
constexpr long kNsPerSecond = 1000000000;

std::atomic<long> sOffset{0};
std::atomic<long> sSync{0};
std::atomic<long> sSpread{0};
std::atomic<bool> sFull{false};
std::atomic<long> sReadAt{0};

template <class Function>
Function* RealFunction(const char* aName) {
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, aName));
}

int RealClock(clockid_t aClock, timespec* aTime) {
  static auto* const real =
      RealFunction<int(clockid_t, timespec*)>("clock_gettime");
  return real(aClock, aTime);
}

void Refresh() {
  timespec steady{};
  RealClock(CLOCK_MONOTONIC, &steady);
  const long now = steady.tv_sec * kMsPerSecond + steady.tv_nsec / kNsPerMs;
  if (now - sReadAt < kReadIntervalMs) {
    return;
  }
  sReadAt = now;
  const char* path = getenv("SOAK_SHIM");
  const int fd = path == nullptr ? -1 : open(path, O_RDONLY | O_CLOEXEC);
  char text[64] = {};
  if (fd >= 0 && read(fd, text, sizeof(text) - 1) > 0) {
    char* end = text;
    sOffset = strtol(text, &end, 10);
    sSync = strtol(end, &end, 10);
    sFull = strtol(end, &end, 10) != 0;
    sSpread = strtol(end, nullptr, 10);
  }
  if (fd >= 0) {
    close(fd);
  }
}

long DrawSyncMs() {
  const long spread = sSpread;
  if (spread <= 0) {
    return sSync;
  }
  thread_local std::minstd_rand engine{std::random_device{}()};
  return sSync + std::uniform_int_distribution<long>(0, spread)(engine);
}

/// Delays or fails a call of aReal, which syncs a file to disk.
int SyncWith(int (*aReal)(int), int aFd) {
  Refresh();
  if (sFull) {
    errno = ENOSPC;
    return -1;
  }
  const long wait = DrawSyncMs();
  const timespec time{.tv_sec = wait / kMsPerSecond,
                      .tv_nsec = wait % kMsPerSecond * kNsPerMs};
  nanosleep(&time, nullptr);
  return aReal(aFd);
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t aClock, timespec* aTime) noexcept {
  const int result = RealClock(aClock, aTime);
  if (result != 0 || aClock != CLOCK_REALTIME) {
    return result;
  }
  Refresh();
  const long offset = sOffset;
  aTime->tv_sec += offset / kMsPerSecond;
  aTime->tv_nsec += offset % kMsPerSecond * kNsPerMs;
  if (aTime->tv_nsec < 0) {
    aTime->tv_nsec += kNsPerSecond;
    aTime->tv_sec--;
  } else if (aTime->tv_nsec >= kNsPerSecond) {
    aTime->tv_nsec -= kNsPerSecond;
    aTime->tv_sec++;
  }
  return 0;
}

int gettimeofday(timeval* aTime, void*) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  aTime->tv_sec = now.tv_sec;
  aTime->tv_usec = now.tv_nsec / 1000;
  return 0;
}

time_t time(time_t* aTime) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (aTime != nullptr) {
    *aTime = now.tv_sec;
  }
  return now.tv_sec;
}

int fsync(int aFd) {
  static auto* const real = RealFunction<int(int)>("fsync");
  return SyncWith(real, aFd);
}

int fdatasync(int aFd) {
  static auto* const real = RealFunction<int(int)>("fdatasync");
  return SyncWith(real, aFd);
}

}  // extern "C"
