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

/// Guards against a stated list of nothing taken for none: a workspace whose
/// last zone an operator takes away could be processed in all of them.
Test(configuration, an_intent_states_no_empty_restriction) {
  const auto codeOf = [](const std::string& aText) {
    return CodeThrownBy([&aText] { FromJson<Intent>(ParseJson(aText), true); });
  };
  for (const char* list : {"models", "services", "zones", "hardware"}) {
    const std::string field = std::string("\"") + list + "\":";
    CHECK(codeOf(R"({"workspaces":[{"name":"w",)" + field + "[]}]}") ==
          ResultCode::kBadField);
    CHECK(codeOf(R"({"workspaces":[{"name":"w",)" + field + "null}]}") ==
          ResultCode::kBadField);
    CHECK(codeOf(R"({"workspaces":[{"name":"w",)" + field + R"(["x"]}]})") ==
          ResultCode::kOk);
  }
  CHECK(codeOf(R"({"models":[{"name":"m","layers":3,"zones":[]}]})") ==
        ResultCode::kBadField);
  CHECK(codeOf(R"({"models":[{"name":"m","layers":3,"hardware":[]}]})") ==
        ResultCode::kBadField);
  CHECK(codeOf(R"({"services":[{"name":"s","zones":[]}]})") ==
        ResultCode::kBadField);
  SECTION("one that is left out stays so on its way to other processes") {
    const auto first =
        FromJson<Intent>(ParseJson(R"({"workspaces":[{"name":"w"}]})"), true);
    const std::string text = DumpJson(ToJson(first));
    CHECK(codeOf(text) == ResultCode::kOk);
    CHECK(text.find("zones") == std::string::npos);
  }
  SECTION("what an earlier build stored is read") {
    const auto stored = FromJson<Intent>(
        ParseJson(R"({"workspaces":[{"name":"w","zones":[]}]})"));
    CHECK(stored.mWorkspaces[0].mZones.empty());
  }
}

Test(configuration, a_plan_changes_nothing_until_it_is_confirmed) {
  ConfigurationMachine machine;
  int accepted = 0;
  machine.SignalAccepted().connect([&](const Configuration&) { accepted++; });
  machine.Apply(PlanCommand("a", 0));
  CHECK(machine.Current().mVersion == 0 && accepted == 0);
  CHECK(machine.Apply(ConfirmCommand("c", "plan-a")).mCode == 0);
  CHECK(machine.Current().mVersion == 1 && accepted == 1);
  CHECK(machine.Current().mHash.size() == 64);
  SECTION("the next version has this hash as its previous one") {
    const std::string hash = machine.Current().mHash;
    machine.Apply(PlanCommand("b", 1));
    machine.Apply(ConfirmCommand("d", "plan-b"));
    CHECK(machine.Current().mPreviousHash == hash);
  }
}

Test(configuration, of_two_plans_for_one_version_one_is_accepted) {
  ConfigurationMachine machine;
  machine.Apply(PlanCommand("a", 0));
  machine.Apply(PlanCommand("b", 0));
  CHECK(machine.Apply(ConfirmCommand("ca", "plan-a")).mCode == 0);
  const CommandResult second = machine.Apply(ConfirmCommand("cb", "plan-b"));
  CHECK(second.mCode == CodeOf(ResultCode::kVersionConflict));
  CHECK(second.mVersion == 1);
  CHECK(machine.Current().mIntent.mModels[0].mName == "model-a");
}

Test(configuration, a_repeated_command_gets_its_first_result) {
  ConfigurationMachine machine;
  machine.Apply(PlanCommand("a", 0));
  machine.Apply(ConfirmCommand("c", "plan-a"));
  machine.Apply(PlanCommand("b", 1));
  machine.Apply(ConfirmCommand("d", "plan-b"));
  SECTION("although a newer version is in force") {
    const CommandResult again = machine.Apply(ConfirmCommand("c", "plan-a"));
    CHECK(again.mCode == 0 && again.mVersion == 1);
    CHECK(machine.Current().mVersion == 2);
  }
  SECTION("if it was rejected") {
    const int first = machine.Apply(ConfirmCommand("e", "no-plan")).mCode;
    CHECK(machine.Apply(ConfirmCommand("e", "no-plan")).mCode == first);
  }
  SECTION("but not if its body differs") {
    CHECK(machine.Apply(ConfirmCommand("c", "plan-b")).mCode ==
          CodeOf(ResultCode::kCommandReused));
  }
  SECTION("after a restore from a snapshot") {
    ConfigurationMachine other;
    other.Restore(machine.Save());
    CHECK(other.Apply(ConfirmCommand("c", "plan-a")).mVersion == 1);
    CHECK(other.Current().mHash == machine.Current().mHash);
    CHECK(other.Save() == machine.Save());
  }
}

Test(configuration, expired_and_rejected_plans_cannot_be_confirmed) {
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

Test(configuration, a_repeated_drain_makes_no_new_version) {
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

Test(configuration_history, applies_only_updates_that_follow) {
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
  SECTION("a damaged change is rejected") {
    ConfigurationUpdate damaged = both;
    damaged.mChanges[0].mDrained.push_back("vm");
    CHECK(router.ApplyUpdate(damaged) ==
          ConfigurationUpdateResult::kHashMismatch);
    CHECK(router.Current().mVersion == 1);
  }
  SECTION("different content of a known version is a fork") {
    ConfigurationUpdate fork = first;
    REQUIRE(fork.mChanges.size() == 1);
    fork.mChanges[0].mDrained.push_back("vm");
    fork.mChanges[0].mHash = ChangeHash(fork.mChanges[0]);
    CHECK(router.ApplyUpdate(fork) == ConfigurationUpdateResult::kFork);
  }
  SECTION("changes and a full configuration lead to the same state") {
    ConfigurationHistory empty;
    const ConfigurationUpdate none =
        machine.History().UpdateFor({7, "elsewhere"});
    CHECK(none.mChanges.empty() && !none.mIsFull);
    const ConfigurationUpdate full =
        machine.History().UpdateFor({2, "elsewhere"});
    CHECK(full.mIsFull &&
          empty.ApplyUpdate(full) == ConfigurationUpdateResult::kApplied);
    CHECK(router.ApplyUpdate(both) == ConfigurationUpdateResult::kApplied);
    CHECK(ToJson(router.Current()) == ToJson(machine.Current()));
    CHECK(ToJson(empty.Current()) == ToJson(machine.Current()));
    CHECK(router.ApplyUpdate(full) == ConfigurationUpdateResult::kStale);
  }
}

Test(configuration, intents_are_checked_and_keys_are_hashed) {
  const auto makeIntent = [] {
    Intent intent;
    intent.mModels.push_back({.mName = "m", .mLayers = 4});
    intent.mWorkspaces.push_back({.mName = "w", .mKey = "a-long-key"});
    return intent;
  };
  Intent hashed = makeIntent();
  CheckIntentAndHashKeys(hashed);
  CHECK(hashed.mWorkspaces[0].mKey.empty());
  CHECK(hashed.mWorkspaces[0].mKeySha256.size() == 64);
  const auto rejected = [&](const std::function<void(Intent&)>& aModify) {
    Intent intent = makeIntent();
    aModify(intent);
    return CodeThrownBy([&] { CheckIntentAndHashKeys(intent); }) ==
           ResultCode::kBadField;
  };
  CHECK(rejected([](Intent& aIntent) { aIntent.mModels[0].mLayers = -1; }));
  CHECK(rejected([](Intent& aIntent) { aIntent.mModels[0].mName = "a b"; }));
  CHECK(rejected(
      [](Intent& aIntent) { aIntent.mModels.push_back(aIntent.mModels[0]); }));
  CHECK(rejected([](Intent& aIntent) { aIntent.mWorkspaces[0].mKey = "x"; }));
  CHECK(rejected(
      [](Intent& aIntent) { aIntent.mWorkspaces[0].mModels = {"other"}; }));
  CHECK(rejected(
      [](Intent& aIntent) { aIntent.mWorkspaces[0].mRequestsPerSecond = -4; }));
}
