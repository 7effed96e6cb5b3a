#include "spindleweir/servers/placement/layer_planner.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

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

/// A card with the layers that it holds, or was dealt.
struct Holder {
  Card mCard;
  LayerRange mLayers;
};

/// How many cards hold each layer.
std::vector<int> CountHolders(const std::vector<Holder>& aHolders,
                              int aLayers) {
  std::vector<int> counts(static_cast<std::size_t>(aLayers), 0);
  for (const Holder& holder : aHolders) {
    const int end = std::min(aLayers, holder.mLayers.mTo);
    for (int i = std::max(0, holder.mLayers.mFrom); i < end; i++) {
      counts[static_cast<std::size_t>(i)]++;
    }
  }
  return counts;
}

/// The first run of layers that nobody holds; empty: there is none.
LayerRange FirstHole(const std::vector<int>& aCounts) {
  const auto begin = std::find(aCounts.begin(), aCounts.end(), 0);
  const auto end =
      std::find_if(begin, aCounts.end(), [](int aCount) { return aCount > 0; });
  return {static_cast<int>(begin - aCounts.begin()),
          static_cast<int>(end - aCounts.begin())};
}

/// The card whose layers all others hold too, that has room for a hole and
/// brings the least elsewhere; nullptr: none.
const Holder* FindSpare(const std::vector<Holder>& aHolders,
                        const std::vector<int>& aCounts, int aNeeded) {
  const Holder* spare = nullptr;
  for (const Holder& holder : aHolders) {
    bool covered = true;
    for (int i = holder.mLayers.mFrom; i < holder.mLayers.mTo; i++) {
      covered = covered && aCounts[static_cast<std::size_t>(i)] > 1;
    }
    const bool fits = Comfortable(holder.mCard, kMostWeightShare) >= aNeeded;
    const bool lesser = spare == nullptr || holder.mCard.mKind->mMemoryMb <
                                                spare->mCard.mKind->mMemoryMb;
    if (covered && fits && lesser) {
      spare = &holder;
    }
  }
  return spare;
}

/// How many layers more a card may take.
int Growth(const Holder* aHolder) {
  if (aHolder == nullptr) {
    return 0;
  }
  const int most =
      static_cast<int>(Comfortable(aHolder->mCard, kMostWeightShare));
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

/// Closes the first hole of a zone that has lost an engine.
void CloseHole(const EngineProfile& aProfile,
               const std::vector<Holder>& aHolders,
               std::vector<LayerOrder>& aOut) {
  const std::vector<int> counts = CountHolders(aHolders, aProfile.mLayers);
  const LayerRange hole = FirstHole(counts);
  if (hole.Count() <= 0) {
    return;
  }
  const Holder* spare = FindSpare(aHolders, counts, hole.Count());
  if (spare != nullptr) {
    aOut.push_back({spare->mCard.mRecord->mInstance, hole});
    return;
  }
  GrowInto(aHolders, hole, aOut);
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
  std::vector<Holder> holders;
  for (const Card& card : aHolding) {
    holders.push_back({card, card.mRecord->mLayers});
  }
  if (!aHolding.empty() && aEmpty.empty()) {
    CloseHole(aProfile, holders, aOut);
  }
}

}  // namespace

std::vector<LayerOrder> PlanLayers(
    const EngineProfile& aProfile,
    const std::vector<const UpstreamRecord*>& aEngines) {
  std::map<std::string, Cards> holding;
  std::map<std::string, Cards> empty;
  std::set<std::string> zones;
  for (const UpstreamRecord* record : aEngines) {
    const AcceleratorKind* kind = aProfile.FindKind(record->mKind);
    if (kind == nullptr || record->mState != UpstreamState::kReady) {
      continue;
    }
    const Card card{record, kind, EngineModel(aProfile, *kind).MostLayers()};
    if (card.mMost <= 0) {
      continue;
    }
    zones.insert(record->mZone);
    const bool holds = record->mLayers.Count() > 0;
    (holds ? holding : empty)[record->mZone].push_back(card);
  }
  std::vector<LayerOrder> orders;
  for (const std::string& zone : zones) {
    PlanZone(aProfile, holding[zone], empty[zone], orders);
  }
  return orders;
}

}  // namespace spindleweir
