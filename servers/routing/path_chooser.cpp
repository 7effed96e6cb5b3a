#include "spindleweir/servers/routing/path_chooser.h"

#include <algorithm>
#include <functional>
#include <set>

namespace spindleweir {

namespace {

/// The part of the places left on the cheapest path that may be taken before
/// the others hear of it: the rest is for what the loads do not show.
constexpr double kUnreportedFill = 0.5;
/// Paths are divided anew at most this often: in a release each engine's
/// change would do it.
constexpr Millis kDivideInterval = 300;

/// A path that takes so many times as long as with sound engines is not dealt
/// where others are: its requests are late, or near it.
constexpr double kSlowPathFactor = 1.5;

/// A path with what it has left for this request.
struct Candidate {
  const PathShare* mShare = nullptr;
  double mMaxRequests = 0;  ///< Requests that may still come.
  double mWeight = 0;       ///< Requests a millisecond.
};

/// What a path offers by the loads that are known; nothing where it is full.
Candidate CandidateOf(const PathQuery& aQuery, const PathShare& aShare) {
  const bool avoided =
      aQuery.mExcludedFirstStages.contains(aShare.mPath.front().mInstance) ||
      std::any_of(aShare.mPath.begin(), aShare.mPath.end(),
                  [&aQuery](const PathStage& aPart) {
                    return aQuery.mExcludedEngines.contains(aPart.mInstance);
                  });
  Candidate offer{.mShare = &aShare};
  if (avoided) {
    return offer;
  }
  const double left = RequestCapacityLeft(aQuery, aShare.mPath);
  if (left < 1) {
    return offer;
  }
  offer.mMaxRequests = left;
  // By what the path can carry, not by what it has left at the moment: with
  // news 1.5 s old and 700 requests a second that refused 0.052 of them, since
  // all go where there was room; this refuses 0.001.
  offer.mWeight = aShare.Rate();
  return offer;
}

bool IsSlow(const Candidate& aCandidate) {
  return aCandidate.mShare->mSlowdown >= kSlowPathFactor;
}

/// What slowed paths would carry if they were sound goes to the paths that
/// aReplacements gives, beside the sound ones that are there. Unless there are
/// none: then slow ones are better than nothing.
void ReplaceSlowPaths(
    std::vector<Candidate>& aCandidates,
    const std::function<std::vector<Candidate>()>& aReplacements) {
  double lost = 0;
  for (const Candidate& offer : aCandidates) {
    lost += IsSlow(offer) ? offer.mWeight * offer.mShare->mSlowdown : 0;
  }
  if (lost <= 0) {
    return;
  }
  std::vector<Candidate> others = aReplacements();
  std::erase_if(others, IsSlow);
  double weight = 0;
  for (const Candidate& offer : others) {
    weight += offer.mWeight;
  }
  const bool soundLeft = std::any_of(
      aCandidates.begin(), aCandidates.end(), [](const Candidate& aCandidate) {
        return !IsSlow(aCandidate) && aCandidate.mWeight > 0;
      });
  if (weight <= 0 && !soundLeft) {
    return;
  }
  std::erase_if(aCandidates, IsSlow);
  for (Candidate& offer : others) {
    offer.mWeight *= std::min(1.0, lost / weight);
    aCandidates.push_back(offer);
  }
}

const Candidate* DrawCandidate(const std::vector<Candidate>& aCandidates,
                               double aRandom) {
  double total = 0;
  for (const Candidate& offer : aCandidates) {
    total += offer.mWeight;
  }
  double left = aRandom * total;
  const Candidate* drawn = nullptr;
  for (const Candidate& offer : aCandidates) {
    if (offer.mWeight <= 0) {
      continue;
    }
    drawn = &offer;
    left -= offer.mWeight;
    if (left <= 0) {
      break;
    }
  }
  return drawn;
}

}  // namespace

const std::vector<PathShare>& PathChooser::PathsOfZone(
    const PathQuery& aQuery, const std::string& aZone,
    const ChoiceContext& aContext) {
  ZonePaths& zone = mZones[aZone];
  const bool fresh = aQuery.mSampleShare >= 1 &&
                     (zone.mRevision == aContext.mRevision ||
                      (zone.mRevision >= 0 &&
                       aContext.mNow - zone.mDividedAt < kDivideInterval));
  if (fresh) {
    return zone.mPaths;
  }
  std::vector<const UpstreamRecord*> engines;
  for (const UpstreamRecord* engine : aQuery.mEngines) {
    if (engine->mZone == aZone) {
      engines.push_back(engine);
    }
  }
  zone.mPaths = DividePaths(*aQuery.mProfile, engines,
                            [&aQuery](const std::string& aInstance) {
                              return aQuery.mLoadOf(aInstance).mSlowdown;
                            });
  zone.mRevision = aContext.mRevision;
  zone.mDividedAt = aContext.mNow;
  return zone.mPaths;
}

PathResult PathChooser::DrawByWeight(const PathQuery& aQuery,
                                     const ChoiceContext& aContext) {
  std::vector<Candidate> offers;
  double places = 0;
  const auto add = [&](const std::string& aZone) {
    for (const PathShare& share : PathsOfZone(aQuery, aZone, aContext)) {
      offers.push_back(CandidateOf(aQuery, share));
      places += offers.back().mMaxRequests;
    }
  };
  std::set<std::string> zones;
  for (const UpstreamRecord* engine : aQuery.mEngines) {
    zones.insert(engine->mZone);
  }
  add(aQuery.mZone);
  if (places * static_cast<double>(zones.size()) <
      aContext.mUnreportedRequests) {
    // Its own zone may not carry what comes before the next news.
    zones.erase(aQuery.mZone);
    for (const std::string& zone : zones) {
      add(zone);
    }
    zones.clear();
  }
  ReplaceSlowPaths(offers, [&] {
    std::vector<Candidate> others;
    zones.erase(aQuery.mZone);
    for (const std::string& zone : zones) {
      for (const PathShare& share : PathsOfZone(aQuery, zone, aContext)) {
        others.push_back(CandidateOf(aQuery, share));
      }
    }
    return others;
  });
  const Candidate* drawn = DrawCandidate(offers, aQuery.mRandom());
  return drawn == nullptr ? PathResult()
                          : PathResult{.mPath = drawn->mShare->mPath,
                                       .mDrawnByWeight = true};
}

PathResult PathChooser::Choose(const PathQuery& aQuery,
                               const ChoiceContext& aContext) {
  PathResult cheapest = ChoosePath(aQuery);
  if (cheapest.mPath.empty() || !aQuery.mRandom) {
    return cheapest;
  }
  const double left = RequestCapacityLeft(aQuery, cheapest.mPath);
  // Who else chooses looks at another sample: so much less comes this way.
  const double unseen = aContext.mUnreportedRequests * aQuery.mSampleShare;
  if (aQuery.mRandom() * unseen <= left * kUnreportedFill) {
    return cheapest;
  }
  PathResult dealt = DrawByWeight(aQuery, aContext);
  return dealt.mPath.empty() ? cheapest : dealt;
}

}  // namespace spindleweir
