/// When routers and controls poll a control again, and how long they wait for
/// the answer.
#pragma once

#include <cstddef>

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/routing/relative_costs.h"

namespace spindleweir {

/// What a router knows of a control that it polls.
struct PolledControl {
  Millis mInterval = 0;  ///< Poll interval that it asks for; 0: not known yet.
  /// Polls that timed out since the last answer.
  int mFailures = 0;
  /// The last connection was refused at once: no process listens there yet.
  bool mWasRefused = false;
  bool mIsNearest = false;  ///< The control that receives the load reports.
  /// This router holds no configuration yet.
  bool mLacksConfiguration = false;
  /// The nearest control answered within the last three of its poll intervals.
  bool mNearestAnswers = false;
  RelativeCosts mCosts;
  /// This router may not serve requests: it holds no configuration, or control
  /// has not confirmed the one it holds recently.
  bool mLacksLease = false;
  int mRouterCount = 1;  ///< Routers, as far as this one knows.
  /// Random factor from 0 to 1, drawn for each poll, so that routers that
  /// started together do not stay in step.
  double mJitter = 1;
};

/// The delay before the next poll. Controls other than the nearest are polled
/// at four times the interval. While the nearest answers, this factor grows
/// with the price of bytes between zones, up to eight, but does not lengthen
/// the interval beyond 1.2 s.
Millis NextPollDelay(const PolledControl& aControl);

/// How long to wait for the answer to a poll.
Millis PollTimeout(const PolledControl& aControl);

/// The interval that a control asks for, at which a router polls its nearest
/// control. It grows with the routers that poll the control, so that its load
/// does not. aPollers: including those that it is not the nearest of.
Millis RouterPollInterval(std::size_t aPollers);

/// How long the loads in a poll or its answer count without newer ones, if the
/// nearest control is polled at aInterval.
Millis LoadsRetention(Millis aInterval);

/// How long a router counts as polling a control without another poll.
/// aInterval: at which it polls its nearest control.
Millis PollerRetention(Millis aInterval);

/// How long the nearest control counts as in contact without another answer.
Millis NearestContactWindow(Millis aInterval);

/// Interval at which a control polls each of aControls controls. It grows with
/// their number once there are many, so that the polls per second of each
/// control do not.
Millis ControlPollInterval(std::size_t aControls);

/// Time without an answer after which one of aControls controls counts as out
/// of contact with another.
Millis ControlContactTimeout(std::size_t aControls);

/// What a control knows of a router that polls it.
struct PollingRouter {
  bool mIsNearest = false;       ///< The router reports its loads here.
  bool mNearestAnswers = false;  ///< The router's nearest control answers it.
};

/// Whether a control that knows aUpstreams upstreams sends their changes to a
/// router. With up to 400, each of the three polled controls sends them, so
/// that a cut between controls hides nothing. With more, only the nearest does
/// as long as it answers: 3,000 engines that start are 0.25 MB of changes for
/// each router and control, most of it between zones.
bool SendsUpstreamChanges(const PollingRouter& aRouter, std::size_t aUpstreams);

/// Whether a router depends on this control for what one control alone sends:
/// the nearest does, and the others do if the nearest does not answer.
bool DependsOnControl(const PollingRouter& aRouter);

}  // namespace spindleweir
