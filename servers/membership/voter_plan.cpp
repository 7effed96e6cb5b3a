#include "spindleweir/servers/membership/voter_plan.h"

#include <algorithm>
#include <map>
#include <span>

namespace spindleweir {

namespace {

using VoterIds = std::vector<std::string>;

bool Contains(const VoterIds& aList, const std::string& aId) {
  return std::find(aList.begin(), aList.end(), aId) != aList.end();
}

/// The zone of a control; empty: unknown.
std::string ZoneOf(const ControlDirectory& aDirectory, const std::string& aId) {
  const ControlInfo* info = aDirectory.Find(aId);
  return info == nullptr ? "" : info->mZone;
}

/// Voters by zone, without those whose zone is unknown.
std::map<std::string, std::size_t> CountByZone(
    const VoterIds& aVoters, const ControlDirectory& aDirectory) {
  std::map<std::string, std::size_t> counts;
  for (const std::string& id : aVoters) {
    const std::string zone = ZoneOf(aDirectory, id);
    if (!zone.empty()) {
      counts[zone]++;
    }
  }
  return counts;
}

/// Whether aCount of aVoters voters are a majority.
bool IsMajority(std::size_t aCount, std::size_t aVoters) {
  return aCount * 2 > aVoters;
}

/// The voter to remove first: one whose disk is lost, else the one that has
/// been silent for longest; empty if none.
std::string LostVoter(const VoterPlanInput& aInput) {
  std::string lost;
  Millis longest = aInput.mSilenceTimeout;
  for (const std::string& id : aInput.mVoters) {
    if (id == aInput.mSelf) {
      continue;
    }
    if (aInput.mDirectory->IsReplaced(id)) {
      return id;
    }
    const Millis silent = aInput.mDirectory->TimeSinceSeen(id, aInput.mNow);
    if (silent > longest) {
      longest = silent;
      lost = id;
    }
  }
  return lost;
}

/// Controls that can become voters.
VoterIds Candidates(const VoterPlanInput& aInput) {
  VoterIds candidates;
  for (const ControlInfo& info :
       aInput.mDirectory->SeenWithin(aInput.mCandidateWindow, aInput.mNow)) {
    const bool usable = !Contains(aInput.mVoters, info.mId) &&
                        !aInput.mDirectory->IsReplaced(info.mId);
    if (usable) {
      candidates.push_back(info.mId);
    }
  }
  return candidates;
}

/// The candidate of the zone with the fewest voters; the first of several.
std::string BestCandidate(std::span<const std::string> aCandidates,
                          const VoterIds& aVoters,
                          const ControlDirectory& aDirectory) {
  std::map<std::string, std::size_t> counts = CountByZone(aVoters, aDirectory);
  return *std::min_element(
      aCandidates.begin(), aCandidates.end(),
      [&](const std::string& aLeft, const std::string& aRight) {
        return counts[ZoneOf(aDirectory, aLeft)] <
               counts[ZoneOf(aDirectory, aRight)];
      });
}

/// The voters with the best candidate added.
VoterIds WithBestCandidate(VoterIds aVoters, const VoterIds& aCandidates,
                           const ControlDirectory& aDirectory) {
  aVoters.push_back(BestCandidate(aCandidates, aVoters, aDirectory));
  return aVoters;
}

/// Voters that run, as far as the leader knows.
std::size_t RunningVoters(const VoterPlanInput& aInput) {
  const auto runs = [&aInput](const std::string& aId) {
    const Millis silent = aInput.mDirectory->TimeSinceSeen(aId, aInput.mNow);
    const bool isSeen = silent >= 0 && silent <= aInput.mCandidateWindow &&
                        !aInput.mDirectory->IsReplaced(aId);
    return aId == aInput.mSelf || isSeen;
  };
  return static_cast<std::size_t>(
      std::count_if(aInput.mVoters.begin(), aInput.mVoters.end(), runs));
}

/// Whether a pair of candidates should join an odd number of voters.
bool PairCanJoin(const VoterPlanInput& aInput, const VoterIds& aCandidates) {
  const std::size_t n = aInput.mVoters.size();
  const bool hasRoom = aCandidates.size() >= 2 && n + 2 <= aInput.mMaxVoters;
  // A majority must not depend on the empty log of the first of the pair.
  if (!hasRoom || !IsMajority(RunningVoters(aInput), n + 1)) {
    return false;
  }
  const ControlDirectory& directory = *aInput.mDirectory;
  const VoterIds withOne =
      WithBestCandidate(aInput.mVoters, aCandidates, directory);
  VoterIds rest = aCandidates;
  std::erase(rest, withOne.back());
  const VoterIds withTwo = WithBestCandidate(withOne, rest, directory);
  return SurvivesZoneLoss(withTwo, directory) ||
         !SurvivesZoneLoss(aInput.mVoters, directory);
}

/// Whether the running voters are a majority without one of them.
bool CanSpareRunningVoter(const VoterPlanInput& aInput) {
  const std::size_t running = RunningVoters(aInput);
  return running > 0 && IsMajority(running - 1, aInput.mVoters.size() - 1);
}

/// A voter of the zone with the most voters, if a candidate of a zone with at
/// least two fewer can take its place; empty if none.
std::string VoterToMove(const VoterPlanInput& aInput,
                        const VoterIds& aCandidates) {
  const ControlDirectory& directory = *aInput.mDirectory;
  std::map<std::string, std::size_t> counts =
      CountByZone(aInput.mVoters, directory);
  const auto largest = std::max_element(
      counts.begin(), counts.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second < aRight.second;
      });
  const std::string zone = largest->first;
  const std::size_t inLargest = largest->second;
  const std::string candidate =
      BestCandidate(aCandidates, aInput.mVoters, directory);
  if (counts[ZoneOf(directory, candidate)] + 2 > inLargest) {
    return "";
  }
  const auto it = std::find_if(aInput.mVoters.rbegin(), aInput.mVoters.rend(),
                               [&](const std::string& aId) {
                                 return aId != aInput.mSelf &&
                                        ZoneOf(directory, aId) == zone;
                               });
  return it == aInput.mVoters.rend() ? "" : *it;
}

}  // namespace

bool SurvivesZoneLoss(const std::vector<std::string>& aVoters,
                      const ControlDirectory& aDirectory) {
  const auto counts = CountByZone(aVoters, aDirectory);
  return std::all_of(counts.begin(), counts.end(), [&](const auto& aItem) {
    return IsMajority(aVoters.size() - aItem.second, aVoters.size());
  });
}

std::vector<std::string> NextVoters(const VoterPlanInput& aInput) {
  const VoterIds candidates = Candidates(aInput);
  const ControlDirectory& directory = *aInput.mDirectory;
  VoterIds voters = aInput.mVoters;
  const std::string lost = LostVoter(aInput);
  const bool even = voters.size() % 2 == 0;
  if (!lost.empty() && (even || !candidates.empty())) {
    // The old voter is removed first: a new one counts at once, and a majority
    // must not depend on its empty log.
    std::erase(voters, lost);
    return voters;
  }
  if (candidates.empty()) {
    return voters;
  }
  if (even || PairCanJoin(aInput, candidates)) {
    return WithBestCandidate(std::move(voters), candidates, directory);
  }
  if (!SurvivesZoneLoss(voters, directory) && CanSpareRunningVoter(aInput)) {
    const std::string moved = VoterToMove(aInput, candidates);
    std::erase(voters, moved);
  }
  return voters;
}

}  // namespace spindleweir
