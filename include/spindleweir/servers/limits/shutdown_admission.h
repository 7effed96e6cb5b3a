/// Which requests a router still takes once it was asked to stop: those that
/// will have ended when it must. The others go elsewhere at once, unharmed; a
/// stream that is cut midway costs its caller seconds.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "spindleweir/core/clock.h"

namespace spindleweir {

struct ShutdownAdmissionOptions {
  /// After the signal; what is in flight then is cut.
  Millis mGrace = 7700;
  /// Nothing is taken later than this after the signal: it might be cut while
  /// its upstream runs it.
  Millis mAdmitWindow = 2800;
  /// Answers of a service that its usual pace is learnt from.
  std::size_t mMaxSamples = 64;
  /// The part of them that ended within the usual duration.
  double mQuantile = 0.95;
};

/// Decisions only: the time comes with each call.
class ShutdownAdmission {
 public:
  explicit ShutdownAdmission(ShutdownAdmissionOptions aOptions)
      : mOptions(aOptions) {}

  /// A request of a service was answered whole after aTook. aTokens: tokens
  /// that its caller expected, below 1: not told. Long answers end late, so
  /// that durations alone would tell of the short ones of a process that has
  /// just started; what each token takes does not.
  void Record(const std::string& aService, double aTokens, Millis aTook);
  /// The signal came.
  void Stop(Millis aNow) { mStoppedAt = aNow; }
  /// aLeft: until its caller, or its route, gives it up.
  bool Admits(const std::string& aService, double aTokens, Millis aLeft,
              Millis aNow) const;
  /// How long such a request takes; 0: none was answered yet.
  Millis TypicalDuration(const std::string& aService, double aTokens) const;

 private:
  ShutdownAdmissionOptions mOptions;
  /// Milliseconds for each token, by service.
  std::map<std::string, std::deque<double>> mMillisPerToken;
  Millis mStoppedAt = -1;  ///< -1: not asked to.
};

}  // namespace spindleweir
