/// Upstreams that advertise a limit in their answers get no more requests than
/// that from all routers together.
#include <algorithm>
#include <functional>
#include <vector>

#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

constexpr int kRouters = 4;
constexpr double kPerSecond = 2;
constexpr Millis kWindow = 4000;
/// 1.5 times the limit in a window, plus 5.
constexpr int kAllowed = 17;
/// After this time each router has received an answer with the limit.
constexpr Millis kLimitSpread = 1500;
constexpr Millis kCallInterval = 20;
/// An upstream without a limit gets more requests than this in a window.
constexpr int kUnlimited = 2 * kAllowed;

/// Callers that call several routers in turn during the object's lifetime.
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
    mTimer = mFixture.mLoop.Every(kCallInterval, [this] { SendCall(); });
  }

  int Served() const {
    int n = 0;
    for (const auto& call : mCalls) {
      n += call->mAnswer.mStatus == 200 ? 1 : 0;
    }
    return n;
  }

 private:
  void SendCall() {
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

/// Waits while upstreams go on sending heartbeats.
class HeartbeatWait {
 public:
  HeartbeatWait(RelayFixture& aFixture, std::function<void()> aSendHeartbeats)
      : mFixture(aFixture), mSendHeartbeats(std::move(aSendHeartbeats)) {}

  void Wait(Millis aTime) {
    for (Millis passed = 0; passed < aTime; passed += kHeartbeatInterval) {
      mSendHeartbeats();
      mFixture.Wait(kHeartbeatInterval);
    }
  }

 private:
  static constexpr Millis kHeartbeatInterval = 500;

  RelayFixture& mFixture;
  std::function<void()> mSendHeartbeats;
};

void CheckLimit(RelayFixture& aFixture, ScriptedUpstream& aLimited,
                const std::string& aTarget,
                std::function<void()> aSendHeartbeats) {
  aLimited.AdvertiseLimit(kPerSecond);
  const Callers callers(aFixture, aTarget);
  HeartbeatWait wait(aFixture, std::move(aSendHeartbeats));
  wait.Wait(kLimitSpread);
  const Millis from = SteadyNow();
  wait.Wait(kWindow + kLimitSpread);
  CHECK(aLimited.MaxArrivalsIn(kWindow, from) <= kAllowed);
  SECTION(
      "it gets requests up to its limit, and another upstream serves the "
      "rest") {
    CHECK(aLimited.MaxArrivalsIn(kWindow, from) >= kPerSecond);
    CHECK(callers.Served() > kUnlimited);
  }
  SECTION("it gets more again once its answers carry no limit") {
    aLimited.AdvertiseLimit(std::nullopt);
    wait.Wait(kWindow);
    const Millis lifted = SteadyNow();
    wait.Wait(kWindow);
    CHECK(aLimited.MaxArrivalsIn(kWindow, lifted) > kUnlimited);
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

Test(upstream_limit, of_a_first_stage_engine_holds_over_all_routers) {
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

Test(upstream_limit, holds_for_retries) {
  RelayFixture fixture;
  fixture.Begin();
  const std::vector<UpstreamAction> refusals(1000, UpstreamAction::kRefuse);
  fixture.mB.QueueActions(refusals);
  fixture.mA.AdvertiseLimit(kPerSecond);
  const Callers callers(fixture, "/look/1");
  fixture.Wait(kLimitSpread);
  const Millis from = SteadyNow();
  fixture.Wait(kWindow + kLimitSpread);
  CHECK(fixture.mA.MaxArrivalsIn(kWindow, from) <= kAllowed);
}
