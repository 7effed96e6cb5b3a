/// How long requests of a plain service take, from the answers of late.
#pragma once

#include "spindleweir/core/clock.h"

namespace spindleweir {

struct TypicalTimeOptions {
  /// What was measured holds for this long after the last answer. The time is
  /// learnt from answers alone, and decides whether more are asked for: held
  /// for ever, one bad second would keep a router from learning of a better.
  Millis mRetention = 5000;
};

/// The time of one service at one router. Decisions only: the time comes with
/// each call.
class TypicalTime {
 public:
  explicit TypicalTime(TypicalTimeOptions aOptions) : mOptions(aOptions) {}

  /// A request was answered after aTook.
  void Record(Millis aTook, Millis aNow);
  /// The usual time; aExpected where no answer came lately.
  Millis At(Millis aExpected, Millis aNow) const;

 private:
  bool IsKnown(Millis aNow) const;

  TypicalTimeOptions mOptions;
  double mMean = 0;
  Millis mRecordedAt = -1;  ///< -1: never.
};

}  // namespace spindleweir
