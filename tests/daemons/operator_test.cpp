/// The operators' API, and the durability of the accepted configuration.
#include "spindleweir/core/json_codec.h"
#include "tests/daemons/deployment.h"

using namespace spindleweir;

namespace {

int VersionOf(Deployment& aDeployment) {
  return ParseJson(
             aDeployment.Operator("GET", "/v1/configuration").mBody)["version"]
      .asInt();
}

}  // namespace

Test(operators, an_intent_is_planned_and_confirmed) {
  Deployment deployment({.mZones = 3, .mEngines = 3});
  deployment.Begin();
  SECTION("a resent confirm gets the answer of the first one") {
    const std::string body = R"({"command_id":"c-2"})";
    deployment.Operator("POST", "/v1/intents", Deployment::IntentBody("two"));
    for (int i = 0; i < 3; i++) {
      const HttpResult result =
          deployment.Operator("POST", "/v1/plans/plan-two/confirm", body);
      CHECK(result.mStatus == 200);
      CHECK(ParseJson(result.mBody)["version"] == 2);
    }
    CHECK(VersionOf(deployment) == 2);
  }
  SECTION("only one of two plans with the same base version is accepted") {
    deployment.Operator("POST", "/v1/intents", Deployment::IntentBody("a"));
    deployment.Operator("POST", "/v1/intents", Deployment::IntentBody("b"));
    CHECK(deployment.Operator("POST", "/v1/plans/plan-b/confirm").mStatus ==
          200);
    const HttpResult loser =
        deployment.Operator("POST", "/v1/plans/plan-a/confirm");
    CHECK(loser.mStatus == 409);
    CHECK(ParseJson(loser.mBody)["version"] == 3);
  }
  SECTION("invalid requests are answered with an HTTP error status") {
    CHECK(deployment.Operator("POST", "/v1/intents", "{").mStatus == 400);
    CHECK(deployment.Operator("POST", "/v1/intents", R"({"intent":{"x":1}})")
              .mStatus == 400);
    CHECK(deployment.Operator("GET", "/v1/plans/none").mStatus == 404);
    CHECK(deployment.Operator("GET", "/v1/receipts/none").mStatus == 404);
    CHECK(deployment.Operator("DELETE", "/v1/intents").mStatus == 405);
    CHECK(deployment
              .Fetch(deployment.mControls[0]->OperatorAddress(), "GET",
                     "/v1/state", "", "wrong")
              .mStatus == 401);
  }
}

Test(operators, an_accepted_configuration_survives_failures) {
  Deployment deployment({.mZones = 3, .mEngines = 3});
  deployment.Begin();
  const std::string hash =
      ParseJson(deployment.Operator("GET", "/v1/configuration").mBody)["hash"]
          .asString();
  SECTION("it survives the loss of any one control process") {
    for (int i = 0; i < 3; i++) {
      deployment.mControls[static_cast<std::size_t>(i)].reset();
      CHECK(VersionOf(deployment) == 1);
      deployment.StartControl(i);
      deployment.WriteEntryVms();
    }
  }
  SECTION("it survives a restart of all control processes") {
    for (auto& control : deployment.mControls) {
      control.reset();
    }
    for (int i = 0; i < 3; i++) {
      deployment.StartControl(i);
    }
    deployment.WriteEntryVms();
    const Json::Value now =
        ParseJson(deployment.Operator("GET", "/v1/configuration").mBody);
    CHECK(now["version"] == 1 && now["hash"] == hash);
  }
  SECTION("a router that starts without any control gets it from a router") {
    for (auto& control : deployment.mControls) {
      control.reset();
    }
    deployment.mRouters[1].reset();
    deployment.StartRouter(1);
    deployment.WriteEntryVms();
    // The zone has no other router; one in another zone has the configuration.
    REQUIRE(deployment.RunUntil([&] {
      const auto answer = deployment.Chat(1, "x", 2, false);
      deployment.RunUntil([&] { return answer->mDone; });
      return answer->mHttp.mStatus == 200;
    }));
    CHECK(deployment.Metric(1, "configuration_version") == 1);
  }
}

Test(operators, a_minority_accepts_no_change) {
  Deployment deployment({.mZones = 3, .mEngines = 3});
  deployment.Begin();
  deployment.mControls[0].reset();
  deployment.mControls[1].reset();
  const Endpoint last = deployment.mControls[2]->OperatorAddress();
  REQUIRE(deployment.RunUntil([&] {
    return deployment
               .Fetch(last, "GET", "/v1/configuration", "", "operator-key")
               .mStatus == 503;
  }));
  CHECK(deployment
            .Fetch(last, "POST", "/v1/intents", Deployment::IntentBody("x"),
                   "operator-key")
            .mStatus == 503);
  SECTION("it returns its local configuration, and requests are served") {
    const HttpResult local = deployment.Fetch(
        last, "GET", "/v1/configuration/local", "", "operator-key");
    CHECK(ParseJson(local.mBody)["version"] == 1);
    const auto answer = deployment.Chat(0, "x", 3, false);
    REQUIRE(deployment.RunUntil([&] { return answer->mDone; }));
    CHECK(answer->Text() == Deployment::Expected("x", 3));
  }
}

/// Guards against a voter that holds no log, and may not even run: until it has
/// the log, a majority needs all but one of the others.
Test(operators, a_control_without_the_log_becomes_no_voter) {
  Deployment deployment;
  deployment.Begin();
  deployment.mControls.push_back(nullptr);
  deployment.mDelays.push_back(nullptr);
  deployment.WriteEntryVms();
  deployment.RunFor(2000);
  const HttpResult answer = deployment.Operator(
      "POST", "/v1/voters",
      R"({"voters":["control-0","control-1","control-2","control-3"]})");
  CHECK_FOUND(answer.mStatus == 409, std::to_string(answer.mStatus));
}
