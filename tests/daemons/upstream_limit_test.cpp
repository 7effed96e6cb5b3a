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
constexpr Millis kCallInterval = 20;
/// Requests of an upstream whose limit does not hold any more, in a window.
constexpr int kUnlimited = 2 * kAllowed;

/// Callers that ask several routers in turn, for as long as they are there.
class Callers {
 public:
  Callers(RelayFixture& aFixture, std::string aTarget)
      : mFixture(aFixture), mTarget(std::move(aTarget)) {
    mRouters.push_back(mFixture.mRouter.get());
    for (int i = 1; i < kRouters; i++) {
      mOthers.push_back(mFixture.MakeRouter("router" + std::to_string(i)));
      mRouters.push_back(mOthers.back().get());
    }
    REQUIRE(mFixture.RunUntil([this] {
      return std::all_of(
          mRouters.begin(), mRouters.end(),
          [](const RelayRouter* aRouter) { return aRouter->Ready(); });
    }));
    mTimer = mFixture.mLoop.Every(kCallInterval, [this] { Ask(); });
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
        mFixture.OpenAt(*mRouters[n % mRouters.size()],
                        {.mTarget = mTarget, .mId = "c" + std::to_string(n)}));
  }

  RelayFixture& mFixture;
  std::string mTarget;
  std::vector<std::unique_ptr<RelayRouter>> mOthers;
  std::vector<RelayRouter*> mRouters;
  std::vector<std::unique_ptr<OpenCall>> mCalls;
  std::unique_ptr<Timer> mTimer;
};

/// Lets time pass, while upstreams go on to be heard of.
class Passing {
 public:
  Passing(RelayFixture& aFixture, std::function<void()> aBeats)
      : mFixture(aFixture), mBeats(std::move(aBeats)) {}

  void Wait(Millis aTime) {
    for (Millis passed = 0; passed < aTime; passed += kHeartbeatInterval) {
      mBeats();
      mFixture.Wait(kHeartbeatInterval);
    }
  }

 private:
  static constexpr Millis kHeartbeatInterval = 500;

  RelayFixture& mFixture;
  std::function<void()> mBeats;
};

void CheckLimit(RelayFixture& aFixture, ScriptedUpstream& aLimited,
                const std::string& aTarget, std::function<void()> aBeats) {
  aLimited.NameLimit(kPerSecond);
  const Callers callers(aFixture, aTarget);
  Passing passing(aFixture, std::move(aBeats));
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
  RelayFixture fixture;
  fixture.Begin();
  CheckLimit(fixture, fixture.mA, "/look/1", [&fixture] {
    fixture.SendHeartbeat(fixture.mA, UpstreamState::kReady);
    fixture.SendHeartbeat(fixture.mB, UpstreamState::kReady);
  });
}

Test(upstream_limit, of_an_engine_that_begins_paths_holds_over_all_routers) {
  RelayFixture fixture;
  ScriptedUpstream limited(fixture.mLoop, "limited");
  ScriptedUpstream other(fixture.mLoop, "other");
  fixture.Begin();
  fixture.BeginEngine(limited);
  CheckLimit(fixture, limited, "/stream/1", [&] {
    fixture.SendEngineHeartbeat(limited);
    fixture.SendEngineHeartbeat(other);
  });
}

Test(upstream_limit, holds_for_requests_that_are_sent_once_more) {
  RelayFixture fixture;
  fixture.Begin();
  const std::vector<UpstreamAct> refusals(1000, UpstreamAct::kRefuse);
  fixture.mB.Next(refusals);
  fixture.mA.NameLimit(kPerSecond);
  const Callers callers(fixture, "/look/1");
  fixture.Wait(kTold);
  const Millis from = SteadyNow();
  fixture.Wait(kWindow + kTold);
  CHECK(fixture.mA.MostArrivalsIn(kWindow, from) <= kAllowed);
}
