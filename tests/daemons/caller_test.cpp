/// Requests of callers to a deployment without faults.
#include "spindleweir/core/json_codec.h"
#include "tests/daemons/deployment.h"

using namespace spindleweir;

Test(callers, get_the_complete_answer_to_their_own_request) {
  Deployment deployment;
  deployment.Begin();
  SECTION("not streamed") {
    const auto answer = deployment.Chat(0, "perfume", 10, false);
    REQUIRE(deployment.RunUntil([&] { return answer->mDone; }));
    CHECK(answer->Text() == Deployment::Expected("perfume", 10));
    const Json::Value body = ParseJson(answer->mHttp.mBody);
    CHECK(body["object"] == "chat.completion");
    CHECK(body["usage"]["completion_tokens"] == 10);
    CHECK(body["choices"][0]["finish_reason"] == "length");
  }
  SECTION("streamed") {
    const auto answer = deployment.Chat(1, "watches", 10, true);
    REQUIRE(deployment.RunUntil([&] { return answer->mDone; }));
    CHECK(answer->Text() == Deployment::Expected("watches", 10));
    CHECK(answer->mStream.ends_with("data: [DONE]\n\n"));
  }
  SECTION("40 concurrent requests each get their own answer") {
    std::vector<std::shared_ptr<CallerResult>> answers;
    for (int i = 0; i < 40; i++) {
      answers.push_back(
          deployment.Chat(i % 3, "order " + std::to_string(i), 8, i % 2 == 0));
    }
    for (int i = 0; i < 40; i++) {
      const auto& answer = answers[static_cast<std::size_t>(i)];
      REQUIRE(deployment.RunUntil([&] { return answer->mDone; }));
      CHECK(answer->Text() ==
            Deployment::Expected("order " + std::to_string(i), 8));
    }
  }
  SECTION("a resend with an idempotency key gets the stored answer") {
    const auto first =
        deployment.Chat(0, "gin", 5, false, {{"Idempotency-Key", "tribute-1"}});
    REQUIRE(deployment.RunUntil([&] { return first->mDone; }));
    const auto second =
        deployment.Chat(2, "gin", 5, false, {{"Idempotency-Key", "tribute-1"}});
    REQUIRE(deployment.RunUntil([&] { return second->mDone; }));
    CHECK(second->mHttp.mBody == first->mHttp.mBody);
    const auto other =
        deployment.Chat(1, "rum", 5, false, {{"Idempotency-Key", "tribute-1"}});
    REQUIRE(deployment.RunUntil([&] { return other->mDone; }));
    CHECK(other->ErrorCode() == static_cast<int>(ResultCode::kKeyReused));
  }
}

// Guards against an answer that is sent before the claim keepers have stored
// the outcome, so that an immediate resend fails.
Test(callers, a_resend_right_after_the_answer_gets_the_same_answer) {
  // Outcomes reach the keepers later than the answer could be sent.
  Millis delay = 300;
  Deployment deployment({.mDelay = [&delay](std::string_view aMessage) {
    const bool reportsOutcome =
        aMessage.find("\"ask\":2") != std::string_view::npos;
    return reportsOutcome ? delay : 0;
  }});
  deployment.Begin();
  const auto answered = [&](const std::shared_ptr<CallerResult>& aAnswer) {
    cr_assert(deployment.RunUntil([&] { return aAnswer->mDone; }));
    return aAnswer->mHttp;
  };
  SECTION("a completion") {
    const std::vector<HttpHeader> key{{"Idempotency-Key", "tribute-2"}};
    const HttpResult first = answered(deployment.Chat(0, "gin", 5, false, key));
    const HttpResult second =
        answered(deployment.Chat(2, "gin", 5, false, key));
    CHECK(first.mStatus == 200 && second.mStatus == 200);
    CHECK(second.mBody == first.mBody);
  }
  SECTION("a streamed completion") {
    const std::vector<HttpHeader> key{{"Idempotency-Key", "tribute-3"}};
    const auto first = deployment.Chat(0, "rum", 5, true, key);
    const HttpResult ended = answered(first);
    const auto second = deployment.Chat(2, "rum", 5, true, key);
    const HttpResult again = answered(second);
    CHECK(ended.mStatus == 200 && again.mStatus == 200);
    CHECK(second->Text() == first->Text());
    CHECK(second->mStream.ends_with("data: [DONE]\n\n"));
  }
  const auto pay = [&](int aRouter, const char* aKey) {
    return answered(deployment.Send(aRouter, "POST",
                                    "/v1/services/kaunter-api/pay", "{}",
                                    {{"Authorization", "Bearer traveller-key"},
                                     {"Idempotency-Key", aKey}}));
  };
  SECTION("a call that isn't repeatable") {
    const HttpResult first = pay(0, "order-3");
    const HttpResult second = pay(1, "order-3");
    CHECK(first.mStatus == 200 && second.mStatus == 200);
    CHECK(second.mBody == first.mBody && deployment.ServiceRuns() == 1);
  }
  SECTION("unreachable keepers delay an answer only briefly") {
    delay = 600000;
    const Millis start = SteadyNow();
    CHECK(pay(0, "order-4").mStatus == 200);
    CHECK(SteadyNow() - start < 10000);
    CHECK(pay(1, "order-4").mStatus == 409);
    CHECK(deployment.ServiceRuns() == 2);
  }
}

Test(callers, invalid_requests_get_a_result_code) {
  Deployment deployment({.mZones = 1});
  deployment.Begin();
  const auto code = [&](const std::string& aMethod, const std::string& aPath,
                        const std::string& aBody,
                        const std::vector<HttpHeader>& aHeaders) {
    const auto answer = deployment.Send(0, aMethod, aPath, aBody, aHeaders);
    cr_assert(deployment.RunUntil([&] { return answer->mDone; }));
    CHECK(answer->mHttp.mStatus >= 400 && answer->Ran() == "no");
    return static_cast<ResultCode>(answer->ErrorCode());
  };
  const std::string chat = "/v1/chat/completions";
  const HttpHeader key{"Authorization", "Bearer traveller-key"};
  const std::string valid =
      R"({"model":"pembantu-lm","messages":[{"role":"user","content":"x"}]})";
  CHECK(code("POST", chat, valid, {}) == ResultCode::kUnauthorized);
  CHECK(code("POST", chat, valid, {{"Authorization", "Bearer wrong"}}) ==
        ResultCode::kUnauthorized);
  CHECK(code("POST", chat, "{", {key}) == ResultCode::kMalformedJson);
  CHECK(code("POST", chat, std::string(2000000, 'x'), {key}) ==
        ResultCode::kBodyTooLarge);
  CHECK(code("POST", chat, "[]", {key}) == ResultCode::kBadField);
  CHECK(code("POST", chat, R"({"model":"x","messages":[]})", {key}) ==
        ResultCode::kBadField);
  CHECK(code("POST", chat,
             R"({"model":"x","messages":[{"role":"u","content":"x"}]})",
             {key}) == ResultCode::kUnknownModel);
  CHECK(code("POST", chat,
             R"({"model":"pembantu-lm","max_tokens":-4,)"
             R"("messages":[{"role":"u","content":"x"}]})",
             {key}) == ResultCode::kBadField);
  CHECK(code("GET", chat, "", {key}) == ResultCode::kMethodNotAllowed);
  CHECK(code("GET", "/nothing", "", {key}) == ResultCode::kNotFound);
  CHECK(code("POST", "/v1/services/none/x", "", {key}) ==
        ResultCode::kNotFound);
  CHECK(code("POST", chat, valid, {key, {"X-Deadline-Ms", "soon"}}) ==
        ResultCode::kBadHeader);
  CHECK(code("POST", chat, valid, {key, {"X-Priority", "99"}}) ==
        ResultCode::kBadHeader);
  SECTION("the router still serves valid requests") {
    const auto answer = deployment.Chat(0, "x", 2, false);
    CHECK(deployment.RunUntil([&] { return answer->mDone; }));
    CHECK(answer->mHttp.mStatus == 200);
    const auto models = deployment.Send(0, "GET", "/v1/models", "", {key});
    CHECK(deployment.RunUntil([&] { return models->mDone; }));
    CHECK(models->mHttp.mBody.find("pembantu-lm") != std::string::npos);
  }
}

Test(callers, a_call_that_is_not_repeatable_runs_once) {
  Deployment deployment({.mServiceDelay = 200});
  deployment.Begin();
  const auto pay = [&](int aRouter, const std::string& aBody) {
    return deployment.Send(aRouter, "POST", "/v1/services/kaunter-api/pay",
                           aBody,
                           {{"Authorization", "Bearer traveller-key"},
                            {"Idempotency-Key", "order-1"}});
  };
  SECTION("sent through three routers concurrently") {
    std::vector<std::shared_ptr<CallerResult>> answers;
    for (int i = 0; i < 3; i++) {
      answers.push_back(pay(i, "{\"slot\":1}"));
    }
    int succeeded = 0;
    for (const auto& answer : answers) {
      REQUIRE(deployment.RunUntil([&] { return answer->mDone; }));
      succeeded += answer->mHttp.mStatus == 200 ? 1 : 0;
      CHECK(answer->mHttp.mStatus == 200 || answer->mHttp.mStatus == 409);
    }
    CHECK(succeeded == 1 && deployment.ServiceRuns() == 1);
  }
  SECTION("a resend gets the same answer from any router") {
    for (int i = 0; i < 3; i++) {
      const auto answer = pay(i, "{\"slot\":1}");
      REQUIRE(deployment.RunUntil([&] { return answer->mDone; }));
      CHECK(answer->mHttp.mStatus == 200);
      CHECK(answer->mHttp.mBody.find("\"run\":1") != std::string::npos);
    }
    CHECK(deployment.ServiceRuns() == 1);
  }
  SECTION("the same key with another body is rejected") {
    const auto answer = pay(1, "{\"slot\":2}");
    REQUIRE(deployment.RunUntil([&] { return answer->mDone; }));
    CHECK(answer->mHttp.mStatus == 422 && answer->Ran() == "no");
    CHECK(deployment.ServiceRuns() == 1);
  }
  SECTION("without a majority of keepers the call does not run") {
    deployment.mControls[0].reset();
    deployment.mControls[1].reset();
    const auto answer =
        deployment.Send(0, "POST", "/v1/services/kaunter-api/pay", "{}",
                        {{"Authorization", "Bearer traveller-key"},
                         {"Idempotency-Key", "order-2"}});
    REQUIRE(deployment.RunUntil([&] { return answer->mDone; }));
    CHECK(answer->ErrorCode() == static_cast<int>(ResultCode::kNoClaimQuorum));
    CHECK(answer->Ran() == "no" && deployment.ServiceRuns() == 1);
  }
}
