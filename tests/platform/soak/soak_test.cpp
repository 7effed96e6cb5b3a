/// Tests of the soak's own participants.
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/settings.h"
#include "spindleweir/drivers/stream_client.h"
#include "spindleweir/drivers/stream_server.h"
#include "tests/platform/soak/soak_caller.h"
#include "tests/platform/soak/soak_upstream.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr Millis kStallTimeout = 200;
/// Kind of a network fault that holds back both requests and answers.
constexpr int kPauseBothWays = 2;

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
  EventLoop loop;
  std::string heartbeat;
  StreamServer control(
      loop,
      {.mListen = {"127.0.0.1", 0},
       .mHandle =
           [&heartbeat](const std::shared_ptr<StreamExchange>& aExchange) {
             heartbeat = aExchange->Body();
             aExchange->Reply(200, {}, "{}");
           },
       .mRefuse = [](StreamExchange& aExchange,
                     ResultCode) { aExchange.Abort(); }});
  SoakRecord record;
  record.At("held");
  record.At("kept");
  record.At("unseen");
  SoakUpstream engine(loop, "engine",
                      {.mService = "model",
                       .mZone = "z",
                       .mEngine = true,
                       .mControls = {control.Address()},
                       .mRecord = &record});
  REQUIRE(RunLoopUntil(loop, [&] { return !heartbeat.empty(); }));
  const auto send = [&](const char* aId) {
    StreamCallOptions options;
    options.mServer = ParseEndpoint(ParseJson(heartbeat)["address"].asString(),
                                    "address of an engine");
    options.mMethod = "POST";
    options.mTarget = "/stream/2";
    options.mHeaders = {{"Host", "h"},
                        {"Spindleweir-Request-Id", aId},
                        {"Spindleweir-Expect-Instance", "engine-1"}};
    return StartStreamCall(loop, std::move(options));
  };
  engine.InjectLinkFault(kPauseBothWays);
  auto held = send("held");
  const auto kept = send("kept");
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
    engine.InjectLinkFault(kPauseBothWays);
    const auto unseen = send("unseen");
    const auto crash = loop.After(kStallTimeout, [&] {
      engine.Crash();
      loop.Stop();
    });
    loop.Run();
    CHECK(record.At("unseen").mRuns == 0);
    CHECK(record.At("unseen").mLostRuns == 1);
  }
}
