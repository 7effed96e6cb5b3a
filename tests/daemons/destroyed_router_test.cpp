/// Guards against use after free: requests own themselves while they are open,
/// and outlived the router that they belong to, so that a later answer or timer
/// used its freed members.
#include "tests/daemons/deployment.h"

using namespace spindleweir;

namespace {

constexpr Millis kServiceDelay = 400;
/// Longer than the delay of a service and than the interval at which outcomes
/// of claims are sent again.
constexpr Millis kSettleTime = 800;

std::shared_ptr<CallerResult> Pay(Deployment& aDeployment) {
  return aDeployment.Send(0, "POST", "/v1/services/kaunter-api/pay", "{}",
                          {{"Authorization", "Bearer traveller-key"},
                           {"Idempotency-Key", "order-12"}});
}

}  // namespace

Test(destroyed_router, ignores_the_answer_to_an_open_service_call) {
  Deployment deployment({.mZones = 1, .mServiceDelay = kServiceDelay});
  deployment.Begin();
  const auto call = Pay(deployment);
  REQUIRE(deployment.RunUntil([&] { return deployment.ServiceRuns() == 1; }));
  deployment.mRouters[0].reset();
  deployment.RunFor(kSettleTime);
  CHECK(call->mDone && !call->mHttp.mComplete);
}

Test(destroyed_router, ignores_the_tokens_of_an_open_completion) {
  Deployment deployment({.mZones = 1});
  deployment.Begin();
  const auto stream = deployment.Chat(0, "whisky", 4000, true);
  REQUIRE(deployment.RunUntil([&] { return !stream->mStream.empty(); }));
  deployment.mRouters[0].reset();
  deployment.RunFor(kSettleTime);
  CHECK(stream->mDone);
}

Test(destroyed_router, sends_no_outcome_of_a_claim_again) {
  Deployment deployment({.mZones = 1, .mServiceDelay = kServiceDelay});
  deployment.Begin();
  const auto call = Pay(deployment);
  REQUIRE(deployment.RunUntil([&] { return deployment.ServiceRuns() == 1; }));
  deployment.mControls.clear();
  REQUIRE(deployment.RunUntil([&] { return call->mDone; }));
  CHECK(call->mHttp.mStatus == 200);
  deployment.mRouters[0].reset();
  deployment.RunFor(kSettleTime);
}
