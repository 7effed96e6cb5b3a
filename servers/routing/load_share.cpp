#include "spindleweir/servers/routing/load_share.h"

#include <algorithm>

#include "servers/routing/load_check.h"
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

}  // namespace spindleweir
