#include <limits>

#include "spindleweir/core/packing.h"
#include "spindleweir/servers/membership/control_directory.h"
#include "spindleweir/servers/membership/upstream_registry.h"
#include "spindleweir/servers/membership/upstream_table.h"
#include "spindleweir/servers/membership/voter_plan.h"
#include "spindleweir/servers/routing/load_aggregator.h"
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

/// A heartbeat of an incarnation that started at aStart.
UpstreamRecord Life(std::int64_t aStart, std::int64_t aSequence,
                    UpstreamState aState = UpstreamState::kReady) {
  UpstreamRecord record = Record("a", aSequence, aState);
  record.mStart = aStart;
  return record;
}

UpstreamRecord Holding(UpstreamRecord aRecord, LayerRange aLayers) {
  aRecord.mLayers = aLayers;
  return aRecord;
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
  registry.ApplyHeartbeat(Record("a", 2), 0);
  SECTION("a late one changes nothing") {
    UpstreamRecord late = Record("a", 1);
    late.mLayers = {0, 8};
    CHECK(!registry.ApplyHeartbeat(late, 10));
    CHECK(registry.Find("a")->mLayers.Count() == 0);
  }
  SECTION("who said that it leaves does not come back") {
    CHECK(registry.ApplyHeartbeat(Record("a", 3, UpstreamState::kLeaving), 20));
    registry.ApplyHeartbeat(Record("a", 4), 30);
    CHECK(StateOf(registry, "a") == UpstreamState::kLeaving);
  }
  SECTION("after the leave a late heartbeat counts for nothing") {
    CHECK(registry.ApplyLeave("a", 40) == LeaveOutcome::kEnded);
    registry.ApplyHeartbeat(Record("a", 9), 50);
    CHECK(StateOf(registry, "a") == UpstreamState::kGone);
  }
  SECTION("a new one at the address ends the old one") {
    UpstreamRegistry other;
    other.ApplyHeartbeat(Record("old", 7), 0);
    other.ApplyHeartbeat(Record("new", 1), 100);
    CHECK(StateOf(other, "old") == UpstreamState::kGone);
    CHECK(StateOf(other, "new") == UpstreamState::kReady);
  }
}

Test(registry, silence_ends_with_the_next_heartbeat) {
  UpstreamRegistry registry;
  registry.ApplyHeartbeat(Record("a", 1), 0);
  CHECK(registry.Expire(3600, 3600).empty());
  CHECK(registry.Expire(3600, 3601).size() == 1);
  CHECK(StateOf(registry, "a") == UpstreamState::kSilent);
  CHECK(registry.ApplyHeartbeat(Record("a", 2), 3700));
  CHECK(StateOf(registry, "a") == UpstreamState::kReady);
}

Test(registry, a_heartbeat_heard_by_two_ways_can_fall_silent) {
  // Found on the users' platform, grown: routers that took all records anew
  // from a control that had just started went on using dead engines.
  UpstreamRegistry registry;
  UpstreamRecord word = Record("a", 23);
  word.mLastSeenAgo = 40;
  registry.Merge(word, 1000);
  word.mLastSeenAgo = 33;
  registry.Merge(word, 1000);
  word.mState = UpstreamState::kSilent;
  word.mLastSeenAgo = 3640;
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
  here.ApplyHeartbeat(Record("a", 12), 0);
  there.ApplyHeartbeat(Record("a", 12), 0);
  there.ApplyHeartbeat(Record("a", 14), 2400);
  REQUIRE(here.Expire(3600, 3700).size() == 1);
  for (const UpstreamRecord& record : here.ChangedSince(0, 3700)) {
    router.Merge(record, 3700);
  }
  CHECK(StateOf(router, "a") == UpstreamState::kSilent);
  CHECK(here.SeenLaterThan(router.SilentUpstreams(), 3600, 3800).empty());
  SECTION("one that was heard long ago proves nothing") {
    CHECK(there.SeenLaterThan(router.SilentUpstreams(), 3600, 6100).empty());
  }
  for (const UpstreamRecord& record :
       there.SeenLaterThan(router.SilentUpstreams(), 3600, 3800)) {
    router.Merge(record, 3800);
  }
  CHECK(StateOf(router, "a") == UpstreamState::kReady);
}

Test(registry, who_was_cut_off_does_not_silence_others) {
  // Found on the users' platform: after a cut of a zone its control told all
  // others that their upstreams were silent.
  UpstreamRegistry registry;
  registry.ApplyHeartbeat(Record("a", 44), 5000);
  UpstreamRecord word = Record("a", 39, UpstreamState::kSilent);
  word.mLastSeenAgo = 5500;
  CHECK(!registry.Merge(word, 5600));
  CHECK(StateOf(registry, "a") == UpstreamState::kReady);
  SECTION("who has heard as much does") {
    word.mSequence = 44;
    word.mLastSeenAgo = 600;
    CHECK(registry.Merge(word, 5600));
    CHECK(StateOf(registry, "a") == UpstreamState::kSilent);
  }
}

Test(registry, routers_get_what_changed_and_controls_all_heartbeats) {
  UpstreamRegistry registry;
  registry.ApplyHeartbeat(Record("a", 1), 0);
  const std::int64_t known = registry.Revision();
  registry.ApplyHeartbeat(Record("a", 2), 1200);
  CHECK(registry.ChangedSince(known, 1300).empty());
  REQUIRE(registry.HeartbeatsSince(known, registry.Revision(), 1300).size() ==
          1);
  CHECK(registry.HeartbeatsSince(known, registry.Revision(), 1300)[0]
            .mLastSeenAgo == 100);
  SECTION("another registry knows as much after taking both") {
    UpstreamRegistry other;
    for (const UpstreamRecord& record : registry.ChangedSince(0, 1300)) {
      other.Merge(record, 5000);
    }
    for (const UpstreamHeartbeat& beat :
         registry.HeartbeatsSince(0, registry.Revision(), 1300)) {
      other.MergeHeartbeat(beat, 5000);
    }
    CHECK(other.Find("a")->mSequence == 2);
    CHECK(other.Expire(3600, 8400).empty());
    CHECK(other.Expire(3600, 8501 + 1).size() == 1);
  }
}

Test(registry, a_heartbeat_is_not_known_before_what_it_told) {
  UpstreamRegistry there;
  there.ApplyHeartbeat(Record("a", 1), 0);
  const std::int64_t known = there.Revision();
  UpstreamRecord loaded = Record("a", 2);
  loaded.mLayers = {0, 8};
  there.ApplyHeartbeat(loaded, 1200);
  SECTION("a heartbeat with news is left out until the news are told") {
    CHECK(there.HeartbeatsSince(known, known, 1300).empty());
    CHECK(there.HeartbeatsSince(known, there.Revision(), 1300).size() == 1);
  }
  SECTION("heard of out of order, the news still count") {
    UpstreamRegistry here;
    here.ApplyHeartbeat(Record("a", 1), 0);
    here.MergeHeartbeat({"a", 3, 0}, 2400);
    CHECK(here.Merge(loaded, 2500));
    CHECK(here.Find("a")->mLayers.Count() == 8);
    CHECK(here.Find("a")->mSequence == 3);
  }
}

Test(registry, heartbeats_are_told_on_only_to_who_does_not_hear_their_source) {
  // Three controls that hear each other, or of which two do not.
  UpstreamRegistry first;
  UpstreamRegistry second;
  first.ApplyHeartbeat(Record("a", 1), 0);
  second.Merge(Record("a", 1), 0, "first");
  const std::int64_t known = second.Revision();
  first.ApplyHeartbeat(Record("a", 2), 1200);
  second.MergeHeartbeat({"a", 2, 0}, 1200, "first");
  CHECK(second.HeartbeatsSince(known, known, 1300, {"first"}).empty());
  CHECK(second.HeartbeatsSince(known, known, 1300, {"third"}).size() == 1);
  SECTION("what was heard here is told to all") {
    second.ApplyHeartbeat(Record("a", 3), 2400);
    CHECK(second.HeartbeatsSince(known, known, 2500, {"first"}).size() == 1);
  }
}

Test(registry, word_of_an_older_incarnation_that_comes_late_changes_nothing) {
  UpstreamRegistry registry;
  registry.ApplyHeartbeat(Record("new", 4), 5000);
  UpstreamRecord late = Record("old", 30);
  late.mLastSeenAgo = 3000;
  registry.Merge(late, 5100);
  CHECK(StateOf(registry, "new") == UpstreamState::kReady);
  CHECK(StateOf(registry, "old") != UpstreamState::kReady);
}

Test(registry, a_newer_start_is_a_new_incarnation) {
  UpstreamRegistry registry;
  std::vector<std::int64_t> successors;
  registry.SetSuccessorHook([&successors](const UpstreamRecord& aRecord) {
    successors.push_back(aRecord.mStart);
  });
  registry.ApplyHeartbeat(Holding(Life(100, 50), {0, 8}), 0);
  SECTION("counting anew, it holds what it says and nothing else") {
    CHECK(registry.ApplyHeartbeat(Life(200, 1), 1000));
    CHECK(registry.Find("a")->mStart == 200);
    CHECK(registry.Find("a")->mSequence == 1);
    CHECK(registry.Find("a")->mLayers.Count() == 0);
    CHECK(successors == std::vector<std::int64_t>{200});
  }
  SECTION("no word of the older one counts any more, however late") {
    CHECK(!registry.ApplyHeartbeat(Holding(Life(100, 51), {0, 8}), 1100));
    CHECK(!registry.Merge(Life(100, 60, UpstreamState::kLeaving), 1200));
    CHECK(!registry.MergeHeartbeat({"a", 70, 0, 100}, 1300));
    CHECK(registry.ApplyLeave("a", 1400, 100) == LeaveOutcome::kAlreadyKnown);
    CHECK(!registry.Merge(Life(0, 90, UpstreamState::kGone), 1450));
    CHECK(registry.Find("a")->mStart == 200);
    CHECK(registry.Find("a")->mLayers.Count() == 0);
    CHECK(StateOf(registry, "a") == UpstreamState::kReady);
  }
  SECTION("the same sequence as before is no repetition") {
    CHECK(registry.ApplyHeartbeat(Holding(Life(300, 1), {8, 16}), 1500));
    CHECK(registry.Find("a")->mLayers.mFrom == 8);
  }
}

Test(registry, who_left_is_ready_again_after_its_next_start) {
  UpstreamRegistry registry;
  registry.ApplyHeartbeat(Life(100, 5), 0);
  SECTION("where it was leaving") {
    registry.ApplyHeartbeat(Life(100, 6, UpstreamState::kLeaving), 10);
    CHECK(registry.ApplyHeartbeat(Life(200, 1), 20));
    CHECK(StateOf(registry, "a") == UpstreamState::kReady);
  }
  SECTION("where it was gone") {
    CHECK(registry.ApplyLeave("a", 6000) == LeaveOutcome::kEnded);
    CHECK(registry.ApplyHeartbeat(Life(300, 1), 6100));
    CHECK(StateOf(registry, "a") == UpstreamState::kReady);
  }
}

Test(registry, a_leave_without_a_start_ends_who_is_known_but_no_new_one) {
  UpstreamRegistry registry;
  registry.ApplyHeartbeat(Life(100, 5), 0);
  registry.ApplyHeartbeat(Life(200, 1), 10000);
  SECTION("a late one of the predecessor") {
    CHECK(registry.ApplyLeave("a", 10300) == LeaveOutcome::kInDoubt);
    CHECK(StateOf(registry, "a") == UpstreamState::kReady);
  }
  SECTION("its own, told with its start") {
    UpstreamRegistry told = registry;
    CHECK(told.ApplyLeave("a", 10300, 200) == LeaveOutcome::kEnded);
    CHECK(StateOf(told, "a") == UpstreamState::kGone);
  }
  SECTION("its own, once it has been there for a while") {
    CHECK(registry.ApplyLeave("a", 10000 + kLeaveDoubtWindow) ==
          LeaveOutcome::kEnded);
    CHECK(StateOf(registry, "a") == UpstreamState::kGone);
  }
  SECTION("one that comes before the heartbeats of who says it") {
    UpstreamRegistry empty;
    CHECK(empty.ApplyLeave("a", 0) == LeaveOutcome::kEnded);
    empty.ApplyHeartbeat(Life(200, 9), 400);
    CHECK(StateOf(empty, "a") == UpstreamState::kGone);
  }
  SECTION("told on, it ends the one that another registry knows") {
    UpstreamRegistry unknowing;
    unknowing.ApplyLeave("a", 0);
    UpstreamRegistry other;
    other.ApplyHeartbeat(Life(200, 8), 0);
    for (const UpstreamRecord& record : unknowing.ChangedSince(0, 10)) {
      other.Merge(record, 20);
    }
    CHECK(StateOf(other, "a") == UpstreamState::kGone);
  }
}

Test(registry, a_start_that_looks_older_is_not_shut_out_for_ever) {
  // The clock of its VM was set back between two lives.
  UpstreamRegistry registry;
  registry.ApplyHeartbeat(Holding(Life(200, 50), {0, 8}), 0);
  std::int64_t sequence = 0;
  Millis now = 1000;
  for (; now <= 60000; now += 1000) {
    registry.ApplyHeartbeat(Life(100, ++sequence), now);
    registry.Expire(3600, now);
    CHECK(registry.Find("a")->mStart == 200);
  }
  CHECK(StateOf(registry, "a") == UpstreamState::kSilent);
  SECTION("after a minute without word of the other it takes its place") {
    registry.Expire(3600, 60001);
    CHECK(registry.Find("a")->mStart == 100);
    CHECK(registry.Find("a")->mSequence == sequence);
    CHECK(registry.Find("a")->mLayers.Count() == 0);
    CHECK(StateOf(registry, "a") == UpstreamState::kReady);
  }
  SECTION("old word of the other does not bring it back") {
    UpstreamRecord old = Holding(Life(200, 50), {0, 8});
    old.mLastSeenAgo = 60400;
    CHECK(!registry.Merge(old, 60400));
    CHECK(registry.Find("a")->mStart == 100);
  }
  SECTION("one whose end was told does not wait") {
    UpstreamRegistry other;
    other.ApplyHeartbeat(Life(200, 1), 0);
    other.ApplyHeartbeat(Life(100, 1), 59000);
    other.ApplyLeave("a", 59500, 100);
    other.Expire(3600, 60001);
    CHECK(StateOf(other, "a") == UpstreamState::kGone);
  }
  SECTION("a router that is told of changes alone comes to the same") {
    UpstreamRegistry router;
    router.Merge(Life(200, 50, UpstreamState::kSilent), 0);
    router.Merge(Life(100, 1), 55000);
    router.RemoveEnded(60000);
    CHECK(router.Find("a")->mStart == 200);
    router.RemoveEnded(60001);
    CHECK(router.Find("a")->mStart == 100);
  }
}

Test(registry, routers_forget_those_that_ended_and_no_others) {
  UpstreamRegistry router;
  router.Merge(Record("gone", 3, UpstreamState::kGone), 0);
  UpstreamRecord ready = Record("ready", 3);
  ready.mAddress = "10.0.0.2:80";
  router.Merge(ready, 0);
  const std::int64_t before = router.LastChangeRevision();
  router.RemoveEnded(60000);
  CHECK(router.Size() == 2);
  router.RemoveEnded(60001);
  CHECK(router.Find("gone") == nullptr);
  CHECK(router.Find("ready") != nullptr);
  CHECK(router.LastChangeRevision() > before);
}

Test(registry, an_address_has_the_process_that_started_there_last) {
  UpstreamRegistry registry;
  UpstreamRecord fresh = Record("fresh", 1);
  fresh.mStart = 200;
  fresh.mService = "other";
  registry.ApplyHeartbeat(fresh, 1000);
  SECTION("a late heartbeat of the one before does not end it") {
    UpstreamRecord late = Record("late", 30);
    late.mStart = 100;
    registry.ApplyHeartbeat(late, 1100);
    CHECK(StateOf(registry, "fresh") == UpstreamState::kReady);
    CHECK(StateOf(registry, "late") == UpstreamState::kSilent);
  }
  SECTION("nor does late word that one is gone, whatever its clock said") {
    UpstreamRecord gone = Record("gone", 30, UpstreamState::kGone);
    gone.mStart = 300;
    registry.Merge(gone, 1100);
    CHECK(StateOf(registry, "fresh") == UpstreamState::kReady);
    CHECK(StateOf(registry, "gone") == UpstreamState::kGone);
  }
  SECTION("one that started there later does") {
    UpstreamRecord next = Record("next", 1);
    next.mStart = 300;
    registry.ApplyHeartbeat(next, 1200);
    CHECK(StateOf(registry, "fresh") == UpstreamState::kGone);
    CHECK(StateOf(registry, "next") == UpstreamState::kReady);
  }
}

Test(registry, processes_of_the_former_version_tell_no_starts) {
  UpstreamRegistry registry;
  SECTION("among themselves they are ordered by sequence, as ever") {
    registry.Merge(Life(0, 5), 0);
    CHECK(!registry.Merge(Life(0, 4, UpstreamState::kReady), 10));
    CHECK(registry.Merge(Life(0, 6, UpstreamState::kLeaving), 20));
  }
  SECTION("the start of the same one that is told elsewhere is no restart") {
    UpstreamRegistry learning;
    int successors = 0;
    learning.SetSuccessorHook(
        [&successors](const UpstreamRecord&) { successors++; });
    learning.Merge(Life(0, 5), 0);
    CHECK(learning.ApplyHeartbeat(Life(100, 6), 10));
    CHECK(learning.Find("a")->mStart == 100);
    CHECK(successors == 0);
  }
  SECTION("any start that is told is newer") {
    CHECK(registry.Merge(Life(100, 1), 30));
    CHECK(!registry.Merge(Life(0, 9), 40));
    CHECK(registry.Find("a")->mStart == 100);
    CHECK(StateOf(registry, "a") == UpstreamState::kReady);
  }
}

Test(registry, who_doubts_is_told_of_a_newer_start) {
  UpstreamRegistry there;
  there.ApplyHeartbeat(Life(200, 1), 0);
  CHECK(there.SeenLaterThan({{"a", 50, 100}}, 3600, 10).size() == 1);
  CHECK(there.SeenLaterThan({{"a", 0, 300}}, 3600, 10).empty());
}

Test(rows, a_bad_row_costs_that_row_only) {
  std::vector<UpstreamRecord> records = {Life(100, 1), Life(200, 2),
                                         Life(300, 3)};
  for (std::size_t i = 0; i < records.size(); i++) {
    records[i].mInstance = std::string(1, static_cast<char>('a' + i));
    records[i].mLayers = {0, 8};
  }
  std::vector<std::string> bad;
  const InvalidRowHook onBad = [&bad](const std::string& aInstance,
                                      const Error&) {
    bad.push_back(aInstance);
  };
  SECTION("whole rows come back as they were") {
    const auto back = UnpackUpstreams(PackUpstreams(records), onBad);
    REQUIRE(back.size() == 3);
    CHECK(back[2].mStart == 300);
    CHECK(bad.empty());
  }
  const auto rowsAfter = [&](const char* aColumn, const Json::Value& aValue) {
    Json::Value table = ToJson(UpstreamTable::Of(records));
    table[aColumn][1] = aValue;
    bad.clear();
    const auto back = UnpackUpstreams(Pack(DumpJson(table)), onBad);
    return back.size() == 2 && back[0].mInstance == "a" &&
           back[1].mInstance == "c" && back[1].mLayers.Count() == 8 &&
           bad.size() == 1;
  };
  SECTION("a value out of range") {
    CHECK(rowsAfter("slots", -1));
    CHECK(rowsAfter("froms", -1));
    CHECK(rowsAfter("froms", 8));
    CHECK(rowsAfter("states", 4));
    CHECK(rowsAfter("sequences", -1));
    CHECK(rowsAfter("starts", -1));
    CHECK(rowsAfter("heard_ago_ms", -1));
    CHECK(rowsAfter("heard_ago_ms", std::numeric_limits<Json::Int64>::max()));
    CHECK(rowsAfter("tos", std::numeric_limits<int>::max()));
    CHECK(rowsAfter("services", 9));
    CHECK(rowsAfter("busy", 2));
    CHECK(rowsAfter("addresses", "nowhere"));
    CHECK(rowsAfter("addresses", "example.org:80"));
    CHECK(rowsAfter("instances", "two words"));
  }
  SECTION("a value of another type") {
    for (const char* column : {"instances", "addresses", "services", "zones",
                               "kinds", "slots", "states", "froms", "tos",
                               "busy", "sequences", "heard_ago_ms", "starts"}) {
      CHECK(rowsAfter(column, Json::Value(Json::objectValue)));
      CHECK(rowsAfter(column, Json::Value()));
    }
    CHECK(rowsAfter("sequences", 1.5));
    CHECK(rowsAfter("starts", "100"));
  }
  SECTION("a column that ends early") {
    Json::Value table = ToJson(UpstreamTable::Of(records));
    table["tos"].resize(1);
    const auto back = UnpackUpstreams(Pack(DumpJson(table)), onBad);
    CHECK(back.size() == 1);
  }
  SECTION("no starts at all, as the former version writes") {
    Json::Value table = ToJson(UpstreamTable::Of(records));
    table.removeMember("starts");
    const auto back = UnpackUpstreams(Pack(DumpJson(table)), onBad);
    REQUIRE(back.size() == 3);
    CHECK(back[0].mStart == 0);
  }
  SECTION("heartbeats") {
    HeartbeatTable beats;
    beats.mInstances = {"a", "", "c", "d"};
    beats.mSequences = {1, 2, -3, 4};
    beats.mLastSeenAgo = {0, 0, 0};
    CHECK(beats.Heartbeats(onBad).size() == 1);
  }
  SECTION("heartbeats with values of another type") {
    Json::Value table =
        ToJson(HeartbeatTable::Of({{"a", 1}, {"b", 2}, {"c", 3}}));
    table["sequences"][1] = "two";
    CHECK(ReadHeartbeats(table, onBad).size() == 2);
    CHECK(ReadHeartbeats(Json::Value(), onBad).empty());
    CHECK(CodeThrownBy([&] { ReadHeartbeats(Json::Value(7), onBad); }) ==
          ResultCode::kBadField);
  }
  SECTION("loads") {
    LoadTable loads;
    loads.mInstances = {"a", "b", "", "d", "e"};
    loads.mRequests = {1, -2, 3, 4};
    const LoadShares shares = UsableRows(loads, onBad).ToShares();
    CHECK(shares.size() == 2);
    CHECK(shares.at("d").mRequests == 4);
    Json::Value table = ToJson(loads);
    table["requests"][0] = Json::Value(Json::objectValue);
    CHECK(UnpackLoads(Pack(DumpJson(table)), onBad).size() == 1);
  }
  SECTION("rows of a list in a message") {
    std::vector<Json::Value> rows = WriteRows(records);
    rows[1]["sequence"] = "two";
    rows.emplace_back(7);
    CHECK(ReadRows<UpstreamRecord>(rows, onBad).size() == 2);
  }
}

Test(rows, what_is_left_out_is_logged_now_and_then) {
  InvalidMessageLogLimiter pace;
  CHECK(pace.OnInvalidMessage(0).mShouldLog);
  for (Millis now = 1; now < 10000; now += 100) {
    CHECK(!pace.OnInvalidMessage(now).mShouldLog);
  }
  const InvalidMessageLogLimiter::Decision turn = pace.OnInvalidMessage(10000);
  CHECK(turn.mShouldLog);
  CHECK(turn.mSuppressed == 100);
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
  VoterPlanInput question;
  question.mSelf = "10.0.0.1:1#first";
  question.mVoters = {"10.0.0.1:1#first", "10.0.0.2:1#first",
                      "10.0.0.3:1#first"};
  question.mDirectory = &directory;
  for (const std::string& id : question.mVoters) {
    directory.OnSeen(Control(id), 1000);
  }
  question.mNow = 2000;
  SECTION("all are there: nothing changes") {
    CHECK(NextVoters(question) == question.mVoters);
  }
  SECTION("one is silent, but nobody could take its place") {
    directory.OnSeen(Control("10.0.0.2:1#first"), 9000);
    question.mNow = 9000;
    CHECK(NextVoters(question) == question.mVoters);
  }
  SECTION("one came back with an empty disk: the old one leaves at once") {
    directory.OnSeen(Control("10.0.0.2:1#first"), 9900);
    directory.OnSeen(Control("10.0.0.3:1#new"), 9900);
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
    VoterPlanInput more;
    more.mSelf = "10.0.0.1:1#first";
    more.mVoters = {"10.0.0.1:1#first", "10.0.0.2:1#first", "10.0.0.3:1#first"};
    more.mDirectory = &larger;
    more.mNow = 2000;
    for (const std::string& id : more.mVoters) {
      larger.OnSeen(Control(id), 1500);
    }
    larger.OnSeen(Control("10.0.0.4:1#first"), 2000);
    CHECK(NextVoters(more) == more.mVoters);
    larger.OnSeen(Control("10.0.0.5:1#first"), 2000);
    CHECK(NextVoters(more).size() == 4);
  }
}
