/// A VM that is suspended and resumed: the data that it holds has aged
/// meanwhile, and timers and leases must count that time.
#include "tests/daemons/relay_fixture.h"
#include "tests/suspension.h"

using namespace spindleweir;

namespace {

/// Longer than a lease, a route's timeout and the retention of loads.
constexpr Millis kSuspended = 8000;

}  // namespace

Test(suspended_vm, accepts_no_key_under_an_expired_lease) {
  RelayFixture fixture;
  fixture.Begin();
  fixture.mControl.reset();
  Suspend(kSuspended);
  SECTION("the first request afterwards is refused and does not run") {
    CHECK(fixture.Call("/pay/1").mStatus == 503);
    CHECK(fixture.RunsOfLast() == 0);
    CHECK(!fixture.mRouter->Ready());
  }
  SECTION("keys are accepted again after control confirms them") {
    fixture.StartControl();
    REQUIRE(fixture.RunUntil([&] { return fixture.mRouter->Ready(); }));
    CHECK(fixture.Call("/look/1").mStatus == 200);
  }
}

Test(suspended_vm, ends_requests_whose_deadline_passed_meanwhile) {
  RelayFixture fixture;
  fixture.Begin();
  fixture.mA.QueueActions({UpstreamAction::kSilent, UpstreamAction::kSilent});
  fixture.mB.QueueActions({UpstreamAction::kSilent, UpstreamAction::kSilent});
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
  // No upstream answers: only the deadline ends the request.
  Suspend(kSuspended);
  bool later = false;
  const auto timer = fixture.mLoop.After(kSuspended / 2, [&] { later = true; });
  REQUIRE(fixture.RunUntil([&] { return ended; }));
  CHECK(status == 504);
  SECTION("immediately, not later by the time of the suspension") {
    CHECK(!later);
  }
  SECTION("and only once") {
    CHECK(fixture.mA.Runs("p") + fixture.mB.Runs("p") == 1);
  }
}

Test(suspended_vm, of_control_confirms_no_stale_data) {
  RelayFixture fixture;
  fixture.Begin();
  const OperatorAnswer before = fixture.Read();
  REQUIRE(before.mCode == ResultCode::kOk);
  Suspend(kSuspended);
  SECTION("it leads again or answers with an error") {
    const OperatorAnswer answer = fixture.Read();
    CHECK(answer.mCode != ResultCode::kOk ||
          answer.mDocument == before.mDocument);
  }
  SECTION("changes are accepted again") {
    CHECK(fixture.Publish(Document(Traffic(9))).mCode == ResultCode::kOk);
  }
}
