/// Which controls become voters: over zones, one step at a time.
#include <map>

#include "spindleweir/servers/membership/voter_plan.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr Millis kNow = 10000;
/// More steps than any plan needs to come to rest.
constexpr int kMaxSteps = 40;

std::string IdOf(int aZone, int aNumber) {
  return ControlId(
      {"10." + std::to_string(aZone) + ".0." + std::to_string(aNumber), 7000},
      "first");
}

ControlInfo InfoOf(int aZone, int aNumber) {
  return {.mId = IdOf(aZone, aNumber), .mZone = "z" + std::to_string(aZone)};
}

/// aControls controls in each of aZones zones, all seen now.
ControlDirectory Fleet(int aZones, int aControls) {
  ControlDirectory directory;
  for (int zone = 1; zone <= aZones; zone++) {
    for (int i = 1; i <= aControls; i++) {
      directory.OnSeen(InfoOf(zone, i), kNow);
    }
  }
  return directory;
}

VoterPlanInput InputOf(const ControlDirectory& aDirectory,
                       std::vector<std::string> aVoters) {
  return {.mSelf = aVoters.front(),
          .mVoters = aVoters,
          .mDirectory = &aDirectory,
          .mNow = kNow};
}

/// The voters once no step is due any more.
std::vector<std::string> AtRest(VoterPlanInput aInput) {
  for (int i = 0; i < kMaxSteps; i++) {
    std::vector<std::string> next = NextVoters(aInput);
    if (next == aInput.mVoters) {
      return next;
    }
    aInput.mVoters = std::move(next);
  }
  return {};
}

bool Contains(const std::vector<std::string>& aList, const std::string& aId) {
  return std::find(aList.begin(), aList.end(), aId) != aList.end();
}

/// The greatest number of voters in one zone.
std::size_t MostInOneZone(const std::vector<std::string>& aVoters) {
  std::map<std::string, std::size_t> counts;
  std::size_t most = 0;
  for (const std::string& id : aVoters) {
    most = std::max(most, ++counts[id.substr(0, id.find(".0."))]);
  }
  return most;
}

}  // namespace

// Five of seven voters stood in one zone, whose loss took the majority.
Test(voters, voters_that_join_do_not_all_stand_in_one_zone) {
  SECTION("five zones with five controls each, three seeds") {
    const ControlDirectory directory = Fleet(5, 5);
    const auto voters =
        AtRest(InputOf(directory, {IdOf(1, 1), IdOf(2, 1), IdOf(3, 1)}));
    CHECK(voters.size() == 7);
    CHECK(MostInOneZone(voters) == 2);
    CHECK(SurvivesZoneLoss(voters, directory));
  }
  SECTION("three zones with two controls each") {
    const ControlDirectory directory = Fleet(3, 2);
    const auto voters =
        AtRest(InputOf(directory, {IdOf(1, 1), IdOf(2, 1), IdOf(3, 1)}));
    CHECK(voters.size() == 5);
    CHECK(MostInOneZone(voters) == 2);
  }
  SECTION("all seeds stand in one zone") {
    const ControlDirectory directory = Fleet(5, 5);
    const auto voters =
        AtRest(InputOf(directory, {IdOf(1, 1), IdOf(1, 2), IdOf(1, 3)}));
    CHECK(voters.size() == 7);
    CHECK(SurvivesZoneLoss(voters, directory));
  }
}

Test(voters, a_pair_that_would_give_one_zone_the_majority_does_not_join) {
  ControlDirectory directory = Fleet(3, 1);
  directory.OnSeen(InfoOf(1, 2), kNow);
  directory.OnSeen(InfoOf(1, 3), kNow);
  const std::vector<std::string> seeds = {IdOf(1, 1), IdOf(2, 1), IdOf(3, 1)};
  CHECK(AtRest(InputOf(directory, seeds)) == seeds);
  SECTION("it joins once controls of another zone are there") {
    directory.OnSeen(InfoOf(2, 2), kNow);
    CHECK(AtRest(InputOf(directory, seeds)).size() == 5);
  }
}

Test(voters, a_lost_voter_is_replaced_in_the_zone_with_fewest) {
  ControlDirectory directory;
  for (int zone = 1; zone <= 3; zone++) {
    directory.OnSeen(InfoOf(zone, 1), zone == 2 ? 0 : kNow);
    directory.OnSeen(InfoOf(zone, 2), kNow);
  }
  VoterPlanInput input =
      InputOf(directory, {IdOf(1, 1), IdOf(2, 1), IdOf(3, 1)});
  input.mVoters = NextVoters(input);
  CHECK((input.mVoters == std::vector<std::string>{IdOf(1, 1), IdOf(2, 1),
                                                   IdOf(3, 1), IdOf(2, 2)}));
  CHECK((NextVoters(input) ==
         std::vector<std::string>{IdOf(1, 1), IdOf(3, 1), IdOf(2, 2)}));
}

// A leader that moved a voter beside two that were down would have lost its
// majority.
Test(voters, a_lopsided_set_is_corrected_only_while_a_majority_runs) {
  const std::vector<std::string> lopsided = {IdOf(1, 1), IdOf(1, 2), IdOf(1, 3),
                                             IdOf(1, 4), IdOf(1, 5), IdOf(2, 1),
                                             IdOf(3, 1)};
  ControlDirectory directory = Fleet(5, 5);
  SECTION("one voter at a time, never the leader itself") {
    VoterPlanInput input = InputOf(directory, lopsided);
    for (int i = 0; i < kMaxSteps; i++) {
      const auto next = NextVoters(input);
      const std::size_t n = input.mVoters.size();
      CHECK(next.size() + 1 == n || next.size() == n + 1 || next.size() == n);
      CHECK(std::find(next.begin(), next.end(), input.mSelf) != next.end());
      input.mVoters = next;
    }
    CHECK(input.mVoters.size() == 7);
    CHECK(SurvivesZoneLoss(input.mVoters, directory));
  }
  SECTION("not while three of seven are silent") {
    ControlDirectory partly;
    for (const auto& info : directory.SeenWithin(kNow, kNow)) {
      const bool silent = info.mId == IdOf(1, 2) || info.mId == IdOf(2, 1) ||
                          info.mId == IdOf(3, 1);
      partly.OnSeen(info, silent ? kNow - 3000 : kNow);
    }
    CHECK(NextVoters(InputOf(partly, lopsided)) == lopsided);
  }
}

namespace {

/// Three voters of three zones, of which the last was seen aSilence ago, and a
/// candidate of its zone.
struct OneReplaced {
  explicit OneReplaced(Millis aSilence) {
    for (int zone = 1; zone <= 3; zone++) {
      mDirectory.OnSeen(InfoOf(zone, 1), zone == 3 ? kNow - aSilence : kNow);
      mVoters.push_back(IdOf(zone, 1));
    }
    mDirectory.OnSeen(InfoOf(3, 2), kNow);
  }

  VoterPlanInput Input() const {
    VoterPlanInput input = InputOf(mDirectory, mVoters);
    input.mSilenceTimeout = 1500;
    return input;
  }

  ControlDirectory mDirectory;
  std::vector<std::string> mVoters;
};

}  // namespace

// Guards against a voter that was gone for good and still counted once its
// successor had run for the catch-up time.
Test(voters, a_voter_is_replaced_as_soon_as_a_candidate_holds_the_log) {
  SECTION("not before it has been silent for the timeout") {
    const OneReplaced play(1400);
    CHECK(NextVoters(play.Input()) == play.mVoters);
  }
  const OneReplaced play(1600);
  VoterPlanInput input = play.Input();
  SECTION("not before the candidate holds the log") {
    VoterPlanInput early = input;
    early.mHoldsLog = [](const std::string&) { return false; };
    CHECK(NextVoters(early) == play.mVoters);
    CHECK(NextLearners(early) == std::vector<std::string>{IdOf(3, 2)});
  }
  SECTION("a leader that stood still itself replaces nobody") {
    VoterPlanInput still = input;
    still.mWatchedFor = 1000;
    CHECK(NextVoters(still) == play.mVoters);
  }
  SECTION("the new one comes, then the old one goes") {
    input.mVoters = NextVoters(input);
    CHECK((input.mVoters == std::vector<std::string>{IdOf(1, 1), IdOf(2, 1),
                                                     IdOf(3, 1), IdOf(3, 2)}));
    CHECK((NextVoters(input) ==
           std::vector<std::string>{IdOf(1, 1), IdOf(2, 1), IdOf(3, 2)}));
  }
}

// Guards against a voter that no control had seen since a restart of all, and
// that was never replaced therefore.
Test(voters, a_voter_that_was_never_seen_is_replaced) {
  const OneReplaced play(0);
  VoterPlanInput input = play.Input();
  input.mVoters = {IdOf(1, 1), IdOf(2, 1), IdOf(3, 3)};
  input.mWatchedFor = 1400;
  CHECK(NextVoters(input) == input.mVoters);
  input.mWatchedFor = 1600;
  CHECK(!Contains(AtRest(input), IdOf(3, 3)));
}

// Guards against a planned replacement whose old voter had ended before the
// new one voted.
Test(voters, a_voter_that_was_asked_to_end_goes_after_the_new_one_has_joined) {
  OneReplaced play(0);
  ControlInfo stopping = InfoOf(3, 1);
  stopping.mIsStopping = true;
  play.mDirectory.OnSeen(stopping, kNow);
  VoterPlanInput input = play.Input();
  input.mVoters = NextVoters(input);
  CHECK(input.mVoters.size() == 4 && input.mVoters.back() == IdOf(3, 2));
  VoterPlanInput own = input;
  own.mSelf = IdOf(3, 1);
  CHECK(!MayStop(own));
  input.mVoters = NextVoters(input);
  CHECK((input.mVoters ==
         std::vector<std::string>{IdOf(1, 1), IdOf(2, 1), IdOf(3, 2)}));
  own.mVoters = input.mVoters;
  CHECK(MayStop(own));
  SECTION("a report of another control doesn't take its word back") {
    play.mDirectory.OnReported(InfoOf(3, 1), kNow);
    CHECK(play.mDirectory.IsStopping(IdOf(3, 1)));
  }
  SECTION("once it runs again, it takes its word back itself") {
    play.mDirectory.OnSeen(InfoOf(3, 1), kNow);
    CHECK(!play.mDirectory.IsStopping(IdOf(3, 1)));
  }
}

// Guards against acknowledgements on fewer disks than may be lost at once.
Test(voters, silent_voters_without_substitutes_leave_enough_disks) {
  ControlDirectory directory;
  std::vector<std::string> voters;
  for (int zone = 1; zone <= 5; zone++) {
    directory.OnSeen(InfoOf(zone, 1), zone > 3 ? kNow - 5000 : kNow);
    voters.push_back(IdOf(zone, 1));
  }
  VoterPlanInput input = InputOf(directory, voters);
  input.mSilenceTimeout = 1500;
  input.mTolerated = 2;
  CHECK(AtRest(input) == voters);
  input.mTolerated = 1;
  CHECK(AtRest(input).size() == 3);
}

// Guards against a leader that moved a voter by way of two, of which none may
// be lost.
Test(voters, a_voter_moves_to_another_zone_by_way_of_four) {
  ControlDirectory directory;
  const std::vector<std::string> voters = {IdOf(1, 1), IdOf(1, 2), IdOf(2, 1)};
  for (const auto& [zone, number] :
       std::vector<std::pair<int, int>>{{1, 1}, {1, 2}, {2, 1}, {3, 1}}) {
    directory.OnSeen(InfoOf(zone, number), kNow);
  }
  VoterPlanInput input = InputOf(directory, voters);
  input.mVoters = NextVoters(input);
  CHECK(input.mVoters.size() == 4);
  input.mVoters = NextVoters(input);
  CHECK(input.mVoters.size() == 3);
  CHECK(SurvivesZoneLoss(input.mVoters, directory));
}

/// Guards against fewer voters than as many disks as may be lost at once need,
/// where most controls stand in one zone and no zone need be survived.
Test(voters, grow_to_what_lost_disks_need_though_most_stand_in_one_zone) {
  ControlDirectory directory = Fleet(3, 1);
  directory.OnSeen(InfoOf(1, 2), kNow);
  directory.OnSeen(InfoOf(1, 3), kNow);
  VoterPlanInput input =
      InputOf(directory, {IdOf(1, 1), IdOf(2, 1), IdOf(3, 1)});
  input.mTolerated = 2;
  CHECK(AtRest(input).size() == 5);
}

/// Guards against a single voter that stays alone beside candidates.
Test(voters, grow_from_a_single_one) {
  const ControlDirectory directory = Fleet(3, 1);
  CHECK(AtRest(InputOf(directory, {IdOf(1, 1)})).size() == 3);
}

/// Guards against a single voter whose planned successor never takes over: both
/// of two were needed, and one was gone.
Test(voters, a_single_one_hands_over_to_its_successor) {
  ControlDirectory directory = Fleet(1, 2);
  ControlInfo old = InfoOf(1, 1);
  old.mIsStopping = true;
  directory.OnSeen(old, kNow);
  VoterPlanInput input = InputOf(directory, {IdOf(1, 1)});
  CHECK(!MayStop(input));
  input.mVoters = NextVoters(input);
  CHECK(input.mVoters.size() == 2);
  CHECK(!MayStop(input));
  input.mVoters = NextVoters(input);
  CHECK(input.mVoters == std::vector<std::string>{IdOf(1, 2)});
  CHECK(MayStop(input));
}
