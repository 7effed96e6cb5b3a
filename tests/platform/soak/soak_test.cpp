/// Tests of the soak's own participants.
#include "spindleweir/drivers/stream_server.h"
#include "tests/platform/soak/soak_caller.h"
#include "tests/platform/soak/soak_upstream.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr Millis kStallTimeout = 200;

}  // namespace

// Guards against a crash of the soak: at its end a caller stopped after its
// last answer, but the timer of that answer went on, and ended a request that
// was gone if other callers took longer than it.
Test(soak, a_caller_that_has_stopped_is_not_ended_again) {
  EventLoop loop;
  int answered = 0;
  StreamServer router(
      loop,
      {.mListen = {"127.0.0.1", 0},
       .mHandle =
           [&answered](const std::shared_ptr<StreamExchange>& aExchange) {
             // In two parts: the second one is awaited by the stall timer.
             aExchange->Start(200, {}, 2);
             aExchange->Write("a");
             aExchange->Write("b");
             aExchange->End();
             answered++;
           },
       .mRefuse = [](StreamExchange& aExchange, ResultCode) {
         aExchange.Abort();
       }});
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
