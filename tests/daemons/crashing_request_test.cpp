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
#include "tests/daemons/relay_story.h"

using namespace spindleweir;

namespace {

constexpr const char* kCrashing = "/look/crashing";
constexpr int kUpstreams = 24;
/// Crashes that it takes to know, and what may be under way meanwhile.
constexpr int kMostCrashes = 6;
constexpr int kCalls = 10;

/// Two routers before upstreams of which each crashes at most once.
struct CrashStory {
  CrashStory() {
    REQUIRE(mStory.Publish(Document(Traffic(7))).mCode == ResultCode::kOk);
    for (int i = 0; i < kUpstreams; i++) {
      mUpstreams.push_back(std::make_unique<ScriptedUpstream>(
          mStory.mLoop, "u" + std::to_string(i)));
      mUpstreams.back()->CrashOn("crashing");
      mStory.Beat(*mUpstreams.back(), UpstreamState::kReady);
    }
    mOther = mStory.MakeRouter("other");
    REQUIRE(mStory.RunUntil(
        [this] { return mStory.mRouter->Ready() && mOther->Ready(); }));
    REQUIRE(mStory.RunUntil([this] {
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
      mStory.CallAt(i % 2 == 0 ? *mOther : *mStory.mRouter, kCrashing);
      mStory.Wait(300);
    }
  }

  RelayStory mStory;
  std::vector<std::unique_ptr<ScriptedUpstream>> mUpstreams;
  std::unique_ptr<RelayRouter> mOther;
};

}  // namespace

Test(crashing_request, comes_again_at_any_router_and_is_run_no_more) {
  CrashStory story;
  story.ComeAgain();
  SECTION("only so many upstreams crash under it, over all routers and tries") {
    CHECK(story.Crashed() <= kMostCrashes);
  }
  SECTION("whoever sends it is told at once, and that it did not run") {
    const int before = story.Crashed();
    CHECK(story.mStory.Call(kCrashing).mStatus == 503);
    CHECK(story.mStory.CallAt(*story.mOther, kCrashing).mStatus == 503);
    CHECK(story.Crashed() == before);
  }
  SECTION("other requests of the same caller are served") {
    CHECK(story.mStory.Call("/look/x").mStatus == 200);
    CHECK(story.mStory.CallAt(*story.mOther, "/look/x").mStatus == 200);
  }
}
