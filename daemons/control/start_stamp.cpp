#include "daemons/control/start_stamp.h"

#include <cstdlib>
#include <sstream>

#include "daemons/control/file_warning.h"
#include "spindleweir/core/error.h"
#include "spindleweir/drivers/file_tools.h"

namespace spindleweir {

namespace {

/// A write with its sync takes up to 10 ms of disk time.
constexpr Millis kSaveInterval = 5000;
/// Covers two save intervals, a stop of a few seconds and a wall clock that
/// jumps by two seconds. After a longer stop, upstreams are learned from their
/// next heartbeats.
constexpr Millis kFreshWindow = 15000;
constexpr int kMaxRouters = 100000;

}  // namespace

PreviousRun StartStamp::Load(Millis aWallNow) const {
  std::istringstream text(ReadFile(mPath).value_or(""));
  int routers = 0;
  Millis at = 0;
  if (!(text >> routers >> at) || routers < 0 || routers > kMaxRouters) {
    return {};
  }
  return {.mRouters = routers,
          .mUpstreamsFresh = std::abs(aWallNow - at) < kFreshWindow};
}

void StartStamp::Save(int aRouters, Millis aWallNow, Millis aNow) {
  const bool due = mLastAttemptAt < 0 || aNow - mLastAttemptAt >= kSaveInterval;
  if (!due || mIsSaving) {
    return;
  }
  mLastAttemptAt = aNow;
  mIsSaving = true;
  mReplace(mPath, std::to_string(aRouters) + " " + std::to_string(aWallNow),
           [this](const std::optional<Error>& aError) {
             mIsSaving = false;
             if (aError.has_value()) {
               LogFileWarning("stamp_not_kept", *aError);
             }
           });
}

}  // namespace spindleweir
