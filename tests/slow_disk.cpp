#include "tests/slow_disk.h"

#include <dlfcn.h>

#include <chrono>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

namespace spindleweir {

namespace {

struct State {
  explicit State(unsigned aSeed) : mRandom(aSeed) {}

  std::mutex mMutex;
  std::mt19937 mRandom;
  Millis mShortest = 0;
  Millis mLongest = 0;
};

std::unique_ptr<State> sState;

Millis DrawSyncTime() {
  if (sState == nullptr) {
    return 0;
  }
  const std::lock_guard lock(sState->mMutex);
  std::uniform_int_distribution<Millis> times(sState->mShortest,
                                              sState->mLongest);
  return times(sState->mRandom);
}

int SyncSlowly(const char* aName, int aFd) {
  auto* const real = reinterpret_cast<int (*)(int)>(dlsym(RTLD_NEXT, aName));
  std::this_thread::sleep_for(std::chrono::milliseconds(DrawSyncTime()));
  return real(aFd);
}

}  // namespace

SlowDisk::SlowDisk(unsigned aSeed) {
  sState = std::make_unique<State>(aSeed);
}

SlowDisk::~SlowDisk() {
  sState.reset();
}

void SlowDisk::SetSyncTime(Millis aShortest, Millis aLongest) {
  const std::lock_guard lock(sState->mMutex);
  sState->mShortest = aShortest;
  sState->mLongest = aLongest;
}

}  // namespace spindleweir

/// These stand in the place of the C library's, for all that the program links.
extern "C" {

int fsync(int aFd) {
  return spindleweir::SyncSlowly("fsync", aFd);
}

int fdatasync(int aFd) {
  return spindleweir::SyncSlowly("fdatasync", aFd);
}

}  // extern "C"
