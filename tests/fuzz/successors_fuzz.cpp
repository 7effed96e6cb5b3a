/// Fuzzing of the voters that follow their machines: what was acknowledged is
/// read back, and a leader is there in time, whatever is replaced or wiped
/// within what a minority may lose.
#include <algorithm>
#include <cstdlib>
#include <functional>
#include <string>

#include "tests/fuzz/successor_play.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr unsigned kPlays = 60;

/// scripts/fuzz asks for more.
unsigned Plays() {
  const char* plays = std::getenv("FUZZ_CASES");
  return plays == nullptr ? kPlays
                          : std::max(kPlays, static_cast<unsigned>(std::strtoul(
                                                 plays, nullptr, 10)));
}

using PlayHook = std::function<SuccessorPlayResult(SuccessorPlay&)>;

/// Plays until one fails; its seed and story, or empty.
std::string FirstFailure(
    SuccessorPlayOptions aOptions,
    const PlayHook& aPlay = [](SuccessorPlay& aOne) { return aOne.Play(); }) {
  int replaced = 0;
  const unsigned plays = Plays();
  for (unsigned seed = 1; seed <= plays; seed++) {
    aOptions.mSeed = seed;
    SuccessorPlay play(aOptions);
    const SuccessorPlayResult result = aPlay(play);
    replaced += result.mReplaced;
    if (!result.mIsConsistent || !result.mHasRecovered) {
      return "seed " + std::to_string(seed) +
             (result.mIsConsistent ? "" : ", contradiction") + "\n" +
             result.mStory;
    }
  }
  // If nothing were replaced, the plays would prove nothing.
  return replaced >= static_cast<int>(plays) ? "" : "too few replacements";
}

}  // namespace

// Guards against a closing fault that ended the core for good, because a
// successor did not vote yet after the catch-up time.
Test(successors_fuzz, three_voters_survive_any_fault_after_the_catch_up_time) {
  const std::string failure = FirstFailure({.mVoters = 3});
  CHECK_FOUND(failure.empty(), failure);
}

Test(successors_fuzz, five_voters_survive_any_fault_after_the_catch_up_time) {
  const std::string failure = FirstFailure({.mVoters = 5});
  CHECK_FOUND(failure.empty(), failure);
}

Test(successors_fuzz, seven_voters_survive_any_fault_after_the_catch_up_time) {
  const std::string failure = FirstFailure({.mVoters = 7});
  CHECK_FOUND(failure.empty(), failure);
}

Test(successors_fuzz, slow_disks_hold_up_no_successor) {
  for (const int voters : {3, 5, 7}) {
    const std::string failure =
        FirstFailure({.mVoters = voters, .mMaxSync = 200});
    CHECK_FOUND(failure.empty(), failure);
  }
}

Test(successors_fuzz, a_kill_of_all_amid_replacements_is_survived) {
  for (const int voters : {3, 5, 7}) {
    const std::string failure =
        FirstFailure({.mVoters = voters, .mKillsAll = true});
    CHECK_FOUND(failure.empty(), failure);
  }
}

// Guards against a voter that was replaced while it was cut off, and whose
// return would make two majorities that don't meet.
Test(successors_fuzz, voters_that_come_back_as_replaced_ones_do_no_harm) {
  for (const int voters : {3, 5, 7}) {
    const std::string failure =
        FirstFailure({.mVoters = voters, .mCuts = true, .mSpares = 1});
    CHECK_FOUND(failure.empty(), failure);
  }
}

// Guards against a voter that blocked all elections after a fault amid its
// hand-over, since it alone held the change that removed it.
Test(successors_fuzz, a_fault_amid_a_hand_over_leaves_a_core_that_elects) {
  for (const int voters : {3, 5, 7}) {
    for (const Millis sync : {20, 200}) {
      const std::string failure =
          FirstFailure({.mVoters = voters, .mMaxSync = sync, .mSpares = 1},
                       [](SuccessorPlay& aPlay) {
                         return aPlay.PlayAmid(VoterTrouble::kStops);
                       });
      CHECK_FOUND(failure.empty(), failure);
    }
  }
}

// Guards against a set of voters that was smaller for a moment, so that disks
// lost in it ended the core though the silent voter came back with its own.
Test(successors_fuzz,
     a_fault_while_a_voter_is_cut_off_leaves_a_core_that_elects) {
  for (const int voters : {3, 5, 7}) {
    const std::string failure = FirstFailure(
        {.mVoters = voters, .mSpares = 1}, [](SuccessorPlay& aPlay) {
          return aPlay.PlayAmid(VoterTrouble::kIsCutOff);
        });
    CHECK_FOUND(failure.empty(), failure);
  }
}

Test(successors_fuzz, planted_defects_are_caught) {
  SECTION("voters are replaced later than the catch-up time") {
    CHECK(!FirstFailure({.mDefect = SuccessorDefect::kWaitsTooLong}).empty());
  }
  SECTION("a planned stop hands nothing over") {
    CHECK(!FirstFailure({.mDefect = SuccessorDefect::kEndsAtOnce}).empty());
  }
  SECTION("disks tell entries as durable before they are") {
    CHECK(!FirstFailure({.mMaxSync = 200,
                         .mDefect = SuccessorDefect::kTellsEntriesEarly})
               .empty());
  }
  SECTION("a control that lost its disk votes under its old name") {
    CHECK(!FirstFailure({.mDefect = SuccessorDefect::kKeepsName}).empty());
  }
}
