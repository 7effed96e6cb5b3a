/// The work that routers have at upstreams, as they tell a control process,
/// and what each of them is told of the work of all others.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/membership/upstream_check.h"

namespace spindleweir {

/// The work that a router, or several together, have at one upstream.
struct LoadShare {
  std::string mInstance;
  std::int64_t mRequests = 0;
  std::int64_t mTokenLayers = 0;  ///< Memory promised to them.
  std::int64_t mFirstStageRequests =
      0;  ///< Requests that have it as the first.
  std::int64_t mPrefillTokenLayers = 0;  ///< Still to be read by it.
  std::int64_t mUnreachableReporters =
      0;  ///< Routers that cannot connect to it.
  /// Routers that it told it is slow, and the sum of what it told them: times
  /// as long as it should take, in percent.
  std::int64_t mSlowdownReporters = 0;
  std::int64_t mSlowdownPercent = 0;
  /// Routers that it told since that it is well again.
  std::int64_t mRecoveryReporters = 0;
  /// Routers that it named a limit to, and the sum of what it named, in
  /// thousandths of a request a second.
  std::int64_t mLimitReporters = 0;
  std::int64_t mLimitThousandths = 0;
  /// Routers that saw its limit end lately.
  std::int64_t mLimitEndReporters = 0;
  /// Requests a second, in thousandths, that could be sent to it if it had no
  /// limit.
  std::int64_t mDemandThousandths = 0;

  void Add(const LoadShare& aOther, int aSign);
  bool Empty() const;
  bool operator==(const LoadShare&) const = default;
};

/// Loads by instance.
using LoadShares = std::map<std::string, LoadShare>;

/// Loads as they travel: one column for each field, so that no name is
/// written once a row. A column in which all is 0 is left out.
struct LoadTable {
  std::vector<std::string> mInstances;
  std::vector<std::int64_t> mRequests;
  std::vector<std::int64_t> mTokenLayers;
  std::vector<std::int64_t> mFirstStageRequests;
  std::vector<std::int64_t> mPrefillTokenLayers;
  std::vector<std::int64_t> mUnreachableReporters;
  std::vector<std::int64_t> mSlowdownReporters;
  std::vector<std::int64_t> mSlowdownPercent;
  std::vector<std::int64_t> mRecoveryReporters;
  std::vector<std::int64_t> mLimitReporters;
  std::vector<std::int64_t> mLimitThousandths;
  std::vector<std::int64_t> mLimitEndReporters;
  std::vector<std::int64_t> mDemandThousandths;

  static LoadTable Of(const LoadShares& aShares);
  /// Throws kBadField where the columns differ in length.
  LoadShares ToShares() const;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Sparse("instances", mInstances);
    aCodec.Sparse("requests", mRequests);
    aCodec.Sparse("token_layers", mTokenLayers);
    aCodec.Sparse("firsts", mFirstStageRequests);
    aCodec.Sparse("read_token_layers", mPrefillTokenLayers);
    aCodec.Sparse("unreachable", mUnreachableReporters);
    aCodec.Sparse("pace_tellers", mSlowdownReporters);
    aCodec.Sparse("pace_percent", mSlowdownPercent);
    aCodec.Sparse("well_tellers", mRecoveryReporters);
    aCodec.Sparse("limit_tellers", mLimitReporters);
    aCodec.Sparse("limit_thousandths", mLimitThousandths);
    aCodec.Sparse("limit_ends", mLimitEndReporters);
    aCodec.Sparse("wanted_thousandths", mDemandThousandths);
  }
};

/// A table without the rows that have a bad name, a negative number, or lack a
/// column that others have.
LoadTable UsableRows(const LoadTable& aTable, const BadRowHook& aOnBad);

/// Loads as one text, for the way between processes; "" stands for none.
std::string PackLoads(const LoadShares& aShares);
/// Throws kDataCorrupt, kBadJson or kBadField where a text is no such loads.
/// With a hook, rows that cannot be used are told to it and left out.
LoadShares UnpackLoads(std::string_view aPacked, const BadRowHook& aOnBad = {});

/// Loads as they are handed out, to any number of askers.
struct PackedLoads {
  std::string mText;
  std::int64_t mSequence = 0;  ///< Greater each time they are made anew.
  Millis mBuiltAt = -1;
};

/// Gives the zone of an instance; empty: not known.
using ZoneHook = std::function<std::string(const std::string& aInstance)>;

/// How a book ages.
struct LoadAggregatorOptions {
  /// A router, or another control, that said nothing for so long counts for
  /// nothing any more.
  Millis mReportRetention = 2500;
  /// The number of another control's routers is kept for longer: where control
  /// is cut in two they go on sending to the same upstreams, and must not be
  /// taken for gone. Too many for a while leave room unused; too few let all
  /// routers together take more than there is.
  Millis mRouterCountRetention = 60000;
  /// The sum of all is made anew, and packed, at most this often: writing 195
  /// rows for each of 68 askers a second took a control 0.027 of a core.
  Millis mSumInterval = 100;
  /// And in as many milliseconds as there are so many rows: 3,000 rows take 7
  /// ms to sum and pack, which ten times a second is half of a small
  /// processor; made each 750 ms they take 6 %.
  int mRowsPerMilli = 8;
  /// The same for what other controls are told: each of them reads it, 3 ms for
  /// 1,000 rows, from each of the others.
  int mLocalRowsPerMilli = 1;
  /// With more rows than this a router is told those of its zone only.
  std::size_t mMaxUnfilteredRows = 400;
};

/// The book of one control process. The time comes with each call.
class LoadAggregator {
 public:
  explicit LoadAggregator(LoadAggregatorOptions aOptions)
      : mOptions(aOptions) {}

  /// A router tells all of its work; this replaces what it told before, and
  /// what the process before it on its VM did: where all routers start again
  /// each would count twice. aProcess: "ROUTER/START". aSequence: of what it
  /// told, from 1.
  void OnRouterReport(const std::string& aProcess, std::int64_t aSequence,
                      LoadShares aShares, Millis aNow);
  /// Another control tells the work of the routers that tell it, and how many
  /// they are.
  void OnControlReport(const std::string& aControl, LoadShares aShares,
                       int aRouters, Millis aNow);

  /// Another control was heard; what it told last still holds.
  void OnControlUnchanged(const std::string& aControl, int aRouters,
                          Millis aNow);

  /// The work of all routers, told here or to other controls, for a router of
  /// aZone.
  const PackedLoads& PackedSum(const std::string& aZone,
                               const ZoneHook& aZoneOf, Millis aNow);
  /// The number of what a router told that stands in the sum, so that it can
  /// take its own work out of it; 0: nothing of it does.
  std::int64_t IncludedSequence(const std::string& aProcess) const;
  /// The work of the routers that tell this control.
  const PackedLoads& PackedLocal(Millis aNow);
  /// Routers that tell this control.
  int LocalRouters(Millis aNow);
  /// Routers that tell any control, also one that fell silent lately.
  int AllRouters(Millis aNow);
  /// Upstreams that at least so many routers cannot connect to.
  std::set<std::string> UnreachableUpstreams(std::int64_t aWitnesses,
                                             Millis aNow);

 private:
  /// What one router, or one control, told.
  struct Report {
    std::string mProcess;  ///< Of a router.
    LoadShares mShares;
    std::int64_t mSequence = 0;  ///< Of mShares.
    std::int64_t mIncluded = 0;  ///< Of what stands in the sum.
    Millis mReceivedAt = 0;
  };
  /// How many routers tell another control.
  struct ControlRouters {
    int mRouters = 0;
    Millis mReceivedAt = 0;
  };

  void DropExpired(Millis aNow);
  void UpdateSum(Millis aNow);
  /// Whether what was made at aMadeAt, of so many rows, is to be made anew.
  bool IsStale(Millis aMadeAt, std::size_t aRows, int aRowsPerMilli,
               Millis aNow) const;

  LoadAggregatorOptions mOptions;
  std::map<std::string, Report> mRouters;               ///< By router.
  std::map<std::string, Report> mControls;              ///< By address.
  std::map<std::string, ControlRouters> mRouterCounts;  ///< The same.
  LoadShares mSum;
  /// Of mSum, by zone, "" being all; made when they are asked for.
  std::map<std::string, PackedLoads> mPackedSums;
  std::int64_t mPackedSequence = 0;  ///< Of the newest of these.
  PackedLoads mPackedLocal;
  std::size_t mLocalRows = 0;  ///< Of mPackedLocal.
  Millis mSummedAt = -1;
};

}  // namespace spindleweir
