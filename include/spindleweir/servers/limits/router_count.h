/// The number of routers that share a limit, from the reports of control
/// processes.
#pragma once

#include <algorithm>

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/limits/recent_maximum.h"

namespace spindleweir {

struct RouterCountOptions {
  /// A smaller number applies once no greater one was reported for this long.
  /// It is as long as the retry window, since a router that has ended may have
  /// spent its share of that window's retries. Control processes that have just
  /// started know only some of the routers, for a shorter time than this.
  Millis mRetention = 10000;
  /// Reports that are further apart show that the process was out of contact,
  /// or stood still. It counts as this long: the first report after it may come
  /// from a control that not all routers have reached again.
  Millis mMaxGap = 1000;
};

/// The number of routers as one router knows it. It goes down as well as up: a
/// maximum that never went down would make the shares of all routers too small
/// for good after some of them have ended. The class only decides; the time is
/// passed to each call.
class RouterCount {
 public:
  explicit RouterCount(RouterCountOptions aOptions)
      : mMaxGap(aOptions.mMaxGap), mReports(aOptions.mRetention) {}

  /// A control process reported how many routers it knows.
  void OnReport(int aRouters, Millis aNow);
  /// The greatest number that was reported within mRetention before the newest
  /// report, not counting longer gaps than mMaxGap; 1 before the first. Without
  /// new reports it does not change.
  int Value() const { return std::max(1, mReports.Value()); }

 private:
  Millis mMaxGap;
  Millis mReportedAt = -1;  ///< -1: never.
  /// Time in contact since the first report.
  Millis mContact = 0;
  RecentMaximum mReports;  ///< By mContact.
};

}  // namespace spindleweir
