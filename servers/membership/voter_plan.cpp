#include "spindleweir/servers/membership/voter_plan.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <span>
#include <utility>

#include "servers/membership/voter_state.h"

namespace spindleweir {

namespace {

/// The least number of voters that survives the loss of one.
constexpr std::size_t kMinVoters = 3;

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

/// The voters without one.
VoterIds Without(VoterIds aVoters, const std::string& aId) {
  std::erase(aVoters, aId);
  return aVoters;
}

/// The voters that are not lost and were not asked to end.
VoterIds Staying(const VoterPlanInput& aInput) {
  VoterIds staying = aInput.mVoters;
  std::erase_if(staying, [&aInput](const std::string& aId) {
    return IsLost(aInput, aId) || aInput.mDirectory->IsStopping(aId);
  });
  return staying;
}

/// The voters with the candidate that suits those best which stay.
VoterIds Joined(const VoterPlanInput& aInput, const VoterIds& aCandidates) {
  VoterIds voters = aInput.mVoters;
  voters.push_back(
      BestCandidate(aCandidates, Staying(aInput), *aInput.mDirectory));
  return voters;
}

/// Voters that run, as far as the leader knows.
std::size_t RunningVoters(const VoterPlanInput& aInput) {
  return static_cast<std::size_t>(std::count_if(
      aInput.mVoters.begin(), aInput.mVoters.end(),
      [&aInput](const std::string& aId) { return Runs(aInput, aId); }));
}

/// Whether the running voters are a majority beside one that joins.
bool CanTakeOneMore(const VoterPlanInput& aInput) {
  if (aInput.mVoters.size() == 1) {
    // It has no other way to grow.
    return true;
  }
  // A majority must not depend on the one that joins.
  return IsMajority(RunningVoters(aInput), aInput.mVoters.size() + 1);
}

/// Whether the running voters are a majority without one of them.
bool CanSpareRunningVoter(const VoterPlanInput& aInput) {
  const std::size_t running = RunningVoters(aInput);
  return running > 0 && IsMajority(running - 1, aInput.mVoters.size() - 1);
}

/// The number of voters below which none is removed without a substitute: as
/// many disks as may be lost at once leave a majority of them.
std::size_t MinVoters(const VoterPlanInput& aInput) {
  return std::max(kMinVoters, 2 * aInput.mTolerated + 1);
}

/// Whether a pair of candidates should join an odd number of voters.
bool PairCanJoin(const VoterPlanInput& aInput, const VoterIds& aCandidates) {
  const std::size_t n = aInput.mVoters.size();
  const bool hasRoom = aCandidates.size() >= 2 && n + 2 <= aInput.mMaxVoters;
  if (!hasRoom || !CanTakeOneMore(aInput)) {
    return false;
  }
  if (n < MinVoters(aInput)) {
    // A disk that is lost loses what it alone held. A zone that is lost comes
    // back with its disks.
    return true;
  }
  const ControlDirectory& directory = *aInput.mDirectory;
  const VoterIds withOne =
      WithBestCandidate(aInput.mVoters, aCandidates, directory);
  const VoterIds rest = Without(aCandidates, withOne.back());
  const VoterIds withTwo = WithBestCandidate(withOne, rest, directory);
  return SurvivesZoneLoss(withTwo, directory) ||
         !SurvivesZoneLoss(aInput.mVoters, directory);
}

/// A voter of the zone with the most voters, but not the leader; empty: none.
std::string VoterOfLargestZone(const VoterPlanInput& aInput) {
  const ControlDirectory& directory = *aInput.mDirectory;
  const std::map<std::string, std::size_t> counts =
      CountByZone(aInput.mVoters, directory);
  const auto largest = std::max_element(
      counts.begin(), counts.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second < aRight.second;
      });
  const auto it =
      std::find_if(aInput.mVoters.rbegin(), aInput.mVoters.rend(),
                   [&](const std::string& aId) {
                     return aId != aInput.mSelf && largest != counts.end() &&
                            ZoneOf(directory, aId) == largest->first;
                   });
  return it == aInput.mVoters.rend() ? "" : *it;
}

/// Whether a candidate should take the place of a voter of a zone that has at
/// least two more.
bool ShouldMove(const VoterPlanInput& aInput, const VoterIds& aCandidates) {
  const ControlDirectory& directory = *aInput.mDirectory;
  const std::string moved = VoterOfLargestZone(aInput);
  if (moved.empty() || SurvivesZoneLoss(aInput.mVoters, directory)) {
    return false;
  }
  std::map<std::string, std::size_t> counts =
      CountByZone(aInput.mVoters, directory);
  const std::string candidate =
      BestCandidate(aCandidates, aInput.mVoters, directory);
  return counts[ZoneOf(directory, candidate)] + 2 <=
         counts[ZoneOf(directory, moved)];
}

/// A voter that an odd number of voters is better off without, though nobody
/// takes its place; empty: none.
std::string VoterToDrop(const VoterPlanInput& aInput, const VoterIds& aLost,
                        const std::string& aLeaving) {
  const std::size_t n = aInput.mVoters.size();
  if (n < MinVoters(aInput) + 2) {
    return "";
  }
  if (!aLeaving.empty()) {
    return CanSpareRunningVoter(aInput) ? aLeaving : "";
  }
  return aLost.empty() ? "" : aLost.front();
}

VoterIds NextOfOdd(const VoterPlanInput& aInput) {
  const VoterIds ready = ReadyCandidates(aInput);
  const VoterIds lost = LostVoters(aInput);
  const std::string leaving = LeavingVoter(aInput);
  const VoterIds& voters = aInput.mVoters;
  if (ready.empty()) {
    return Without(voters, VoterToDrop(aInput, lost, leaving));
  }
  if (!lost.empty()) {
    // The candidate joins first, so that as many disks as before may be lost
    // while the lost voter may still come back with its own. One whose disk is
    // gone can't; without it no majority depends on the candidate.
    const bool canJoin =
        IsMajority(RunningVoters(aInput) + 1, voters.size() + 1) &&
        !aInput.mDirectory->IsReplaced(lost.front());
    return canJoin ? Joined(aInput, ready) : Without(voters, lost.front());
  }
  const bool joins = !leaving.empty() || ShouldMove(aInput, ready);
  if ((joins && CanTakeOneMore(aInput)) || PairCanJoin(aInput, ready)) {
    return Joined(aInput, ready);
  }
  return voters;
}

VoterIds NextOfEven(const VoterPlanInput& aInput) {
  const VoterIds ready = ReadyCandidates(aInput);
  const VoterIds lost = LostVoters(aInput);
  const VoterIds& voters = aInput.mVoters;
  const ControlDirectory& directory = *aInput.mDirectory;
  const std::string leaving = LeavingVoter(aInput);
  const bool canSpare = CanSpareRunningVoter(aInput);
  const bool canShrink = voters.size() > kMinVoters;
  if (!lost.empty() && canShrink) {
    return Without(voters, lost.front());
  }
  if (!leaving.empty() && canShrink && canSpare) {
    return Without(voters, leaving);
  }
  if (voters.size() > aInput.mMaxVoters && canSpare) {
    // One that was silent came back after another had joined in its place.
    return Without(voters, VoterOfLargestZone(aInput));
  }
  VoterIds joined = voters;
  if (!ready.empty() && voters.size() < aInput.mMaxVoters) {
    joined = Joined(aInput, ready);
  }
  const bool isZoneRuleDue = canSpare && voters.size() > MinVoters(aInput) &&
                             !SurvivesZoneLoss(voters, directory) &&
                             !SurvivesZoneLoss(joined, directory);
  if (isZoneRuleDue) {
    VoterIds moved = Without(voters, VoterOfLargestZone(aInput));
    if (joined == voters || SurvivesZoneLoss(moved, directory)) {
      return moved;
    }
  }
  return joined;
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
  return aInput.mVoters.size() % 2 == 0 ? NextOfEven(aInput)
                                        : NextOfOdd(aInput);
}

std::vector<std::string> NextLearners(const VoterPlanInput& aInput) {
  VoterIds candidates = Candidates(aInput);
  // Those that hold the log already go first, so that few are sent all of it.
  std::stable_partition(
      candidates.begin(), candidates.end(),
      [&aInput](const std::string& aId) { return HoldsLog(aInput, aId); });
  VoterIds staying = Staying(aInput);
  VoterIds learners;
  // A control that hands over must learn that it is no voter any more.
  for (const ControlInfo& info :
       aInput.mDirectory->SeenWithin(kStoppingWindow, aInput.mNow)) {
    const bool handsOver = aInput.mDirectory->IsStopping(info.mId) &&
                           !Contains(aInput.mVoters, info.mId);
    if (handsOver) {
      learners.push_back(info.mId);
    }
  }
  while (!candidates.empty() && learners.size() < aInput.mMaxLearners) {
    const std::string best =
        BestCandidate(candidates, staying, *aInput.mDirectory);
    learners.push_back(best);
    staying.push_back(best);
    std::erase(candidates, best);
  }
  return learners;
}

std::vector<std::string> StayingVoters(const VoterPlanInput& aInput) {
  VoterIds staying = aInput.mVoters;
  std::erase_if(staying, [&aInput](const std::string& aId) {
    return aId == aInput.mSelf || !Runs(aInput, aId) ||
           aInput.mDirectory->IsStopping(aId);
  });
  return staying;
}

bool MayStop(const VoterPlanInput& aInput) {
  const bool votes = Contains(aInput.mVoters, aInput.mSelf);
  if (!votes || StayingVoters(aInput).empty()) {
    return true;
  }
  const std::size_t n = aInput.mVoters.size();
  // Of an even number the others remove it, as they do of more than they need.
  const bool othersShrink =
      n % 2 == 0 ? n > kMinVoters : n >= MinVoters(aInput) + 2;
  return Candidates(aInput).empty() && !othersShrink;
}

}  // namespace spindleweir
