#include "spindleweir/core/json_codec.h"
#include "spindleweir/servers/configuration/configuration_machine.h"
#include "spindleweir/servers/configuration/intent_check.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

Command PlanCommand(const std::string& aId, std::int64_t aBase,
                    Millis aExpires = 1000) {
  Command command;
  command.mId = aId;
  command.mDigest = "digest of " + aId;
  command.mKind = CommandKind::kPlan;
  command.mPlan.mId = "plan-" + aId;
  command.mPlan.mBaseVersion = aBase;
  command.mPlan.mExpiresWall = aExpires;
  command.mPlan.mIntent.mModels.push_back({.mName = "model-" + aId});
  return command;
}

Command ConfirmCommand(const std::string& aId, const std::string& aPlan,
                       Millis aWall = 0) {
  Command command;
  command.mId = aId;
  command.mDigest = "confirm " + aPlan;
  command.mKind = CommandKind::kConfirm;
  command.mPlanId = aPlan;
  command.mLeaderWallTime = aWall;
  return command;
}

int CodeOf(ResultCode aCode) {
  return static_cast<int>(aCode);
}

}  // namespace

Test(configuration, a_plan_changes_nothing_until_it_is_confirmed) {
  ConfigurationMachine machine;
  int accepted = 0;
  machine.SignalAccepted().connect([&](const Configuration&) { accepted++; });
  machine.Apply(PlanCommand("a", 0));
  CHECK(machine.Current().mVersion == 0 && accepted == 0);
  CHECK(machine.Apply(ConfirmCommand("c", "plan-a")).mCode == 0);
  CHECK(machine.Current().mVersion == 1 && accepted == 1);
  CHECK(machine.Current().mHash.size() == 64);
  SECTION("the next one names the hash of this one") {
    const std::string hash = machine.Current().mHash;
    machine.Apply(PlanCommand("b", 1));
    machine.Apply(ConfirmCommand("d", "plan-b"));
    CHECK(machine.Current().mPreviousHash == hash);
  }
}

Test(configuration, of_two_with_equal_versions_one_wins) {
  ConfigurationMachine machine;
  machine.Apply(PlanCommand("a", 0));
  machine.Apply(PlanCommand("b", 0));
  CHECK(machine.Apply(ConfirmCommand("ca", "plan-a")).mCode == 0);
  const CommandResult loser = machine.Apply(ConfirmCommand("cb", "plan-b"));
  CHECK(loser.mCode == CodeOf(ResultCode::kVersionConflict));
  CHECK(loser.mVersion == 1);
  CHECK(machine.Current().mIntent.mModels[0].mName == "model-a");
}

Test(configuration, a_resend_gets_the_first_answer) {
  ConfigurationMachine machine;
  machine.Apply(PlanCommand("a", 0));
  machine.Apply(ConfirmCommand("c", "plan-a"));
  machine.Apply(PlanCommand("b", 1));
  machine.Apply(ConfirmCommand("d", "plan-b"));
  SECTION("though the version has moved on") {
    const CommandResult again = machine.Apply(ConfirmCommand("c", "plan-a"));
    CHECK(again.mCode == 0 && again.mVersion == 1);
    CHECK(machine.Current().mVersion == 2);
  }
  SECTION("and so does a refused one") {
    const int first = machine.Apply(ConfirmCommand("e", "no-plan")).mCode;
    CHECK(machine.Apply(ConfirmCommand("e", "no-plan")).mCode == first);
  }
  SECTION("the id with another body is an error") {
    CHECK(machine.Apply(ConfirmCommand("c", "plan-b")).mCode ==
          CodeOf(ResultCode::kCommandReused));
  }
  SECTION("also after a snapshot") {
    ConfigurationMachine other;
    other.Restore(machine.Save());
    CHECK(other.Apply(ConfirmCommand("c", "plan-a")).mVersion == 1);
    CHECK(other.Current().mHash == machine.Current().mHash);
    CHECK(other.Save() == machine.Save());
  }
}

Test(configuration, plans_expire_and_can_be_forbidden) {
  ConfigurationMachine machine;
  machine.Apply(PlanCommand("a", 0, 1000));
  CHECK(machine.Apply(ConfirmCommand("late", "plan-a", 1001)).mCode ==
        CodeOf(ResultCode::kPlanExpired));
  Command forbidden = PlanCommand("f", 0);
  forbidden.mPlan.mRejectionReasons.push_back("does not fit");
  machine.Apply(forbidden);
  CHECK(machine.Apply(ConfirmCommand("x", "plan-f")).mCode ==
        CodeOf(ResultCode::kPlanShort));
  CHECK(machine.Current().mVersion == 0);
}

Test(configuration, drains_are_versions_and_repeat_harmlessly) {
  ConfigurationMachine machine;
  Command drain;
  drain.mId = "1";
  drain.mKind = CommandKind::kDrain;
  drain.mVm = "vm";
  machine.Apply(drain);
  drain.mId = "2";
  machine.Apply(drain);
  CHECK(machine.Current().mVersion == 1);
  drain.mId = "3";
  drain.mDrain = false;
  machine.Apply(drain);
  CHECK(machine.Current().mVersion == 2 && machine.Current().mDrained.empty());
}

Test(configuration_history, takes_what_follows_and_nothing_else) {
  ConfigurationMachine machine;
  ConfigurationHistory router;
  machine.Apply(PlanCommand("a", 0));
  machine.Apply(ConfirmCommand("ca", "plan-a"));
  const ConfigurationUpdate first =
      machine.History().UpdateFor(router.MakeRequest());
  CHECK(router.ApplyUpdate(first) == ConfigurationUpdateResult::kApplied);
  CHECK(router.ApplyUpdate(first) == ConfigurationUpdateResult::kStale);
  machine.Apply(PlanCommand("b", 1));
  machine.Apply(ConfirmCommand("cb", "plan-b"));
  machine.Apply(PlanCommand("c", 2));
  machine.Apply(ConfirmCommand("cc", "plan-c"));
  const ConfigurationUpdate both =
      machine.History().UpdateFor(router.MakeRequest());
  CHECK(!both.mIsFull && both.mChanges.size() == 2);
  SECTION("a change that does not follow is a gap") {
    ConfigurationUpdate last = both;
    last.mChanges.erase(last.mChanges.begin());
    CHECK(router.ApplyUpdate(last) == ConfigurationUpdateResult::kGap);
    CHECK(router.Current().mVersion == 1);
  }
  SECTION("a damaged one is refused") {
    ConfigurationUpdate damaged = both;
    damaged.mChanges[0].mDrained.push_back("vm");
    CHECK(router.ApplyUpdate(damaged) ==
          ConfigurationUpdateResult::kHashMismatch);
    CHECK(router.Current().mVersion == 1);
  }
  SECTION("another content of a known version is a fork") {
    ConfigurationUpdate fork = first;
    REQUIRE(fork.mChanges.size() == 1);
    fork.mChanges[0].mDrained.push_back("vm");
    fork.mChanges[0].mHash = ChangeHash(fork.mChanges[0]);
    CHECK(router.ApplyUpdate(fork) == ConfigurationUpdateResult::kFork);
  }
  SECTION("the changes, or the whole, lead to the same") {
    ConfigurationHistory empty;
    const ConfigurationUpdate none =
        machine.History().UpdateFor({7, "elsewhere"});
    CHECK(none.mChanges.empty() && !none.mIsFull);
    const ConfigurationUpdate whole =
        machine.History().UpdateFor({2, "elsewhere"});
    CHECK(whole.mIsFull &&
          empty.ApplyUpdate(whole) == ConfigurationUpdateResult::kApplied);
    CHECK(router.ApplyUpdate(both) == ConfigurationUpdateResult::kApplied);
    CHECK(ToJson(router.Current()) == ToJson(machine.Current()));
    CHECK(ToJson(empty.Current()) == ToJson(machine.Current()));
    CHECK(router.ApplyUpdate(whole) == ConfigurationUpdateResult::kStale);
  }
}

Test(configuration, intents_are_checked_and_keys_are_sealed) {
  const auto good = [] {
    Intent intent;
    intent.mModels.push_back({.mName = "m", .mLayers = 4});
    intent.mWorkspaces.push_back({.mName = "w", .mKey = "a-long-key"});
    return intent;
  };
  Intent sealed = good();
  CheckIntentAndHashKeys(sealed);
  CHECK(sealed.mWorkspaces[0].mKey.empty());
  CHECK(sealed.mWorkspaces[0].mKeySha256.size() == 64);
  const auto refused = [&](const std::function<void(Intent&)>& aSpoil) {
    Intent intent = good();
    aSpoil(intent);
    return CodeThrownBy([&] { CheckIntentAndHashKeys(intent); }) ==
           ResultCode::kBadField;
  };
  CHECK(refused([](Intent& aIntent) { aIntent.mModels[0].mLayers = -1; }));
  CHECK(refused([](Intent& aIntent) { aIntent.mModels[0].mName = "a b"; }));
  CHECK(refused(
      [](Intent& aIntent) { aIntent.mModels.push_back(aIntent.mModels[0]); }));
  CHECK(refused([](Intent& aIntent) { aIntent.mWorkspaces[0].mKey = "x"; }));
  CHECK(refused(
      [](Intent& aIntent) { aIntent.mWorkspaces[0].mModels = {"other"}; }));
  CHECK(refused(
      [](Intent& aIntent) { aIntent.mWorkspaces[0].mRequestsPerSecond = -4; }));
}
