#include "spindleweir/servers/routing/load_aggregator.h"

#include <algorithm>

namespace spindleweir {

namespace {

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
  mRecentLimits.Apply(mSum, aNow);
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
