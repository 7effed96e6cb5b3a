/// A request that crashes each upstream that runs it must stop being sent after
/// a few crashes, also if the caller repeats it under other ids at other
/// routers. If each router forgot a request's crashes after its own attempts,
/// such a request would end one engine after another, with all streams on them.
#include "daemons/control/crash_store.h"
#include "spindleweir/drivers/file_tools.h"
#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

constexpr const char* kCrashing = "/look/crashing";
constexpr int kUpstreams = 24;
/// Crashes until the request is barred, plus those of attempts in progress.
constexpr int kMaxCrashes = 6;
constexpr int kCalls = 10;

/// Two routers and upstreams, each of which crashes at most once.
struct CrashFixture {
  CrashFixture() {
    REQUIRE(mFixture.Publish(Document(Traffic(7))).mCode == ResultCode::kOk);
    for (int i = 0; i < kUpstreams; i++) {
      mUpstreams.push_back(std::make_unique<ScriptedUpstream>(
          mFixture.mLoop, "u" + std::to_string(i)));
      mUpstreams.back()->CrashOnTarget("crashing");
      mFixture.SendHeartbeat(*mUpstreams.back(), UpstreamState::kReady);
    }
    mOther = mFixture.MakeRouter("other");
    REQUIRE(mFixture.RunUntil(
        [this] { return mFixture.mRouter->Ready() && mOther->Ready(); }));
    REQUIRE(mFixture.RunUntil([this] {
      mOther->RefreshGauges();
      return mOther->OwnCounters().Value("upstreams_ready") == kUpstreams;
    }));
  }

  int Crashed() const {
    int n = 0;
    for (const auto& upstream : mUpstreams) {
      n += upstream->Crashed() ? 1 : 0;
    }
    return n;
  }

  /// Repeats the request at both routers alternately, with time for crash
  /// reports between the calls.
  void RepeatRequest() {
    for (int i = 0; i < kCalls; i++) {
      mFixture.CallAt(i % 2 == 0 ? *mOther : *mFixture.mRouter, kCrashing);
      mFixture.Wait(300);
    }
  }

  RelayFixture mFixture;
  std::vector<std::unique_ptr<ScriptedUpstream>> mUpstreams;
  std::unique_ptr<RelayRouter> mOther;
};

}  // namespace

Test(crashing_request, is_barred_at_all_routers) {
  CrashFixture fixture;
  fixture.RepeatRequest();
  SECTION(
      "at most kMaxCrashes upstreams crash, over all routers and attempts") {
    CHECK(fixture.Crashed() <= kMaxCrashes);
  }
  SECTION("a caller gets 503 immediately, and no upstream runs it") {
    const int before = fixture.Crashed();
    CHECK(fixture.mFixture.Call(kCrashing).mStatus == 503);
    CHECK(fixture.mFixture.CallAt(*fixture.mOther, kCrashing).mStatus == 503);
    CHECK(fixture.Crashed() == before);
  }
  SECTION("other requests of the same caller are served") {
    CHECK(fixture.mFixture.Call("/look/x").mStatus == 200);
    CHECK(fixture.mFixture.CallAt(*fixture.mOther, "/look/x").mStatus == 200);
  }
}

Test(crashing_request, stays_barred_after_all_processes_restart) {
  CrashFixture fixture;
  fixture.RepeatRequest();
  RelayFixture& all = fixture.mFixture;
  REQUIRE(ReadFile(all.mFolder.Path("data/barred")).has_value());
  all.mRouter.reset();
  fixture.mOther.reset();
  all.mControl.reset();
  all.StartControl();
  all.StartRouter();
  for (const auto& upstream : fixture.mUpstreams) {
    if (!upstream->Crashed()) {
      all.SendHeartbeat(*upstream, UpstreamState::kReady);
    }
  }
  REQUIRE(all.RunUntil([&all] { return all.mRouter->Ready(); }));
  const int before = fixture.Crashed();
  SECTION("the first attempt after the restart is refused") {
    CHECK(all.Call(kCrashing).mStatus == 503);
    CHECK(fixture.Crashed() == before);
  }
  SECTION("other requests are served") {
    CHECK(all.Call("/look/x").mStatus == 200);
  }
}

Test(crashing_request, does_not_bar_requests_that_complete_elsewhere) {
  // A request that was in progress at an upstream that crashes, but is served
  // by the next one, did not cause the crash.
  CrashFixture fixture;
  SECTION("however many upstreams crash, as it completes in between") {
    for (int i = 0; i < 5; i++) {
      ScriptedUpstream ends(fixture.mFixture.mLoop, "ends" + std::to_string(i));
      ends.CrashOnTarget("innocent");
      fixture.mFixture.SendHeartbeat(ends, UpstreamState::kReady);
      for (int n = 0; !ends.Crashed(); n++) {
        REQUIRE(n < 2000);
        CHECK(fixture.mFixture.Call("/look/innocent").mStatus == 200);
      }
    }
    CHECK(fixture.mFixture.Call("/look/innocent").mStatus == 200);
  }
}

Test(crashing_request, counts_one_crash_if_engines_of_its_path_crash_together) {
  RelayFixture fixture;
  ScriptedUpstream first(fixture.mLoop, "first");
  ScriptedUpstream second(fixture.mLoop, "second");
  fixture.BeginEngine(first);
  const auto hold = [&fixture](const ScriptedUpstream& aEngine, int aFrom) {
    fixture.SendHeartbeat({.mInstance = aEngine.Instance(),
                           .mService = "model",
                           .mAddress = aEngine.Address(),
                           .mZone = "z",
                           .mKind = "k",
                           .mSlots = 6,
                           .mLayers = {aFrom, aFrom + 4}});
  };
  hold(first, 0);
  hold(second, 4);
  fixture.Wait(600);
  first.QueueActions({UpstreamAction::kSilent});
  const int before = first.TotalRuns();
  StreamCallOptions options;
  options.mServer = fixture.mRouter->Address();
  options.mMethod = "POST";
  options.mTarget = "/stream/x";
  options.mHeaders = {{"Host", "shop"}, {"X-Request", "p"}, {"X-Key", "key"}};
  bool ended = false;
  options.mOnEnd = [&](StreamEnd) { ended = true; };
  const auto call = StartStreamCall(fixture.mLoop, std::move(options));
  REQUIRE(fixture.RunUntil([&] { return first.TotalRuns() > before; }));
  second.Crash();
  first.Crash();
  REQUIRE(fixture.RunUntil([&] { return ended; }));
  fixture.Wait(600);
  SECTION("only the engine of the first stage counts") {
    CHECK(fixture.mRouter->OwnCounters().Value("crashes_seen") == 1);
  }
}

Test(crash_store, stores_barred_requests_only) {
  const TemporaryFolder folder;
  const InvalidRowHook noInvalidRow = [](const std::string&, const Error&) {
    cr_assert_fail("a row is invalid");
  };
  CrashLedger before;
  for (const char* incarnation : {"a@1", "b@1", "c@1"}) {
    before.RecordCrash("barred", incarnation, 0);
  }
  before.RecordCrash("suspect", "a@1", 0);
  CrashStore(folder.Path("barred")).Save(before, 10);
  SECTION("a restarted process bars the same requests") {
    CrashLedger after;
    CrashStore(folder.Path("barred")).Load(after, 0, noInvalidRow);
    CHECK(after.IsBarred("barred") && after.UnexcusedCrashes("suspect") == 0);
  }
  SECTION("a truncated file bars nothing and is no error") {
    const std::string stored = ReadFile(folder.Path("barred")).value();
    ReplaceFile(folder.Path("torn"), stored.substr(0, stored.size() / 2));
    CrashLedger after;
    CrashStore(folder.Path("torn")).Load(after, 0, noInvalidRow);
    CHECK(!after.HasBarredRequests());
  }
  SECTION("a failed write is retried") {
    CrashStore store(folder.Path("later/barred"));
    store.Save(before, 0);
    PrepareFolder(folder.Path("later"));
    store.Save(before, 100);
    CHECK(!ReadFile(folder.Path("later/barred")).has_value());
    store.Save(before, 5000);
    CHECK(ReadFile(folder.Path("later/barred")).has_value());
  }
}
