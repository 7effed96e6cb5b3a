#include "spindleweir/servers/placement/layer_planner.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "spindleweir/servers/engines/engine_model.h"

namespace spindleweir {

namespace {

/// The share of an engine's memory that weights take in a row; the rest holds
/// requests.
constexpr double kWeightShare = 0.62;
/// The most that weights may take where a row would not be whole otherwise.
constexpr double kMostWeightShare = 0.85;

/// An engine under planning.
struct Card {
  const UpstreamRecord* mRecord;
  const AcceleratorKind* mKind;
  int mMost;  ///< Layers that fit.
};

using Cards = std::vector<Card>;

double Comfortable(const Card& aCard, double aShare) {
  return aCard.mMost * aShare;
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

/// Takes the fastest cards that hold all layers with room to spare; empty
/// where the cards cannot.
Cards TakeRow(Cards& aCards, int aLayers) {
  for (double share : {kWeightShare, kMostWeightShare}) {
    double held = 0;
    std::size_t n = 0;
    while (n < aCards.size() && held < aLayers) {
      held += Comfortable(aCards[n], share);
      n++;
    }
    if (held >= aLayers) {
      const auto end = aCards.begin() + static_cast<std::ptrdiff_t>(n);
      Cards row(aCards.begin(), end);
      aCards.erase(aCards.begin(), end);
      return row;
    }
  }
  return {};
}

/// Gives one card the layers that are held least.
LayerOrder CoverLeast(const Card& aCard, std::vector<double>& aHeld) {
  const int layers = static_cast<int>(aHeld.size());
  const int n = std::max(
      1, std::min(layers, static_cast<int>(Comfortable(aCard, kWeightShare))));
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
  if (aHolding.empty()) {
    for (Cards row = TakeRow(aEmpty, aProfile.mLayers); !row.empty();
         row = TakeRow(aEmpty, aProfile.mLayers)) {
      const std::size_t before = aOut.size();
      DealRow(row, aProfile.mLayers, aOut);
      for (std::size_t i = before; i < aOut.size(); i++) {
        for (int k = aOut[i].mLayers.mFrom; k < aOut[i].mLayers.mTo; k++) {
          held[static_cast<std::size_t>(k)] +=
              row[i - before].mKind->mMemoryMb / aOut[i].mLayers.Count();
        }
      }
    }
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
