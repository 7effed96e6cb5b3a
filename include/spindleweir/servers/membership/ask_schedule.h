/// When a router asks a control again, and how long it waits for an answer.
#pragma once

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// What is known of a control that is asked.
struct AskedControl {
  Millis mPeriod = 0;    ///< As it asks to be asked; 0: it did not say.
  int mFailures = 0;     ///< Questions without an answer since the last one.
  bool mIsNear = false;  ///< The one that loads are told to.
  /// This router holds no configuration yet.
  bool mIsFirst = false;
  /// From 0 to 1, new for each question: those that started together do not
  /// ask together for ever.
  double mSpread = 1;
};

/// From one question to the next.
Millis AskAgainAfter(const AskedControl& aControl);

/// How long the answer to a question is waited for.
Millis AskTimeout(const AskedControl& aControl);

}  // namespace spindleweir
