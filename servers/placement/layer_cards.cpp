#include "servers/placement/layer_cards.h"

#include <algorithm>

namespace spindleweir {

void LayerCover::Change(const LayerRange& aLayers, int aBy) {
  const int end = std::min(aLayers.mTo, static_cast<int>(mCounts.size()));
  for (int i = std::max(0, aLayers.mFrom); i < end; i++) {
    mCounts[static_cast<std::size_t>(i)] += aBy;
  }
}

bool LayerCover::Holds(const LayerRange& aLayers, int aTimes) const {
  for (int i = aLayers.mFrom; i < aLayers.mTo; i++) {
    if (mCounts[static_cast<std::size_t>(i)] < aTimes) {
      return false;
    }
  }
  return true;
}

LayerRange LayerCover::FirstHole() const {
  const auto begin = std::find(mCounts.begin(), mCounts.end(), 0);
  const auto end =
      std::find_if(begin, mCounts.end(), [](int aCount) { return aCount > 0; });
  return {static_cast<int>(begin - mCounts.begin()),
          static_cast<int>(end - mCounts.begin())};
}

}  // namespace spindleweir
