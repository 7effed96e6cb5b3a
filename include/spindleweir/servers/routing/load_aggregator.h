/// Aggregates the load that routers put on upstreams. Routers report it to a
/// control process, which returns the total over all routers to each of them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/limits/recent_limits.h"
#include "spindleweir/servers/routing/load_share.h"
#include "spindleweir/servers/routing/router_census.h"

namespace spindleweir {

/// Serialized load shares, as they are returned to any number of pollers.
struct PackedLoads {
  std::string mText;
  std::int64_t mSequence = 0;  ///< Increases with each rebuild.
  Millis mBuiltAt = -1;
};

/// Returns the zone of an instance; empty if it is unknown.
using ZoneHook = std::function<std::string(const std::string& aInstance)>;

/// Retention and rebuild intervals of a LoadAggregator.
struct LoadAggregatorOptions {
  /// The last report of a router, or of another control, is dropped after this
  /// time without contact.
  Millis mReportRetention = 2500;
  /// The number of another control's routers is stored for longer. In a
  /// network partition between controls, the routers on the other side still
  /// send to the same upstreams and must be counted. A count that is too high
  /// for a while leaves capacity unused; one that is too low lets all routers
  /// together exceed the capacity.
  Millis mRouterCountRetention = 60000;
  /// Minimum time between two rebuilds of the serialized sum. Serializing 195
  /// rows for each of 68 polls per second took 0.027 of a control's core.
  Millis mSumInterval = 100;
  /// Also limits rebuilds to this many rows per millisecond of interval: 3,000
  /// rows take 7 ms to sum and serialize, which at ten times a second is half
  /// of a small processor, and 6 % at one rebuild each 750 ms.
  int mRowsPerMilli = 8;
  /// The same for the local sum that is reported to other controls: each of
  /// them parses it, in 3 ms per 1,000 rows, from each of the others.
  int mLocalRowsPerMilli = 1;
  /// If the sum has more rows, a router gets only the rows of its zone.
  std::size_t mMaxUnfilteredRows = 400;
  RecentLimitsOptions mRecentLimits;
};

/// Sums the load reports that one control process receives from routers and
/// from other controls. Takes the current time with each call.
class LoadAggregator {
 public:
  explicit LoadAggregator(LoadAggregatorOptions aOptions)
      : mOptions(aOptions),
        mCensus(aOptions.mRouterCountRetention),
        mRecentLimits(aOptions.mRecentLimits) {}

  /// The processes report less often the more of them there are.
  void SetReportRetention(Millis aRetention) {
    mOptions.mReportRetention = aRetention;
  }

  /// Stores the complete load of a router. It replaces the previous report of
  /// the router, also that of an earlier process on the same VM: otherwise each
  /// router would count twice after a restart of all routers. aProcess:
  /// "ROUTER/START". aSequence: sequence number of the report, from 1.
  void OnRouterReport(const std::string& aProcess, std::int64_t aSequence,
                      LoadShares aShares, Millis aNow);
  /// Drops the report of a router that reports to another control now, so that
  /// it does not count at both until its report expires.
  void OnRouterMoved(const std::string& aProcess);
  /// Stores the summed load of the routers that report to another control, and
  /// their number.
  void OnControlReport(const std::string& aControl, LoadShares aShares,
                       int aRouters, Millis aNow);

  /// Extends the validity of the last report of another control, which has
  /// answered that its loads are unchanged.
  void OnControlUnchanged(const std::string& aControl, int aRouters,
                          Millis aNow);

  /// Stores which routers report to another control.
  void OnControlRouters(const std::string& aControl, RouterNumbers aRouters) {
    mCensus.OnList(aControl, std::move(aRouters));
  }
  /// The tag of the last such list; 0: none.
  std::int64_t RouterListTagOf(const std::string& aControl) const {
    return mCensus.TagOf(aControl);
  }

  /// The load of all routers, whether reported here or to other controls, for a
  /// router in aZone.
  const PackedLoads& PackedSum(const std::string& aZone,
                               const ZoneHook& aZoneOf, Millis aNow);
  /// The sequence number of the router's report that is included in the sum, so
  /// that the router can subtract its own load; 0 if none is included.
  std::int64_t IncludedSequence(const std::string& aProcess) const;
  /// The load of the routers that report to this control.
  const PackedLoads& PackedLocal(Millis aNow);
  /// Number of routers that report to this control.
  int LocalRouters(Millis aNow);
  /// These routers.
  RouterNumbers LocalRouterNumbers(Millis aNow);
  /// Number of routers that report to any control, including controls that
  /// became silent within the retention time.
  int AllRouters(Millis aNow);
  /// Upstreams that at least aMinReporters routers cannot connect to.
  std::set<std::string> UnreachableUpstreams(std::int64_t aMinReporters,
                                             Millis aNow);

  /// Limits of upstreams that were reported a short time ago.
  const RecentLimits& RememberedLimits() const { return mRecentLimits; }
  /// Remembers limits that an earlier process stored.
  void RestoreLimits(const RecentLimits::Thousandths& aStored, Millis aNow) {
    mRecentLimits.Restore(aStored, aNow);
  }

 private:
  /// The last report of one router or one control.
  struct Report {
    std::string mProcess;  ///< Only for routers.
    LoadShares mShares;
    std::int64_t mSequence = 0;  ///< Of mShares.
    std::int64_t mIncluded = 0;  ///< Sequence that the sum includes.
    Millis mReceivedAt = 0;
  };
  void DropExpired(Millis aNow);
  /// Reports were dropped: what was built from them is out of date.
  void OnRoutersDropped();
  void UpdateSum(Millis aNow);
  /// Whether a sum of aRows rows that was built at aBuiltAt must be rebuilt.
  bool IsStale(Millis aBuiltAt, std::size_t aRows, int aRowsPerMilli,
               Millis aNow) const;

  LoadAggregatorOptions mOptions;
  std::map<std::string, Report> mRouters;   ///< By router.
  std::map<std::string, Report> mControls;  ///< By address.
  RouterCensus mCensus;
  /// The routers of mRouters changed since they were passed to mCensus.
  bool mRoutersChanged = false;
  LoadShares mSum;
  RecentLimits mRecentLimits;
  /// Serialized forms of mSum by zone, "" for all zones; built on demand.
  std::map<std::string, PackedLoads> mPackedSums;
  std::int64_t mPackedSequence = 0;  ///< The newest of mPackedSums.
  PackedLoads mPackedLocal;
  std::size_t mLocalRows = 0;  ///< Rows of mPackedLocal.
  Millis mSummedAt = -1;
};

}  // namespace spindleweir
