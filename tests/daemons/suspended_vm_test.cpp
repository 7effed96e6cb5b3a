/// A VM that is suspended and goes on: what it knew is as old as it is.
#include "tests/daemons/relay_fixture.h"
#include "tests/suspension.h"

using namespace spindleweir;

namespace {

/// Longer than a lease, a route's time-out and what loads are kept for.
constexpr Millis kSuspended = 8000;

}  // namespace

Test(suspended_vm, uses_no_key_by_a_lease_that_has_run_out) {
  RelayFixture fixture;
  fixture.Begin();
  fixture.mControl.reset();
  Suspend(kSuspended);
  SECTION("the first request after it is refused, and has not run") {
    CHECK(fixture.Call("/pay/1").mStatus == 503);
    CHECK(fixture.RunsOfLast() == 0);
    CHECK(!fixture.mRouter->Ready());
  }
  SECTION("once control confirms the keys, they are of use again") {
    fixture.StartControl();
    REQUIRE(fixture.RunUntil([&] { return fixture.mRouter->Ready(); }));
    CHECK(fixture.Call("/look/1").mStatus == 200);
  }
}

Test(suspended_vm, ends_what_passed_its_deadline_meanwhile) {
  RelayFixture fixture;
  fixture.Begin();
  fixture.mA.Next({UpstreamAct::kSilent, UpstreamAct::kSilent});
  fixture.mB.Next({UpstreamAct::kSilent, UpstreamAct::kSilent});
  int status = 0;
  bool ended = false;
  StreamCallOptions options;
  options.mServer = fixture.mRouter->Address();
  options.mMethod = "POST";
  options.mTarget = "/pay/1";
  options.mHeaders = {{"Host", "shop"}, {"X-Request", "p"}, {"X-Key", "key"}};
  options.mOnHead = [&](const AnswerHead& aHead) { status = aHead.mStatus; };
  options.mOnEnd = [&](StreamEnd) { ended = true; };
  const auto call = StartStreamCall(fixture.mLoop, std::move(options));
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.mA.Runs("p") + fixture.mB.Runs("p") == 1; }));
  // Nobody answers: only the deadline ends it.
  Suspend(kSuspended);
  bool later = false;
  const auto timer = fixture.mLoop.After(kSuspended / 2, [&] { later = true; });
  REQUIRE(fixture.RunUntil([&] { return ended; }));
  CHECK(status == 504);
  SECTION("at once, not as much later as it was suspended") {
    CHECK(!later);
  }
  SECTION("and once") {
    CHECK(fixture.mA.Runs("p") + fixture.mB.Runs("p") == 1);
  }
}

Test(suspended_vm, of_control_confirms_nothing_that_it_knew_before) {
  RelayFixture fixture;
  fixture.Begin();
  const OperatorAnswer before = fixture.Read();
  REQUIRE(before.mCode == ResultCode::kOk);
  Suspend(kSuspended);
  SECTION("it leads again, or says that it is not sure") {
    const OperatorAnswer answer = fixture.Read();
    CHECK(answer.mCode != ResultCode::kOk ||
          answer.mDocument == before.mDocument);
  }
  SECTION("changes are taken again") {
    CHECK(fixture.Publish(Document(Traffic(9))).mCode == ResultCode::kOk);
  }
}
