#include "spindleweir/servers/routing/layer_path.h"

#include <algorithm>
#include <limits>

namespace spindleweir {

namespace {

constexpr double kNone = std::numeric_limits<double>::infinity();
/// Cost of a transition between engines in different zones beside its time, in
/// milliseconds: the prompt and each token use bandwidth that all requests
/// share.
constexpr double kZoneCrossingCost = 500;
/// Cost of a first stage in another zone than the router's, in milliseconds:
/// only the request's text and its events pass between the zones, but that zone
/// also has its own requests.
constexpr double kRemoteZoneCost = 120;
/// Step cost factor for the wait of a token until the running pass has ended.
constexpr double kPassWaitFactor = 2;
/// Share of an engine's requests that run in the same pass; the others are at
/// other engines of their paths at that time.
constexpr double kSharedPassShare = 0.15;
/// Cost of using the last free memory of an engine, in milliseconds per share
/// of its memory that a request takes.
constexpr double kMemoryScarcityCost = 4000;
/// Share of a first engine's slots that may be used: the rest is for requests
/// that other routers began since their last load reports.
constexpr double kFirstStageFill = 0.95;

/// Tokens times layers that may be reserved at an engine.
double RoomOf(const PathQuery& aQuery, const UpstreamRecord& aEngine,
              const AcceleratorKind& aKind) {
  return EngineModel(*aQuery.mProfile, aKind)
             .RequestCapacity(aEngine.mLayers.Count()) *
         aQuery.mMaxFill;
}

/// Number of requests that may begin at an engine.
double FirstStageSlots(const UpstreamRecord& aEngine) {
  return aEngine.mSlots <= 0 ? kNone : aEngine.mSlots * kFirstStageFill;
}

/// A usable engine with the inputs of its stage cost.
struct Candidate {
  const UpstreamRecord* mRecord;
  std::size_t mZone;  ///< Index of its zone.
  EngineModel mModel;
  EngineLoad mLoad;
  double mRoom;        ///< Reservable tokens times layers.
  double mCostJitter;  ///< Random factor near 1.
};

/// A node of the search: a boundary between layers, reached by an engine in a
/// zone. The cheapest path to a boundary may have to cross into another zone
/// after it, so that the best path is stored for each zone.
struct Node {
  std::size_t mBoundary = 0;
  std::size_t mZone = 0;
};

/// The cheapest path found to a node, as a link to the previous node.
struct BestPath {
  double mCost = kNone;
  Node mFrom;
  int mCandidateIndex = -1;
};

using BestPaths = std::vector<std::vector<BestPath>>;

class PathSearch {
 public:
  explicit PathSearch(const PathQuery& aQuery) : mQuery(aQuery) {
    const EngineProfile& profile = *aQuery.mProfile;
    const LayerRange wanted = aQuery.mLayers.Count() > 0
                                  ? aQuery.mLayers
                                  : LayerRange{0, profile.mLayers};
    mBoundaries = {wanted.mFrom, wanted.mTo};
    for (const UpstreamRecord* record : aQuery.mEngines) {
      const AcceleratorKind* kind = profile.FindKind(record->mKind);
      const bool usable = kind != nullptr && record->mLayers.Count() > 0 &&
                          !aQuery.mExcludedEngines.contains(record->mInstance);
      if (!usable) {
        continue;
      }
      const EngineModel model(profile, *kind);
      const EngineLoad load = aQuery.mLoadOf(record->mInstance);
      const double room = RoomOf(aQuery, *record, *kind);
      mCandidates.push_back(
          {record, ZoneIndex(record->mZone), model, load, room, Jitter()});
      mBoundaries.push_back(record->mLayers.mFrom);
      mBoundaries.push_back(record->mLayers.mTo);
    }
    std::erase_if(mBoundaries, [&wanted](int aBoundary) {
      return aBoundary < wanted.mFrom || aBoundary > wanted.mTo;
    });
    std::sort(mBoundaries.begin(), mBoundaries.end());
    mBoundaries.erase(std::unique(mBoundaries.begin(), mBoundaries.end()),
                      mBoundaries.end());
  }

  LayerPath Find(bool aWithinCapacity, double& aCost) {
    mWithinCapacity = aWithinCapacity;
    const std::size_t zones = std::max<std::size_t>(1, mZones.size());
    BestPaths reached(mBoundaries.size(), std::vector<BestPath>(zones));
    reached[0][0].mCost = 0;
    for (std::size_t from = 0; from + 1 < mBoundaries.size(); from++) {
      for (std::size_t zone = 0; zone < zones; zone++) {
        if (reached[from][zone].mCost < kNone) {
          Extend(reached, {from, zone});
        }
      }
    }
    const std::vector<BestPath>& ends = reached.back();
    const auto best =
        std::min_element(ends.begin(), ends.end(),
                         [](const BestPath& aLeft, const BestPath& aRight) {
                           return aLeft.mCost < aRight.mCost;
                         });
    aCost = best->mCost;
    const auto zone = static_cast<std::size_t>(best - ends.begin());
    return aCost < kNone ? Trace(reached, {mBoundaries.size() - 1, zone})
                         : LayerPath();
  }

  /// Zone crossings of the path that Find() returned last.
  int Crossings() const { return mZoneCrossings; }

 private:
  std::size_t ZoneIndex(const std::string& aZone) {
    const auto it = std::find(mZones.begin(), mZones.end(), aZone);
    if (it != mZones.end()) {
      return static_cast<std::size_t>(it - mZones.begin());
    }
    mZones.push_back(aZone);
    return mZones.size() - 1;
  }

  double Jitter() const {
    return mQuery.mRandom ? 1 + mQuery.mCostJitter * mQuery.mRandom() : 1;
  }

  void Extend(BestPaths& aReached, const Node& aFrom) {
    const BestPath here = aReached[aFrom.mBoundary][aFrom.mZone];
    const int first = mBoundaries[aFrom.mBoundary];
    for (std::size_t i = 0; i < mCandidates.size(); i++) {
      const Candidate& candidate = mCandidates[i];
      const LayerRange& layers = candidate.mRecord->mLayers;
      if (layers.mFrom > first || layers.mTo <= first ||
          PassesEngine(aReached, aFrom, static_cast<int>(i))) {
        continue;
      }
      const bool isFirst = here.mCandidateIndex < 0 && !mQuery.mStartsAtEngine;
      if (isFirst && !CanBeFirstStage(candidate)) {
        continue;
      }
      const double hop = HopCost(here, candidate);
      for (std::size_t to = aFrom.mBoundary + 1;
           to < mBoundaries.size() && mBoundaries[to] <= layers.mTo; to++) {
        const double cost =
            here.mCost + hop + StageCost(candidate, mBoundaries[to] - first);
        BestPath& there = aReached[to][candidate.mZone];
        if (cost < there.mCost) {
          there = {cost, aFrom, static_cast<int>(i)};
        }
      }
    }
  }

  /// Whether the best path to a node already uses the engine.
  bool PassesEngine(const BestPaths& aReached, Node aAt, int aCandidate) const {
    while (aAt.mBoundary > 0) {
      const BestPath& step = aReached[aAt.mBoundary][aAt.mZone];
      if (step.mCandidateIndex == aCandidate) {
        return true;
      }
      aAt = step.mFrom;
    }
    return false;
  }

  /// Whether a further request may begin at the engine.
  bool CanBeFirstStage(const Candidate& aCandidate) const {
    if (mQuery.mExcludedFirstStages.contains(aCandidate.mRecord->mInstance)) {
      return false;
    }
    return !mWithinCapacity || aCandidate.mLoad.mFirstStageRequests + 1 <=
                                   FirstStageSlots(*aCandidate.mRecord);
  }

  double HopCost(const BestPath& aHere, const Candidate& aNext) const {
    const bool fromRouter =
        aHere.mCandidateIndex < 0 && !mQuery.mStartsAtEngine;
    const std::string& zone =
        aHere.mCandidateIndex < 0
            ? mQuery.mZone
            : mCandidates[static_cast<std::size_t>(aHere.mCandidateIndex)]
                  .mRecord->mZone;
    const bool crossesZones = zone != aNext.mRecord->mZone;
    if (fromRouter) {
      return crossesZones ? kRemoteZoneCost : 0;
    }
    if (crossesZones && !mQuery.mMayCrossZones) {
      return kNone;
    }
    const double each = HopMillis(*mQuery.mProfile, crossesZones);
    return each * (1 + mQuery.mAnswerTokens) +
           (crossesZones ? kZoneCrossingCost : 0);
  }

  double StageCost(const Candidate& aCandidate, int aLayers) const {
    const double needed = mQuery.mTokens * aLayers;
    const double used = aCandidate.mLoad.mTokenLayers;
    if (mWithinCapacity && used + needed > aCandidate.mRoom) {
      return kNone;
    }
    const double requestsPerPass =
        1 + aCandidate.mLoad.mRequests * kSharedPassShare;
    const StageLoad load{.mDecodingRequests = requestsPerPass,
                         .mContextTokens = requestsPerPass * mQuery.mTokens};
    const double step =
        aCandidate.mModel.StepMillis(aLayers, load) * kPassWaitFactor;
    const double prefill =
        aCandidate.mModel.PrefillMillis(aLayers, mQuery.mPrefillTokens);
    const double room = std::max(1.0, aCandidate.mRoom);
    const double fill = std::min(1.0, (used + needed) / room);
    const double scarcity = needed / room * fill * fill * kMemoryScarcityCost;
    const double queue = aCandidate.mModel.PrefillMillis(1, 1) *
                         aCandidate.mLoad.mPrefillTokenLayers;
    // A slow engine is not excluded: it is still better than none if the others
    // are full, and the scarcity cost of the others is bounded.
    return (step * mQuery.mAnswerTokens + prefill + queue) *
               aCandidate.mLoad.mSlowdown * aCandidate.mCostJitter +
           scarcity;
  }

  LayerPath Trace(const BestPaths& aReached, Node aAt) {
    LayerPath path;
    mZoneCrossings = 0;
    std::string next;
    while (aAt.mBoundary > 0) {
      const BestPath& step = aReached[aAt.mBoundary][aAt.mZone];
      const UpstreamRecord& record =
          *mCandidates[static_cast<std::size_t>(step.mCandidateIndex)].mRecord;
      mZoneCrossings += !next.empty() && next != record.mZone ? 1 : 0;
      next = record.mZone;
      path.push_back(
          {record.mInstance,
           record.mAddress,
           {mBoundaries[step.mFrom.mBoundary], mBoundaries[aAt.mBoundary]}});
      aAt = step.mFrom;
    }
    const bool crossesAtStart = mQuery.mStartsAtEngine && next != mQuery.mZone;
    mZoneCrossings += crossesAtStart ? 1 : 0;
    std::reverse(path.begin(), path.end());
    return path;
  }

  const PathQuery& mQuery;
  std::vector<Candidate> mCandidates;
  std::vector<int> mBoundaries;
  std::vector<std::string> mZones;
  bool mWithinCapacity = true;
  int mZoneCrossings = 0;
};

const UpstreamRecord* FindEngine(const PathQuery& aQuery,
                                 const std::string& aInstance) {
  const auto it = std::find_if(aQuery.mEngines.begin(), aQuery.mEngines.end(),
                               [&aInstance](const UpstreamRecord* aRecord) {
                                 return aRecord->mInstance == aInstance;
                               });
  return it == aQuery.mEngines.end() ? nullptr : *it;
}

}  // namespace

double RequestCapacityLeft(const PathQuery& aQuery, const LayerPath& aPath) {
  double capacity = kNone;
  for (const PathStage& stage : aPath) {
    const UpstreamRecord* engine = FindEngine(aQuery, stage.mInstance);
    const AcceleratorKind* kind =
        engine == nullptr ? nullptr : aQuery.mProfile->FindKind(engine->mKind);
    const bool holdsLayers =
        kind != nullptr &&
        engine->mLayers.Holds(stage.mLayers.mFrom, stage.mLayers.mTo);
    if (!holdsLayers) {
      return 0;
    }
    const EngineLoad load = aQuery.mLoadOf(stage.mInstance);
    const double room = RoomOf(aQuery, *engine, *kind);
    const double needed = aQuery.mTokens * stage.mLayers.Count();
    const double left =
        needed <= 0 ? kNone : (room - load.mTokenLayers) / needed;
    capacity = std::min(capacity, left);
    if (&stage == &aPath.front()) {
      capacity = std::min(capacity,
                          FirstStageSlots(*engine) - load.mFirstStageRequests);
    }
  }
  return std::max(0.0, capacity);
}

PathResult ChoosePath(const PathQuery& aQuery) {
  PathSearch search(aQuery);
  PathResult answer;
  answer.mPath = search.Find(true, answer.mCost);
  answer.mZoneCrossings = search.Crossings();
  if (answer.mPath.empty()) {
    double cost = 0;
    answer.mLacksRoom = !search.Find(false, cost).empty();
  }
  return answer;
}

}  // namespace spindleweir
