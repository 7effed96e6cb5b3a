#include "spindleweir/servers/routing/load_aggregator.h"

#include "servers/routing/load_check.h"

#include <algorithm>

#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/packing.h"

namespace spindleweir {

namespace {

using Column = std::vector<std::int64_t>;

/// Clears a column that holds only zeros, so that it is omitted in transfer.
void ClearIfZero(Column& aColumn) {
  const bool zeros =
      std::all_of(aColumn.begin(), aColumn.end(),
                  [](std::int64_t aValue) { return aValue == 0; });
  if (zeros) {
    aColumn.clear();
  }
}

std::int64_t At(const Column& aColumn, std::size_t aRow) {
  return aColumn.empty() ? 0 : aColumn[aRow];
}

void AddShares(LoadShares& aSum, const LoadShares& aShares) {
  for (const auto& [instance, share] : aShares) {
    LoadShare& sum = aSum[instance];
    sum.mInstance = instance;
    sum.Add(share, 1);
  }
}

/// Returns the router of a process that is given as "ROUTER/START".
std::string RouterOf(const std::string& aProcess) {
  return aProcess.substr(0, aProcess.find('/'));
}

}  // namespace

void LoadShare::Add(const LoadShare& aOther, int aSign) {
  mRequests += aSign * aOther.mRequests;
  mTokenLayers += aSign * aOther.mTokenLayers;
  mFirstStageRequests += aSign * aOther.mFirstStageRequests;
  mPrefillTokenLayers += aSign * aOther.mPrefillTokenLayers;
  mUnreachableReporters += aSign * aOther.mUnreachableReporters;
  mSlowdownReporters += aSign * aOther.mSlowdownReporters;
  mSlowdownPercent += aSign * aOther.mSlowdownPercent;
  mRecoveryReporters += aSign * aOther.mRecoveryReporters;
  mLimitReporters += aSign * aOther.mLimitReporters;
  mLimitThousandths += aSign * aOther.mLimitThousandths;
  mLimitEndReporters += aSign * aOther.mLimitEndReporters;
  mDemandThousandths += aSign * aOther.mDemandThousandths;
}

bool LoadShare::Empty() const {
  return mRequests == 0 && mTokenLayers == 0 && mFirstStageRequests == 0 &&
         mPrefillTokenLayers == 0 && mUnreachableReporters == 0 &&
         mSlowdownReporters == 0 && mRecoveryReporters == 0 &&
         mLimitReporters == 0 && mLimitEndReporters == 0 &&
         mDemandThousandths == 0;
}

LoadTable LoadTable::Of(const LoadShares& aShares) {
  LoadTable table;
  for (const auto& [instance, share] : aShares) {
    if (share.Empty()) {
      continue;
    }
    table.mInstances.push_back(instance);
    table.mRequests.push_back(share.mRequests);
    table.mTokenLayers.push_back(share.mTokenLayers);
    table.mFirstStageRequests.push_back(share.mFirstStageRequests);
    table.mPrefillTokenLayers.push_back(share.mPrefillTokenLayers);
    table.mUnreachableReporters.push_back(share.mUnreachableReporters);
    table.mSlowdownReporters.push_back(share.mSlowdownReporters);
    table.mSlowdownPercent.push_back(share.mSlowdownPercent);
    table.mRecoveryReporters.push_back(share.mRecoveryReporters);
    table.mLimitReporters.push_back(share.mLimitReporters);
    table.mLimitThousandths.push_back(share.mLimitThousandths);
    table.mLimitEndReporters.push_back(share.mLimitEndReporters);
    table.mDemandThousandths.push_back(share.mDemandThousandths);
  }
  for (Column* column :
       {&table.mRequests, &table.mTokenLayers, &table.mFirstStageRequests,
        &table.mPrefillTokenLayers, &table.mUnreachableReporters,
        &table.mSlowdownReporters, &table.mSlowdownPercent,
        &table.mRecoveryReporters, &table.mLimitReporters,
        &table.mLimitThousandths, &table.mLimitEndReporters,
        &table.mDemandThousandths}) {
    ClearIfZero(*column);
  }
  return table;
}

LoadShares LoadTable::ToShares() const {
  const std::size_t n = mInstances.size();
  for (const Column* column :
       {&mRequests, &mTokenLayers, &mFirstStageRequests, &mPrefillTokenLayers,
        &mUnreachableReporters, &mSlowdownReporters, &mSlowdownPercent,
        &mRecoveryReporters, &mLimitReporters, &mLimitThousandths,
        &mLimitEndReporters, &mDemandThousandths}) {
    if (!column->empty() && column->size() != n) {
      throw Error(ResultCode::kBadField,
                  "columns of the load table differ in length");
    }
  }
  LoadShares shares;
  for (std::size_t i = 0; i < n; i++) {
    shares[mInstances[i]] = {
        .mInstance = mInstances[i],
        .mRequests = At(mRequests, i),
        .mTokenLayers = At(mTokenLayers, i),
        .mFirstStageRequests = At(mFirstStageRequests, i),
        .mPrefillTokenLayers = At(mPrefillTokenLayers, i),
        .mUnreachableReporters = At(mUnreachableReporters, i),
        .mSlowdownReporters = At(mSlowdownReporters, i),
        .mSlowdownPercent = At(mSlowdownPercent, i),
        .mRecoveryReporters = At(mRecoveryReporters, i),
        .mLimitReporters = At(mLimitReporters, i),
        .mLimitThousandths = At(mLimitThousandths, i),
        .mLimitEndReporters = At(mLimitEndReporters, i),
        .mDemandThousandths = At(mDemandThousandths, i)};
  }
  return shares;
}

std::string PackLoads(const LoadShares& aShares) {
  const LoadTable table = LoadTable::Of(aShares);
  return table.mInstances.empty() ? "" : Pack(DumpJson(ToJson(table)));
}

LoadShares UnpackLoads(std::string_view aPacked, const InvalidRowHook& aOnBad) {
  if (aPacked.empty()) {
    return {};
  }
  const std::string text = Unpack(aPacked, kMaxUnpackedBytes);
  if (aOnBad) {
    return ReadLoadTable(ParseJson(text), aOnBad).ToShares();
  }
  return FromJson<LoadTable>(ParseJson(text)).ToShares();
}

void LoadAggregator::OnRouterReport(const std::string& aProcess,
                                    std::int64_t aSequence, LoadShares aShares,
                                    Millis aNow) {
  const auto [it, isNew] = mRouters.try_emplace(RouterOf(aProcess));
  mRoutersChanged = mRoutersChanged || isNew;
  Report& report = it->second;
  report.mProcess = aProcess;
  report.mSequence = aSequence;
  report.mShares = std::move(aShares);
  report.mReceivedAt = aNow;
}

void LoadAggregator::OnRouterMoved(const std::string& aProcess) {
  const auto it = mRouters.find(RouterOf(aProcess));
  if (it != mRouters.end() && it->second.mProcess == aProcess) {
    mRouters.erase(it);
    OnRoutersDropped();
  }
}

void LoadAggregator::OnRoutersDropped() {
  mRoutersChanged = true;
  mSummedAt = -1;
  mPackedLocal.mBuiltAt = -1;
}

void LoadAggregator::OnControlReport(const std::string& aControl,
                                     LoadShares aShares, int aRouters,
                                     Millis aNow) {
  Report& report = mControls[aControl];
  report.mShares = std::move(aShares);
  report.mReceivedAt = aNow;
  mCensus.OnContact(aControl, aRouters, aNow);
}

void LoadAggregator::OnControlUnchanged(const std::string& aControl,
                                        int aRouters, Millis aNow) {
  mControls[aControl].mReceivedAt = aNow;
  mCensus.OnContact(aControl, aRouters, aNow);
}

bool LoadAggregator::IsStale(Millis aBuiltAt, std::size_t aRows,
                             int aRowsPerMilli, Millis aNow) const {
  const Millis byRows = static_cast<Millis>(aRows) / aRowsPerMilli;
  return aBuiltAt < 0 ||
         aNow - aBuiltAt >= std::max(mOptions.mSumInterval, byRows);
}

void LoadAggregator::DropExpired(Millis aNow) {
  for (auto* reports : {&mRouters, &mControls}) {
    const std::size_t gone = std::erase_if(*reports, [&](const auto& aItem) {
      return aNow - aItem.second.mReceivedAt > mOptions.mReportRetention;
    });
    if (gone > 0) {
      OnRoutersDropped();
    }
  }
}

void LoadAggregator::UpdateSum(Millis aNow) {
  DropExpired(aNow);
  if (!IsStale(mSummedAt, mSum.size(), mOptions.mRowsPerMilli, aNow)) {
    return;
  }
  mSummedAt = aNow;
  mSum.clear();
  for (auto* reports : {&mRouters, &mControls}) {
    for (auto& [name, report] : *reports) {
      AddShares(mSum, report.mShares);
      report.mIncluded = report.mSequence;
    }
  }
}

const PackedLoads& LoadAggregator::PackedSum(const std::string& aZone,
                                             const ZoneHook& aZoneOf,
                                             Millis aNow) {
  UpdateSum(aNow);
  const bool unfiltered = mSum.size() <= mOptions.mMaxUnfilteredRows;
  PackedLoads& packed = mPackedSums[unfiltered ? "" : aZone];
  if (packed.mBuiltAt == mSummedAt) {
    return packed;
  }
  packed.mBuiltAt = mSummedAt;
  packed.mSequence = ++mPackedSequence;
  if (unfiltered) {
    packed.mText = PackLoads(mSum);
    return packed;
  }
  LoadShares zoneShares;
  for (const auto& [instance, share] : mSum) {
    if (aZoneOf(instance) == aZone) {
      zoneShares[instance] = share;
    }
  }
  packed.mText = PackLoads(zoneShares);
  return packed;
}

std::int64_t LoadAggregator::IncludedSequence(
    const std::string& aProcess) const {
  const auto it = mRouters.find(RouterOf(aProcess));
  const bool isCurrent =
      it != mRouters.end() && it->second.mProcess == aProcess;
  return isCurrent ? it->second.mIncluded : 0;
}

const PackedLoads& LoadAggregator::PackedLocal(Millis aNow) {
  DropExpired(aNow);
  if (IsStale(mPackedLocal.mBuiltAt, mLocalRows, mOptions.mLocalRowsPerMilli,
              aNow)) {
    LoadShares local;
    for (const auto& [process, report] : mRouters) {
      AddShares(local, report.mShares);
    }
    mLocalRows = local.size();
    mPackedLocal = {PackLoads(local), mPackedLocal.mSequence + 1, aNow};
  }
  return mPackedLocal;
}

int LoadAggregator::LocalRouters(Millis aNow) {
  DropExpired(aNow);
  return static_cast<int>(mRouters.size());
}

RouterNumbers LoadAggregator::LocalRouterNumbers(Millis aNow) {
  DropExpired(aNow);
  RouterNumbers numbers;
  for (const auto& [router, report] : mRouters) {
    numbers.push_back(RouterNumber(router));
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

int LoadAggregator::AllRouters(Millis aNow) {
  DropExpired(aNow);
  if (mRoutersChanged) {
    mCensus.SetLocal(LocalRouterNumbers(aNow));
    mRoutersChanged = false;
  }
  return mCensus.Total(aNow);
}

std::set<std::string> LoadAggregator::UnreachableUpstreams(
    std::int64_t aMinReporters, Millis aNow) {
  UpdateSum(aNow);
  std::set<std::string> unreachable;
  for (const auto& [instance, sum] : mSum) {
    if (sum.mUnreachableReporters >= aMinReporters) {
      unreachable.insert(instance);
    }
  }
  return unreachable;
}

}  // namespace spindleweir
