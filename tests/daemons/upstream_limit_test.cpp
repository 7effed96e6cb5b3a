/// Upstreams that name a limit in their answers get no more than it from all
/// routers together.
#include <algorithm>
#include <functional>
#include <vector>

#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

constexpr int kRouters = 4;
constexpr double kPerSecond = 2;
constexpr Millis kWindow = 4000;
/// One and a half times the limit, and five besides.
constexpr int kAllowed = 17;
/// By then each router has had an answer that names it.
constexpr Millis kTold = 1500;
constexpr Millis kCallEvery = 20;
/// Requests of an upstream whose limit does not hold any more, in a window.
constexpr int kUnlimited = 2 * kAllowed;

/// Callers that ask several routers in turn, for as long as they are there.
class Callers {
 public:
  Callers(RelayFixture& aStory, std::string aTarget)
      : mStory(aStory), mTarget(std::move(aTarget)) {
    mRouters.push_back(mStory.mRouter.get());
    for (int i = 1; i < kRouters; i++) {
      mOthers.push_back(mStory.MakeRouter("router" + std::to_string(i)));
      mRouters.push_back(mOthers.back().get());
    }
    REQUIRE(mStory.RunUntil([this] {
      return std::all_of(
          mRouters.begin(), mRouters.end(),
          [](const RelayRouter* aRouter) { return aRouter->Ready(); });
    }));
    mTimer = mStory.mLoop.Every(kCallEvery, [this] { Ask(); });
  }

  int Served() const {
    int n = 0;
    for (const auto& call : mCalls) {
      n += call->mAnswer.mStatus == 200 ? 1 : 0;
    }
    return n;
  }

 private:
  void Ask() {
    const std::size_t n = mCalls.size();
    mCalls.push_back(
        mStory.OpenAt(*mRouters[n % mRouters.size()],
                      {.mTarget = mTarget, .mId = "c" + std::to_string(n)}));
  }

  RelayFixture& mStory;
  std::string mTarget;
  std::vector<std::unique_ptr<RelayRouter>> mOthers;
  std::vector<RelayRouter*> mRouters;
  std::vector<std::unique_ptr<OpenCall>> mCalls;
  std::unique_ptr<Timer> mTimer;
};

/// Lets time pass, while upstreams go on to be heard of.
class Passing {
 public:
  Passing(RelayFixture& aStory, std::function<void()> aBeats)
      : mStory(aStory), mBeats(std::move(aBeats)) {}

  void Wait(Millis aTime) {
    for (Millis passed = 0; passed < aTime; passed += kBeatEvery) {
      mBeats();
      mStory.Wait(kBeatEvery);
    }
  }

 private:
  static constexpr Millis kBeatEvery = 500;

  RelayFixture& mStory;
  std::function<void()> mBeats;
};

void CheckLimit(RelayFixture& aStory, ScriptedUpstream& aLimited,
                const std::string& aTarget, std::function<void()> aBeats) {
  aLimited.NameLimit(kPerSecond);
  const Callers callers(aStory, aTarget);
  Passing passing(aStory, std::move(aBeats));
  passing.Wait(kTold);
  const Millis from = SteadyNow();
  passing.Wait(kWindow + kTold);
  CHECK(aLimited.MostArrivalsIn(kWindow, from) <= kAllowed);
  SECTION("it gets some of what it takes, and another one serves the rest") {
    CHECK(aLimited.MostArrivalsIn(kWindow, from) >= kPerSecond);
    CHECK(callers.Served() > kUnlimited);
  }
  SECTION("it gets more again once its answers name none") {
    aLimited.NameLimit(std::nullopt);
    passing.Wait(kWindow);
    const Millis lifted = SteadyNow();
    passing.Wait(kWindow);
    CHECK(aLimited.MostArrivalsIn(kWindow, lifted) > kUnlimited);
  }
}

}  // namespace

Test(upstream_limit, of_a_plain_service_holds_over_all_routers) {
  RelayFixture story;
  story.Begin();
  CheckLimit(story, story.mA, "/look/1", [&story] {
    story.Beat(story.mA, UpstreamState::kReady);
    story.Beat(story.mB, UpstreamState::kReady);
  });
}

Test(upstream_limit, of_an_engine_that_begins_paths_holds_over_all_routers) {
  RelayFixture story;
  ScriptedUpstream limited(story.mLoop, "limited");
  ScriptedUpstream other(story.mLoop, "other");
  story.Begin();
  story.BeginEngine(limited);
  CheckLimit(story, limited, "/stream/1", [&] {
    story.SendEngineHeartbeat(limited);
    story.SendEngineHeartbeat(other);
  });
}

Test(upstream_limit, holds_for_requests_that_are_sent_once_more) {
  RelayFixture story;
  story.Begin();
  const std::vector<UpstreamAct> refusals(1000, UpstreamAct::kRefuse);
  story.mB.Next(refusals);
  story.mA.NameLimit(kPerSecond);
  const Callers callers(story, "/look/1");
  story.Wait(kTold);
  const Millis from = SteadyNow();
  story.Wait(kWindow + kTold);
  CHECK(story.mA.MostArrivalsIn(kWindow, from) <= kAllowed);
}
