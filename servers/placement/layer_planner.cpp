#include "spindleweir/servers/placement/layer_planner.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "spindleweir/servers/engines/engine_model.h"

namespace spindleweir {

namespace {

/// The share of an engine's memory that weights take; the rest holds requests.
/// Rows of few fast engines serve a request so soon that its memory is free
/// again early, which is worth more than the room of longer rows.
constexpr double kWeightShare = 0.72;
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

/// The layers that a card was just dealt; empty: none.
LayerRange RangeOf(const std::vector<LayerOrder>& aOrders, const Card& aCard) {
  for (const LayerOrder& order : aOrders) {
    if (order.mInstance == aCard.mRecord->mInstance) {
      return order.mLayers;
    }
  }
  return {};
}

/// Adds the memory that a card brings to each of its layers.
void NoteHeld(const Card& aCard, const LayerRange& aLayers,
              std::vector<double>& aHeld) {
  const int end = std::min(aLayers.mTo, static_cast<int>(aHeld.size()));
  for (int i = std::max(0, aLayers.mFrom); i < end; i++) {
    aHeld[static_cast<std::size_t>(i)] +=
        aCard.mKind->mMemoryMb / aLayers.Count();
  }
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
  const LayerRange dealt{best, best + n};
  NoteHeld(aCard, dealt, aHeld);
  return {aCard.mRecord->mInstance, dealt};
}

/// Plans one zone.
void PlanZone(const EngineProfile& aProfile, const Cards& aHolding,
              Cards aEmpty, std::vector<LayerOrder>& aOut) {
  std::vector<double> held(static_cast<std::size_t>(aProfile.mLayers), 0.0);
  for (const Card& card : aHolding) {
    NoteHeld(card, card.mRecord->mLayers, held);
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
      DealRow(row, aProfile.mLayers, aOut);
      for (const Card& card : row) {
        NoteHeld(card, RangeOf(aOut, card), held);
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
