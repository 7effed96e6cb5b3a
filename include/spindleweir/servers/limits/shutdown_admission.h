/// Decides which requests a router still admits once it was asked to stop:
/// those that will have ended by the time that it must exit. The others go to
/// another router at once, at no cost; a stream that is cut midway costs its
/// caller seconds.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "spindleweir/core/clock.h"

namespace spindleweir {

struct ShutdownAdmissionOptions {
  /// Time after the signal at which requests in flight are cut.
  Millis mGrace = 7700;
  /// Nothing is admitted later than this after the signal: it might be cut
  /// while its upstream runs it.
  Millis mAdmitWindow = 2800;
  /// Number of a service's latest answers that typical durations are taken
  /// from.
  std::size_t mMaxSamples = 64;
  /// The part of them that ended within the typical duration.
  double mQuantile = 0.95;
};

/// The class only decides; the time is passed to each call.
class ShutdownAdmission {
 public:
  explicit ShutdownAdmission(ShutdownAdmissionOptions aOptions)
      : mOptions(aOptions) {}

  /// Records a request of a service that was answered completely. aTokens: the
  /// tokens that its caller expected; below 1: not stated. The time per token
  /// is recorded because long answers end late: the durations of a process that
  /// has just started would be those of short answers only.
  void Record(const std::string& aService, double aTokens, Millis aTook);
  /// The signal to stop was received.
  void Stop(Millis aNow) { mStoppedAt = aNow; }
  /// aLeft: time until the request's caller, or its route, gives it up.
  bool Admits(const std::string& aService, double aTokens, Millis aLeft,
              Millis aNow) const;
  /// Typical duration of such a request; 0: none has been answered yet.
  Millis TypicalDuration(const std::string& aService, double aTokens) const;

 private:
  ShutdownAdmissionOptions mOptions;
  /// Of the latest answers, by service.
  std::map<std::string, std::deque<double>> mMillisPerToken;
  Millis mStoppedAt = -1;  ///< -1: not asked to stop.
};

}  // namespace spindleweir
