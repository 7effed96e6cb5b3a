#include "spindleweir/servers/placement/layer_planner.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "spindleweir/servers/engines/engine_model.h"

namespace spindleweir {

namespace {

/// The share of an engine's memory that weights take where it covers others;
/// the rest holds requests.
constexpr double kWeightShare = 0.62;

/// An engine under planning.
struct Card {
  const UpstreamRecord* mRecord;
  const AcceleratorKind* mKind;
  int mMost;  ///< Layers that fit.
};

using Cards = std::vector<Card>;

double Comfortable(const Card& aCard) {
  return aCard.mMost * kWeightShare;
}

/// Deals aLayers layers to the cards of a row, in proportion to their memory.
void DealRow(const Cards& aRow, int aLayers, std::vector<LayerOrder>& aOut) {
  double total = 0;
  for (const Card& card : aRow) {
    total += card.mMost;
  }
  double sum = 0;
  int from = 0;
  for (const Card& card : aRow) {
    sum += card.mMost;
    const int to = static_cast<int>(std::lround(aLayers * sum / total));
    if (to > from) {
      aOut.push_back({card.mRecord->mInstance, {from, to}});
    }
    from = to;
  }
}

/// Gives one card the layers that are held least.
LayerOrder CoverLeast(const Card& aCard, std::vector<double>& aHeld) {
  const int layers = static_cast<int>(aHeld.size());
  const int n = std::max(
      1, std::min(layers, static_cast<int>(Comfortable(aCard))));
  int best = 0;
  double least = -1;
  for (int from = 0; from + n <= layers; from++) {
    // The thinnest layer counts most, then the sum.
    double thinnest = aHeld[static_cast<std::size_t>(from)];
    double sum = 0;
    for (int i = from; i < from + n; i++) {
      thinnest = std::min(thinnest, aHeld[static_cast<std::size_t>(i)]);
      sum += aHeld[static_cast<std::size_t>(i)];
    }
    const double score = thinnest * layers + sum / n;
    if (least < 0 || score < least) {
      least = score;
      best = from;
    }
  }
  for (int i = best; i < best + n; i++) {
    aHeld[static_cast<std::size_t>(i)] += aCard.mKind->mMemoryMb / n;
  }
  return {aCard.mRecord->mInstance, {best, best + n}};
}

/// Plans one zone.
void PlanZone(const EngineProfile& aProfile, const Cards& aHolding,
              Cards aEmpty, std::vector<LayerOrder>& aOut) {
  std::vector<double> held(static_cast<std::size_t>(aProfile.mLayers), 0.0);
  for (const Card& card : aHolding) {
    const LayerRange& layers = card.mRecord->mLayers;
    for (int i = layers.mFrom; i < layers.mTo && i < aProfile.mLayers; i++) {
      held[static_cast<std::size_t>(i)] +=
          card.mKind->mMemoryMb / layers.Count();
    }
  }
  std::sort(aEmpty.begin(), aEmpty.end(),
            [](const Card& aLeft, const Card& aRight) {
              if (aLeft.mKind->mStepFactor != aRight.mKind->mStepFactor) {
                return aLeft.mKind->mStepFactor < aRight.mKind->mStepFactor;
              }
              return aLeft.mRecord->mInstance < aRight.mRecord->mInstance;
            });
  int most = 0;
  for (const Card& card : aEmpty) {
    most += card.mMost;
  }
  if (aHolding.empty() && most >= aProfile.mLayers) {
    // One row over all engines of the zone: memory for requests is what runs
    // short first, and each further copy of the weights takes of it.
    DealRow(aEmpty, aProfile.mLayers, aOut);
    return;
  }
  for (const Card& card : aEmpty) {
    aOut.push_back(CoverLeast(card, held));
  }
}

}  // namespace

std::vector<LayerOrder> PlanLayers(
    const EngineProfile& aProfile,
    const std::vector<const UpstreamRecord*>& aEngines) {
  std::map<std::string, Cards> holding;
  std::map<std::string, Cards> empty;
  for (const UpstreamRecord* record : aEngines) {
    const AcceleratorKind* kind = aProfile.FindKind(record->mKind);
    if (kind == nullptr || record->mState != UpstreamState::kReady) {
      continue;
    }
    const Card card{record, kind, EngineModel(aProfile, *kind).MostLayers()};
    if (card.mMost <= 0) {
      continue;
    }
    const bool holds = record->mLayers.Count() > 0;
    (holds ? holding : empty)[record->mZone].push_back(card);
  }
  std::vector<LayerOrder> orders;
  for (const auto& [zone, cards] : empty) {
    PlanZone(aProfile, holding[zone], cards, orders);
  }
  return orders;
}

}  // namespace spindleweir
