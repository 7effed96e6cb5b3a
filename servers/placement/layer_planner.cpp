#include "spindleweir/servers/placement/layer_planner.h"

#include <algorithm>
#include <map>

#include "servers/placement/layer_groups.h"
#include "servers/placement/layer_rows.h"
#include "servers/placement/zone_cells.h"
#include "servers/placement/zone_repair.h"
#include "servers/placement/zone_value.h"

namespace spindleweir {

namespace {

/// Parts of the tokens that a zone should have room for, with which groups
/// are tried: less room lets more engines share their layers.
constexpr double kRoomsTried[] = {1.3, 1.15, 1.0, 0.85, 0.7, 0.55, 0.4, 0.25};

/// Engines of a zone that are placed one by one in a plan; the others follow
/// with the next. Each takes up to 3 ms of a core, which a leader lacks for
/// its answers to voters meanwhile.
constexpr std::size_t kPlacedAtOnce = 8;

/// The engines of a zone.
struct Zone {
  Cards mHolding;
  Cards mEmpty;
  bool mChanging = false;  ///< An order to one of them is under way.
};

/// The layers that a card was just dealt; empty: none.
LayerRange RangeOf(const std::vector<LayerOrder>& aOrders, const Card& aCard) {
  for (const LayerOrder& order : aOrders) {
    if (order.mInstance == aCard.mRecord->mInstance) {
      return order.mLayers;
    }
  }
  return {};
}

/// A way to deal layers to a zone that holds none.
struct Deal {
  std::vector<LayerOrder> mOrders;
  ZoneValue mValue;
};

/// Places what a deal has left over, and judges it.
Deal Complete(const EngineProfile& aProfile, const Cards& aCards,
              std::vector<LayerOrder> aOrders) {
  Deal deal{.mOrders = std::move(aOrders), .mValue = {}};
  std::vector<Holder> holders;
  Cards left;
  for (const Card& card : aCards) {
    const LayerRange layers = RangeOf(deal.mOrders, card);
    if (layers.Count() > 0) {
      holders.push_back({card, layers});
    } else {
      left.push_back(card);
    }
  }
  for (const Card& card : left) {
    deal.mOrders.push_back(PlaceEmpty(aProfile, card, holders));
  }
  deal.mValue = ValueOf(aProfile, holders);
  return deal;
}

/// Deals layers to the engines of a cell where none holds any.
std::vector<LayerOrder> PlanEmptyCell(const EngineProfile& aProfile,
                                      const Cards& aCards) {
  Deal best = Complete(aProfile, aCards, PlanRows(aCards, aProfile.mLayers));
  if (aProfile.mCapacityTokens <= 0) {
    return best.mOrders;
  }
  for (double part : kRoomsTried) {
    std::vector<LayerOrder> orders =
        PlanGroups(aProfile, aCards, part * aProfile.mCapacityTokens);
    if (orders.empty()) {
      continue;
    }
    Deal deal = Complete(aProfile, aCards, std::move(orders));
    if (deal.mValue > best.mValue) {
      best = std::move(deal);
    }
  }
  return best.mOrders;
}

std::vector<LayerOrder> PlanZone(const EngineProfile& aProfile, Zone aZone) {
  std::sort(aZone.mEmpty.begin(), aZone.mEmpty.end(),
            [](const Card& aLeft, const Card& aRight) {
              if (aLeft.mKind->mStepFactor != aRight.mKind->mStepFactor) {
                return aLeft.mKind->mStepFactor < aRight.mKind->mStepFactor;
              }
              return aLeft.mRecord->mInstance < aRight.mRecord->mInstance;
            });
  std::vector<LayerOrder> orders;
  const std::vector<Cards> cells = DivideIntoCells(aProfile, aZone.mEmpty);
  if (aZone.mHolding.empty() || cells.size() > 1) {
    // So many at once make whole cells of their own, whatever others hold.
    for (const Cards& cell : cells) {
      for (const LayerOrder& order : PlanEmptyCell(aProfile, cell)) {
        orders.push_back(order);
      }
    }
    return orders;
  }
  std::vector<Holder> holders;
  for (const Card& card : aZone.mHolding) {
    holders.push_back({card, card.mRecord->mLayers});
  }
  for (const Card& card : aZone.mEmpty) {
    if (orders.size() == kPlacedAtOnce) {
      return orders;
    }
    orders.push_back(PlaceEmpty(aProfile, card, holders));
  }
  if (orders.empty()) {
    orders = CloseHoles(aProfile, holders);
  }
  if (orders.empty() && !aZone.mChanging) {
    orders = JoinHoles(aProfile, holders);
  }
  if (orders.empty() && !aZone.mChanging) {
    orders = Rebalance(aProfile, holders);
  }
  return orders;
}

}  // namespace

std::vector<LayerOrder> PlanLayers(
    const EngineProfile& aProfile,
    const std::vector<const UpstreamRecord*>& aEngines) {
  std::map<std::string, Zone> zones;
  for (const UpstreamRecord* record : aEngines) {
    const AcceleratorKind* kind = aProfile.FindKind(record->mKind);
    if (kind == nullptr || record->mState != UpstreamState::kReady) {
      continue;
    }
    const Card card{record, kind, EngineModel(aProfile, *kind).MaxLayers()};
    if (card.mMost <= 0) {
      continue;
    }
    Zone& zone = zones[record->mZone];
    zone.mChanging = zone.mChanging || record->mBusy;
    // Layers that the model does not have are of other weights.
    const bool holds =
        record->mLayers.Count() > 0 && record->mLayers.mTo <= aProfile.mLayers;
    (holds ? zone.mHolding : zone.mEmpty).push_back(card);
  }
  std::vector<LayerOrder> orders;
  for (const auto& [name, zone] : zones) {
    for (const LayerOrder& order : PlanZone(aProfile, zone)) {
      orders.push_back(order);
    }
  }
  return orders;
}

}  // namespace spindleweir
