#include "spindleweir/servers/routing/chain_chooser.h"

#include <algorithm>
#include <limits>

namespace spindleweir {

namespace {

constexpr double kUnreached = std::numeric_limits<double>::infinity();
constexpr std::size_t kNone = std::numeric_limits<std::size_t>::max();

bool Contains(std::span<const std::string> aList, const std::string& aName) {
  return aList.empty() ||
         std::find(aList.begin(), aList.end(), aName) != aList.end();
}

/// Counts why a candidate is left out; true where it is not.
bool Admit(const ChainCandidate& aCandidate, const ChainQuery& aQuery,
           ChainRefusals& aRefused) {
  if (aCandidate.mModel != aQuery.mModel ||
      aCandidate.mVersion != aQuery.mVersion ||
      aCandidate.mLast > aQuery.mLayers ||
      aCandidate.mFirst >= aCandidate.mLast) {
    aRefused.mOtherModel++;
    return false;
  }
  if (!aCandidate.mUsable) {
    aRefused.mUnusable++;
    return false;
  }
  if (!Contains(aQuery.mZones, aCandidate.mZone)) {
    aRefused.mZone++;
    return false;
  }
  if (!Contains(aQuery.mHardware, aCandidate.mAccelerator)) {
    aRefused.mHardware++;
    return false;
  }
  if (aQuery.mExcluded != nullptr &&
      aQuery.mExcluded->contains(aCandidate.mEngine)) {
    aRefused.mExcluded++;
    return false;
  }
  return true;
}

/// The cheapest way found to have done all layers before a boundary, ending
/// in one zone.
struct Arrival {
  int mLayer = 0;
  std::size_t mZone = 0;
  double mCost = kUnreached;
  std::size_t mEngine = kNone;  ///< The last engine of the way.
  std::size_t mBefore = kNone;  ///< The arrival that it set out from.
};

/// The search: candidates by ascending first layer, arrivals by boundary.
class Search {
 public:
  Search(std::span<const ChainCandidate> aCandidates, const ChainQuery& aQuery,
         ChainChoice& aChoice)
      : mCandidates(aCandidates), mQuery(aQuery), mChoice(aChoice) {
    for (std::size_t i = 0; i < aCandidates.size(); i++) {
      if (Admit(aCandidates[i], aQuery, aChoice.mRefused)) {
        mOrder.push_back(i);
        mZoneOf.push_back(ZoneIndex(aCandidates[i].mZone));
      }
    }
    mChoice.mConsidered = static_cast<int>(mOrder.size());
  }

  void Run() {
    ComputeLinks();
    std::vector<std::size_t> sorted(mOrder.size());
    for (std::size_t i = 0; i < sorted.size(); i++) {
      sorted[i] = i;
    }
    std::sort(sorted.begin(), sorted.end(),
              [this](std::size_t aLeft, std::size_t aRight) {
                return mCandidates[mOrder[aLeft]].mFirst <
                       mCandidates[mOrder[aRight]].mFirst;
              });
    mAt.assign(static_cast<std::size_t>(mQuery.mLayers) + 1, {});
    for (std::size_t i : sorted) {
      Extend(i);
    }
    Finish();
  }

 private:
  std::size_t ZoneIndex(const std::string& aZone) {
    const auto it = std::find(mZones.begin(), mZones.end(), aZone);
    if (it != mZones.end()) {
      return static_cast<std::size_t>(it - mZones.begin());
    }
    mZones.push_back(aZone);
    return mZones.size() - 1;
  }

  /// The hook is asked once a pair of zones, not once a pair of engines.
  void ComputeLinks() {
    for (const std::string& from : mZones) {
      for (const std::string& to : mZones) {
        mLinks.push_back(mQuery.mLinkMillis(from, to));
      }
      mHome.push_back(mQuery.mLinkMillis(from, mQuery.mHomeZone));
    }
  }

  double CostOf(const ChainCandidate& aCandidate) const {
    const double cost = aCandidate.mWaitMillis + aCandidate.mStepMillis -
                        aCandidate.mSavedMillis;
    return std::max(0.0, cost) * (1 + mQuery.mBlur * mQuery.mRandom());
  }

  void Extend(std::size_t aIndex) {
    const ChainCandidate& candidate = mCandidates[mOrder[aIndex]];
    const std::size_t zone = mZoneOf[aIndex];
    Arrival arrival{.mLayer = candidate.mLast, .mZone = zone};
    if (candidate.mFirst == 0) {
      arrival.mCost = mHome[zone];
    }
    for (std::size_t before : mAt[static_cast<std::size_t>(candidate.mFirst)]) {
      const double cost =
          mArrivals[before].mCost +
          mLinks[mArrivals[before].mZone * mZones.size() + zone];
      if (cost < arrival.mCost) {
        arrival.mCost = cost;
        arrival.mBefore = before;
      }
    }
    if (arrival.mCost == kUnreached) {
      return;
    }
    arrival.mCost += CostOf(candidate);
    arrival.mEngine = mOrder[aIndex];
    Keep(arrival);
  }

  /// Of two ways to the same boundary and zone only the cheaper is kept.
  void Keep(const Arrival& aArrival) {
    std::vector<std::size_t>& list =
        mAt[static_cast<std::size_t>(aArrival.mLayer)];
    for (std::size_t index : list) {
      if (mArrivals[index].mZone == aArrival.mZone) {
        if (aArrival.mCost < mArrivals[index].mCost) {
          mArrivals[index] = aArrival;
        }
        return;
      }
    }
    mArrivals.push_back(aArrival);
    list.push_back(mArrivals.size() - 1);
  }

  void Finish() {
    std::size_t best = kNone;
    double least = kUnreached;
    for (std::size_t index : mAt.back()) {
      const double cost =
          mArrivals[index].mCost + mHome[mArrivals[index].mZone];
      if (cost < least) {
        least = cost;
        best = index;
      }
    }
    if (best == kNone) {
      return;
    }
    mChoice.mCostMillis = least;
    for (std::size_t at = best; at != kNone; at = mArrivals[at].mBefore) {
      mChoice.mStages.push_back(mArrivals[at].mEngine);
    }
    std::reverse(mChoice.mStages.begin(), mChoice.mStages.end());
  }

  std::span<const ChainCandidate> mCandidates;
  const ChainQuery& mQuery;
  ChainChoice& mChoice;
  std::vector<std::size_t> mOrder;   ///< Admitted candidates.
  std::vector<std::size_t> mZoneOf;  ///< Zone of each admitted candidate.
  std::vector<std::string> mZones;
  std::vector<double> mLinks;
  std::vector<double> mHome;
  std::vector<Arrival> mArrivals;
  std::vector<std::vector<std::size_t>> mAt;  ///< Arrivals by boundary.
};

}  // namespace

ChainChoice ChooseChain(std::span<const ChainCandidate> aCandidates,
                        const ChainQuery& aQuery) {
  ChainChoice choice;
  Search search(aCandidates, aQuery, choice);
  search.Run();
  return choice;
}

}  // namespace spindleweir
