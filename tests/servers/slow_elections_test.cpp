/// Voters on slow disks elect a leader and commit changes in time.
#include <algorithm>
#include <string>

#include "tests/servers/slow_elections.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr std::uint64_t kSeeds = 200;
constexpr std::size_t kChanges = 10;
/// Service is back within this time, the start of the voters included.
constexpr Millis kMaxLeaderAfter = 12000;
/// A caller's change is confirmed within this time, if ten syncs fit in it.
constexpr Millis kMaxChange = 4000;
constexpr Millis kSyncsInChange = 10;
/// What a disk that hangs may cost beyond: the longest election timeout.
constexpr Millis kMaxElectionTimeout = 700;

struct SyncRange {
  Millis mMin;
  Millis mMax;
};
constexpr SyncRange kRanges[] = {
    {5, 5}, {50, 150}, {150, 300}, {300, 600}, {600, 1200}};

/// The worst of all seeds.
struct Worst {
  Millis mLeaderAfter = 0;       ///< -1: some play had no leader.
  Millis mChange = 0;            ///< -1: some play missed a change.
  std::int64_t mLaterTerms = 0;  ///< Begun after the first leader.
};

Worst PlayAll(SlowElectionOptions aOptions) {
  Worst worst;
  for (std::uint64_t seed = 1; seed <= kSeeds; seed++) {
    aOptions.mSeed = seed;
    const SlowElectionResult result = SlowElection(aOptions).Play();
    if (!result.mLeaderAfter.has_value() ||
        result.mChanges.size() != kChanges) {
      return {.mLeaderAfter = -1, .mChange = -1};
    }
    worst.mLeaderAfter = std::max(worst.mLeaderAfter, *result.mLeaderAfter);
    worst.mLaterTerms =
        std::max(worst.mLaterTerms, result.mTermsInAll - result.mTermsBegun);
    worst.mChange = std::max(
        worst.mChange,
        *std::max_element(result.mChanges.begin(), result.mChanges.end()));
  }
  return worst;
}

/// aAllowance: added to each bound. aLaterTerms: that may begin after the first
/// leader.
void CheckAllRanges(SlowElectionOptions aOptions, Millis aAllowance,
                    std::int64_t aLaterTerms) {
  for (const SyncRange range : kRanges) {
    const std::string text = "syncs of " + std::to_string(range.mMin) + " to " +
                             std::to_string(range.mMax) + " ms";
    SECTION(text.c_str()) {
      aOptions.mMinSync = range.mMin;
      aOptions.mMaxSync = range.mMax;
      const Worst worst = PlayAll(aOptions);
      CHECK_FOUND(worst.mLeaderAfter >= 0, std::string("no leader"));
      CHECK_FOUND(worst.mLeaderAfter <= kMaxLeaderAfter + aAllowance,
                  std::to_string(worst.mLeaderAfter));
      CHECK_FOUND(worst.mLaterTerms <= aLaterTerms,
                  std::to_string(worst.mLaterTerms));
      if (range.mMax * kSyncsInChange <= kMaxChange) {
        CHECK_FOUND(worst.mChange <= kMaxChange + aAllowance,
                    std::to_string(worst.mChange));
      }
    }
  }
}

}  // namespace

Test(slow_elections, five_voters_with_slow_disks_elect_a_leader_in_time) {
  CheckAllRanges({}, 0, 0);
}

Test(slow_elections, three_of_five_voters_with_slow_disks_elect_one_too) {
  CheckAllRanges({.mRunning = 3}, 0, 0);
}

Test(slow_elections, a_disk_that_hangs_costs_one_election_timeout_at_most) {
  SECTION("one that hangs from its first write on") {
    CheckAllRanges({.mHangingDisk = HangingDisk::kFromTheStart},
                   kMaxElectionTimeout, 0);
  }
  SECTION("the leader's, which gives way and does not stand again") {
    CheckAllRanges(
        {.mHangingDisk = HangingDisk::kLeaderAmidChanges, .mPause = 1500},
        kMaxElectionTimeout, 1);
  }
}

Test(slow_elections, disks_that_stood_still_once_hold_up_elections_no_longer) {
  constexpr Millis kStall = 20000;
  SECTION("with all voters") {
    CheckAllRanges({.mStall = kStall}, kStall, 0);
  }
  SECTION("with three of five") {
    CheckAllRanges({.mRunning = 3, .mStall = kStall}, kStall, 0);
  }
  SECTION("with a disk that does not return") {
    CheckAllRanges(
        {.mStall = kStall, .mHangingDisk = HangingDisk::kFromTheStart},
        kStall + kMaxElectionTimeout, 0);
  }
}
