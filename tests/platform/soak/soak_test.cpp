/// Tests of the soak's own participants.
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/settings.h"
#include "spindleweir/drivers/stream_client.h"
#include "spindleweir/drivers/stream_server.h"
#include "tests/platform/soak/soak_caller.h"
#include "tests/platform/soak/soak_retry_limit.h"
#include "tests/platform/soak/soak_upstream.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr Millis kStallTimeout = 200;
/// Kind of a network fault that holds back both requests and answers.
constexpr int kPauseBothWays = 2;
constexpr int kSlow = 3;

/// An engine that has announced itself, and callers that take the place of a
/// router.
struct EngineFixture {
  EngineFixture()
      : mControl(mLoop,
                 {.mListen = {"127.0.0.1", 0},
                  .mHandle =
                      [this](const std::shared_ptr<StreamExchange>& aExchange) {
                        mHeartbeat = aExchange->Body();
                        aExchange->Reply(200, {}, "{}");
                      },
                  .mRefuse = [](StreamExchange& aExchange,
                                ResultCode) { aExchange.Abort(); }}) {
    mEngine = std::make_unique<SoakUpstream>(
        mLoop, "engine",
        SoakUpstreamOptions{.mService = "model",
                            .mZone = "z",
                            .mEngine = true,
                            .mControls = {mControl.Address()},
                            .mRecord = &mRecord});
    REQUIRE(RunLoopUntil(mLoop, [this] { return !mHeartbeat.empty(); }));
  }

  std::unique_ptr<StreamCall> Send(const char* aId) {
    mRecord.At(aId);
    StreamCallOptions options;
    options.mServer = ParseEndpoint(ParseJson(mHeartbeat)["address"].asString(),
                                    "address of an engine");
    options.mMethod = "POST";
    options.mTarget = "/stream/2";
    options.mHeaders = {{"Host", "h"},
                        {"Spindleweir-Request-Id", aId},
                        {"Spindleweir-Expect-Instance", "engine-1"}};
    options.mOnEnd = [this](StreamEnd) { mEnded++; };
    return StartStreamCall(mLoop, std::move(options));
  }

  EventLoop mLoop;
  std::string mHeartbeat;
  StreamServer mControl;
  SoakRecord mRecord;
  std::unique_ptr<SoakUpstream> mEngine;
  int mEnded = 0;  ///< Calls.
};

}  // namespace

// Guards against a crash of the soak: at its end a caller stopped after its
// last answer, but the timer of that answer went on, and ended a request that
// was gone if other callers took longer than it.
Test(soak, a_caller_that_has_stopped_is_not_ended_again) {
  EventLoop loop;
  int answered = 0;
  StreamServer router(
      loop, {.mListen = {"127.0.0.1", 0},
             .mHandle =
                 [&answered](const std::shared_ptr<StreamExchange>& aExchange) {
                   // In two parts: the second one is awaited by the stall
                   // timer.
                   aExchange->Start(200, {}, 2);
                   aExchange->Write("a");
                   aExchange->Write("b");
                   aExchange->End();
                   answered++;
                 },
             .mRefuse = [](StreamExchange& aExchange,
                           ResultCode) { aExchange.Abort(); }});
  SoakRecord record;
  std::mt19937 random(1);
  SoakCaller caller(loop, "c",
                    {.mRouters = {{"router-0", router.Address()}},
                     .mRecord = &record,
                     .mRandom = &random,
                     .mMaySend = [&answered] { return answered == 0; },
                     .mStallTimeout = kStallTimeout});
  REQUIRE(RunLoopUntil(loop, [&] { return answered == 1 && !caller.Busy(); }));
  const auto end = loop.After(2 * kStallTimeout, [&loop] { loop.Stop(); });
  loop.Run();
  CHECK(answered == 1);
  CHECK(record.At("c-1").mEnd == SoakEnd::kComplete);
}

// Guards against a wrong verdict: a request that the network had held back
// until its router gave it up, or its upstream ended, did not count as lost, so
// that a stream which had used both of its attempts seemed to have one left.
Test(soak, a_request_that_the_network_held_back_counts_as_lost) {
  EngineFixture fixture;
  EventLoop& loop = fixture.mLoop;
  SoakRecord& record = fixture.mRecord;
  fixture.mEngine->InjectLinkFault(kPauseBothWays);
  auto held = fixture.Send("held");
  const auto kept = fixture.Send("kept");
  const auto giveUp = loop.After(kStallTimeout, [&held] { held.reset(); });
  REQUIRE(RunLoopUntil(loop, [&] {
    return record.At("held").mRuns == 1 && record.At("kept").mRuns == 1;
  }));
  const auto end = loop.After(kStallTimeout, [&loop] { loop.Stop(); });
  loop.Run();
  SECTION("one whose router has gone") {
    CHECK(record.At("held").mLostRuns == 1);
  }
  SECTION("but not one whose router still waits") {
    CHECK(record.At("kept").mLostRuns == 0);
  }
  SECTION("one whose upstream ends meanwhile") {
    fixture.mEngine->InjectLinkFault(kPauseBothWays);
    const auto unseen = fixture.Send("unseen");
    const auto crash = loop.After(kStallTimeout, [&] {
      fixture.mEngine->Crash();
      loop.Stop();
    });
    loop.Run();
    CHECK(record.At("unseen").mRuns == 0);
    CHECK(record.At("unseen").mLostRuns == 1);
  }
}

// Guards against a wrong verdict: a stream whose upstream had written all of
// it, and ended before the router had read the end, did not count as lost.
Test(soak, an_answer_whose_end_the_network_held_back_counts_as_lost) {
  EngineFixture fixture;
  EventLoop& loop = fixture.mLoop;
  fixture.mEngine->InjectLinkFault(kSlow);
  const auto read = fixture.Send("read");
  REQUIRE(RunLoopUntil(loop, [&] { return fixture.mEnded == 1; }));
  fixture.mEngine->InjectLinkFault(kSlow);
  const auto unread = fixture.Send("unread");
  REQUIRE(RunLoopUntil(
      loop, [&] { return fixture.mEngine->UndeliveredAnswers() == 1; }));
  fixture.mEngine->Crash();
  SECTION("one that was held back when its upstream ended") {
    CHECK(fixture.mRecord.At("unread").mLostRuns == 1);
  }
  SECTION("but not one that its router has read") {
    CHECK(fixture.mRecord.At("read").mLostRuns == 0);
  }
}

// The limit counts any window, not only those that begin at a full second.
Test(soak_retry_limit, counts_the_worst_window) {
  constexpr std::int64_t kSecond = 1000000;
  const SoakRetryLimit limit{.mSlack = 10};
  SoakArrivals arrivals;
  for (int i = 0; i < 100; i++) {
    arrivals.mRequests.push_back(i * kSecond / 2);
  }
  const auto retryAt = [&arrivals](std::int64_t aAt, int aCount) {
    arrivals.mRetries.insert(arrivals.mRetries.end(),
                             static_cast<std::size_t>(aCount), aAt);
  };
  SECTION("a burst within the limit") {
    retryAt(20 * kSecond, 14);
    CHECK(MostRetriesOverLimit(arrivals, limit) <= 0);
  }
  SECTION("and another one nine seconds later") {
    retryAt(29 * kSecond + 1, 2);
    CHECK(MostRetriesOverLimit(arrivals, limit) > 0);
  }
}
