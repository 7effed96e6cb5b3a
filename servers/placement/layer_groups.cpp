#include "servers/placement/layer_groups.h"

#include <algorithm>
#include <cmath>

namespace spindleweir {

namespace {

/// Number of engines in a group; they hold the same layers.
constexpr int kEnginesPerGroup = 2;

/// The engines of one accelerator kind, and how many layers each can hold if it
/// is unpaired or shares its layers.
struct EnginesOfKind {
  CandidateEngines mEngines;
  int mMaxLayersAlone = 0;
  int mMaxLayersShared = 0;
};

/// For each kind, how many engines are unpaired: no other engine holds their
/// layers.
struct GroupSplit {
  std::vector<int> mUnpairedByKind;
  int mLayers = 0;
  int mUnpaired = 0;
  bool mCoversAllLayers = false;
};

/// Engines that hold the same layers.
struct Group {
  CandidateEngines mEngines;
  int mLayers = 0;  ///< Layers that fit.
};

std::vector<EnginesOfKind> GroupByKind(const EngineProfile& aProfile,
                                       const CandidateEngines& aEngines,
                                       double aTokens) {
  std::vector<EnginesOfKind> kinds;
  for (const CandidateEngine& engine : aEngines) {
    const auto it = std::find_if(
        kinds.begin(), kinds.end(), [&engine](const EnginesOfKind& aKind) {
          return aKind.mEngines.front().mKind == engine.mKind;
        });
    if (it != kinds.end()) {
      it->mEngines.push_back(engine);
      continue;
    }
    const EngineModel model(aProfile, *engine.mKind);
    kinds.push_back({.mEngines = {engine},
                     .mMaxLayersAlone = model.MaxLayersForTokens(aTokens),
                     .mMaxLayersShared =
                         model.MaxLayersForTokens(aTokens / kEnginesPerGroup)});
  }
  return kinds;
}

/// Tries each number of unpaired engines, kind by kind. Returns the split with
/// the fewest unpaired engines, and among these the one with the most layers.
class GroupSplitSearch {
 public:
  GroupSplitSearch(const std::vector<EnginesOfKind>& aKinds, int aLayers)
      : mKinds(aKinds), mLayers(aLayers) {}

  GroupSplit Find() {
    GroupSplit split;
    Try(split);
    return mBest;
  }

 private:
  void Try(GroupSplit& aSplit) {
    const std::size_t n = aSplit.mUnpairedByKind.size();
    if (n == mKinds.size()) {
      Evaluate(aSplit);
      return;
    }
    const EnginesOfKind& kind = mKinds[n];
    const int count = static_cast<int>(kind.mEngines.size());
    for (int unpaired = 0; unpaired <= count; unpaired++) {
      const int paired = count - unpaired;
      if (paired == 1) {
        continue;
      }
      const int layers = unpaired * kind.mMaxLayersAlone +
                         paired / kEnginesPerGroup * kind.mMaxLayersShared;
      aSplit.mUnpairedByKind.push_back(unpaired);
      aSplit.mLayers += layers;
      aSplit.mUnpaired += unpaired;
      Try(aSplit);
      aSplit.mUnpairedByKind.pop_back();
      aSplit.mLayers -= layers;
      aSplit.mUnpaired -= unpaired;
    }
  }

  void Evaluate(const GroupSplit& aSplit) {
    if (aSplit.mLayers < mLayers) {
      return;
    }
    const bool fewer = aSplit.mUnpaired < mBest.mUnpaired;
    const bool moreLayers =
        aSplit.mUnpaired == mBest.mUnpaired && aSplit.mLayers > mBest.mLayers;
    if (!mBest.mCoversAllLayers || fewer || moreLayers) {
      mBest = aSplit;
      mBest.mCoversAllLayers = true;
    }
  }

  const std::vector<EnginesOfKind>& mKinds;
  int mLayers;
  GroupSplit mBest;
};

std::vector<Group> MakeGroups(const std::vector<EnginesOfKind>& aKinds,
                              const GroupSplit& aSplit) {
  std::vector<Group> groups;
  for (std::size_t i = 0; i < aKinds.size(); i++) {
    const EnginesOfKind& kind = aKinds[i];
    const auto unpaired = static_cast<std::size_t>(aSplit.mUnpairedByKind[i]);
    for (std::size_t n = 0; n < unpaired; n++) {
      groups.push_back({{kind.mEngines[n]}, kind.mMaxLayersAlone});
    }
    for (std::size_t n = unpaired; n < kind.mEngines.size();
         n += kEnginesPerGroup) {
      if (n + 1 == kind.mEngines.size()) {
        // The odd engine joins the last pair.
        groups.back().mEngines.push_back(kind.mEngines[n]);
        continue;
      }
      groups.push_back(
          {{kind.mEngines[n], kind.mEngines[n + 1]}, kind.mMaxLayersShared});
    }
  }
  // A stream that loses its first engine restarts at all its other engines, so
  // the first layers go to engines that share them.
  std::stable_sort(groups.begin(), groups.end(),
                   [](const Group& aLeft, const Group& aRight) {
                     return aLeft.mEngines.size() > aRight.mEngines.size();
                   });
  return groups;
}

/// Assigns the layers in proportion to the number that fits into each group.
std::vector<LayerOrder> AssignLayers(const std::vector<Group>& aGroups,
                                     int aLayers) {
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
    for (const CandidateEngine& engine : group.mEngines) {
      orders.push_back({engine.mRecord->mInstance, {from, to}});
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
                                   const CandidateEngines& aEngines,
                                   double aTokens) {
  const std::vector<EnginesOfKind> kinds =
      GroupByKind(aProfile, aEngines, aTokens);
  const GroupSplit split = GroupSplitSearch(kinds, aProfile.mLayers).Find();
  return split.mCoversAllLayers
             ? AssignLayers(MakeGroups(kinds, split), aProfile.mLayers)
             : std::vector<LayerOrder>();
}

}  // namespace spindleweir
