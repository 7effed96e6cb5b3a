/// The loads that routers put on upstreams, and their transfer format.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "spindleweir/servers/membership/upstream_check.h"

namespace spindleweir {

/// The load that one router, or several together, put on one upstream.
struct LoadShare {
  std::string mInstance;
  std::int64_t mRequests = 0;
  /// Memory reserved for these requests, in tokens times layers.
  std::int64_t mTokenLayers = 0;
  /// Requests of which it runs the first stage.
  std::int64_t mFirstStageRequests = 0;
  /// Prefill work that it has not done yet, in tokens times layers.
  std::int64_t mPrefillTokenLayers = 0;
  /// Routers that cannot connect to it.
  std::int64_t mUnreachableReporters = 0;
  /// Routers to which the engine reported that it is slow, and the sum of the
  /// slowdown factors that it reported, in percent.
  std::int64_t mSlowdownReporters = 0;
  std::int64_t mSlowdownPercent = 0;
  /// Routers to which the engine reported since then that it runs at normal
  /// speed again.
  std::int64_t mRecoveryReporters = 0;
  /// Routers to which the upstream advertised a rate limit, and the sum of
  /// these limits, in thousandths of a request per second.
  std::int64_t mLimitReporters = 0;
  std::int64_t mLimitThousandths = 0;
  /// Routers that recently saw its limit end.
  std::int64_t mLimitEndReporters = 0;
  /// Requests that would be sent to it if it had no limit, in thousandths of a
  /// request per second.
  std::int64_t mDemandThousandths = 0;

  void Add(const LoadShare& aOther, int aSign);
  bool Empty() const;
  bool operator==(const LoadShare&) const = default;
};

/// Load shares by instance.
using LoadShares = std::map<std::string, LoadShare>;

/// Load shares in transfer format: one column per field, so that field names
/// are not repeated in each row. A column that holds only zeros is omitted.
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
  /// Throws kBadField if the columns differ in length.
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

/// Returns the table without its invalid rows: those with an invalid instance
/// name or a negative number, and those beyond the end of a shorter column.
/// Each of them is passed to aOnBad.
LoadTable UsableRows(const LoadTable& aTable, const InvalidRowHook& aOnBad);

/// Serializes load shares for transfer between processes; "" stands for no
/// shares.
std::string PackLoads(const LoadShares& aShares);
/// Parses the result of PackLoads(). Throws kDataCorrupt, kBadJson or kBadField
/// if the text is malformed. With a hook, invalid rows are passed to the hook
/// and left out instead.
LoadShares UnpackLoads(std::string_view aPacked,
                       const InvalidRowHook& aOnBad = {});

}  // namespace spindleweir
