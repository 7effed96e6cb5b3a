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
  CHECK((input.mVoters == std::vector<std::string>{IdOf(1, 1), IdOf(3, 1)}));
  CHECK(NextVoters(input).back() == IdOf(2, 2));
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
