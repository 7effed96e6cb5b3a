#include "spindleweir/servers/membership/voter_plan.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <span>
#include <utility>

namespace spindleweir {

namespace {

using VoterIds = std::vector<std::string>;

/// A control that was asked to end counts as running for this time after it was
/// last seen: more than two of its polls.
constexpr Millis kStoppingWindow = 700;
/// The least number of voters that survives the loss of one.
constexpr std::size_t kMinVoters = 3;

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

/// How long a control has been silent, as far as this process knows.
Millis SilenceOf(const VoterPlanInput& aInput, const std::string& aId) {
  const Millis silent = aInput.mDirectory->TimeSinceSeen(aId, aInput.mNow);
  return silent < 0 ? aInput.mWatchedFor : std::min(silent, aInput.mWatchedFor);
}

/// Whether a control runs, as far as the leader knows.
bool Runs(const VoterPlanInput& aInput, const std::string& aId) {
  const ControlDirectory& directory = *aInput.mDirectory;
  const Millis silent = directory.TimeSinceSeen(aId, aInput.mNow);
  const Millis window =
      directory.IsStopping(aId) ? kStoppingWindow : aInput.mCandidateWindow;
  const bool isSeen = silent >= 0 && silent <= window;
  return aId == aInput.mSelf || (isSeen && !directory.IsReplaced(aId));
}

/// Whether a voter will not come back with its disk, or not for long.
bool IsLost(const VoterPlanInput& aInput, const std::string& aId) {
  if (aId == aInput.mSelf || Runs(aInput, aId)) {
    return false;
  }
  return aInput.mDirectory->IsReplaced(aId) ||
         aInput.mDirectory->IsStopping(aId) ||
         SilenceOf(aInput, aId) > aInput.mSilenceTimeout;
}

/// The voters that are lost: first those without a disk, then the others, those
/// silent for longest first.
VoterIds LostVoters(const VoterPlanInput& aInput) {
  VoterIds lost;
  std::copy_if(aInput.mVoters.begin(), aInput.mVoters.end(),
               std::back_inserter(lost),
               [&](const std::string& aId) { return IsLost(aInput, aId); });
  const auto rank = [&aInput](const std::string& aId) {
    return std::pair(!aInput.mDirectory->IsReplaced(aId),
                     -SilenceOf(aInput, aId));
  };
  std::stable_sort(
      lost.begin(), lost.end(),
      [&rank](const std::string& aLeft, const std::string& aRight) {
        return rank(aLeft) < rank(aRight);
      });
  return lost;
}

/// A voter that was asked to end and still runs; empty: none.
std::string LeavingVoter(const VoterPlanInput& aInput) {
  const auto it = std::find_if(aInput.mVoters.begin(), aInput.mVoters.end(),
                               [&aInput](const std::string& aId) {
                                 return aId != aInput.mSelf &&
                                        aInput.mDirectory->IsStopping(aId) &&
                                        Runs(aInput, aId);
                               });
  return it == aInput.mVoters.end() ? "" : *it;
}

/// Controls that can become voters.
VoterIds Candidates(const VoterPlanInput& aInput) {
  VoterIds candidates;
  for (const ControlInfo& info :
       aInput.mDirectory->SeenWithin(aInput.mCandidateWindow, aInput.mNow)) {
    const bool usable = !Contains(aInput.mVoters, info.mId) &&
                        info.mId != aInput.mSelf &&
                        !aInput.mDirectory->IsStopping(info.mId) &&
                        !aInput.mDirectory->IsReplaced(info.mId);
    if (usable) {
      candidates.push_back(info.mId);
    }
  }
  return candidates;
}

bool HoldsLog(const VoterPlanInput& aInput, const std::string& aId) {
  return !aInput.mHoldsLog || aInput.mHoldsLog(aId);
}

/// Candidates that can become voters at once.
VoterIds ReadyCandidates(const VoterPlanInput& aInput) {
  VoterIds candidates = Candidates(aInput);
  std::erase_if(candidates, [&aInput](const std::string& aId) {
    return !HoldsLog(aInput, aId);
  });
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

/// The voters without one.
VoterIds Without(VoterIds aVoters, const std::string& aId) {
  std::erase(aVoters, aId);
  return aVoters;
}

/// Voters that run, as far as the leader knows.
std::size_t RunningVoters(const VoterPlanInput& aInput) {
  return static_cast<std::size_t>(std::count_if(
      aInput.mVoters.begin(), aInput.mVoters.end(),
      [&aInput](const std::string& aId) { return Runs(aInput, aId); }));
}

/// Whether the running voters are a majority beside one that joins.
bool CanTakeOneMore(const VoterPlanInput& aInput) {
  // A majority must not depend on the one that joins.
  return IsMajority(RunningVoters(aInput), aInput.mVoters.size() + 1);
}

/// Whether the running voters are a majority without one of them.
bool CanSpareRunningVoter(const VoterPlanInput& aInput) {
  const std::size_t running = RunningVoters(aInput);
  return running > 0 && IsMajority(running - 1, aInput.mVoters.size() - 1);
}

/// Whether a pair of candidates should join an odd number of voters.
bool PairCanJoin(const VoterPlanInput& aInput, const VoterIds& aCandidates) {
  const std::size_t n = aInput.mVoters.size();
  const bool hasRoom = aCandidates.size() >= 2 && n + 2 <= aInput.mMaxVoters;
  if (!hasRoom || !CanTakeOneMore(aInput)) {
    return false;
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

/// The number of voters below which none is removed without a substitute: as
/// many disks as may be lost at once leave a majority of them.
std::size_t MinVoters(const VoterPlanInput& aInput) {
  return std::max(kMinVoters, 2 * aInput.mTolerated + 1);
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
  const ControlDirectory& directory = *aInput.mDirectory;
  if (ready.empty()) {
    return Without(voters, VoterToDrop(aInput, lost, leaving));
  }
  if (!lost.empty()) {
    // The lost voter is removed first: then no majority depends on the one that
    // joins.
    return Without(voters, lost.front());
  }
  const bool joins = !leaving.empty() || ShouldMove(aInput, ready);
  if ((joins && CanTakeOneMore(aInput)) || PairCanJoin(aInput, ready)) {
    return WithBestCandidate(voters, ready, directory);
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
  if (!leaving.empty() && voters.size() > kMinVoters && canSpare) {
    return Without(voters, leaving);
  }
  VoterIds joined = voters;
  if (!ready.empty() && voters.size() < aInput.mMaxVoters) {
    joined = WithBestCandidate(voters, ready, directory);
  }
  const bool canShrink = voters.size() > MinVoters(aInput);
  if (lost.empty() && canShrink && canSpare &&
      !SurvivesZoneLoss(voters, directory) &&
      !SurvivesZoneLoss(joined, directory)) {
    const VoterIds moved = Without(voters, VoterOfLargestZone(aInput));
    if (joined == voters || SurvivesZoneLoss(moved, directory)) {
      return moved;
    }
  }
  if (joined == voters && canShrink && !lost.empty()) {
    return Without(voters, lost.front());
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
  VoterIds staying = aInput.mVoters;
  std::erase_if(staying, [&aInput](const std::string& aId) {
    return IsLost(aInput, aId) || aInput.mDirectory->IsStopping(aId);
  });
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
