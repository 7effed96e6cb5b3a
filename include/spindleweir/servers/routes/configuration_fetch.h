/// How a control process that does not follow the replicated log gets accepted
/// configurations: it fetches them from a control that holds newer ones.
#pragma once

#include <cstdint>

#include "spindleweir/core/clock.h"

namespace spindleweir {

struct ConfigurationFetchOptions {
  /// A fetch without a result does not prevent another one for longer.
  Millis mTimeout = 1000;
};

/// Decides when one control fetches from another. Controls poll each other and
/// report the version that they hold. Of several controls that report a newer
/// version only the first is asked for it, so that each version is transferred
/// once to each control however many hold it. Takes the time with each call.
class ConfigurationFetch {
 public:
  explicit ConfigurationFetch(ConfigurationFetchOptions aOptions)
      : mOptions(aOptions) {}

  /// Whether to fetch from a control that reports aOffered while aHeld is held
  /// here. True starts a fetch.
  bool TryStart(std::int64_t aHeld, std::int64_t aOffered, Millis aNow);
  /// The started fetch has ended, with or without a result.
  void End() { mStartedAt = kNotStarted; }

 private:
  static constexpr Millis kNotStarted = -1;

  ConfigurationFetchOptions mOptions;
  Millis mStartedAt = kNotStarted;
};

}  // namespace spindleweir
