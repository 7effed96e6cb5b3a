#include "spindleweir/servers/routing/layer_path.h"

#include <algorithm>
#include <limits>

namespace spindleweir {

namespace {

constexpr double kNone = std::numeric_limits<double>::infinity();
/// What a step from one engine to another zone costs beside its time: the
/// prompt and each token pass a pipe that all share.
constexpr double kZoneCrossingCost = 500;
/// What it costs to begin in another zone: only the request's text and its
/// events pass between the zones, but the zone has work of its own.
constexpr double kRemoteZoneCost = 120;
/// A token waits at each engine for the pass that is under way.
constexpr double kPassWaitFactor = 2;
/// Of the requests that an engine has, this part is in one pass with another;
/// the rest is at other engines of their paths.
constexpr double kSharedPassShare = 0.15;
/// What the last free memory of an engine is worth, in milliseconds for each
/// share of its room that a request takes.
constexpr double kMemoryScarcityCost = 4000;
/// The share of a first engine's places that may be promised: what others
/// began since their loads were told needs the rest.
constexpr double kFirstStageFill = 0.95;

/// Tokens x layers that may be promised at an engine.
double RoomOf(const PathQuery& aQuery, const UpstreamRecord& aEngine,
              const AcceleratorKind& aKind) {
  return EngineModel(*aQuery.mProfile, aKind).Room(aEngine.mLayers.Count()) *
         aQuery.mMaxFill;
}

/// Requests that an engine may have as the first of their paths.
double FirstStageSlots(const UpstreamRecord& aEngine) {
  return aEngine.mSlots <= 0 ? kNone : aEngine.mSlots * kFirstStageFill;
}

/// One engine with what a part of it costs.
struct Candidate {
  const UpstreamRecord* mRecord;
  std::size_t mZone;  ///< Index of its zone.
  EngineModel mModel;
  EngineLoad mLoad;
  double mRoom;        ///< Tokens x layers that may be promised in all.
  double mCostJitter;  ///< A factor near 1 that differs with each choice.
};

/// A boundary between layers, come to by an engine of a zone. The cheapest way
/// to a boundary may be one that must go over to another zone after it, so
/// that the best way is kept for each zone.
struct Node {
  std::size_t mBoundary = 0;
  std::size_t mZone = 0;
};

/// The best way found to a place.
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

  /// Of the path found last.
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

  /// Whether the way to a boundary passes an engine already.
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

  /// Whether one request more may have it as its first.
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
    const bool other = zone != aNext.mRecord->mZone;
    if (fromRouter) {
      return other ? kRemoteZoneCost : 0;
    }
    if (other && !mQuery.mMayCrossZones) {
      return kNone;
    }
    const double each = HopMillis(*mQuery.mProfile, other);
    return each * (1 + mQuery.mAnswerTokens) + (other ? kZoneCrossingCost : 0);
  }

  double StageCost(const Candidate& aCandidate, int aLayers) const {
    const double need = mQuery.mTokens * aLayers;
    const double used = aCandidate.mLoad.mTokenLayers;
    if (mWithinCapacity && used + need > aCandidate.mRoom) {
      return kNone;
    }
    const double together = 1 + aCandidate.mLoad.mRequests * kSharedPassShare;
    const StageLoad load{.mWriters = together,
                         .mContextTokens = together * mQuery.mTokens};
    const double step =
        aCandidate.mModel.StepMillis(aLayers, load) * kPassWaitFactor;
    const double read =
        aCandidate.mModel.ReadMillis(aLayers, mQuery.mPrefillTokens);
    const double room = std::max(1.0, aCandidate.mRoom);
    const double fill = std::min(1.0, (used + need) / room);
    const double scarcity = need / room * fill * fill * kMemoryScarcityCost;
    const double queue = aCandidate.mModel.ReadMillis(1, 1) *
                         aCandidate.mLoad.mPrefillTokenLayers;
    // A slow engine isn't left out: where the others are full it is still
    // better than none, and the room of the others is worth only so much.
    return (step * mQuery.mAnswerTokens + read + queue) *
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
    const bool goesOver = mQuery.mStartsAtEngine && next != mQuery.mZone;
    mZoneCrossings += goesOver ? 1 : 0;
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
  double least = kNone;
  for (const PathStage& part : aPath) {
    const UpstreamRecord* engine = FindEngine(aQuery, part.mInstance);
    const AcceleratorKind* kind =
        engine == nullptr ? nullptr : aQuery.mProfile->FindKind(engine->mKind);
    const bool holds =
        kind != nullptr &&
        engine->mLayers.Holds(part.mLayers.mFrom, part.mLayers.mTo);
    if (!holds) {
      return 0;
    }
    const EngineLoad load = aQuery.mLoadOf(part.mInstance);
    const double room = RoomOf(aQuery, *engine, *kind);
    const double need = aQuery.mTokens * part.mLayers.Count();
    const double left = need <= 0 ? kNone : (room - load.mTokenLayers) / need;
    least = std::min(least, left);
    if (&part == &aPath.front()) {
      least =
          std::min(least, FirstStageSlots(*engine) - load.mFirstStageRequests);
    }
  }
  return std::max(0.0, least);
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
