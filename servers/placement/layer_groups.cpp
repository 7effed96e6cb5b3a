#include "servers/placement/layer_groups.h"

#include <algorithm>
#include <cmath>

namespace spindleweir {

namespace {

/// Engines that hold the same layers.
constexpr int kSharing = 2;

/// The cards of one kind. Each is alone with its layers or
/// shares them.
struct KindOfCards {
  Cards mCards;
  int mLayersAlone = 0;
  int mLayersShared = 0;
};

/// For each kind, how many cards are alone.
struct Split {
  std::vector<int> mAlone;
  int mLayers = 0;
  int mSingles = 0;
  bool mWhole = false;  ///< All layers are held.
};

/// Cards that hold the same layers.
struct Group {
  Cards mCards;
  int mLayers = 0;  ///< That fit.
};

std::vector<KindOfCards> ByKind(const EngineProfile& aProfile,
                                const Cards& aCards, double aTokens) {
  std::vector<KindOfCards> kinds;
  for (const Card& card : aCards) {
    const auto it = std::find_if(
        kinds.begin(), kinds.end(), [&card](const KindOfCards& aKind) {
          return aKind.mCards.front().mKind == card.mKind;
        });
    if (it != kinds.end()) {
      it->mCards.push_back(card);
      continue;
    }
    const EngineModel model(aProfile, *card.mKind);
    kinds.push_back(
        {.mCards = {card},
         .mLayersAlone = model.MaxLayersForTokens(aTokens),
         .mLayersShared = model.MaxLayersForTokens(aTokens / kSharing)});
  }
  return kinds;
}

/// Tries each number of cards alone, kind by kind; keeps the split with the
/// fewest, and of these the one with the most layers.
class SplitSearch {
 public:
  SplitSearch(const std::vector<KindOfCards>& aKinds, int aLayers)
      : mKinds(aKinds), mLayers(aLayers) {}

  Split Find() {
    Split split;
    Try(split);
    return mBest;
  }

 private:
  void Try(Split& aSplit) {
    const std::size_t n = aSplit.mAlone.size();
    if (n == mKinds.size()) {
      Judge(aSplit);
      return;
    }
    const KindOfCards& kind = mKinds[n];
    const int count = static_cast<int>(kind.mCards.size());
    for (int alone = 0; alone <= count; alone++) {
      const int rest = count - alone;
      if (rest == 1) {
        continue;
      }
      const int layers =
          alone * kind.mLayersAlone + rest / kSharing * kind.mLayersShared;
      aSplit.mAlone.push_back(alone);
      aSplit.mLayers += layers;
      aSplit.mSingles += alone;
      Try(aSplit);
      aSplit.mAlone.pop_back();
      aSplit.mLayers -= layers;
      aSplit.mSingles -= alone;
    }
  }

  void Judge(const Split& aSplit) {
    if (aSplit.mLayers < mLayers) {
      return;
    }
    const bool fewer = aSplit.mSingles < mBest.mSingles;
    const bool roomier =
        aSplit.mSingles == mBest.mSingles && aSplit.mLayers > mBest.mLayers;
    if (!mBest.mWhole || fewer || roomier) {
      mBest = aSplit;
      mBest.mWhole = true;
    }
  }

  const std::vector<KindOfCards>& mKinds;
  int mLayers;
  Split mBest;
};

std::vector<Group> MakeGroups(const std::vector<KindOfCards>& aKinds,
                              const Split& aSplit) {
  std::vector<Group> groups;
  for (std::size_t i = 0; i < aKinds.size(); i++) {
    const KindOfCards& kind = aKinds[i];
    const auto alone = static_cast<std::size_t>(aSplit.mAlone[i]);
    for (std::size_t n = 0; n < alone; n++) {
      groups.push_back({{kind.mCards[n]}, kind.mLayersAlone});
    }
    for (std::size_t n = alone; n < kind.mCards.size(); n += kSharing) {
      if (n + 1 == kind.mCards.size()) {
        // The odd one joins the last pair.
        groups.back().mCards.push_back(kind.mCards[n]);
        continue;
      }
      groups.push_back(
          {{kind.mCards[n], kind.mCards[n + 1]}, kind.mLayersShared});
    }
  }
  // A stream whose first engine is lost begins anew at all others: the first
  // layers go to engines that share them.
  std::stable_sort(groups.begin(), groups.end(),
                   [](const Group& aLeft, const Group& aRight) {
                     return aLeft.mCards.size() > aRight.mCards.size();
                   });
  return groups;
}

/// Deals the layers in proportion to what fits.
std::vector<LayerOrder> Deal(const std::vector<Group>& aGroups, int aLayers) {
  double total = 0;
  for (const Group& group : aGroups) {
    total += group.mLayers;
  }
  std::vector<LayerOrder> orders;
  double sum = 0;
  int from = 0;
  for (const Group& group : aGroups) {
    sum += group.mLayers;
    const int to = static_cast<int>(std::lround(aLayers * sum / total));
    for (const Card& card : group.mCards) {
      orders.push_back({card.mRecord->mInstance, {from, to}});
    }
    from = to;
  }
  std::erase_if(orders, [](const LayerOrder& aOrder) {
    return aOrder.mLayers.Count() <= 0;
  });
  return orders;
}

}  // namespace

std::vector<LayerOrder> PlanGroups(const EngineProfile& aProfile,
                                   const Cards& aCards, double aTokens) {
  const std::vector<KindOfCards> kinds = ByKind(aProfile, aCards, aTokens);
  const Split split = SplitSearch(kinds, aProfile.mLayers).Find();
  return split.mWhole ? Deal(MakeGroups(kinds, split), aProfile.mLayers)
                      : std::vector<LayerOrder>();
}

}  // namespace spindleweir
