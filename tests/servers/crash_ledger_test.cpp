#include <algorithm>

#include "spindleweir/servers/limits/crash_ledger.h"
#include "spindleweir/servers/limits/crash_watch.h"
#include "spindleweir/servers/limits/request_content.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr const char* kContent = "c";

CrashRecord RecordOf(const CrashLedger& aLedger, Millis aNow) {
  const CrashLedger::Changes changes = aLedger.Since(0, false, 10, aNow);
  REQUIRE(changes.mRecords.size() == 1);
  return changes.mRecords.front();
}

LostAttempt Attempt(const std::string& aContent, const char* aInstance,
                    Millis aBegunAt, bool aHadEvents = false) {
  return {.mInstance = aInstance,
          .mStart = 1,
          .mContent = aContent,
          .mBegunAt = aBegunAt,
          .mHadEvents = aHadEvents};
}

}  // namespace

Test(crash_ledger, counts_over_processes_what_each_saw) {
  CrashLedger one;
  CrashLedger other;
  one.Crashed(kContent, "a@1", 0);
  one.Crashed(kContent, "b@1", 10);
  other.Crashed(kContent, "c@1", 20);
  SECTION("none of them knows enough alone") {
    CHECK(!one.IsBarred(kContent) && !other.IsBarred(kContent));
    CHECK(!one.BarsAny());
  }
  SECTION("one that heard the other does, and both then") {
    CHECK(one.Merge(RecordOf(other, 30), 30));
    CHECK(other.Merge(RecordOf(one, 30), 30));
    CHECK(one.IsBarred(kContent) && other.IsBarred(kContent));
    CHECK(one.Barred() == 1);
  }
  SECTION("word that comes twice changes nothing") {
    const std::int64_t revision = one.Revision();
    CHECK(!one.Merge(RecordOf(other, 40), 40));
    CHECK(one.Revision() == revision);
  }
  SECTION("the same crash seen by two is one crash") {
    CrashLedger third;
    third.Crashed(kContent, "a@1", 0);
    third.Crashed(kContent, "b@1", 0);
    third.Merge(
        {.mContent = kContent,
         .mCrashes = {{.mIncarnation = "a@1"}, {.mIncarnation = "b@1"}}},
        50);
    CHECK(third.CrashesOf(kContent) == 2);
  }
  SECTION("the same name started again is another") {
    CrashLedger third;
    for (int start = 1; start <= 3; start++) {
      third.Crashed(kContent, IncarnationName("a", start), start);
    }
    CHECK(third.IsBarred(kContent));
  }
}

Test(crash_ledger, what_completes_is_excused) {
  CrashLedger ledger;
  for (int i = 0; i < 3; i++) {
    ledger.Crashed(kContent, IncarnationName("a", i), i * 10);
  }
  REQUIRE(ledger.IsBarred(kContent));
  SECTION("of the crashes before it alone") {
    ledger.Excuse(kContent, 15, 30);
    CHECK(ledger.CrashesOf(kContent) == 1);
    CHECK(!ledger.IsBarred(kContent));
  }
  SECTION("for good: the same crashes told again count no more") {
    ledger.Merge(
        {.mContent = kContent,
         .mCrashes = {{.mIncarnation = "a@0"}, {.mIncarnation = "a@1"}}},
        40);
    CHECK(ledger.CrashesOf(kContent) == 1);
  }
  SECTION("others learn of it, routers too") {
    CrashLedger other;
    for (int i = 0; i < 3; i++) {
      other.Crashed(kContent, IncarnationName("a", i), 0);
    }
    const CrashLedger::Changes changes = ledger.Since(0, true, 10, 50);
    REQUIRE(changes.mRecords.size() == 1);
    other.Merge(changes.mRecords.front(), 50);
    CHECK(!other.IsBarred(kContent));
  }
  SECTION("new crashes bar it again") {
    ledger.Crashed(kContent, "b@1", 60);
    ledger.Crashed(kContent, "c@1", 60);
    CHECK(ledger.IsBarred(kContent));
  }
}

Test(crash_ledger, tells_each_asker_what_it_lacks) {
  CrashLedger ledger;
  ledger.Crashed("x", "a@1", 0);
  ledger.Crashed("y", "a@1", 0);
  ledger.Crashed("x", "b@1", 1);
  SECTION("the oldest change first, and so many at a time") {
    const CrashLedger::Changes first = ledger.Since(0, false, 1, 5);
    REQUIRE(first.mRecords.size() == 1);
    CHECK(first.mRecords.front().mContent == "y");
    const CrashLedger::Changes rest = ledger.Since(first.mUpTo, false, 1, 5);
    REQUIRE(rest.mRecords.size() == 1);
    CHECK(rest.mRecords.front().mContent == "x");
    CHECK(ledger.Since(rest.mUpTo, false, 1, 5).mRecords.empty());
  }
  SECTION("routers only what bars a request, or did") {
    CHECK(ledger.Since(0, true, 10, 5).mRecords.empty());
    ledger.Crashed("x", "c@1", 6);
    CHECK(ledger.Since(0, true, 10, 7).mRecords.size() == 1);
  }
}

Test(crash_ledger, is_bounded) {
  CrashLedger ledger({.mMost = 3});
  for (int i = 0; i < 3; i++) {
    ledger.Crashed("barred", IncarnationName("a", i), i);
  }
  for (int i = 0; i < 10; i++) {
    ledger.Crashed("s" + std::to_string(i), "b@1", 10 + i);
  }
  SECTION("the oldest suspects go, what is barred stays") {
    CHECK(ledger.IsBarred("barred"));
    CHECK(ledger.CrashesOf("s9") == 1 && ledger.CrashesOf("s0") == 0);
    CHECK(ledger.Since(0, false, 100, 20).mRecords.size() == 3);
  }
  SECTION("suspects are forgotten after minutes, verdicts after an hour") {
    const CrashLedgerOptions options;
    ledger.Forget(20 + options.mSuspectFor);
    CHECK(ledger.CrashesOf("s9") == 0 && ledger.IsBarred("barred"));
    ledger.Forget(20 + options.mBarFor);
    CHECK(!ledger.BarsAny());
  }
  SECTION("records that name too much are refused") {
    CrashRecord record{.mContent = kContent};
    CHECK(CodeThrownBy([&] { RequireUsable(record); }) ==
          ResultCode::kBadHeartbeat);
    for (int i = 0; i < 100; i++) {
      record.mCrashes.push_back({.mIncarnation = std::to_string(i)});
    }
    CHECK(CodeThrownBy([&] { RequireUsable(record); }) ==
          ResultCode::kBadHeartbeat);
  }
}

Test(crash_watch, tells_a_crash_from_a_lost_connection) {
  CrashWatch watch;
  watch.Lost(Attempt(kContent, "a", 0), 10);
  CHECK(watch.Unsettled(10).contains("a"));
  SECTION("an upstream that takes connections did not crash") {
    watch.StillThere("a");
    CHECK(watch.Ended("a", 20).empty());
    CHECK(watch.Ledger().CrashesOf(kContent) == 0);
  }
  SECTION("one that does not take them counts for what was lost there") {
    watch.Lost(Attempt(kContent, "a", 0), 30);
    CHECK(watch.Ended("a", 40).size() == 1);
    CHECK(watch.Ledger().CrashesOf(kContent) == 1);
  }
  SECTION("what nobody could look at in time does not count") {
    watch.Lost(Attempt(kContent, "b", 0), 50);
    CHECK(watch.Unsettled(60000).empty());
  }
}

Test(crash_watch, suspects_those_that_began_last) {
  CrashWatch watch;
  for (int i = 0; i < 40; i++) {
    watch.Lost(Attempt("old" + std::to_string(i), "a", i), 100);
  }
  watch.Lost(Attempt("running", "a", 98, true), 100);
  watch.Lost(Attempt("newest", "a", 99), 100);
  const std::vector<std::string> suspects = watch.Ended("a", 110);
  CHECK(!suspects.empty() && suspects.size() < 10);
  CHECK(suspects.front() == "newest");
  CHECK(std::find(suspects.begin(), suspects.end(), "running") ==
        suspects.end());
}

Test(crash_watch,
     a_request_that_completed_here_is_no_cause_of_what_came_before) {
  CrashWatch watch;
  const auto verdict = [](Millis aAgo) {
    CrashRecord record{.mContent = kContent};
    for (const char* incarnation : {"a@1", "b@1", "c@1"}) {
      record.mCrashes.push_back({.mIncarnation = incarnation, .mAgo = aAgo});
    }
    return record;
  };
  watch.Completed(kContent, 1000);
  SECTION("word of older crashes bars nothing, and is answered") {
    watch.Take(verdict(500), 1200);
    CHECK(!watch.IsBarred(kContent));
    CHECK(RecordOf(watch.Ledger(), 1200).mCrashes.front().mExcused);
  }
  SECTION("of newer ones does") {
    CrashRecord newer = verdict(50);
    for (CrashSeen& crash : newer.mCrashes) {
      crash.mIncarnation += "9";
    }
    watch.Take(newer, 1200);
    CHECK(watch.IsBarred(kContent));
  }
}

Test(request_content, tells_requests_apart_by_what_they_ask) {
  const RequestParts parts{
      .mWorkspace = "w", .mHost = "h", .mTarget = "/t", .mBody = "b"};
  const std::string content = RequestContent(parts);
  CHECK(content == RequestContent(parts));
  for (const RequestParts& other :
       {RequestParts{"x", "h", "/t", "b"}, RequestParts{"w", "x", "/t", "b"},
        RequestParts{"w", "h", "/x", "b"}, RequestParts{"w", "h", "/t", "x"},
        RequestParts{"w", "h", "/tb", ""}}) {
    CHECK(content != RequestContent(other));
  }
}
