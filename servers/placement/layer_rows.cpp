#include "servers/placement/layer_rows.h"

#include <cmath>

namespace spindleweir {

namespace {

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
      held += aCards[n].mMost * share;
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

}  // namespace

std::vector<LayerOrder> PlanRows(const Cards& aCards, int aLayers) {
  std::vector<LayerOrder> orders;
  Cards left = aCards;
  for (Cards row = TakeRow(left, aLayers); !row.empty();
       row = TakeRow(left, aLayers)) {
    DealRow(row, aLayers, orders);
  }
  return orders;
}

}  // namespace spindleweir
