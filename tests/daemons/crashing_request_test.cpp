/// What users saw: engines ended one after the other, each with all the
/// streams on it, 19 under one request. The order of events: a caller sends a
/// request that crashes whatever begins to run it; the router sends it to a
/// second engine, which crashes too; the caller comes back under another id,
/// at another router, which has never heard of it. The cause: what is known
/// of a request's crashes ended with its try at one router.
///
/// The evidence: log lines of lost attempts that had brought no event, in
/// pairs, each pair under another id and mostly at another router, 0.1 to 0.4 s
/// apart, with no other fault near them.
#include "daemons/control/crash_store.h"
#include "spindleweir/drivers/file_tools.h"
#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

constexpr const char* kCrashing = "/look/crashing";
constexpr int kUpstreams = 24;
/// Crashes that it takes to know, and what may be under way meanwhile.
constexpr int kMaxCrashes = 6;
constexpr int kCalls = 10;

/// Two routers before upstreams of which each crashes at most once.
struct CrashFixture {
  CrashFixture() {
    REQUIRE(mFixture.Publish(Document(Traffic(7))).mCode == ResultCode::kOk);
    for (int i = 0; i < kUpstreams; i++) {
      mUpstreams.push_back(std::make_unique<ScriptedUpstream>(
          mFixture.mLoop, "u" + std::to_string(i)));
      mUpstreams.back()->CrashOn("crashing");
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

  /// The request comes again and again, by turns at each router, with time
  /// for word between them.
  void ComeAgain() {
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

Test(crashing_request, comes_again_at_any_router_and_is_run_no_more) {
  CrashFixture fixture;
  fixture.ComeAgain();
  SECTION("only so many upstreams crash under it, over all routers and tries") {
    CHECK(fixture.Crashed() <= kMaxCrashes);
  }
  SECTION("whoever sends it is told at once, and that it did not run") {
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

Test(crashing_request, stays_barred_when_all_processes_start_again) {
  CrashFixture fixture;
  fixture.ComeAgain();
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
  SECTION("the first try after the start is refused already") {
    CHECK(all.Call(kCrashing).mStatus == 503);
    CHECK(fixture.Crashed() == before);
  }
  SECTION("others are served") {
    CHECK(all.Call("/look/x").mStatus == 200);
  }
}

Test(crashing_request, costs_what_was_lost_with_it_no_place) {
  // A request that is under way at an upstream that ends, and is served by the
  // next one, has crashed nothing.
  CrashFixture fixture;
  SECTION("however often upstreams end under it, since it completes between") {
    for (int i = 0; i < 5; i++) {
      ScriptedUpstream ends(fixture.mFixture.mLoop, "ends" + std::to_string(i));
      ends.CrashOn("innocent");
      fixture.mFixture.SendHeartbeat(ends, UpstreamState::kReady);
      for (int n = 0; !ends.Crashed(); n++) {
        REQUIRE(n < 2000);
        CHECK(fixture.mFixture.Call("/look/innocent").mStatus == 200);
      }
    }
    CHECK(fixture.mFixture.Call("/look/innocent").mStatus == 200);
  }
}

Test(crashing_request, is_none_that_passed_engines_which_end_at_once) {
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
  first.Next({UpstreamAct::kSilent});
  const int before = first.AllRuns();
  StreamCallOptions options;
  options.mServer = fixture.mRouter->Address();
  options.mMethod = "POST";
  options.mTarget = "/stream/x";
  options.mHeaders = {{"Host", "shop"}, {"X-Request", "p"}, {"X-Key", "key"}};
  bool ended = false;
  options.mOnEnd = [&](StreamEnd) { ended = true; };
  const auto call = StartStreamCall(fixture.mLoop, std::move(options));
  REQUIRE(fixture.RunUntil([&] { return first.AllRuns() > before; }));
  second.Crash();
  first.Crash();
  REQUIRE(fixture.RunUntil([&] { return ended; }));
  fixture.Wait(600);
  SECTION("it is a suspect for the one that began it") {
    CHECK(fixture.mRouter->OwnCounters().Value("crashes_seen") == 1);
  }
}

Test(crash_store, keeps_what_is_barred_and_nothing_else) {
  const TemporaryFolder folder;
  const InvalidRowHook noBad = [](const std::string&, const Error&) {
    cr_assert_fail("a row cannot be used");
  };
  CrashLedger before;
  for (const char* incarnation : {"a@1", "b@1", "c@1"}) {
    before.RecordCrash("barred", incarnation, 0);
  }
  before.RecordCrash("suspect", "a@1", 0);
  CrashStore(folder.Path("barred")).Save(before, 10);
  SECTION("a process that starts again bars the same") {
    CrashLedger after;
    CrashStore(folder.Path("barred")).Load(after, 0, noBad);
    CHECK(after.IsBarred("barred") && after.UnexcusedCrashes("suspect") == 0);
  }
  SECTION("a torn file bars nothing, and is no error") {
    const std::string kept = ReadFile(folder.Path("barred")).value();
    ReplaceFile(folder.Path("torn"), kept.substr(0, kept.size() / 2));
    CrashLedger after;
    CrashStore(folder.Path("torn")).Load(after, 0, noBad);
    CHECK(!after.HasBarredRequests());
  }
  SECTION("a disk that refuses is tried again") {
    CrashStore store(folder.Path("later/barred"));
    store.Save(before, 0);
    PrepareFolder(folder.Path("later"));
    store.Save(before, 100);
    CHECK(!ReadFile(folder.Path("later/barred")).has_value());
    store.Save(before, 5000);
    CHECK(ReadFile(folder.Path("later/barred")).has_value());
  }
}
