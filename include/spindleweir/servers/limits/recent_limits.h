/// Limits that upstreams advertised a short time ago, as a control remembers
/// them when no router reports them any more, and stores them for its next
/// start.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/routing/load_share.h"

namespace spindleweir {

struct RecentLimitsOptions {
  /// For how long a limit is remembered after the last report of it: until
  /// routers that have started since were answered by the upstream.
  Millis mRetention = 5000;
  /// A limit isn't remembered for this long after a router saw it end: some
  /// routers report it for a while after that.
  Millis mEndRetention = 10000;
};

/// Routers that start learn of limits from the reports of others. If all of
/// them end within a short time, only a control still knows of a limit; if all
/// controls end as well, only their disks. The class only decides; the time is
/// passed to each call.
class RecentLimits {
 public:
  /// Limits by instance, in thousandths of a request per second.
  using Thousandths = std::map<std::string, std::int64_t>;

  explicit RecentLimits(RecentLimitsOptions aOptions) : mOptions(aOptions) {}

  /// Remembers the limits in the reports of all routers, and adds those that
  /// none of them reports now.
  void Apply(LoadShares& aReports, Millis aNow);
  /// Limits that were in force when they were last reported.
  std::size_t Count() const;
  /// These limits, to be stored.
  Thousandths InForce() const;
  /// Remembers limits that an earlier process stored, as if they had been
  /// reported now: how long ago they were is not known.
  void Restore(const Thousandths& aStored, Millis aNow);

 private:
  struct Limit {
    std::int64_t mThousandths = 0;  ///< Of a request per second.
    Millis mReportedAt = 0;
    bool mHasEnded = false;
  };

  bool IsForgotten(const Limit& aLimit, Millis aNow) const;
  void Remember(const LoadShare& aReport, Millis aNow);

  RecentLimitsOptions mOptions;
  std::map<std::string, Limit> mLimits;  ///< By instance.
};

}  // namespace spindleweir
