/// Requests of callers to a deployment in which processes fail.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <utility>

#include "spindleweir/core/json_codec.h"
#include "tests/daemons/deployment.h"

using namespace spindleweir;

namespace {

/// True if aServer accepts a TCP connection.
bool Connects(const Endpoint& aServer) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aServer.mPort));
  (void)inet_pton(AF_INET, aServer.mHost.c_str(), &address.sin_addr);
  const bool connects =
      connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return connects;
}

constexpr int kTokens = 40;

/// The engines that have work queued: the chain of the only open request.
std::vector<std::string> ActiveChain(Deployment& aDeployment,
                                     const CallerResult& aAnswer) {
  std::vector<std::string> engines;
  const std::string request = aAnswer.RequestId();
  for (const auto& [vm, engine] : aDeployment.mEngines) {
    const HttpResult report =
        aDeployment.Fetch(engine->Address(), "GET", "/v1/report");
    if (ParseJson(report.mBody)["queue"].asInt() > 0) {
      engines.push_back(vm);
    }
  }
  return engines;
}

std::size_t CountTokens(const CallerResult& aAnswer) {
  std::size_t count = 0;
  for (std::size_t at = aAnswer.mStream.find("\"content\"");
       at != std::string::npos;
       at = aAnswer.mStream.find("\"content\"", at + 1)) {
    count++;
  }
  return count;
}

bool HasTokens(const CallerResult& aAnswer, std::size_t aCount) {
  return CountTokens(aAnswer) >= aCount;
}

}  // namespace

Test(failures, a_stage_that_crashes_in_mid_stream_is_replaced) {
  Deployment deployment;
  deployment.Begin();
  // Long enough that both faults occur before the end of the answer, also on a
  // busy machine.
  constexpr int kLongAnswerTokens = 150;
  const auto answer = deployment.Chat(0, "champagne", kLongAnswerTokens, true);
  REQUIRE(deployment.RunUntil([&] { return HasTokens(*answer, 3); }));
  const auto chain = ActiveChain(deployment, *answer);
  REQUIRE(chain.size() == 3);
  deployment.mEngines.erase(chain[1]);
  // More tokens than were in flight at the crash, so that the last ones come
  // from the replacement chain.
  const std::size_t resumed = CountTokens(*answer) + 5;
  SECTION("a second stage crashes during the resume") {
    REQUIRE(deployment.RunUntil([&] { return HasTokens(*answer, resumed); }));
    const auto second = ActiveChain(deployment, *answer);
    REQUIRE(!second.empty());
    deployment.mEngines.erase(second[0]);
  }
  REQUIRE(deployment.RunUntil([&] { return answer->mDone; }));
  CHECK(answer->Text() == Deployment::Expected("champagne", kLongAnswerTokens));
  CHECK(answer->mStream.ends_with("data: [DONE]\n\n"));
  SECTION("the receipt names every engine that ran a stage") {
    const auto engines = deployment.EnginesOf(answer->RequestId());
    CHECK(engines.size() >= 9);
    CHECK(std::find(engines.begin(), engines.end(), chain[1]) != engines.end());
  }
}

Test(failures, a_stage_that_becomes_silent_is_replaced) {
  Deployment deployment;
  deployment.Begin();
  const auto answer = deployment.Chat(0, "tobacco", kTokens, true);
  REQUIRE(deployment.RunUntil([&] { return HasTokens(*answer, 3); }));
  const auto chain = ActiveChain(deployment, *answer);
  REQUIRE(chain.size() == 3);
  deployment.InjectFault(chain[0], R"({"freeze_ms":20000})");
  REQUIRE(deployment.RunUntil([&] { return answer->mDone; }));
  CHECK(answer->Text() == Deployment::Expected("tobacco", kTokens));
}

Test(failures, wrong_frames_never_reach_a_caller) {
  Deployment deployment({.mZones = 1});
  deployment.Begin();
  for (const char* fault : {"swap", "skip", "old", "layers", "double"}) {
    SECTION(fault) {
      // One engine of each layer range is faulty; the other one can replace it.
      for (const char* engine : {"gpu-0-0", "gpu-0-1", "gpu-0-2"}) {
        deployment.InjectFault(engine,
                               std::string(R"({"corrupt":")") + fault + "\"}");
      }
      for (int i = 0; i < 4; i++) {
        const std::string prompt = fault + std::to_string(i);
        const auto answer = deployment.Chat(0, prompt, 12, true);
        REQUIRE(deployment.RunUntil([&] { return answer->mDone; }));
        const std::string expected = Deployment::Expected(prompt, 12);
        // The received text is a prefix of the correct answer, and an answer
        // that ends without an error is complete.
        CHECK(expected.starts_with(answer->Text()));
        const bool ended = answer->mStream.ends_with("data: [DONE]\n\n");
        CHECK(ended == (answer->Text() == expected));
        CHECK(ended || answer->ErrorCode() != 0);
      }
    }
  }
}

Test(failures, a_request_without_any_usable_engine_fails_as_not_run) {
  Deployment deployment({.mZones = 1});
  deployment.Begin();
  deployment.mEngines.clear();
  deployment.WritePlatform();
  REQUIRE(deployment.RunUntil([&] {
    const auto answer = deployment.Chat(0, "x", 2, false);
    deployment.RunUntil([&] { return answer->mDone; });
    return answer->ErrorCode() == static_cast<int>(ResultCode::kNoUpstream) &&
           answer->Ran() == "no";
  }));
}

Test(failures, a_zone_repairs_its_placement_without_control) {
  Deployment deployment({.mZones = 1});
  deployment.Begin();
  deployment.mControls.clear();
  const auto serves = [&] {
    const auto answer = deployment.Chat(0, "x", 2, false);
    deployment.RunUntil([&] { return answer->mDone; });
    return answer->mHttp.mStatus == 200;
  };
  SECTION("both engines of one range are lost") {
    for (const char* engine : {"gpu-0-0", "gpu-0-3"}) {
      deployment.mEngines.erase(engine);
    }
    CHECK(deployment.RunUntil(serves));
  }
  SECTION("one more engine is lost right after") {
    deployment.mEngines.erase("gpu-0-1");
    CHECK(deployment.RunUntil(serves));
  }
  SECTION("a new VM joins and loads the model") {
    deployment.StartEngine("gpu-0-9", Deployment::Zone(0));
    deployment.WritePlatform();
    CHECK(deployment.RunUntil([&] {
      return deployment
                 .Fetch(deployment.mEngines["gpu-0-9"]->Address(), "GET",
                        "/v1/report")
                 .mBody.find("pembantu-lm") != std::string::npos;
    }));
  }
}

Test(failures, a_caller_that_disconnects_frees_the_engines) {
  Deployment deployment({.mZones = 1});
  deployment.Begin();
  const auto answer = deployment.Chat(0, "x", 4000, true);
  REQUIRE(deployment.RunUntil([&] { return HasTokens(*answer, 3); }));
  answer->mCall.reset();
  CHECK(deployment.RunUntil([&] {
    return ActiveChain(deployment, *answer).empty() &&
           deployment.Metric(0, "open_requests") == 0;
  }));
}

Test(failures, a_leaving_engine_gets_no_new_work) {
  Deployment deployment({.mZones = 1});
  deployment.Begin();
  const auto isUsed = [&](const std::string& aEngine) {
    bool used = false;
    for (int i = 0; i < 12; i++) {
      const auto answer = deployment.Chat(0, "x", 1, false);
      deployment.RunUntil([&] { return answer->mDone; });
      CHECK(answer->mHttp.mStatus == 200);
      for (const std::string& engine :
           deployment.EnginesOf(answer->RequestId())) {
        used = used || engine == aEngine;
      }
    }
    return used;
  };
  const auto isReportedLeaving = [&](const std::string& aEngine) {
    return deployment.RunUntil([&] {
      return deployment.Operator("GET", "/v1/state")
                 .mBody.find("\"leaving\":[\"" + aEngine) != std::string::npos;
    });
  };
  SECTION("reported by the platform's list") {
    deployment.mListedAsLeaving = {"gpu-0-0"};
    deployment.WritePlatform();
    REQUIRE(isReportedLeaving("gpu-0-0"));
    CHECK(!isUsed("gpu-0-0"));
    deployment.mListedAsLeaving.clear();
    deployment.WritePlatform();
    deployment.RunFor(1500);
    // The list no longer reports the VM, but its incarnation is unchanged, so
    // it still counts as leaving.
    CHECK(!isUsed("gpu-0-0"));
  }
}

// Guards against a process that was paused and then judges the silence of
// others by data that waited unread in its sockets.
Test(failures, a_paused_process_does_not_count_others_as_silent) {
  SECTION("engines whose reports expired during the pause") {
    Deployment deployment({.mZones = 1});
    deployment.Begin();
    for (int i = 0; i < 3; i++) {
      // Longer than the lifetime of a report.
      Deployment::BlockThread(3200);
      const auto answer = deployment.Chat(0, "x", 1, false);
      REQUIRE(deployment.RunUntil([&] { return answer->mDone; }));
      CHECK(answer->mHttp.mStatus == 200);
    }
  }
  SECTION("claim keepers whose answers were unread during the pause") {
    Millis pause = 0;
    Deployment deployment({.mDelay = [&pause](std::string_view aMessage) {
      if (aMessage.find("\"ask\":0") != std::string_view::npos) {
        Deployment::BlockThread(std::exchange(pause, 0));
      }
      return Millis{0};
    }});
    deployment.Begin();
    for (int i = 0; i < 3; i++) {
      // Longer than the timeout of a request to a keeper.
      pause = 1300;
      const auto answer =
          deployment.Send(0, "POST", "/v1/services/kaunter-api/pay", "{}",
                          {{"Authorization", "Bearer traveller-key"},
                           {"Idempotency-Key", "order-8"}});
      REQUIRE(deployment.RunUntil([&] { return answer->mDone; }));
      CHECK(answer->mHttp.mStatus == 200);
      CHECK(deployment.ServiceRuns() == 1);
    }
  }
}

Test(failures, a_drained_vm_gets_no_new_work) {
  Deployment deployment({.mZones = 1});
  deployment.Begin();
  CHECK(deployment.Operator("POST", "/v1/vms/no-such/drain").mStatus == 404);
  CHECK(deployment.Operator("POST", "/v1/vms/gpu-0-1/drain").mStatus == 200);
  REQUIRE(deployment.RunUntil(
      [&] { return deployment.Metric(0, "configuration_version") == 2; }));
  for (int i = 0; i < 12; i++) {
    const auto answer = deployment.Chat(0, "x", 1, false);
    REQUIRE(deployment.RunUntil([&] { return answer->mDone; }));
    const auto engines = deployment.EnginesOf(answer->RequestId());
    CHECK(std::find(engines.begin(), engines.end(), "gpu-0-1") ==
          engines.end());
  }
}

Test(failures, a_planned_stop_of_a_router_breaks_no_request) {
  Deployment deployment({.mZones = 1});
  deployment.Begin();
  const auto started = deployment.Chat(0, "whisky", kTokens, true);
  REQUIRE(deployment.RunUntil([&] { return HasTokens(*started, 2); }));
  deployment.mRouters[0]->Stop();
  const HttpResult ready = deployment.Fetch(
      deployment.mRouters[0]->CallerAddress(), "GET", "/readyz");
  CHECK(ready.mStatus == 503);
  // Sent before the load balancer has noticed the stop.
  const auto late = deployment.Chat(0, "late", 3, false);
  // The loop stops once all requests are served.
  deployment.mLoop.Run();
  CHECK(started->mDone && late->mDone);
  CHECK(started->Text() == Deployment::Expected("whisky", kTokens));
  CHECK(late->Text() == Deployment::Expected("late", 3));
}

// Guards against a stopping router that ends while it still listens: callers
// that still have it as a target lose the connections that it has just
// accepted.
Test(failures, a_router_stops_listening_before_it_ends) {
  Deployment deployment({.mZones = 1});
  deployment.Begin();
  const Endpoint address = deployment.mRouters[0]->CallerAddress();
  deployment.mRouters[0]->Stop();
  SECTION("it listens while requests may still arrive") {
    CHECK(Connects(address));
  }
  // The loop stops at the point where the process would end.
  deployment.mLoop.Run();
  SECTION("connections at its end are refused") {
    CHECK(!Connects(address));
  }
}

Test(failures, a_router_crash_after_dispatch_causes_no_second_run) {
  Deployment deployment({.mServiceDelay = 400});
  deployment.Begin();
  const auto pay = [&](int aRouter) {
    return deployment.Send(aRouter, "POST", "/v1/services/kaunter-api/pay",
                           "{}",
                           {{"Authorization", "Bearer traveller-key"},
                            {"Idempotency-Key", "order-9"}});
  };
  const auto first = pay(0);
  REQUIRE(deployment.RunUntil([&] { return deployment.ServiceRuns() == 1; }));
  deployment.mRouters[0].reset();
  const auto second = pay(1);
  REQUIRE(deployment.RunUntil([&] { return second->mDone; }));
  CHECK_FOUND(
      second->mHttp.mStatus == 409 && second->Ran() == "unknown",
      std::to_string(second->mHttp.mStatus) + " " + second->mHttp.mBody);
  CHECK(deployment.ServiceRuns() == 1);
}

Test(failures, a_keeper_that_lost_its_disk_causes_no_second_run) {
  Deployment deployment;
  deployment.Begin();
  const auto pay = [&] {
    auto answer =
        deployment.Send(0, "POST", "/v1/services/kaunter-api/pay", "{}",
                        {{"Authorization", "Bearer traveller-key"},
                         {"Idempotency-Key", "order-7"}});
    cr_assert(deployment.RunUntil([&] { return answer->mDone; }));
    return answer;
  };
  // Only keepers 0 and 1 store the claim of the call.
  deployment.mControls[2].reset();
  CHECK(pay()->mHttp.mStatus == 200);
  // Keeper 1 restarts with an empty disk, keeper 0 is down, and keeper 2 is
  // back.
  deployment.mControls[1].reset();
  deployment.mControls[0].reset();
  std::filesystem::remove_all(deployment.mFolder.Path("control-1"));
  deployment.StartControl(1);
  deployment.StartControl(2);
  deployment.WriteEntryVms();
  deployment.RunFor(1000);
  const auto refused = pay();
  CHECK(refused->ErrorCode() == static_cast<int>(ResultCode::kNoClaimQuorum));
  CHECK(deployment.ServiceRuns() == 1);
  SECTION("once keeper 0 is back, the empty keeper copies its claims") {
    deployment.StartControl(0);
    deployment.WriteEntryVms();
    CHECK(deployment.RunUntil([&] {
      return deployment
                 .Fetch(deployment.mControls[1]->OperatorAddress(), "GET",
                        "/v1/state", "", "operator-key")
                 .mBody.find("\"claims_abstain\":false") != std::string::npos;
    }));
    deployment.mControls[0].reset();
    CHECK(pay()->mHttp.mStatus == 200);
    CHECK(deployment.ServiceRuns() == 1);
  }
}

Test(failures, an_unanswered_call_has_an_unknown_outcome_and_is_not_resent) {
  Deployment deployment({.mZones = 1, .mServiceDelay = 600000});
  deployment.Begin();
  const auto pay = [&](std::vector<HttpHeader> aHeaders) {
    aHeaders.push_back({"Authorization", "Bearer traveller-key"});
    return deployment.Send(0, "POST", "/v1/services/kaunter-api/pay", "{}",
                           aHeaders);
  };
  SECTION("the deadline passes") {
    const auto answer = pay({{"X-Deadline-Ms", "300"}});
    REQUIRE(deployment.RunUntil([&] { return answer->mDone; }));
    CHECK(answer->ErrorCode() ==
          static_cast<int>(ResultCode::kDeadlineExceeded));
    CHECK(answer->Ran() == "unknown" && deployment.ServiceRuns() == 1);
  }
  SECTION("the service crashes") {
    const auto answer = pay({});
    REQUIRE(deployment.RunUntil([&] { return deployment.ServiceRuns() == 2; }));
    deployment.mServices.clear();
    REQUIRE(deployment.RunUntil([&] { return answer->mDone; }));
    CHECK(answer->ErrorCode() == static_cast<int>(ResultCode::kOutcomeUnknown));
  }
}
