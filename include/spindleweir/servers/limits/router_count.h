/// How many routers share a limit, from what controls tell.
#pragma once

#include <deque>

#include "spindleweir/core/clock.h"

namespace spindleweir {

struct RouterCountOptions {
  /// A smaller number holds once no greater one was told for so long. As long
  /// as the window of retries: who ended may have spent its share of that.
  /// Controls that have just started know a part only, for a shorter time.
  Millis mRetention = 10000;
};

/// The count of one router. It comes down as well as up: after a start routers
/// tell two controls within moments and count twice, and a greatest number that
/// is never taken back makes each router's share too small for good, on all
/// routers alike. Decisions only: the time comes with each call.
class RouterCount {
 public:
  explicit RouterCount(RouterCountOptions aOptions) : mOptions(aOptions) {}

  /// A control told how many there are, by what it knows.
  void OnReport(int aRouters, Millis aNow);
  /// The greatest number that was told within mRetention before the newest; 1
  /// before any. While no control tells, it stays.
  int Value() const { return mReports.empty() ? 1 : mReports.front().mRouters; }

 private:
  struct Report {
    int mRouters = 1;
    Millis mAt = 0;
  };

  RouterCountOptions mOptions;
  /// In order of time, each smaller than the one before.
  std::deque<Report> mReports;
};

}  // namespace spindleweir
