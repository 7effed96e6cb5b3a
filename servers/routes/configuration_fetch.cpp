#include "spindleweir/servers/routes/configuration_fetch.h"

namespace spindleweir {

bool ConfigurationFetch::TryStart(std::int64_t aHeld, std::int64_t aOffered,
                                  Millis aNow) {
  const bool isRunning =
      mStartedAt != kNotStarted && aNow - mStartedAt < mOptions.mTimeout;
  if (isRunning || aOffered <= aHeld) {
    return false;
  }
  mStartedAt = aNow;
  return true;
}

}  // namespace spindleweir
