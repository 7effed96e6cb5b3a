#include "spindleweir/servers/routing/path_chooser.h"

#include <algorithm>
#include <functional>
#include <set>

namespace spindleweir {

namespace {

/// Share of the remaining capacity of the cheapest path that unreported
/// requests may use: the rest is for load that the reports do not show.
constexpr double kUnreportedFill = 0.5;
/// Minimum time between two divisions of a zone into paths: during a rollout
/// each engine's change would cause one.
constexpr Millis kDivideInterval = 300;

/// A path with at least this slowdown factor is not drawn if there are others:
/// its requests are late or nearly so.
constexpr double kSlowPathFactor = 1.5;

/// A path with its remaining capacity for requests like this one.
struct Candidate {
  const PathShare* mShare = nullptr;
  double mMaxRequests = 0;  ///< Requests that still fit on it.
  double mWeight = 0;       ///< Requests per millisecond.
};

/// Returns the capacity and weight of a path at the known loads; both 0 if it
/// is full or excluded.
Candidate CandidateOf(const PathQuery& aQuery, const PathShare& aShare) {
  const bool excluded =
      aQuery.mExcludedFirstStages.contains(aShare.mPath.front().mInstance) ||
      std::any_of(aShare.mPath.begin(), aShare.mPath.end(),
                  [&aQuery](const PathStage& aStage) {
                    return aQuery.mExcludedEngines.contains(aStage.mInstance);
                  });
  Candidate candidate{.mShare = &aShare};
  if (excluded) {
    return candidate;
  }
  const double left = RequestCapacityLeft(aQuery, aShare.mPath);
  if (left < 1) {
    return candidate;
  }
  candidate.mMaxRequests = left;
  // Weighted by the rate that the path sustains, not by its current remaining
  // capacity: with load reports 1.5 s old and 700 requests per second the
  // latter gets 0.052 of the requests refused, since all choose the paths that
  // had capacity then; the former gets 0.001 refused.
  candidate.mWeight = aShare.Rate();
  return candidate;
}

bool IsSlow(const Candidate& aCandidate) {
  return aCandidate.mShare->mSlowdown >= kSlowPathFactor;
}

/// Removes slow paths and adds the paths that aReplacements returns, with the
/// rate that the slow paths would sustain at normal speed. Keeps the slow paths
/// if there are no others.
void ReplaceSlowPaths(
    std::vector<Candidate>& aCandidates,
    const std::function<std::vector<Candidate>()>& aReplacements) {
  double normalRate = 0;
  for (const Candidate& candidate : aCandidates) {
    normalRate +=
        IsSlow(candidate) ? candidate.mWeight * candidate.mShare->mSlowdown : 0;
  }
  if (normalRate <= 0) {
    return;
  }
  std::vector<Candidate> replacements = aReplacements();
  std::erase_if(replacements, IsSlow);
  double weight = 0;
  for (const Candidate& candidate : replacements) {
    weight += candidate.mWeight;
  }
  const bool hasNormalPath = std::any_of(
      aCandidates.begin(), aCandidates.end(), [](const Candidate& aCandidate) {
        return !IsSlow(aCandidate) && aCandidate.mWeight > 0;
      });
  if (weight <= 0 && !hasNormalPath) {
    return;
  }
  std::erase_if(aCandidates, IsSlow);
  for (Candidate& candidate : replacements) {
    candidate.mWeight *= std::min(1.0, normalRate / weight);
    aCandidates.push_back(candidate);
  }
}

const Candidate* DrawCandidate(const std::vector<Candidate>& aCandidates,
                               double aRandom) {
  double total = 0;
  for (const Candidate& candidate : aCandidates) {
    total += candidate.mWeight;
  }
  double left = aRandom * total;
  const Candidate* drawn = nullptr;
  for (const Candidate& candidate : aCandidates) {
    if (candidate.mWeight <= 0) {
      continue;
    }
    drawn = &candidate;
    left -= candidate.mWeight;
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
  const bool isFresh = aQuery.mSampleShare >= 1 &&
                       (zone.mRevision == aContext.mRevision ||
                        (zone.mRevision >= 0 &&
                         aContext.mNow - zone.mDividedAt < kDivideInterval));
  if (isFresh) {
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
  std::vector<Candidate> candidates;
  double capacity = 0;
  const auto add = [&](const std::string& aZone) {
    for (const PathShare& share : PathsOfZone(aQuery, aZone, aContext)) {
      candidates.push_back(CandidateOf(aQuery, share));
      capacity += candidates.back().mMaxRequests;
    }
  };
  std::set<std::string> zones;
  for (const UpstreamRecord* engine : aQuery.mEngines) {
    zones.insert(engine->mZone);
  }
  add(aQuery.mZone);
  if (capacity * static_cast<double>(zones.size()) <
      aContext.mUnreportedRequests) {
    // The local zone may lack capacity for the requests until the next load
    // reports.
    zones.erase(aQuery.mZone);
    for (const std::string& zone : zones) {
      add(zone);
    }
    zones.clear();
  }
  ReplaceSlowPaths(candidates, [&] {
    std::vector<Candidate> replacements;
    zones.erase(aQuery.mZone);
    for (const std::string& zone : zones) {
      for (const PathShare& share : PathsOfZone(aQuery, zone, aContext)) {
        replacements.push_back(CandidateOf(aQuery, share));
      }
    }
    return replacements;
  });
  const Candidate* drawn = DrawCandidate(candidates, aQuery.mRandom());
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
  // Other choices use other samples, so that fewer of them choose this path.
  const double unreported = aContext.mUnreportedRequests * aQuery.mSampleShare;
  if (aQuery.mRandom() * unreported <= left * kUnreportedFill) {
    return cheapest;
  }
  PathResult drawn = DrawByWeight(aQuery, aContext);
  return drawn.mPath.empty() ? cheapest : drawn;
}

}  // namespace spindleweir
