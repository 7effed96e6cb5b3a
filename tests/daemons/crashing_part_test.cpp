/// A part of a prompt may crash each upstream that runs a request with it. If
/// only equal requests were counted together, requests that share that part and
/// nothing else would end one upstream after another, with all streams on them.
#include <algorithm>
#include <array>

#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

constexpr const char* kCrashingPart = "bad";
constexpr const char* kCrashingParts = "system,bad";
constexpr const char* kSoundParts = "system,other";
constexpr int kUpstreams = 24;
constexpr int kMaxCrashes = 4;
constexpr int kRounds = 8;
/// Requests with the part come at one of the routers after another.
constexpr int kManyRouters = 9;
constexpr Millis kArrivalInterval = 50;
constexpr int kArrivals = 160;
constexpr std::array kZones = {"z", "y", "x"};
/// The poll in progress when the controls are told, and the next one.
constexpr std::int64_t kMaxPolls = 2;
constexpr Millis kPhaseShift = 17;
constexpr int kExcuses = 5;
/// All VMs that are in contact know of a verdict after this time.
constexpr Millis kContactTime = 3000;
/// Its zone is the second one, as that of the first of the other controls.
constexpr int kRouterOfDeadControl = 2;
/// After it a router can tell a new part from those that all requests have.
constexpr Millis kLearningTime = 2100;

/// Routers and upstreams, each of which crashes at most once.
struct PartFixture {
  explicit PartFixture(int aOtherRouters = 1, std::size_t aZones = 1)
      : mZones(aZones) {
    for (std::size_t i = 1; i < mZones; i++) {
      mOtherControls.push_back(
          mFixture.MakeOtherControl(FreeEndpoint(), kZones[i]));
    }
    REQUIRE(mFixture.Publish(Document(Traffic(7))).mCode == ResultCode::kOk);
    for (int i = 0; i < kUpstreams; i++) {
      mUpstreams.push_back(std::make_unique<ScriptedUpstream>(
          mFixture.mLoop, "u" + std::to_string(i)));
      mUpstreams.back()->CrashOnPart(kCrashingPart);
    }
    SendHeartbeats();
    for (int i = 0; i < aOtherRouters; i++) {
      const char* zone = kZones[static_cast<std::size_t>(i) % mZones];
      mOthers.push_back(mFixture.MakeRouter("other" + std::to_string(i),
                                            &StartStreamCall, zone));
      RelayRouter& router = *mOthers.back();
      REQUIRE(mFixture.RunUntil([this, &router] {
        return mFixture.mRouter->Ready() && router.Ready();
      }));
      REQUIRE(mFixture.RunUntil([&router] {
        router.RefreshGauges();
        return router.OwnCounters().Value("upstreams_ready") == kUpstreams;
      }));
    }
  }

  /// The first router, and the others.
  RelayRouter& RouterAt(int aNumber) {
    return aNumber == 0 ? *mFixture.mRouter
                        : *mOthers[static_cast<std::size_t>(aNumber) - 1];
  }

  void SendHeartbeats() {
    for (const auto& upstream : mUpstreams) {
      if (!upstream->Crashed()) {
        mFixture.SendHeartbeat(*upstream, UpstreamState::kReady);
      }
    }
  }

  void SetCrashingPart(const std::string& aPart) {
    for (const auto& upstream : mUpstreams) {
      upstream->CrashOnPart(aPart);
    }
  }

  /// Number of parts that a router suspects.
  static int Suspected(RelayRouter& aRouter) {
    aRouter.RefreshGauges();
    return static_cast<int>(aRouter.OwnCounters().Value("parts_suspected"));
  }

  /// Polls that a router's nearest control has answered.
  static std::int64_t Polls(RelayRouter& aRouter) {
    return aRouter.OwnCounters().Value("polls_answered", "control=\"nearest\"");
  }

  /// Runs until all routers suspect that many parts. Returns the most polls
  /// that one of them needed.
  std::int64_t PollsUntilAllSuspect(int aParts) {
    struct Waiting {
      RelayRouter* mRouter;
      std::int64_t mPollsBefore;
    };
    std::vector<Waiting> waiting;
    for (int i = 0; i <= static_cast<int>(mOthers.size()); i++) {
      waiting.push_back({&RouterAt(i), Polls(RouterAt(i))});
    }
    std::int64_t most = 0;
    REQUIRE(mFixture.RunUntil([&] {
      std::erase_if(waiting, [&](const Waiting& aWaiting) {
        if (Suspected(*aWaiting.mRouter) != aParts) {
          return false;
        }
        most = std::max(most, Polls(*aWaiting.mRouter) - aWaiting.mPollsBefore);
        return true;
      });
      return waiting.empty();
    }));
    return most;
  }

  int Crashed() const {
    int n = 0;
    for (const auto& upstream : mUpstreams) {
      n += upstream->Crashed() ? 1 : 0;
    }
    return n;
  }

  /// Starts a request that is like no other one but for its parts.
  std::unique_ptr<OpenCall> Open(const RelayRouter& aRouter,
                                 const char* aParts) {
    const std::string id = std::to_string(++mRequests);
    return mFixture.OpenAt(
        aRouter,
        {.mTarget = "/stream/" + id, .mId = "p" + id, .mParts = aParts});
  }

  Answer Call(RelayRouter& aRouter, const char* aParts) {
    const std::string id = std::to_string(++mRequests);
    return mFixture.CallUntilRead(
        aRouter,
        {.mTarget = "/stream/" + id, .mId = "p" + id, .mParts = aParts});
  }

  /// Requests with the crashing part come at both routers, with a sound one
  /// between them. Returns how many of the sound ones were served.
  int RepeatRequests() {
    int served = 0;
    for (int i = 0; i < kRounds; i++) {
      SendHeartbeats();
      RelayRouter& router = RouterAt((i + 1) % 2);
      const auto crashing = Open(router, kCrashingParts);
      served += Call(router, kSoundParts).mStatus == 200 ? 1 : 0;
      REQUIRE(mFixture.RunUntil([&crashing] { return crashing->mEnded; }));
      mFixture.Wait(300);
    }
    return served;
  }

  RelayFixture mFixture;
  std::size_t mZones;  ///< Each has a control of its own.
  std::vector<std::unique_ptr<JoinedControl>> mOtherControls;
  std::vector<std::unique_ptr<ScriptedUpstream>> mUpstreams;
  std::vector<std::unique_ptr<RelayRouter>> mOthers;
  int mRequests = 0;
};

}  // namespace

Test(crashing_part, is_barred_at_all_routers_though_no_two_requests_are_alike) {
  PartFixture fixture;
  const int served = fixture.RepeatRequests();
  SECTION("few upstreams crash, over all routers and requests") {
    CHECK(fixture.Crashed() <= kMaxCrashes);
  }
  SECTION("requests that share the other parts were served meanwhile") {
    CHECK(served == kRounds);
  }
}

// Each router that hears late of the first crash ends one more upstream.
Test(crashing_part, ends_few_upstreams_though_requests_come_at_many_routers) {
  PartFixture fixture(kManyRouters - 1, kZones.size());
  for (int i = 0; i < kManyRouters; i++) {
    CHECK(fixture.Call(fixture.RouterAt(i), kSoundParts).mStatus == 200);
  }
  fixture.mFixture.Wait(kLearningTime);
  std::vector<std::unique_ptr<OpenCall>> calls;
  for (int i = 0; i < kArrivals; i++) {
    RelayRouter& router = fixture.RouterAt(i % kManyRouters);
    calls.push_back(fixture.Open(router, kCrashingParts));
    fixture.mFixture.Wait(kArrivalInterval);
    if (i % 20 == 19) {
      fixture.SendHeartbeats();
    }
  }
  CHECK_FOUND(fixture.Crashed() <= kMaxCrashes,
              std::to_string(fixture.Crashed()) + " crashed");
}

// Word of a crash went from poll to poll, by way of two controls, for up to
// 0.7 s, in which the other routers ran such requests.
Test(crashing_part, is_known_at_all_routers_within_one_of_their_polls) {
  PartFixture fixture(kManyRouters - 1, kZones.size());
  fixture.mFixture.Wait(kLearningTime);
  for (int i = 1; i <= kManyRouters; i++) {
    const std::string part = "bad" + std::to_string(i);
    fixture.SetCrashingPart(part);
    RelayRouter& first = fixture.RouterAt(i % kManyRouters);
    auto call = fixture.Open(first, part.c_str());
    REQUIRE(fixture.mFixture.RunUntil(
        [&] { return PartFixture::Suspected(first) == i; }));
    call.reset();
    const std::int64_t polls = fixture.PollsUntilAllSuspect(i);
    CHECK_FOUND(polls <= kMaxPolls, std::to_string(polls) + " polls");
    fixture.SendHeartbeats();
    // The next crash comes at another moment between two polls.
    fixture.mFixture.Wait(i * kPhaseShift);
  }
}

// If word went by one control only, its end would leave a zone without it.
Test(crashing_part, is_known_at_all_routers_though_their_control_is_dead) {
  PartFixture fixture(kManyRouters - 1, kZones.size());
  fixture.mFixture.Wait(kLearningTime);
  fixture.mOtherControls.front().reset();
  RelayRouter& first = fixture.RouterAt(kRouterOfDeadControl);
  fixture.SetCrashingPart("bad1");
  auto call = fixture.Open(first, "bad1");
  REQUIRE(fixture.mFixture.RunUntil(
      [&first] { return PartFixture::Suspected(first) == 1; }));
  const Millis seen = SteadyNow();
  call.reset();
  (void)fixture.PollsUntilAllSuspect(1);
  const Millis took = SteadyNow() - seen;
  CHECK_FOUND(took <= kContactTime, std::to_string(took) + " ms");
}

// An excuse that travels slower than the suspicion holds up sound requests.
Test(crashing_part, is_excused_at_all_routers_within_one_of_their_polls) {
  PartFixture fixture(kManyRouters - 1, kZones.size());
  for (int i = 0; i < kManyRouters; i++) {
    CHECK(fixture.Call(fixture.RouterAt(i), kSoundParts).mStatus == 200);
  }
  fixture.mFixture.Wait(kLearningTime);
  for (int i = 1; i <= kExcuses; i++) {
    const std::string part = "new" + std::to_string(i);
    fixture.SetCrashingPart(part);
    RelayRouter& first = fixture.RouterAt(i % kManyRouters);
    const auto call = fixture.Open(first, part.c_str());
    (void)fixture.PollsUntilAllSuspect(1);
    fixture.SetCrashingPart("");
    REQUIRE(fixture.mFixture.RunUntil(
        [&first] { return PartFixture::Suspected(first) == 0; }));
    const std::int64_t polls = fixture.PollsUntilAllSuspect(0);
    CHECK_FOUND(polls <= kMaxPolls, std::to_string(polls) + " polls");
    REQUIRE(fixture.mFixture.RunUntil([&call] { return call->mEnded; }));
    CHECK(call->mAnswer.mStatus == 200);
    fixture.SendHeartbeats();
  }
}

Test(crashing_part, stays_barred_at_processes_that_start_later) {
  PartFixture fixture;
  fixture.RepeatRequests();
  RelayFixture& all = fixture.mFixture;
  const int before = fixture.Crashed();
  SECTION("at a router that joins") {
    const std::unique_ptr<RelayRouter> late = all.MakeRouter("late");
    REQUIRE(all.RunUntil([&late] { return late->Ready(); }));
    CHECK(fixture.Call(*late, kCrashingParts).mStatus == 503);
    CHECK(fixture.Call(*late, kSoundParts).mStatus == 200);
    CHECK(fixture.Crashed() == before);
  }
  SECTION("after all processes have started again") {
    all.mRouter.reset();
    fixture.mOthers.clear();
    all.mControl.reset();
    all.StartControl();
    all.StartRouter();
    fixture.SendHeartbeats();
    REQUIRE(all.RunUntil([&all] { return all.mRouter->Ready(); }));
    CHECK(fixture.Call(*all.mRouter, kCrashingParts).mStatus == 503);
    CHECK(fixture.Call(*all.mRouter, kSoundParts).mStatus == 200);
    CHECK(fixture.Crashed() == before);
  }
  SECTION("operators see it") {
    all.mRouter->RefreshGauges();
    CHECK(all.mRouter->OwnCounters().Value("parts_barred") == 1);
    CHECK(all.mControl->OwnCounters().Value("parts_barred") == 1);
  }
}
