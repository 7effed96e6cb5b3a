/// Typical duration of requests of a plain service, from recent answers.
#pragma once

#include "spindleweir/core/clock.h"

namespace spindleweir {

struct TypicalTimeOptions {
  /// A value expires this long after the last answer. The value is learned from
  /// answers alone and decides whether more requests are sent: if it did not
  /// expire, one second of slow answers would keep a router from learning that
  /// the service is fast again.
  Millis mRetention = 5000;
};

/// The duration for one service at one router. The class only decides; the time
/// is passed to each call.
class TypicalTime {
 public:
  explicit TypicalTime(TypicalTimeOptions aOptions) : mOptions(aOptions) {}

  /// A request was answered after aTook.
  void Record(Millis aTook, Millis aNow);
  /// The typical duration; aExpected if there is no recent answer.
  Millis At(Millis aExpected, Millis aNow) const;

 private:
  bool IsKnown(Millis aNow) const;

  TypicalTimeOptions mOptions;
  double mMean = 0;
  Millis mRecordedAt = -1;  ///< -1: never.
};

}  // namespace spindleweir
