#include "spindleweir/servers/routing/load_book.h"

#include "servers/routing/load_check.h"

#include <algorithm>

#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/packing.h"

namespace spindleweir {

namespace {

using Column = std::vector<std::int64_t>;

/// A column in which all is 0 need not travel.
void DropZeros(Column& aColumn) {
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

void AddAll(LoadShares& aSum, const LoadShares& aShares) {
  for (const auto& [instance, share] : aShares) {
    LoadShare& sum = aSum[instance];
    sum.mInstance = instance;
    sum.Add(share, 1);
  }
}

/// The router that a process is of.
std::string RouterOf(const std::string& aProcess) {
  return aProcess.substr(0, aProcess.find('/'));
}

}  // namespace

void LoadShare::Add(const LoadShare& aOther, int aSign) {
  mRequests += aSign * aOther.mRequests;
  mTokenLayers += aSign * aOther.mTokenLayers;
  mFirsts += aSign * aOther.mFirsts;
  mReadTokenLayers += aSign * aOther.mReadTokenLayers;
  mUnreachable += aSign * aOther.mUnreachable;
  mPaceTellers += aSign * aOther.mPaceTellers;
  mPacePercent += aSign * aOther.mPacePercent;
  mWellTellers += aSign * aOther.mWellTellers;
  mLimitTellers += aSign * aOther.mLimitTellers;
  mLimitThousandths += aSign * aOther.mLimitThousandths;
  mLimitEnds += aSign * aOther.mLimitEnds;
  mWantedThousandths += aSign * aOther.mWantedThousandths;
}

bool LoadShare::Empty() const {
  return mRequests == 0 && mTokenLayers == 0 && mFirsts == 0 &&
         mReadTokenLayers == 0 && mUnreachable == 0 && mPaceTellers == 0 &&
         mWellTellers == 0 && mLimitTellers == 0 && mLimitEnds == 0 &&
         mWantedThousandths == 0;
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
    table.mFirsts.push_back(share.mFirsts);
    table.mReadTokenLayers.push_back(share.mReadTokenLayers);
    table.mUnreachable.push_back(share.mUnreachable);
    table.mPaceTellers.push_back(share.mPaceTellers);
    table.mPacePercent.push_back(share.mPacePercent);
    table.mWellTellers.push_back(share.mWellTellers);
    table.mLimitTellers.push_back(share.mLimitTellers);
    table.mLimitThousandths.push_back(share.mLimitThousandths);
    table.mLimitEnds.push_back(share.mLimitEnds);
    table.mWantedThousandths.push_back(share.mWantedThousandths);
  }
  for (Column* column :
       {&table.mRequests, &table.mTokenLayers, &table.mFirsts,
        &table.mReadTokenLayers, &table.mUnreachable, &table.mPaceTellers,
        &table.mPacePercent, &table.mWellTellers, &table.mLimitTellers,
        &table.mLimitThousandths, &table.mLimitEnds,
        &table.mWantedThousandths}) {
    DropZeros(*column);
  }
  return table;
}

LoadShares LoadTable::Shares() const {
  const std::size_t n = mInstances.size();
  for (const Column* column :
       {&mRequests, &mTokenLayers, &mFirsts, &mReadTokenLayers, &mUnreachable,
        &mPaceTellers, &mPacePercent, &mWellTellers, &mLimitTellers,
        &mLimitThousandths, &mLimitEnds, &mWantedThousandths}) {
    if (!column->empty() && column->size() != n) {
      throw Error(ResultCode::kBadField, "columns of loads differ in length");
    }
  }
  LoadShares shares;
  for (std::size_t i = 0; i < n; i++) {
    shares[mInstances[i]] = {.mInstance = mInstances[i],
                             .mRequests = At(mRequests, i),
                             .mTokenLayers = At(mTokenLayers, i),
                             .mFirsts = At(mFirsts, i),
                             .mReadTokenLayers = At(mReadTokenLayers, i),
                             .mUnreachable = At(mUnreachable, i),
                             .mPaceTellers = At(mPaceTellers, i),
                             .mPacePercent = At(mPacePercent, i),
                             .mWellTellers = At(mWellTellers, i),
                             .mLimitTellers = At(mLimitTellers, i),
                             .mLimitThousandths = At(mLimitThousandths, i),
                             .mLimitEnds = At(mLimitEnds, i),
                             .mWantedThousandths = At(mWantedThousandths, i)};
  }
  return shares;
}

std::string PackLoads(const LoadShares& aShares) {
  const LoadTable table = LoadTable::Of(aShares);
  return table.mInstances.empty() ? "" : Pack(DumpJson(ToJson(table)));
}

LoadShares UnpackLoads(std::string_view aPacked, const BadRowHook& aOnBad) {
  if (aPacked.empty()) {
    return {};
  }
  const std::string text = Unpack(aPacked, kMostUnpacked);
  if (aOnBad) {
    return ReadLoadTable(ParseJson(text), aOnBad).Shares();
  }
  return FromJson<LoadTable>(ParseJson(text)).Shares();
}

void LoadBook::Tell(const std::string& aProcess, std::int64_t aNumber,
                    LoadShares aShares, Millis aNow) {
  Teller& teller = mRouters[RouterOf(aProcess)];
  teller.mProcess = aProcess;
  teller.mNumber = aNumber;
  teller.mShares = std::move(aShares);
  teller.mToldAt = aNow;
}

void LoadBook::TellOfControl(const std::string& aControl, LoadShares aShares,
                             int aRouters, Millis aNow) {
  Teller& teller = mControls[aControl];
  teller.mShares = std::move(aShares);
  teller.mToldAt = aNow;
  mCounts[aControl] = {.mRouters = aRouters, .mToldAt = aNow};
}

void LoadBook::HearOfControl(const std::string& aControl, int aRouters,
                             Millis aNow) {
  mControls[aControl].mToldAt = aNow;
  mCounts[aControl] = {.mRouters = aRouters, .mToldAt = aNow};
}

bool LoadBook::IsOld(Millis aMadeAt, std::size_t aRows, int aRowsEachMilli,
                     Millis aNow) const {
  const Millis byRows = static_cast<Millis>(aRows) / aRowsEachMilli;
  return aMadeAt < 0 || aNow - aMadeAt >= std::max(mOptions.mSumEvery, byRows);
}

void LoadBook::Forget(Millis aNow) {
  std::erase_if(mCounts, [&](const auto& aItem) {
    return aNow - aItem.second.mToldAt > mOptions.mRoutersKept;
  });
  for (auto* tellers : {&mRouters, &mControls}) {
    const std::size_t gone = std::erase_if(*tellers, [&](const auto& aItem) {
      return aNow - aItem.second.mToldAt > mOptions.mKept;
    });
    if (gone > 0) {
      mSummedAt = -1;
      mPackedOwn.mMadeAt = -1;
    }
  }
}

void LoadBook::SumUp(Millis aNow) {
  Forget(aNow);
  if (!IsOld(mSummedAt, mSum.size(), mOptions.mRowsEachMilli, aNow)) {
    return;
  }
  mSummedAt = aNow;
  mSum.clear();
  for (auto* tellers : {&mRouters, &mControls}) {
    for (auto& [name, teller] : *tellers) {
      AddAll(mSum, teller.mShares);
      teller.mSummed = teller.mNumber;
    }
  }
}

const PackedLoads& LoadBook::PackedSum(const std::string& aZone,
                                       const ZoneHook& aZoneOf, Millis aNow) {
  SumUp(aNow);
  const bool whole = mSum.size() <= mOptions.mWholeRows;
  PackedLoads& packed = mPackedSums[whole ? "" : aZone];
  if (packed.mMadeAt == mSummedAt) {
    return packed;
  }
  packed.mMadeAt = mSummedAt;
  packed.mNumber = ++mPackedNumber;
  if (whole) {
    packed.mText = PackLoads(mSum);
    return packed;
  }
  LoadShares ofZone;
  for (const auto& [instance, share] : mSum) {
    if (aZoneOf(instance) == aZone) {
      ofZone[instance] = share;
    }
  }
  packed.mText = PackLoads(ofZone);
  return packed;
}

std::int64_t LoadBook::SummedOf(const std::string& aProcess) const {
  const auto it = mRouters.find(RouterOf(aProcess));
  const bool told = it != mRouters.end() && it->second.mProcess == aProcess;
  return told ? it->second.mSummed : 0;
}

const PackedLoads& LoadBook::PackedOwn(Millis aNow) {
  Forget(aNow);
  if (IsOld(mPackedOwn.mMadeAt, mOwnRows, mOptions.mOwnRowsEachMilli, aNow)) {
    LoadShares own;
    for (const auto& [process, teller] : mRouters) {
      AddAll(own, teller.mShares);
    }
    mOwnRows = own.size();
    mPackedOwn = {PackLoads(own), mPackedOwn.mNumber + 1, aNow};
  }
  return mPackedOwn;
}

int LoadBook::OwnRouters(Millis aNow) {
  Forget(aNow);
  return static_cast<int>(mRouters.size());
}

int LoadBook::AllRouters(Millis aNow) {
  int n = OwnRouters(aNow);
  for (const auto& [control, count] : mCounts) {
    n += count.mRouters;
  }
  return n;
}

std::set<std::string> LoadBook::Unreachable(std::int64_t aWitnesses,
                                            Millis aNow) {
  SumUp(aNow);
  std::set<std::string> lost;
  for (const auto& [instance, sum] : mSum) {
    if (sum.mUnreachable >= aWitnesses) {
      lost.insert(instance);
    }
  }
  return lost;
}

}  // namespace spindleweir
