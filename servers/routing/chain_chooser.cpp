#include "spindleweir/servers/routing/chain_chooser.h"

#include <algorithm>
#include <limits>

namespace spindleweir {

namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();
constexpr std::size_t kNone = std::numeric_limits<std::size_t>::max();

bool Contains(std::span<const std::string> aList, const std::string& aName) {
  return aList.empty() ||
         std::find(aList.begin(), aList.end(), aName) != aList.end();
}

/// Returns whether the query admits a candidate; counts the reason if not.
bool Admit(const ChainCandidate& aCandidate, const ChainQuery& aQuery,
           ChainRejections& aRejected) {
  if (aCandidate.mModel != aQuery.mModel ||
      aCandidate.mVersion != aQuery.mVersion ||
      aCandidate.mLast > aQuery.mLayers ||
      aCandidate.mFirst >= aCandidate.mLast) {
    aRejected.mOtherModel++;
    return false;
  }
  if (!aCandidate.mUsable) {
    aRejected.mUnusable++;
    return false;
  }
  if (!Contains(aQuery.mZones, aCandidate.mZone)) {
    aRejected.mZone++;
    return false;
  }
  if (!Contains(aQuery.mHardware, aCandidate.mAccelerator)) {
    aRejected.mHardware++;
    return false;
  }
  if (aQuery.mExcluded != nullptr &&
      aQuery.mExcluded->contains(aCandidate.mEngine)) {
    aRejected.mExcluded++;
    return false;
  }
  return true;
}

/// The cheapest chain found that runs all layers before a boundary and ends in
/// one zone.
struct Node {
  int mLayer = 0;
  std::size_t mZone = 0;
  double mCost = kInfinity;
  std::size_t mEngine = kNone;    ///< The last engine of the chain.
  std::size_t mPrevious = kNone;  ///< Index of the previous node.
};

/// The search: extends nodes by candidates in order of their first layer.
class ChainSearch {
 public:
  ChainSearch(std::span<const ChainCandidate> aCandidates,
              const ChainQuery& aQuery, ChainChoice& aChoice)
      : mCandidates(aCandidates), mQuery(aQuery), mChoice(aChoice) {
    for (std::size_t i = 0; i < aCandidates.size(); i++) {
      if (Admit(aCandidates[i], aQuery, aChoice.mRejected)) {
        mAdmitted.push_back(i);
        mAdmittedZones.push_back(ZoneIndex(aCandidates[i].mZone));
      }
    }
    mChoice.mConsidered = static_cast<int>(mAdmitted.size());
  }

  void Run() {
    ComputeLinks();
    std::vector<std::size_t> sorted(mAdmitted.size());
    for (std::size_t i = 0; i < sorted.size(); i++) {
      sorted[i] = i;
    }
    std::sort(sorted.begin(), sorted.end(),
              [this](std::size_t aLeft, std::size_t aRight) {
                return mCandidates[mAdmitted[aLeft]].mFirst <
                       mCandidates[mAdmitted[aRight]].mFirst;
              });
    mNodesAt.assign(static_cast<std::size_t>(mQuery.mLayers) + 1, {});
    for (std::size_t i : sorted) {
      AppendCandidate(i);
    }
    CollectStages();
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

  /// Calls the hook once per pair of zones, not once per pair of engines.
  void ComputeLinks() {
    for (const std::string& from : mZones) {
      for (const std::string& to : mZones) {
        mLinkMillis.push_back(mQuery.mLinkMillis(from, to));
      }
      mHomeLinkMillis.push_back(mQuery.mLinkMillis(from, mQuery.mHomeZone));
    }
  }

  double CostOf(const ChainCandidate& aCandidate) const {
    const double cost = aCandidate.mWaitMillis + aCandidate.mStepMillis -
                        aCandidate.mSavedMillis;
    return std::max(0.0, cost) * (1 + mQuery.mCostJitter * mQuery.mRandom());
  }

  void AppendCandidate(std::size_t aIndex) {
    const ChainCandidate& candidate = mCandidates[mAdmitted[aIndex]];
    const std::size_t zone = mAdmittedZones[aIndex];
    Node node{.mLayer = candidate.mLast, .mZone = zone};
    if (candidate.mFirst == 0) {
      node.mCost = mHomeLinkMillis[zone];
    }
    for (std::size_t previous :
         mNodesAt[static_cast<std::size_t>(candidate.mFirst)]) {
      const double cost =
          mNodes[previous].mCost +
          mLinkMillis[mNodes[previous].mZone * mZones.size() + zone];
      if (cost < node.mCost) {
        node.mCost = cost;
        node.mPrevious = previous;
      }
    }
    if (node.mCost == kInfinity) {
      return;
    }
    node.mCost += CostOf(candidate);
    node.mEngine = mAdmitted[aIndex];
    AddNode(node);
  }

  /// Stores only the cheaper of two nodes with the same boundary and zone.
  void AddNode(const Node& aNode) {
    std::vector<std::size_t>& list =
        mNodesAt[static_cast<std::size_t>(aNode.mLayer)];
    for (std::size_t index : list) {
      if (mNodes[index].mZone == aNode.mZone) {
        if (aNode.mCost < mNodes[index].mCost) {
          mNodes[index] = aNode;
        }
        return;
      }
    }
    mNodes.push_back(aNode);
    list.push_back(mNodes.size() - 1);
  }

  void CollectStages() {
    std::size_t best = kNone;
    double minCost = kInfinity;
    for (std::size_t index : mNodesAt.back()) {
      const double cost =
          mNodes[index].mCost + mHomeLinkMillis[mNodes[index].mZone];
      if (cost < minCost) {
        minCost = cost;
        best = index;
      }
    }
    if (best == kNone) {
      return;
    }
    mChoice.mCostMillis = minCost;
    for (std::size_t at = best; at != kNone; at = mNodes[at].mPrevious) {
      mChoice.mStages.push_back(mNodes[at].mEngine);
    }
    std::reverse(mChoice.mStages.begin(), mChoice.mStages.end());
  }

  std::span<const ChainCandidate> mCandidates;
  const ChainQuery& mQuery;
  ChainChoice& mChoice;
  /// Indices of the admitted candidates.
  std::vector<std::size_t> mAdmitted;
  /// Zone index of each admitted candidate.
  std::vector<std::size_t> mAdmittedZones;
  std::vector<std::string> mZones;
  /// By index of the first zone, then of the second.
  std::vector<double> mLinkMillis;
  /// By zone index.
  std::vector<double> mHomeLinkMillis;
  std::vector<Node> mNodes;
  /// Node indices by boundary.
  std::vector<std::vector<std::size_t>> mNodesAt;
};

}  // namespace

ChainChoice ChooseChain(std::span<const ChainCandidate> aCandidates,
                        const ChainQuery& aQuery) {
  ChainChoice choice;
  ChainSearch search(aCandidates, aQuery, choice);
  search.Run();
  return choice;
}

}  // namespace spindleweir
