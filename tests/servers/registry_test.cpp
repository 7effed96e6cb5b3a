#include <limits>

#include "spindleweir/core/packing.h"
#include "spindleweir/servers/membership/control_directory.h"
#include "spindleweir/servers/membership/upstream_changes.h"
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

/// A heartbeat of the incarnation of "a" that started at aStart.
UpstreamRecord Incarnation(std::int64_t aStart, std::int64_t aSequence,
                           UpstreamState aState = UpstreamState::kReady) {
  UpstreamRecord record = Record("a", aSequence, aState);
  record.mStart = aStart;
  return record;
}

UpstreamRecord WithLayers(UpstreamRecord aRecord, LayerRange aLayers) {
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
  SECTION("a late heartbeat changes nothing") {
    UpstreamRecord late = Record("a", 1);
    late.mLayers = {0, 8};
    CHECK(!registry.ApplyHeartbeat(late, 10));
    CHECK(registry.Find("a")->mLayers.Count() == 0);
  }
  SECTION("a leaving upstream does not become ready again") {
    CHECK(registry.ApplyHeartbeat(Record("a", 3, UpstreamState::kLeaving), 20));
    registry.ApplyHeartbeat(Record("a", 4), 30);
    CHECK(StateOf(registry, "a") == UpstreamState::kLeaving);
  }
  SECTION("a heartbeat after the leave is ignored") {
    CHECK(registry.ApplyLeave("a", 40) == LeaveOutcome::kEnded);
    registry.ApplyHeartbeat(Record("a", 9), 50);
    CHECK(StateOf(registry, "a") == UpstreamState::kGone);
  }
  SECTION("those that leave or are gone are listed with their age") {
    registry.ApplyHeartbeat(Record("b", 1), 60);
    const std::vector<UpstreamRecord> listed = registry.LeavingOrGone(100);
    REQUIRE(listed.size() == 1);
    CHECK(listed[0].mInstance == "a" && listed[0].mLastSeenAgo == 50);
  }
  SECTION("a new upstream at an address ends the old one") {
    UpstreamRegistry other;
    other.ApplyHeartbeat(Record("old", 7), 0);
    other.ApplyHeartbeat(Record("new", 1), 100);
    CHECK(StateOf(other, "old") == UpstreamState::kGone);
    CHECK(StateOf(other, "new") == UpstreamState::kReady);
  }
}

Test(registry, a_silent_upstream_is_ready_after_its_next_heartbeat) {
  UpstreamRegistry registry;
  registry.ApplyHeartbeat(Record("a", 1), 0);
  CHECK(registry.Expire(3600, 3600).empty());
  CHECK(registry.Expire(3600, 3601).size() == 1);
  CHECK(StateOf(registry, "a") == UpstreamState::kSilent);
  CHECK(registry.ApplyHeartbeat(Record("a", 2), 3700));
  CHECK(StateOf(registry, "a") == UpstreamState::kReady);
}

Test(registry, an_upstream_reported_by_two_ways_can_become_silent) {
  // Guards against routers that keep using dead engines: a router that receives
  // all records again from a restarted control has two slightly different times
  // for the same heartbeat, and must still accept that the upstream is silent.
  UpstreamRegistry registry;
  UpstreamRecord report = Record("a", 23);
  report.mLastSeenAgo = 40;
  registry.Merge(report, 1000);
  report.mLastSeenAgo = 33;
  registry.Merge(report, 1000);
  report.mState = UpstreamState::kSilent;
  report.mLastSeenAgo = 3640;
  CHECK(registry.Merge(report, 4600));
  CHECK(StateOf(registry, "a") == UpstreamState::kSilent);
}

Test(registry, a_control_reports_upstreams_that_others_consider_silent) {
  // Guards against a live upstream that routers consider silent: while a cut
  // splits control, the part that its heartbeats do not reach marks it as
  // silent, and routers that poll both parts must also receive the newer
  // heartbeat.
  UpstreamRegistry cutOff;
  UpstreamRegistry reached;
  UpstreamRegistry router;
  cutOff.ApplyHeartbeat(Record("a", 12), 0);
  reached.ApplyHeartbeat(Record("a", 12), 0);
  reached.ApplyHeartbeat(Record("a", 14), 2400);
  REQUIRE(cutOff.Expire(3600, 3700).size() == 1);
  for (const UpstreamRecord& record : cutOff.ChangedSince(0, 3700)) {
    router.Merge(record, 3700);
  }
  CHECK(StateOf(router, "a") == UpstreamState::kSilent);
  CHECK(cutOff.SeenLaterThan(router.SilentUpstreams(), 3600, 3800).empty());
  SECTION("an upstream seen too long ago is not reported") {
    CHECK(reached.SeenLaterThan(router.SilentUpstreams(), 3600, 6100).empty());
  }
  for (const UpstreamRecord& record :
       reached.SeenLaterThan(router.SilentUpstreams(), 3600, 3800)) {
    router.Merge(record, 3800);
  }
  CHECK(StateOf(router, "a") == UpstreamState::kReady);
}

Test(registry, a_control_that_was_cut_off_does_not_mark_upstreams_silent) {
  // Guards against live upstreams marked as silent: after a cut of a zone, its
  // control reports all upstreams of other zones as silent.
  UpstreamRegistry registry;
  registry.ApplyHeartbeat(Record("a", 44), 5000);
  UpstreamRecord report = Record("a", 39, UpstreamState::kSilent);
  report.mLastSeenAgo = 5500;
  CHECK(!registry.Merge(report, 5600));
  CHECK(StateOf(registry, "a") == UpstreamState::kReady);
  SECTION("a report with the newest heartbeat does") {
    report.mSequence = 44;
    report.mLastSeenAgo = 600;
    CHECK(registry.Merge(report, 5600));
    CHECK(StateOf(registry, "a") == UpstreamState::kSilent);
  }
}

Test(registry, routers_receive_changes_and_controls_all_heartbeats) {
  UpstreamRegistry registry;
  registry.ApplyHeartbeat(Record("a", 1), 0);
  const std::int64_t known = registry.Revision();
  registry.ApplyHeartbeat(Record("a", 2), 1200);
  CHECK(registry.ChangedSince(known, 1300).empty());
  REQUIRE(registry.HeartbeatsSince(known, registry.Revision(), 1300).size() ==
          1);
  CHECK(registry.HeartbeatsSince(known, registry.Revision(), 1300)[0]
            .mLastSeenAgo == 100);
  SECTION("another registry knows the same after merging both") {
    UpstreamRegistry other;
    for (const UpstreamRecord& record : registry.ChangedSince(0, 1300)) {
      other.Merge(record, 5000);
    }
    for (const UpstreamHeartbeat& heartbeat :
         registry.HeartbeatsSince(0, registry.Revision(), 1300)) {
      other.MergeHeartbeat(heartbeat, 5000);
    }
    CHECK(other.Find("a")->mSequence == 2);
    CHECK(other.Expire(3600, 8400).empty());
    CHECK(other.Expire(3600, 8501 + 1).size() == 1);
  }
}

Test(registry, a_heartbeat_is_not_known_before_the_change_it_carried) {
  UpstreamRegistry source;
  source.ApplyHeartbeat(Record("a", 1), 0);
  const std::int64_t known = source.Revision();
  UpstreamRecord loaded = Record("a", 2);
  loaded.mLayers = {0, 8};
  source.ApplyHeartbeat(loaded, 1200);
  SECTION("a heartbeat with a change is left out until the change is known") {
    CHECK(source.HeartbeatsSince(known, known, 1300).empty());
    CHECK(source.HeartbeatsSince(known, source.Revision(), 1300).size() == 1);
  }
  SECTION("a change that arrives after a newer heartbeat is still applied") {
    UpstreamRegistry target;
    target.ApplyHeartbeat(Record("a", 1), 0);
    target.MergeHeartbeat({"a", 3, 0}, 2400);
    CHECK(target.Merge(loaded, 2500));
    CHECK(target.Find("a")->mLayers.Count() == 8);
    CHECK(target.Find("a")->mSequence == 3);
  }
}

Test(registry, heartbeats_are_forwarded_if_their_source_is_unreachable) {
  // Three controls that all reach each other, or of which two do not.
  UpstreamRegistry first;
  UpstreamRegistry second;
  first.ApplyHeartbeat(Record("a", 1), 0);
  second.Merge(Record("a", 1), 0, "first");
  const std::int64_t known = second.Revision();
  first.ApplyHeartbeat(Record("a", 2), 1200);
  second.MergeHeartbeat({"a", 2, 0}, 1200, "first");
  CHECK(second.HeartbeatsSince(known, known, 1300, {"first"}).empty());
  CHECK(second.HeartbeatsSince(known, known, 1300, {"third"}).size() == 1);
  SECTION("a heartbeat received here is sent to all") {
    second.ApplyHeartbeat(Record("a", 3), 2400);
    CHECK(second.HeartbeatsSince(known, known, 2500, {"first"}).size() == 1);
  }
}

Test(registry, a_late_report_of_an_older_incarnation_changes_nothing) {
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
  registry.ApplyHeartbeat(WithLayers(Incarnation(100, 50), {0, 8}), 0);
  SECTION("its sequence begins again and no old content is left") {
    CHECK(registry.ApplyHeartbeat(Incarnation(200, 1), 1000));
    CHECK(registry.Find("a")->mStart == 200);
    CHECK(registry.Find("a")->mSequence == 1);
    CHECK(registry.Find("a")->mLayers.Count() == 0);
    CHECK(successors == std::vector<std::int64_t>{200});
  }
  SECTION("all later reports of the older incarnation are ignored") {
    CHECK(!registry.ApplyHeartbeat(WithLayers(Incarnation(100, 51), {0, 8}),
                                   1100));
    CHECK(!registry.Merge(Incarnation(100, 60, UpstreamState::kLeaving), 1200));
    CHECK(!registry.MergeHeartbeat({"a", 70, 0, 100}, 1300));
    CHECK(registry.ApplyLeave("a", 1400, 100) == LeaveOutcome::kAlreadyKnown);
    CHECK(!registry.Merge(Incarnation(0, 90, UpstreamState::kGone), 1450));
    CHECK(registry.Find("a")->mStart == 200);
    CHECK(registry.Find("a")->mLayers.Count() == 0);
    CHECK(StateOf(registry, "a") == UpstreamState::kReady);
  }
  SECTION("a heartbeat with the sequence of an older one is applied") {
    CHECK(registry.ApplyHeartbeat(WithLayers(Incarnation(300, 1), {8, 16}),
                                  1500));
    CHECK(registry.Find("a")->mLayers.mFrom == 8);
  }
}

Test(registry, an_upstream_that_left_is_ready_after_its_next_start) {
  UpstreamRegistry registry;
  registry.ApplyHeartbeat(Incarnation(100, 5), 0);
  SECTION("if it was leaving") {
    registry.ApplyHeartbeat(Incarnation(100, 6, UpstreamState::kLeaving), 10);
    CHECK(registry.ApplyHeartbeat(Incarnation(200, 1), 20));
    CHECK(StateOf(registry, "a") == UpstreamState::kReady);
  }
  SECTION("if it was gone") {
    CHECK(registry.ApplyLeave("a", 6000) == LeaveOutcome::kEnded);
    CHECK(registry.ApplyHeartbeat(Incarnation(300, 1), 6100));
    CHECK(StateOf(registry, "a") == UpstreamState::kReady);
  }
}

Test(registry, a_leave_without_a_start_ends_no_new_incarnation) {
  UpstreamRegistry registry;
  registry.ApplyHeartbeat(Incarnation(100, 5), 0);
  registry.ApplyHeartbeat(Incarnation(200, 1), 10000);
  SECTION("a late leave of the predecessor is in doubt") {
    CHECK(registry.ApplyLeave("a", 10300) == LeaveOutcome::kInDoubt);
    CHECK(StateOf(registry, "a") == UpstreamState::kReady);
  }
  SECTION("its own leave with a start ends it") {
    UpstreamRegistry copy = registry;
    CHECK(copy.ApplyLeave("a", 10300, 200) == LeaveOutcome::kEnded);
    CHECK(StateOf(copy, "a") == UpstreamState::kGone);
  }
  SECTION("its own leave without a start ends it later on") {
    CHECK(registry.ApplyLeave("a", 10000 + kLeaveDoubtWindow) ==
          LeaveOutcome::kEnded);
    CHECK(StateOf(registry, "a") == UpstreamState::kGone);
  }
  SECTION("a leave that arrives before the heartbeats ends the upstream") {
    UpstreamRegistry empty;
    CHECK(empty.ApplyLeave("a", 0) == LeaveOutcome::kEnded);
    empty.ApplyHeartbeat(Incarnation(200, 9), 400);
    CHECK(StateOf(empty, "a") == UpstreamState::kGone);
  }
  SECTION("merged into another registry, it ends the upstream there") {
    UpstreamRegistry empty;
    empty.ApplyLeave("a", 0);
    UpstreamRegistry other;
    other.ApplyHeartbeat(Incarnation(200, 8), 0);
    for (const UpstreamRecord& record : empty.ChangedSince(0, 10)) {
      other.Merge(record, 20);
    }
    CHECK(StateOf(other, "a") == UpstreamState::kGone);
  }
}

Test(registry, an_incarnation_that_looks_older_replaces_a_silent_one) {
  // The clock of its VM was set back between two incarnations.
  UpstreamRegistry registry;
  registry.ApplyHeartbeat(WithLayers(Incarnation(200, 50), {0, 8}), 0);
  std::int64_t sequence = 0;
  Millis now = 1000;
  for (; now <= 60000; now += 1000) {
    registry.ApplyHeartbeat(Incarnation(100, ++sequence), now);
    registry.Expire(3600, now);
    CHECK(registry.Find("a")->mStart == 200);
  }
  CHECK(StateOf(registry, "a") == UpstreamState::kSilent);
  SECTION("it replaces the other one after a minute without heartbeats") {
    registry.Expire(3600, 60001);
    CHECK(registry.Find("a")->mStart == 100);
    CHECK(registry.Find("a")->mSequence == sequence);
    CHECK(registry.Find("a")->mLayers.Count() == 0);
    CHECK(StateOf(registry, "a") == UpstreamState::kReady);
  }
  SECTION("an old report of the other one does not bring it back") {
    UpstreamRecord old = WithLayers(Incarnation(200, 50), {0, 8});
    old.mLastSeenAgo = 60400;
    CHECK(!registry.Merge(old, 60400));
    CHECK(registry.Find("a")->mStart == 100);
  }
  SECTION("one that is gone does not replace the other") {
    UpstreamRegistry other;
    other.ApplyHeartbeat(Incarnation(200, 1), 0);
    other.ApplyHeartbeat(Incarnation(100, 1), 59000);
    other.ApplyLeave("a", 59500, 100);
    other.Expire(3600, 60001);
    CHECK(StateOf(other, "a") == UpstreamState::kGone);
  }
  SECTION("a router that receives changes only ends with the same record") {
    UpstreamRegistry router;
    router.Merge(Incarnation(200, 50, UpstreamState::kSilent), 0);
    router.Merge(Incarnation(100, 1), 55000);
    router.RemoveEnded(60000);
    CHECK(router.Find("a")->mStart == 200);
    router.RemoveEnded(60001);
    CHECK(router.Find("a")->mStart == 100);
  }
}

Test(registry, routers_remove_ended_upstreams_only) {
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

Test(registry, an_address_belongs_to_the_process_that_started_last) {
  UpstreamRegistry registry;
  UpstreamRecord fresh = Record("fresh", 1);
  fresh.mStart = 200;
  fresh.mService = "other";
  registry.ApplyHeartbeat(fresh, 1000);
  SECTION("a late heartbeat of its predecessor does not end it") {
    UpstreamRecord late = Record("late", 30);
    late.mStart = 100;
    registry.ApplyHeartbeat(late, 1100);
    CHECK(StateOf(registry, "fresh") == UpstreamState::kReady);
    CHECK(StateOf(registry, "late") == UpstreamState::kSilent);
  }
  SECTION("a late leave of another does not end it, whatever its start") {
    UpstreamRecord gone = Record("gone", 30, UpstreamState::kGone);
    gone.mStart = 300;
    registry.Merge(gone, 1100);
    CHECK(StateOf(registry, "fresh") == UpstreamState::kReady);
    CHECK(StateOf(registry, "gone") == UpstreamState::kGone);
  }
  SECTION("an upstream that started there later ends it") {
    UpstreamRecord next = Record("next", 1);
    next.mStart = 300;
    registry.ApplyHeartbeat(next, 1200);
    CHECK(StateOf(registry, "fresh") == UpstreamState::kGone);
    CHECK(StateOf(registry, "next") == UpstreamState::kReady);
  }
}

// Guards against a running upstream that is never used again: the first
// heartbeat of its predecessor came after its own.
Test(registry, a_late_first_heartbeat_does_not_shut_out_the_running_upstream) {
  UpstreamRegistry registry;
  UpstreamRegistry other;
  const auto tell = [&registry, &other](Millis aNow) {
    for (const UpstreamRecord& record : registry.ChangedSince(0, aNow)) {
      other.Merge(record, aNow, "first");
    }
  };
  registry.ApplyHeartbeat(Record("running", 1), 1000);
  registry.ApplyHeartbeat(Record("running", 2), 2200);
  tell(2300);
  registry.ApplyHeartbeat(Record("ended", 1), 2500);
  tell(2600);
  SECTION("its next heartbeat makes it ready everywhere") {
    CHECK(registry.ApplyHeartbeat(Record("running", 3), 3400));
    tell(3500);
    for (const UpstreamRegistry* one : {&registry, &other}) {
      CHECK(StateOf(*one, "running") == UpstreamState::kReady);
      CHECK(StateOf(*one, "ended") == UpstreamState::kGone);
    }
  }
  SECTION("so does one that another control reports without changes") {
    UpstreamRegistry reached = other;
    reached.ApplyHeartbeat(Record("ended", 2), 4000);
    CHECK(reached.MergeHeartbeat({"running", 4, 100}, 4700));
    CHECK(StateOf(reached, "running") == UpstreamState::kReady);
    CHECK(StateOf(reached, "ended") == UpstreamState::kGone);
  }
  SECTION("a heartbeat that was known before does not") {
    UpstreamRegistry late = other;
    late.ApplyHeartbeat(Record("ended", 2), 4000);
    late.ApplyHeartbeat(Record("ended", 3), 4100);
    late.ApplyHeartbeat(Record("running", 3), 4200);
    CHECK(StateOf(late, "running") == UpstreamState::kGone);
  }
  SECTION("a heartbeat of the ended one does not take it out of use") {
    registry.ApplyHeartbeat(Record("running", 4), 4600);
    CHECK(registry.ApplyHeartbeat(Record("ended", 2), 5000));
    CHECK(StateOf(registry, "running") == UpstreamState::kReady);
    registry.ApplyHeartbeat(Record("running", 5), 5800);
    CHECK(StateOf(registry, "running") == UpstreamState::kReady);
    CHECK(StateOf(registry, "ended") == UpstreamState::kGone);
  }
  SECTION("an upstream that left does not come back") {
    registry.ApplyHeartbeat(Record("ended", 9), 6000);
    registry.ApplyHeartbeat(Record("ended", 10), 6100);
    CHECK(registry.IsReplaced("running"));
    // On disk as gone it would stay so after a restart.
    CHECK(registry.LeavingOrGone(1000).empty());
    CHECK(registry.ApplyLeave("running", 6200) == LeaveOutcome::kEnded);
    CHECK(!registry.IsReplaced("running"));
    registry.ApplyHeartbeat(Record("running", 6), 7000);
    CHECK(StateOf(registry, "running") == UpstreamState::kGone);
    tell(7100);
    CHECK(other.ApplyLeave("running", 7200) == LeaveOutcome::kAlreadyKnown);
  }
}

// Guards against the same where the clock was set back between the two starts.
Test(registry,
     a_start_that_looks_newer_does_not_shut_out_the_running_upstream) {
  UpstreamRegistry registry;
  UpstreamRecord running = Record("running", 1);
  running.mStart = 100;
  UpstreamRecord ended = Record("ended", 1);
  ended.mStart = 300;
  registry.ApplyHeartbeat(running, 1000);
  registry.ApplyHeartbeat(ended, 1500);
  running.mSequence = 2;
  CHECK(registry.ApplyHeartbeat(running, 2200));
  CHECK(StateOf(registry, "running") == UpstreamState::kReady);
}

Test(registry, processes_of_the_former_version_send_no_starts) {
  UpstreamRegistry registry;
  SECTION("their reports are ordered by sequence") {
    registry.Merge(Incarnation(0, 5), 0);
    CHECK(!registry.Merge(Incarnation(0, 4, UpstreamState::kReady), 10));
    CHECK(registry.Merge(Incarnation(0, 6, UpstreamState::kLeaving), 20));
  }
  SECTION("learning the start of the same incarnation is no restart") {
    UpstreamRegistry learning;
    int successors = 0;
    learning.SetSuccessorHook(
        [&successors](const UpstreamRecord&) { successors++; });
    learning.Merge(Incarnation(0, 5), 0);
    CHECK(learning.ApplyHeartbeat(Incarnation(100, 6), 10));
    CHECK(learning.Find("a")->mStart == 100);
    CHECK(successors == 0);
  }
  SECTION("any known start is newer than an unknown one") {
    CHECK(registry.Merge(Incarnation(100, 1), 30));
    CHECK(!registry.Merge(Incarnation(0, 9), 40));
    CHECK(registry.Find("a")->mStart == 100);
    CHECK(StateOf(registry, "a") == UpstreamState::kReady);
  }
}

Test(registry, a_newer_start_is_reported_for_a_silent_upstream) {
  UpstreamRegistry registry;
  registry.ApplyHeartbeat(Incarnation(200, 1), 0);
  CHECK(registry.SeenLaterThan({{"a", 50, 100}}, 3600, 10).size() == 1);
  CHECK(registry.SeenLaterThan({{"a", 0, 300}}, 3600, 10).empty());
}

Test(rows, an_invalid_row_leaves_the_others_valid) {
  std::vector<UpstreamRecord> records = {
      Incarnation(100, 1), Incarnation(200, 2), Incarnation(300, 3)};
  for (std::size_t i = 0; i < records.size(); i++) {
    records[i].mInstance = std::string(1, static_cast<char>('a' + i));
    records[i].mLayers = {0, 8};
  }
  std::vector<std::string> invalid;
  const InvalidRowHook onInvalid = [&invalid](const std::string& aInstance,
                                              const Error&) {
    invalid.push_back(aInstance);
  };
  SECTION("valid rows are read as they were written") {
    const auto back = UnpackUpstreams(PackUpstreams(records), onInvalid);
    REQUIRE(back.size() == 3);
    CHECK(back[2].mStart == 300);
    CHECK(invalid.empty());
  }
  const auto rowsAfter = [&](const char* aColumn, const Json::Value& aValue) {
    Json::Value table = ToJson(UpstreamTable::Of(records));
    table[aColumn][1] = aValue;
    invalid.clear();
    const auto back = UnpackUpstreams(Pack(DumpJson(table)), onInvalid);
    return back.size() == 2 && back[0].mInstance == "a" &&
           back[1].mInstance == "c" && back[1].mLayers.Count() == 8 &&
           invalid.size() == 1;
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
    const auto back = UnpackUpstreams(Pack(DumpJson(table)), onInvalid);
    CHECK(back.size() == 1);
  }
  SECTION("the column of starts is missing, as the former version writes") {
    Json::Value table = ToJson(UpstreamTable::Of(records));
    table.removeMember("starts");
    const auto back = UnpackUpstreams(Pack(DumpJson(table)), onInvalid);
    REQUIRE(back.size() == 3);
    CHECK(back[0].mStart == 0);
  }
  SECTION("invalid rows of heartbeats") {
    HeartbeatTable heartbeats;
    heartbeats.mInstances = {"a", "", "c", "d"};
    heartbeats.mSequences = {1, 2, -3, 4};
    heartbeats.mLastSeenAgo = {0, 0, 0};
    CHECK(heartbeats.Heartbeats(onInvalid).size() == 1);
  }
  SECTION("heartbeats with values of another type") {
    Json::Value table =
        ToJson(HeartbeatTable::Of({{"a", 1}, {"b", 2}, {"c", 3}}));
    table["sequences"][1] = "two";
    CHECK(ReadHeartbeats(table, onInvalid).size() == 2);
    CHECK(ReadHeartbeats(Json::Value(), onInvalid).empty());
    CHECK(CodeThrownBy([&] { ReadHeartbeats(Json::Value(7), onInvalid); }) ==
          ResultCode::kBadField);
  }
  SECTION("invalid rows of loads") {
    LoadTable loads;
    loads.mInstances = {"a", "b", "", "d", "e"};
    loads.mRequests = {1, -2, 3, 4};
    const LoadShares shares = UsableRows(loads, onInvalid).ToShares();
    CHECK(shares.size() == 2);
    CHECK(shares.at("d").mRequests == 4);
    Json::Value table = ToJson(loads);
    table["requests"][0] = Json::Value(Json::objectValue);
    CHECK(UnpackLoads(Pack(DumpJson(table)), onInvalid).size() == 1);
  }
  SECTION("invalid rows of a list in a message") {
    std::vector<Json::Value> rows = WriteRows(records);
    rows[1]["sequence"] = "two";
    rows.emplace_back(7);
    CHECK(ReadRows<UpstreamRecord>(rows, onInvalid).size() == 2);
  }
}

// Each router logged a line for each upstream of the fleet, twice within its
// first seconds: 3,000 upstreams were 6 million lines on 1,000 routers.
Test(rows, a_start_of_all_upstreams_is_one_line_on_each_router) {
  for (const int n : {1000, 3000, 6000}) {
    UpstreamChanges changes;
    int lines = 0;
    for (int i = 0; i < n; i++) {
      const UpstreamRecord added = Record("u" + std::to_string(i), 1);
      UpstreamRecord placed = added;
      placed.mLayers = {0, 8};
      lines += changes.Count(nullptr, added) ? 1 : 0;
      lines += changes.Count(&added, placed) ? 1 : 0;
    }
    CHECK(lines == 0);
    CHECK(changes.Added() == n && changes.Updated() == n);
  }
  SECTION("what may end requests is logged by itself") {
    UpstreamChanges changes;
    const UpstreamRecord ready = Record("a", 1);
    UpstreamRecord restarted = ready;
    restarted.mStart = ready.mStart + 1;
    CHECK(changes.Count(&ready, Record("a", 2, UpstreamState::kLeaving)));
    CHECK(changes.Count(&ready, restarted));
    CHECK(changes.Count(nullptr, Record("b", 1, UpstreamState::kLeaving)));
    CHECK(changes.Empty());
  }
}

Test(rows, log_lines_about_invalid_rows_are_limited) {
  InvalidMessageLogLimiter limiter;
  CHECK(limiter.OnInvalidMessage(0).mShouldLog);
  for (Millis now = 1; now < 10000; now += 100) {
    CHECK(!limiter.OnInvalidMessage(now).mShouldLog);
  }
  const InvalidMessageLogLimiter::Decision decision =
      limiter.OnInvalidMessage(10000);
  CHECK(decision.mShouldLog);
  CHECK(decision.mSuppressed == 100);
}

Test(voters, the_id_of_a_control_has_address_and_disk) {
  const Endpoint address{"10.0.0.1", 7000};
  const std::string id = ControlId(address, "first");
  CHECK(id == "10.0.0.1:7000#first");
  CHECK(AddressOfControl(id) == address);
  CHECK(CodeThrownBy([] { AddressOfControl("x"); }) == ResultCode::kBadField);
}

Test(voters, a_lost_voter_is_replaced_one_step_at_a_time) {
  ControlDirectory directory;
  VoterPlanInput input;
  input.mSelf = "10.0.0.1:1#first";
  input.mVoters = {"10.0.0.1:1#first", "10.0.0.2:1#first", "10.0.0.3:1#first"};
  input.mDirectory = &directory;
  for (const std::string& id : input.mVoters) {
    directory.OnSeen(Control(id), 1000);
  }
  input.mNow = 2000;
  SECTION("if all are seen, nothing changes") {
    CHECK(NextVoters(input) == input.mVoters);
  }
  SECTION("a silent voter stays if there is no candidate") {
    directory.OnSeen(Control("10.0.0.2:1#first"), 9000);
    input.mNow = 9000;
    CHECK(NextVoters(input) == input.mVoters);
  }
  SECTION("a voter that lost its disk is replaced at once") {
    directory.OnSeen(Control("10.0.0.2:1#first"), 9900);
    directory.OnSeen(Control("10.0.0.3:1#new"), 9900);
    input.mNow = 10000;
    const std::vector<std::string> without = {"10.0.0.1:1#first",
                                              "10.0.0.2:1#first"};
    CHECK(NextVoters(input) == without);
    input.mVoters = without;
    CHECK(NextVoters(input).back() == "10.0.0.3:1#new");
    CHECK(NextVoters(input).size() == 3);
  }
  SECTION("candidates join in pairs") {
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
