/// Routers with the product's own interface that lose their links to all
/// upstreams. They answered every request that no instance was usable, though
/// other routers reached the upstreams.
#include <set>

#include "spindleweir/core/json_codec.h"
#include "tests/daemons/deployment.h"

using namespace spindleweir;

namespace {

/// Within this time a router must have noticed that it is cut off.
constexpr Millis kNoticeTime = 3000;
const HttpHeader kDeadline{"X-Deadline-Ms", "5000"};
constexpr const char* kServicePath = "/v1/services/kaunter-api/orders";

/// A deployment whose first router is cut off from the upstreams.
struct CutOffDeployment {
  explicit CutOffDeployment(LinkFailure aFailure)
      : mFailure(aFailure),
        mDeployment(
            {.mLinkFailureOf = [this](int aRouter, const Endpoint& aServer) {
              const bool isCut = aRouter == 0 && mCut.contains(aServer.Text());
              return isCut ? mFailure : LinkFailure::kNone;
            }}) {
    mDeployment.Begin();
    CutOff();
    mDeployment.RunFor(kNoticeTime);
  }

  void CutOff() {
    for (const auto& [vm, engine] : mDeployment.mEngines) {
      mCut.insert(engine->Address().Text());
    }
    for (const auto& [vm, service] : mDeployment.mServices) {
      mCut.insert(service->Address().Text());
    }
  }

  void Await(const std::shared_ptr<CallerResult>& aAnswer) {
    REQUIRE(mDeployment.RunUntil([&aAnswer] { return aAnswer->mDone; }));
  }

  std::set<std::string> mCut;
  LinkFailure mFailure;
  Deployment mDeployment;
};

void CheckServed(LinkFailure aFailure) {
  CutOffDeployment cut(aFailure);
  Deployment& deployment = cut.mDeployment;
  SECTION("completions are answered") {
    const auto answer = deployment.Chat(0, "perfume", 10, false, {kDeadline});
    cut.Await(answer);
    CHECK(answer->mHttp.mStatus == 200);
    CHECK(answer->Text() == Deployment::Expected("perfume", 10));
  }
  SECTION("streams are answered") {
    const auto answer = deployment.Chat(0, "watches", 10, true, {kDeadline});
    cut.Await(answer);
    CHECK(answer->Text() == Deployment::Expected("watches", 10));
    CHECK(answer->mStream.ends_with("data: [DONE]\n\n"));
  }
  SECTION("calls that may not be repeated run once, and a resend runs none") {
    const int before = deployment.ServiceRuns();
    for (int i = 0; i < 2; i++) {
      const auto answer = deployment.Send(
          0, "POST", kServicePath, "{}",
          {kDeadline,
           {"Idempotency-Key", "order-1"},
           {"Authorization", std::string("Bearer ") + kTestKey}});
      cut.Await(answer);
      CHECK(answer->mHttp.mStatus == 200);
    }
    CHECK(deployment.ServiceRuns() == before + 1);
  }
}

}  // namespace

Test(cut_off_caller_api, serves_callers_while_connections_hang) {
  CheckServed(LinkFailure::kHang);
}

Test(cut_off_caller_api, serves_callers_while_connections_are_refused) {
  CheckServed(LinkFailure::kRefuse);
}
