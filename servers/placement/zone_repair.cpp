#include "servers/placement/zone_repair.h"

#include <algorithm>
#include <cmath>

#include "servers/placement/zone_value.h"

namespace spindleweir {

namespace {

/// What a move must gain, in served share, to be worth a load.
constexpr double kWorthALoad = 0.04;

/// A placement with its worth.
struct Choice {
  LayerRange mLayers;
  ZoneValue mValue;
  double mHeld = 0;  ///< Memory that others bring to each of the layers.

  bool BetterThan(const Choice& aOther) const {
    return mValue != aOther.mValue ? mValue > aOther.mValue
                                   : mHeld < aOther.mHeld;
  }
};

LayerCover CoverOf(const EngineProfile& aProfile,
                   const std::vector<Holder>& aHolders) {
  LayerCover cover(aProfile.mLayers);
  for (const Holder& holder : aHolders) {
    cover.Add(holder.mLayers);
  }
  return cover;
}

/// Memory that the holders bring to each layer.
std::vector<double> MemoryByLayer(const EngineProfile& aProfile,
                                  const std::vector<Holder>& aHolders) {
  std::vector<double> memory(static_cast<std::size_t>(aProfile.mLayers), 0.0);
  for (const Holder& holder : aHolders) {
    const LayerRange& layers = holder.mLayers;
    for (int i = layers.mFrom; i < layers.mTo; i++) {
      memory[static_cast<std::size_t>(i)] +=
          holder.mCard.mKind->mMemoryMb / layers.Count();
    }
  }
  return memory;
}

/// How many layers a card may be given.
struct LayerCounts {
  int mLeast = 1;  ///< Room for a zone's whole demand beside them.
  int mMost = 1;   ///< Room for half of it.
};

LayerCounts CountsFor(const EngineProfile& aProfile, const Card& aCard) {
  const double tokens = aProfile.mCapacityTokens;
  if (tokens <= 0) {
    const int n = std::max(1, aCard.MostIn(kWeightShare));
    return {.mLeast = n, .mMost = n};
  }
  const EngineModel model(aProfile, *aCard.mKind);
  const int least = std::max(1, model.MaxLayersForTokens(tokens));
  return {.mLeast = least,
          .mMost = std::max(least, model.MaxLayersForTokens(tokens / 2))};
}

/// The best layers for a card beside those that hold layers.
Choice BestBeside(const EngineProfile& aProfile, const Card& aCard,
                  const std::vector<Holder>& aOthers) {
  const std::vector<double> memory = MemoryByLayer(aProfile, aOthers);
  const LayerCounts counts = CountsFor(aProfile, aCard);
  std::vector<HolderClass> classes = ClassesOf(aOthers);
  // Where all is served already, also after any loss, one more changes nothing
  // in that; judging 75 places by 200 classes took 3 ms of a core each time.
  const ZoneValue before = ValueOf(aProfile, classes);
  const bool perfect = before.mServed >= 1 && before.mHeld == aProfile.mLayers;
  classes.push_back({aCard.mKind, {}, 1});
  Choice best;
  for (int n = counts.mLeast; n <= counts.mMost; n++) {
    for (int from = 0; from + n <= aProfile.mLayers; from++) {
      classes.back().mLayers = {from, from + n};
      Choice choice{.mLayers = classes.back().mLayers,
                    .mValue = perfect ? before : ValueOf(aProfile, classes)};
      for (int i = from; i < from + n; i++) {
        choice.mHeld += memory[static_cast<std::size_t>(i)] / n;
      }
      if (best.mLayers.Count() == 0 || choice.BetterThan(best)) {
        best = choice;
      }
    }
  }
  return best;
}

/// Whether a holder is the first of its class: those behind it could do no
/// better.
bool IsFirstOfClass(const std::vector<Holder>& aHolders, std::size_t aAt) {
  const Holder& holder = aHolders[aAt];
  const auto end = aHolders.begin() + static_cast<std::ptrdiff_t>(aAt);
  return std::none_of(aHolders.begin(), end, [&holder](const Holder& aOther) {
    return aOther.mCard.mKind == holder.mCard.mKind &&
           aOther.mLayers == holder.mLayers;
  });
}

/// How many layers more a card may take.
int Growth(const Holder* aHolder) {
  if (aHolder == nullptr) {
    return 0;
  }
  const int most = aHolder->mCard.MostIn(kMostWeightShare);
  return std::max(0, most - aHolder->mLayers.Count());
}

/// Closes a hole by cards beside it that take more; each load is short, and
/// what they hold goes on serving.
void GrowInto(const std::vector<Holder>& aHolders, const LayerRange& aHole,
              std::vector<LayerOrder>& aOut) {
  const Holder* left = nullptr;
  const Holder* right = nullptr;
  for (const Holder& holder : aHolders) {
    const bool endsThere = holder.mLayers.mTo == aHole.mFrom;
    const bool beginsThere = holder.mLayers.mFrom == aHole.mTo;
    if (endsThere && Growth(&holder) > Growth(left)) {
      left = &holder;
    }
    if (beginsThere && Growth(&holder) > Growth(right)) {
      right = &holder;
    }
  }
  const int most = Growth(left) + Growth(right);
  if (most == 0) {
    return;
  }
  const int needed = std::min(aHole.Count(), most);
  const int byLeft = std::min(
      Growth(left), static_cast<int>(std::lround(
                        needed * static_cast<double>(Growth(left)) / most)));
  const int byRight = std::min(Growth(right), needed - byLeft);
  if (byLeft > 0) {
    aOut.push_back({left->mCard.mRecord->mInstance,
                    {left->mLayers.mFrom, left->mLayers.mTo + byLeft}});
  }
  if (byRight > 0) {
    aOut.push_back({right->mCard.mRecord->mInstance,
                    {right->mLayers.mFrom - byRight, right->mLayers.mTo}});
  }
}

/// Moves the spare engine to a hole that leaves the zone with most; nullptr:
/// no engine can be spared.
const Holder* MoveSpare(const EngineProfile& aProfile, const LayerRange& aHole,
                        std::vector<Holder>& aHolders) {
  const LayerCover cover = CoverOf(aProfile, aHolders);
  Holder* spare = nullptr;
  Choice best;
  for (std::size_t i = 0; i < aHolders.size(); i++) {
    Holder& holder = aHolders[i];
    const int n =
        std::min(aHole.Count(), holder.mCard.MostIn(kMostWeightShare));
    if (n <= 0 || !cover.Holds(holder.mLayers, 2) ||
        !IsFirstOfClass(aHolders, i)) {
      continue;
    }
    const LayerRange before = holder.mLayers;
    holder.mLayers = {aHole.mFrom, aHole.mFrom + n};
    const Choice choice{.mLayers = holder.mLayers,
                        .mValue = ValueOf(aProfile, aHolders),
                        .mHeld = holder.mCard.mKind->mMemoryMb};
    holder.mLayers = before;
    if (spare == nullptr || choice.BetterThan(best)) {
      spare = &holder;
      best = choice;
    }
  }
  if (spare != nullptr) {
    spare->mLayers = best.mLayers;
  }
  return spare;
}

/// An order as a list; empty where it names no engine.
std::vector<LayerOrder> OneOrNone(const LayerOrder& aOrder) {
  return aOrder.mInstance.empty() ? std::vector<LayerOrder>()
                                  : std::vector<LayerOrder>{aOrder};
}

}  // namespace

LayerOrder PlaceEmpty(const EngineProfile& aProfile, const Card& aCard,
                      std::vector<Holder>& aHolders) {
  const LayerRange layers = BestBeside(aProfile, aCard, aHolders).mLayers;
  aHolders.push_back({aCard, layers});
  return {aCard.mRecord->mInstance, aHolders.back().mLayers};
}

std::vector<LayerOrder> CloseHoles(const EngineProfile& aProfile,
                                   std::vector<Holder> aHolders) {
  std::vector<LayerOrder> orders;
  LayerRange hole = CoverOf(aProfile, aHolders).FirstHole();
  while (hole.Count() > 0) {
    const Holder* spare = MoveSpare(aProfile, hole, aHolders);
    if (spare == nullptr) {
      GrowInto(aHolders, hole, orders);
      break;
    }
    orders.push_back({spare->mCard.mRecord->mInstance, spare->mLayers});
    hole = CoverOf(aProfile, aHolders).FirstHole();
  }
  return orders;
}

std::vector<LayerOrder> JoinHoles(const EngineProfile& aProfile,
                                  std::vector<Holder> aHolders) {
  const LayerCover present = CoverOf(aProfile, aHolders);
  LayerOrder order;
  int fewest = present.Edges();
  int mostHeld = 0;
  for (std::size_t i = 0; i < aHolders.size(); i++) {
    if (!IsFirstOfClass(aHolders, i)) {
      continue;
    }
    Holder& holder = aHolders[i];
    const LayerRange before = holder.mLayers;
    for (const LayerRange& hole : present.Holes()) {
      const int n =
          std::min(hole.Count(), holder.mCard.MostIn(kMostWeightShare));
      holder.mLayers = {hole.mFrom, hole.mFrom + n};
      const int edges = CoverOf(aProfile, aHolders).Edges();
      const int held = ValueOf(aProfile, aHolders).mHeld;
      const bool better =
          edges < fewest ||
          (edges == fewest && !order.mInstance.empty() && held > mostHeld);
      if (n > 0 && better) {
        fewest = edges;
        mostHeld = held;
        order = {holder.mCard.mRecord->mInstance, holder.mLayers};
      }
    }
    holder.mLayers = before;
  }
  return OneOrNone(order);
}

std::vector<LayerOrder> Rebalance(const EngineProfile& aProfile,
                                  const std::vector<Holder>& aHolders) {
  if (aHolders.empty() || aProfile.mCapacityTokens <= 0) {
    return {};
  }
  const ZoneValue present = ValueOf(aProfile, aHolders);
  if (present.mServed > 1 - kWorthALoad) {
    return {};
  }
  const LayerCover cover = CoverOf(aProfile, aHolders);
  LayerOrder order;
  double gained = kWorthALoad;
  for (std::size_t i = 0; i < aHolders.size(); i++) {
    const Holder& holder = aHolders[i];
    if (!cover.Holds(holder.mLayers, 2) || !IsFirstOfClass(aHolders, i)) {
      continue;
    }
    std::vector<Holder> others = aHolders;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
    const Choice choice = BestBeside(aProfile, holder.mCard, others);
    const double gain = choice.mValue.mServed - present.mServed;
    if (choice.mValue.mHeld >= present.mHeld && gain > gained) {
      gained = gain;
      order = {holder.mCard.mRecord->mInstance, choice.mLayers};
    }
  }
  return OneOrNone(order);
}

}  // namespace spindleweir
