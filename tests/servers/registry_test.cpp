#include "spindleweir/servers/membership/control_directory.h"
#include "spindleweir/servers/membership/upstream_registry.h"
#include "spindleweir/servers/membership/voter_plan.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

UpstreamRecord Record(const std::string& aInstance, std::int64_t aSequence,
                      UpstreamState aState = UpstreamState::kReady) {
  return {.mInstance = aInstance,
          .mService = "s",
          .mAddress = "10.0.0.1:80",
          .mZone = "z",
          .mState = aState,
          .mSequence = aSequence};
}

UpstreamState StateOf(const UpstreamRegistry& aRegistry,
                      const std::string& aInstance) {
  return aRegistry.Find(aInstance)->mState;
}

ControlInfo Control(const std::string& aId) {
  return {.mId = aId};
}

}  // namespace

Test(registry, heartbeats_are_ordered_by_their_sequence) {
  UpstreamRegistry registry;
  registry.Beat(Record("a", 2), 0);
  SECTION("a late one changes nothing") {
    UpstreamRecord late = Record("a", 1);
    late.mLayers = {0, 8};
    CHECK(!registry.Beat(late, 10));
    CHECK(registry.Find("a")->mLayers.Count() == 0);
  }
  SECTION("who said that it leaves does not come back") {
    CHECK(registry.Beat(Record("a", 3, UpstreamState::kLeaving), 20));
    registry.Beat(Record("a", 4), 30);
    CHECK(StateOf(registry, "a") == UpstreamState::kLeaving);
  }
  SECTION("after the leave a late heartbeat counts for nothing") {
    CHECK(registry.Leave("a", 40));
    registry.Beat(Record("a", 9), 50);
    CHECK(StateOf(registry, "a") == UpstreamState::kGone);
  }
  SECTION("a new one at the address ends the old one") {
    UpstreamRegistry other;
    other.Beat(Record("old", 7), 0);
    other.Beat(Record("new", 1), 100);
    CHECK(StateOf(other, "old") == UpstreamState::kGone);
    CHECK(StateOf(other, "new") == UpstreamState::kReady);
  }
}

Test(registry, silence_ends_with_the_next_heartbeat) {
  UpstreamRegistry registry;
  registry.Beat(Record("a", 1), 0);
  CHECK(registry.Expire(3600, 3600).empty());
  CHECK(registry.Expire(3600, 3601).size() == 1);
  CHECK(StateOf(registry, "a") == UpstreamState::kSilent);
  CHECK(registry.Beat(Record("a", 2), 3700));
  CHECK(StateOf(registry, "a") == UpstreamState::kReady);
}

Test(registry, a_heartbeat_heard_by_two_ways_can_fall_silent) {
  // Found on the users' platform, grown: routers that took all records anew
  // from a control that had just started went on using dead engines.
  UpstreamRegistry registry;
  UpstreamRecord word = Record("a", 23);
  word.mHeardAgo = 40;
  registry.Merge(word, 1000);
  word.mHeardAgo = 33;
  registry.Merge(word, 1000);
  word.mState = UpstreamState::kSilent;
  word.mHeardAgo = 3640;
  CHECK(registry.Merge(word, 4600));
  CHECK(StateOf(registry, "a") == UpstreamState::kSilent);
}

Test(registry, a_part_of_control_that_hears_one_says_so_to_who_doubts) {
  // Found on the users' platform: while control was split, the part that an
  // upstream's heartbeats did not reach called it silent, and routers that
  // ask both parts were told of that alone.
  UpstreamRegistry here;
  UpstreamRegistry there;
  UpstreamRegistry router;
  here.Beat(Record("a", 12), 0);
  there.Beat(Record("a", 12), 0);
  there.Beat(Record("a", 14), 2400);
  REQUIRE(here.Expire(3600, 3700).size() == 1);
  for (const UpstreamRecord& record : here.ChangedSince(0, 3700)) {
    router.Merge(record, 3700);
  }
  CHECK(StateOf(router, "a") == UpstreamState::kSilent);
  CHECK(here.HeardLater(router.Silent(), 3600, 3800).empty());
  SECTION("one that was heard long ago proves nothing") {
    CHECK(there.HeardLater(router.Silent(), 3600, 6100).empty());
  }
  for (const UpstreamRecord& record :
       there.HeardLater(router.Silent(), 3600, 3800)) {
    router.Merge(record, 3800);
  }
  CHECK(StateOf(router, "a") == UpstreamState::kReady);
}

Test(registry, who_was_cut_off_does_not_silence_others) {
  // Found on the users' platform: after a cut of a zone its control told all
  // others that their upstreams were silent.
  UpstreamRegistry registry;
  registry.Beat(Record("a", 44), 5000);
  UpstreamRecord word = Record("a", 39, UpstreamState::kSilent);
  word.mHeardAgo = 5500;
  CHECK(!registry.Merge(word, 5600));
  CHECK(StateOf(registry, "a") == UpstreamState::kReady);
  SECTION("who has heard as much does") {
    word.mSequence = 44;
    word.mHeardAgo = 600;
    CHECK(registry.Merge(word, 5600));
    CHECK(StateOf(registry, "a") == UpstreamState::kSilent);
  }
}

Test(registry, routers_get_what_changed_and_controls_all_heartbeats) {
  UpstreamRegistry registry;
  registry.Beat(Record("a", 1), 0);
  const std::int64_t known = registry.Revision();
  registry.Beat(Record("a", 2), 1200);
  CHECK(registry.ChangedSince(known, 1300).empty());
  REQUIRE(registry.BeatsSince(known, registry.Revision(), 1300).size() == 1);
  CHECK(registry.BeatsSince(known, registry.Revision(), 1300)[0].mHeardAgo ==
        100);
  SECTION("another registry knows as much after taking both") {
    UpstreamRegistry other;
    for (const UpstreamRecord& record : registry.ChangedSince(0, 1300)) {
      other.Merge(record, 5000);
    }
    for (const UpstreamBeat& beat :
         registry.BeatsSince(0, registry.Revision(), 1300)) {
      other.Touch(beat, 5000);
    }
    CHECK(other.Find("a")->mSequence == 2);
    CHECK(other.Expire(3600, 8400).empty());
    CHECK(other.Expire(3600, 8501 + 1).size() == 1);
  }
}

Test(registry, a_heartbeat_is_not_known_before_what_it_told) {
  UpstreamRegistry there;
  there.Beat(Record("a", 1), 0);
  const std::int64_t known = there.Revision();
  UpstreamRecord loaded = Record("a", 2);
  loaded.mLayers = {0, 8};
  there.Beat(loaded, 1200);
  SECTION("a heartbeat with news is left out until the news are told") {
    CHECK(there.BeatsSince(known, known, 1300).empty());
    CHECK(there.BeatsSince(known, there.Revision(), 1300).size() == 1);
  }
  SECTION("heard of out of order, the news still count") {
    UpstreamRegistry here;
    here.Beat(Record("a", 1), 0);
    here.Touch({"a", 3, 0}, 2400);
    CHECK(here.Merge(loaded, 2500));
    CHECK(here.Find("a")->mLayers.Count() == 8);
    CHECK(here.Find("a")->mSequence == 3);
  }
}

Test(registry, heartbeats_are_told_on_only_to_who_does_not_hear_their_source) {
  // Three controls that hear each other, or of which two do not.
  UpstreamRegistry first;
  UpstreamRegistry second;
  first.Beat(Record("a", 1), 0);
  second.Merge(Record("a", 1), 0, "first");
  const std::int64_t known = second.Revision();
  first.Beat(Record("a", 2), 1200);
  second.Touch({"a", 2, 0}, 1200, "first");
  CHECK(second.BeatsSince(known, known, 1300, {"first"}).empty());
  CHECK(second.BeatsSince(known, known, 1300, {"third"}).size() == 1);
  SECTION("what was heard here is told to all") {
    second.Beat(Record("a", 3), 2400);
    CHECK(second.BeatsSince(known, known, 2500, {"first"}).size() == 1);
  }
}

Test(registry, word_of_an_older_incarnation_that_comes_late_changes_nothing) {
  UpstreamRegistry registry;
  registry.Beat(Record("new", 4), 5000);
  UpstreamRecord late = Record("old", 30);
  late.mHeardAgo = 3000;
  registry.Merge(late, 5100);
  CHECK(StateOf(registry, "new") == UpstreamState::kReady);
  CHECK(StateOf(registry, "old") != UpstreamState::kReady);
}

Test(voters, the_id_names_address_and_disk) {
  const Endpoint address{"10.0.0.1", 7000};
  const std::string id = ControlId(address, "first");
  CHECK(id == "10.0.0.1:7000#first");
  CHECK(AddressOfControl(id) == address);
  CHECK(CodeThrownBy([] { AddressOfControl("x"); }) == ResultCode::kBadField);
}

Test(voters, a_lost_voter_is_replaced_one_step_at_a_time) {
  ControlDirectory directory;
  VoterQuestion question;
  question.mSelf = "10.0.0.1:1#first";
  question.mVoters = {"10.0.0.1:1#first", "10.0.0.2:1#first",
                      "10.0.0.3:1#first"};
  question.mDirectory = &directory;
  for (const std::string& id : question.mVoters) {
    directory.Heard(Control(id), 1000);
  }
  question.mNow = 2000;
  SECTION("all are there: nothing changes") {
    CHECK(NextVoters(question) == question.mVoters);
  }
  SECTION("one is silent, but nobody could take its place") {
    directory.Heard(Control("10.0.0.2:1#first"), 9000);
    question.mNow = 9000;
    CHECK(NextVoters(question) == question.mVoters);
  }
  SECTION("one came back with an empty disk: the old one leaves at once") {
    directory.Heard(Control("10.0.0.2:1#first"), 9900);
    directory.Heard(Control("10.0.0.3:1#new"), 9900);
    question.mNow = 10000;
    const std::vector<std::string> without = {"10.0.0.1:1#first",
                                              "10.0.0.2:1#first"};
    CHECK(NextVoters(question) == without);
    question.mVoters = without;
    CHECK(NextVoters(question).back() == "10.0.0.3:1#new");
    CHECK(NextVoters(question).size() == 3);
  }
  SECTION("two more join together, one alone waits") {
    ControlDirectory larger;
    VoterQuestion more;
    more.mSelf = "10.0.0.1:1#first";
    more.mVoters = {"10.0.0.1:1#first", "10.0.0.2:1#first", "10.0.0.3:1#first"};
    more.mDirectory = &larger;
    more.mNow = 2000;
    for (const std::string& id : more.mVoters) {
      larger.Heard(Control(id), 1500);
    }
    larger.Heard(Control("10.0.0.4:1#first"), 2000);
    CHECK(NextVoters(more) == more.mVoters);
    larger.Heard(Control("10.0.0.5:1#first"), 2000);
    CHECK(NextVoters(more).size() == 4);
  }
}
