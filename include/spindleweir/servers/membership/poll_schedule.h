/// When a router asks a control again, and how long it waits for an answer.
#pragma once

#include <cstddef>

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/routing/relative_costs.h"

namespace spindleweir {

/// What is known of a control that is asked.
struct PolledControl {
  Millis mInterval = 0;  ///< As it asks to be asked; 0: it did not say.
  /// Questions since the last answer whose time ran out.
  int mFailures = 0;
  /// The newest question was turned away at once: nobody listens there yet.
  bool mWasRefused = false;
  bool mIsNearest = false;  ///< The one that loads are told to.
  /// This router holds no configuration yet.
  bool mLacksConfiguration = false;
  /// The nearest answered within three of its periods.
  bool mNearestAnswers = false;
  RelativeCosts mCosts;
  /// This router may not act: it holds no configuration, or none that control
  /// confirmed lately.
  bool mLacksLease = false;
  int mRouterCount = 1;  ///< That there are, as far as this one knows.
  /// From 0 to 1, new for each question: those that started together do not
  /// ask together for ever.
  double mJitter = 1;
};

/// From one question to the next. All but the nearest are asked four times as
/// seldom as it, and up to eight times while it answers, the dearer bytes
/// between zones are, but each 1.2 s at least.
Millis NextPollDelay(const PolledControl& aControl);

/// How long the answer to a question is waited for.
Millis PollTimeout(const PolledControl& aControl);

/// What a control knows of a router that asks it.
struct PollingRouter {
  bool mIsNearest = false;  ///< It tells its loads here.
  bool mNearestAnswers =
      false;  ///< Another control, which it tells them, answers.
};

/// Whether a router is told the changes of upstreams by a control that knows so
/// many: with few by each of the three that it asks, so that a cut between
/// controls hides nothing; with more than 400 by the nearest alone as long as
/// that answers. 3,000 engines that start are 0.25 MB of changes for each
/// router and control, most of it between zones.
bool SendsUpstreamChanges(const PollingRouter& aAsker, std::size_t aUpstreams);

/// Whether a router is told which controls there are: by the nearest, and by
/// the others where that does not answer. Six controls are 660 bytes, two
/// thirds of an answer without news.
bool SendsControlList(const PollingRouter& aAsker);

}  // namespace spindleweir
