#include "spindleweir/servers/routing/layer_path.h"

#include <algorithm>
#include <limits>

namespace spindleweir {

namespace {

constexpr double kNone = std::numeric_limits<double>::infinity();
/// What a step from one engine to another zone costs beside its time: the
/// prompt and each token pass a pipe that all share.
constexpr double kPipeCost = 500;
/// What it costs to begin in another zone: only the request's text and its
/// events pass between the zones, but the zone has work of its own.
constexpr double kOtherZoneCost = 120;
/// A token waits at each engine for the pass that is under way.
constexpr double kWaitForPass = 2;
/// Of the requests that an engine has, this part is in one pass with another;
/// the rest is at other engines of their paths.
constexpr double kTogether = 0.15;
/// What the last free memory of an engine is worth, in milliseconds for each
/// share of its room that a request takes.
constexpr double kRoomPrice = 4000;
/// The share of a first engine's places that may be promised: what others
/// began since their loads were told needs the rest.
constexpr double kPlacesFill = 0.95;

/// Tokens x layers that may be promised at an engine.
double RoomOf(const PathQuestion& aQuestion, const UpstreamRecord& aEngine,
              const AcceleratorKind& aKind) {
  return EngineModel(*aQuestion.mProfile, aKind).Room(aEngine.mLayers.Count()) *
         aQuestion.mFill;
}

/// Requests that an engine may have as the first of their paths.
double PlacesOf(const UpstreamRecord& aEngine) {
  return aEngine.mSlots <= 0 ? kNone : aEngine.mSlots * kPlacesFill;
}

/// One engine with what a part of it costs.
struct Candidate {
  const UpstreamRecord* mRecord;
  std::size_t mZone;  ///< Index of its zone.
  EngineModel mModel;
  EngineLoad mLoad;
  double mRoom;    ///< Tokens x layers that may be promised in all.
  double mSpread;  ///< A factor near 1 that differs with each choice.
};

/// A boundary between layers, come to by an engine of a zone. The cheapest way
/// to a boundary may be one that must go over to another zone after it, so
/// that the best way is kept for each zone.
struct Place {
  std::size_t mBoundary = 0;
  std::size_t mZone = 0;
};

/// The best way found to a place.
struct Reached {
  double mCost = kNone;
  Place mFrom;
  int mCandidate = -1;
};

using ReachedPlaces = std::vector<std::vector<Reached>>;

class PathSearch {
 public:
  explicit PathSearch(const PathQuestion& aQuestion) : mQuestion(aQuestion) {
    const EngineProfile& profile = *aQuestion.mProfile;
    const LayerRange wanted = aQuestion.mLayers.Count() > 0
                                  ? aQuestion.mLayers
                                  : LayerRange{0, profile.mLayers};
    mBoundaries = {wanted.mFrom, wanted.mTo};
    for (const UpstreamRecord* record : aQuestion.mEngines) {
      const AcceleratorKind* kind = profile.FindKind(record->mKind);
      const bool usable = kind != nullptr && record->mLayers.Count() > 0 &&
                          !aQuestion.mAvoid.contains(record->mInstance);
      if (!usable) {
        continue;
      }
      const EngineModel model(profile, *kind);
      const EngineLoad load = aQuestion.mLoadOf(record->mInstance);
      const double room = RoomOf(aQuestion, *record, *kind);
      mCandidates.push_back(
          {record, ZoneIndex(record->mZone), model, load, room, Spread()});
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

  LayerPath Find(bool aWithinRoom, double& aCost) {
    mWithinRoom = aWithinRoom;
    const std::size_t zones = std::max<std::size_t>(1, mZones.size());
    ReachedPlaces reached(mBoundaries.size(), std::vector<Reached>(zones));
    reached[0][0].mCost = 0;
    for (std::size_t from = 0; from + 1 < mBoundaries.size(); from++) {
      for (std::size_t zone = 0; zone < zones; zone++) {
        if (reached[from][zone].mCost < kNone) {
          Extend(reached, {from, zone});
        }
      }
    }
    const std::vector<Reached>& ends = reached.back();
    const auto best =
        std::min_element(ends.begin(), ends.end(),
                         [](const Reached& aLeft, const Reached& aRight) {
                           return aLeft.mCost < aRight.mCost;
                         });
    aCost = best->mCost;
    const auto zone = static_cast<std::size_t>(best - ends.begin());
    return aCost < kNone ? Trace(reached, {mBoundaries.size() - 1, zone})
                         : LayerPath();
  }

  /// Of the path found last.
  int Crossings() const { return mCrossings; }

 private:
  std::size_t ZoneIndex(const std::string& aZone) {
    const auto it = std::find(mZones.begin(), mZones.end(), aZone);
    if (it != mZones.end()) {
      return static_cast<std::size_t>(it - mZones.begin());
    }
    mZones.push_back(aZone);
    return mZones.size() - 1;
  }

  double Spread() const {
    return mQuestion.mRandom ? 1 + mQuestion.mSpread * mQuestion.mRandom() : 1;
  }

  void Extend(ReachedPlaces& aReached, const Place& aFrom) {
    const Reached here = aReached[aFrom.mBoundary][aFrom.mZone];
    const int first = mBoundaries[aFrom.mBoundary];
    for (std::size_t i = 0; i < mCandidates.size(); i++) {
      const Candidate& candidate = mCandidates[i];
      const LayerRange& layers = candidate.mRecord->mLayers;
      if (layers.mFrom > first || layers.mTo <= first ||
          Uses(aReached, aFrom, static_cast<int>(i))) {
        continue;
      }
      const bool isFirst = here.mCandidate < 0 && !mQuestion.mFromEngine;
      if (isFirst && !MayBegin(candidate)) {
        continue;
      }
      const double hop = HopCost(here, candidate);
      for (std::size_t to = aFrom.mBoundary + 1;
           to < mBoundaries.size() && mBoundaries[to] <= layers.mTo; to++) {
        const double cost =
            here.mCost + hop + PartCost(candidate, mBoundaries[to] - first);
        Reached& there = aReached[to][candidate.mZone];
        if (cost < there.mCost) {
          there = {cost, aFrom, static_cast<int>(i)};
        }
      }
    }
  }

  /// Whether the way to a boundary passes an engine already.
  bool Uses(const ReachedPlaces& aReached, Place aAt, int aCandidate) const {
    while (aAt.mBoundary > 0) {
      const Reached& step = aReached[aAt.mBoundary][aAt.mZone];
      if (step.mCandidate == aCandidate) {
        return true;
      }
      aAt = step.mFrom;
    }
    return false;
  }

  /// Whether one request more may have it as its first.
  bool MayBegin(const Candidate& aCandidate) const {
    if (mQuestion.mNotFirst.contains(aCandidate.mRecord->mInstance)) {
      return false;
    }
    return !mWithinRoom ||
           aCandidate.mLoad.mFirsts + 1 <= PlacesOf(*aCandidate.mRecord);
  }

  double HopCost(const Reached& aHere, const Candidate& aNext) const {
    const bool fromRouter = aHere.mCandidate < 0 && !mQuestion.mFromEngine;
    const std::string& zone =
        aHere.mCandidate < 0
            ? mQuestion.mZone
            : mCandidates[static_cast<std::size_t>(aHere.mCandidate)]
                  .mRecord->mZone;
    const bool other = zone != aNext.mRecord->mZone;
    if (fromRouter) {
      return other ? kOtherZoneCost : 0;
    }
    if (other && !mQuestion.mMayCross) {
      return kNone;
    }
    const double each = HopMillis(*mQuestion.mProfile, other);
    return each * (1 + mQuestion.mAnswerTokens) + (other ? kPipeCost : 0);
  }

  double PartCost(const Candidate& aCandidate, int aLayers) const {
    const double need = mQuestion.mTokens * aLayers;
    const double used = aCandidate.mLoad.mTokenLayers;
    if (mWithinRoom && used + need > aCandidate.mRoom) {
      return kNone;
    }
    const double together = 1 + aCandidate.mLoad.mRequests * kTogether;
    const StageLoad load{.mWriters = together,
                         .mContextTokens = together * mQuestion.mTokens};
    const double step =
        aCandidate.mModel.StepMillis(aLayers, load) * kWaitForPass;
    const double read =
        aCandidate.mModel.ReadMillis(aLayers, mQuestion.mReadTokens);
    const double room = std::max(1.0, aCandidate.mRoom);
    const double fill = std::min(1.0, (used + need) / room);
    const double scarcity = need / room * fill * fill * kRoomPrice;
    const double queue =
        aCandidate.mModel.ReadMillis(1, 1) * aCandidate.mLoad.mReadTokenLayers;
    // A slow engine isn't left out: where the others are full it is still
    // better than none, and the room of the others is worth only so much.
    return (step * mQuestion.mAnswerTokens + read + queue) *
               aCandidate.mLoad.mPace * aCandidate.mSpread +
           scarcity;
  }

  LayerPath Trace(const ReachedPlaces& aReached, Place aAt) {
    LayerPath path;
    mCrossings = 0;
    std::string next;
    while (aAt.mBoundary > 0) {
      const Reached& step = aReached[aAt.mBoundary][aAt.mZone];
      const UpstreamRecord& record =
          *mCandidates[static_cast<std::size_t>(step.mCandidate)].mRecord;
      mCrossings += !next.empty() && next != record.mZone ? 1 : 0;
      next = record.mZone;
      path.push_back(
          {record.mInstance,
           record.mAddress,
           {mBoundaries[step.mFrom.mBoundary], mBoundaries[aAt.mBoundary]}});
      aAt = step.mFrom;
    }
    const bool goesOver = mQuestion.mFromEngine && next != mQuestion.mZone;
    mCrossings += goesOver ? 1 : 0;
    std::reverse(path.begin(), path.end());
    return path;
  }

  const PathQuestion& mQuestion;
  std::vector<Candidate> mCandidates;
  std::vector<int> mBoundaries;
  std::vector<std::string> mZones;
  bool mWithinRoom = true;
  int mCrossings = 0;
};

const UpstreamRecord* FindEngine(const PathQuestion& aQuestion,
                                 const std::string& aInstance) {
  const auto it =
      std::find_if(aQuestion.mEngines.begin(), aQuestion.mEngines.end(),
                   [&aInstance](const UpstreamRecord* aRecord) {
                     return aRecord->mInstance == aInstance;
                   });
  return it == aQuestion.mEngines.end() ? nullptr : *it;
}

}  // namespace

double PlacesLeft(const PathQuestion& aQuestion, const LayerPath& aPath) {
  double least = kNone;
  for (const PathPart& part : aPath) {
    const UpstreamRecord* engine = FindEngine(aQuestion, part.mInstance);
    const AcceleratorKind* kind =
        engine == nullptr ? nullptr
                          : aQuestion.mProfile->FindKind(engine->mKind);
    const bool holds =
        kind != nullptr &&
        engine->mLayers.Holds(part.mLayers.mFrom, part.mLayers.mTo);
    if (!holds) {
      return 0;
    }
    const EngineLoad load = aQuestion.mLoadOf(part.mInstance);
    const double room = RoomOf(aQuestion, *engine, *kind);
    const double need = aQuestion.mTokens * part.mLayers.Count();
    const double left = need <= 0 ? kNone : (room - load.mTokenLayers) / need;
    least = std::min(least, left);
    if (&part == &aPath.front()) {
      least = std::min(least, PlacesOf(*engine) - load.mFirsts);
    }
  }
  return std::max(0.0, least);
}

PathAnswer ChoosePath(const PathQuestion& aQuestion) {
  PathSearch search(aQuestion);
  PathAnswer answer;
  answer.mPath = search.Find(true, answer.mCost);
  answer.mCrossings = search.Crossings();
  if (answer.mPath.empty()) {
    double cost = 0;
    answer.mLacksRoom = !search.Find(false, cost).empty();
  }
  return answer;
}

}  // namespace spindleweir
