#include <map>
#include <set>
#include <string>

#include "spindleweir/core/json_codec.h"
#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

// Two processes of one test sometimes had the same port: cannot listen.
Test(relay_fixture, gives_no_free_endpoint_twice) {
  constexpr std::size_t kEndpoints = 2000;
  std::set<std::string> endpoints;
  for (std::size_t i = 0; i < kEndpoints; i++) {
    endpoints.insert(FreeEndpoint().Text());
  }
  CHECK_FOUND(endpoints.size() == kEndpoints, std::to_string(endpoints.size()));
}

Test(relay, configurations_are_accepted_by_their_version) {
  RelayFixture fixture;
  CHECK(fixture.Call("/look/x").mStatus == 503);
  const std::string seven = Document(Traffic(7));
  CHECK(fixture.Publish(seven).mCode == ResultCode::kOk);
  CHECK(fixture.Read().mDocument == seven);
  SECTION("sent again it is acknowledged again") {
    CHECK(fixture.Publish(seven).mCode == ResultCode::kOk);
  }
  SECTION("other content under its version is refused") {
    TrafficConfiguration other = Traffic(7);
    other.mRoutes.pop_back();
    CHECK(fixture.Publish(Document(other)).mCode == ResultCode::kVersionTaken);
    CHECK(fixture.Read().mDocument == seven);
  }
  SECTION("an older one is acknowledged and changes nothing") {
    CHECK(fixture.Publish(Document(Traffic(6))).mCode == ResultCode::kOk);
    CHECK(fixture.Read().mDocument == seven);
  }
  SECTION("one that cannot be used is refused, whatever its version") {
    TrafficConfiguration bad = Traffic(3);
    bad.mServices.clear();
    CHECK(fixture.Publish(Document(bad)).mCode ==
          ResultCode::kBadConfiguration);
    CHECK(fixture.Publish("{").mCode == ResultCode::kMalformedJson);
  }
  SECTION("it is there again after a start from the disk") {
    fixture.mControl.reset();
    fixture.StartControl();
    for (int i = 0; i < 400 && fixture.Read().mDocument != seven; i++) {
      fixture.Wait(10);
    }
    CHECK(fixture.Read().mDocument == seven);
  }
}

namespace {

/// Upstreams of the router's zone that end without a word: five, more than the
/// attempts of any request.
struct EndedUpstreams {
  explicit EndedUpstreams(RelayFixture& aFixture) : mFixture(aFixture) {
    for (int i = 0; i < 5; i++) {
      mItems.push_back(std::make_unique<ScriptedUpstream>(
          aFixture.mLoop, "ended" + std::to_string(i)));
      aFixture.SendHeartbeat(*mItems.back(), UpstreamState::kReady);
    }
  }

  void End(std::int64_t aReady) {
    RelayRouter& router = *mFixture.mRouter;
    REQUIRE(mFixture.RunUntil([&router, aReady] {
      router.RefreshGauges();
      return router.Ready() &&
             router.OwnCounters().Value("upstreams_ready") == aReady;
    }));
    for (const auto& upstream : mItems) {
      upstream->Crash();
    }
  }

  RelayFixture& mFixture;
  std::vector<std::unique_ptr<ScriptedUpstream>> mItems;
};

UpstreamRecord InOtherZone(const ScriptedUpstream& aUpstream) {
  return {.mInstance = aUpstream.Instance(),
          .mService = "counter",
          .mAddress = aUpstream.Address(),
          .mZone = "far",
          .mSlots = 2};
}

}  // namespace

/// Guards against a refusal though an upstream could run the request: the first
/// three that it met had ended, and it was sent to none.
Test(relay, a_request_goes_past_upstreams_that_have_ended) {
  RelayFixture fixture;
  REQUIRE(fixture.Publish(Document(Traffic(7))).mCode == ResultCode::kOk);
  ScriptedUpstream sound(fixture.mLoop, "sound");
  SECTION("to one of another zone") {
    EndedUpstreams ended(fixture);
    fixture.SendHeartbeat(InOtherZone(sound));
    ended.End(6);
    CHECK(fixture.Call("/pay/x").mStatus == 200);
    CHECK(sound.TotalRuns() == 1);
  }
}

/// Guards against the same where the one that could run it counts as silent.
Test(relay, a_request_goes_past_ended_upstreams_to_a_silent_one) {
  RelayFixture fixture;
  REQUIRE(fixture.Publish(Document(Traffic(7))).mCode == ResultCode::kOk);
  ScriptedUpstream sound(fixture.mLoop, "sound");
  fixture.SendHeartbeat(InOtherZone(sound));
  REQUIRE(fixture.RunUntil([&fixture] {
    fixture.mRouter->RefreshGauges();
    return fixture.mRouter->OwnCounters().Value("upstreams_ready") == 1;
  }));
  REQUIRE(fixture.RunUntil([&fixture] {
    fixture.mRouter->RefreshGauges();
    return fixture.mRouter->OwnCounters().Value("upstreams_ready") == 0;
  }));
  EndedUpstreams ended(fixture);
  ended.End(5);
  CHECK(fixture.Call("/pay/x").mStatus == 200);
  CHECK(sound.TotalRuns() == 1);
}

Test(relay, a_start_from_the_disk_reads_the_newest_configuration_only) {
  constexpr int kVersions = 20;
  RelayFixture fixture;
  for (int version = 1; version <= kVersions; version++) {
    REQUIRE(fixture.Publish(Document(Traffic(version))).mCode ==
            ResultCode::kOk);
  }
  fixture.mControl.reset();
  fixture.mDocumentsRead = 0;
  fixture.StartControl();
  const std::string newest = Document(Traffic(kVersions));
  for (int i = 0; fixture.Read().mDocument != newest; i++) {
    REQUIRE(i < 500);
    fixture.Wait(20);
  }
  fixture.SendHeartbeat(fixture.mA, UpstreamState::kReady);
  for (int i = 0; fixture.Call("/look/x").mStatus != 200; i++) {
    REQUIRE(i < 500);
    fixture.Wait(20);
  }
  CHECK(fixture.mDocumentsRead <= 2);
}

Test(relay, a_starting_router_holds_requests_until_it_can_serve_them) {
  SECTION("it serves them after it receives configuration and upstreams") {
    RelayFixture fixture(kLongWarmUp);
    const std::string document = Document(Traffic(7));
    const auto publisher = fixture.mLoop.Every(20, [&] {
      fixture.mControl->Publish(document, [](const OperatorAnswer&) {});
    });
    const auto heartbeats = fixture.mLoop.Every(50, [&] {
      fixture.mControl->ApplyHeartbeat({.mInstance = fixture.mA.Instance(),
                                        .mService = "counter",
                                        .mAddress = fixture.mA.Address(),
                                        .mZone = "z",
                                        .mSlots = 6,
                                        .mSequence = ++fixture.mSequence},
                                       [](const HeartbeatAnswer&) {});
    });
    CHECK(fixture.Call("/pay/x").mStatus == 200);
    CHECK(fixture.RunsOfLast() == 1);
  }
  SECTION("it refuses them if it receives nothing") {
    RelayFixture fixture(kShortWarmUp);
    CHECK(fixture.Call("/pay/x").mStatus == 503);
    CHECK(fixture.RunsOfLast() == 0);
  }
}

Test(relay, requests_are_routed_by_prefix_and_key) {
  RelayFixture fixture;
  fixture.Begin();
  const Answer good = fixture.Call("/pay/1");
  CHECK(good.mStatus == 200 && good.mBody.starts_with("by "));
  CHECK(FindHeader(good.mHeaders, "X-Signature") != nullptr);
  CHECK(fixture.RunsOfLast() == 1);
  CHECK(fixture.Call("/other/1").mStatus == 404);
  CHECK(fixture.Call("/pay/1", "wrong").mStatus == 401);
  CHECK(fixture.RunsOfLast() == 0);
}

namespace {

/// Publishes a configuration with a route of its own, and waits until it is in
/// force at the router.
void PublishWithRoute(RelayFixture& aFixture, TrafficConfiguration aTraffic) {
  const std::string name = "v" + std::to_string(aTraffic.mVersion);
  aTraffic.mRoutes.push_back(aTraffic.mRoutes.front());
  aTraffic.mRoutes.back().mName = name;
  aTraffic.mRoutes.back().mPrefix = "/" + name + "/";
  REQUIRE(aFixture.Publish(Document(aTraffic)).mCode == ResultCode::kOk);
  for (int i = 0; aFixture.Call("/" + name + "/x").mStatus == 404; i++) {
    REQUIRE(i < 200);
    aFixture.Wait(10);
  }
}

/// Whether neither a key of an earlier configuration, nor an unknown one, nor
/// none at all runs a request.
bool RefusesAllKeys(RelayFixture& aFixture) {
  for (const char* key : {"key", "never-held", ""}) {
    const bool refused = aFixture.Call("/look/x", key).mStatus == 401;
    if (!refused || aFixture.RunsOfLast() > 0) {
      return false;
    }
  }
  return true;
}

}  // namespace

// A configuration that took the last workspace away opened the routers: the
// key that it took away went on running requests, and so did any other text.
Test(relay, an_empty_list_of_workspaces_admits_no_key) {
  RelayFixture fixture;
  fixture.Begin();
  TrafficConfiguration traffic = Traffic(8);
  traffic.mWorkspaces.clear();
  traffic.mStatesWorkspaces = true;
  PublishWithRoute(fixture, traffic);
  SECTION("once it is in force") {
    CHECK(RefusesAllKeys(fixture));
  }
  SECTION("nor does a later one that leaves the workspaces alone") {
    traffic.mVersion = 9;
    PublishWithRoute(fixture, traffic);
    CHECK(RefusesAllKeys(fixture));
  }
  SECTION("nor after router and control start again, control from its disk") {
    const std::string document = fixture.Read().mDocument;
    fixture.mRouter.reset();
    fixture.mControl.reset();
    fixture.StartControl();
    fixture.StartRouter();
    REQUIRE(fixture.RunUntil([&] { return fixture.mRouter->Ready(); }));
    CHECK(RefusesAllKeys(fixture));
    CHECK(fixture.Read().mDocument == document);
  }
  SECTION("a configuration without a list needs no keys") {
    traffic.mVersion = 10;
    traffic.mStatesWorkspaces = false;
    PublishWithRoute(fixture, traffic);
    fixture.SendHeartbeat(fixture.mA, UpstreamState::kReady);
    for (int i = 0; fixture.Call("/look/x", "").mStatus != 200; i++) {
      REQUIRE(i < 200);
      fixture.Wait(10);
    }
  }
  SECTION("and an empty list admits none again") {
    traffic.mVersion = 11;
    traffic.mStatesWorkspaces = true;
    PublishWithRoute(fixture, traffic);
    CHECK(RefusesAllKeys(fixture));
  }
}

// A request without a key ran in a workspace that holds an empty one.
Test(relay, an_empty_key_admits_no_request) {
  RelayFixture fixture;
  fixture.Begin();
  TrafficConfiguration traffic = Traffic(8);
  traffic.mWorkspaces[0].mKeys.emplace_back();
  PublishWithRoute(fixture, traffic);
  CHECK(fixture.Call("/look/x", "").mStatus == 401);
  CHECK(fixture.RunsOfLast() == 0);
  CHECK(fixture.Call("/look/x", "key").mStatus == 200);
}

Test(relay, an_unsafe_request_runs_at_most_once) {
  RelayFixture fixture;
  fixture.Begin();
  const auto next = [&fixture](UpstreamAction aAct) {
    fixture.mA.QueueActions({aAct});
    fixture.mB.QueueActions({aAct});
  };
  SECTION("cut after it ran: 502 and no second run") {
    next(UpstreamAction::kTruncate);
    const Answer answer = fixture.Call("/pay/1");
    CHECK(answer.mStatus == 502);
    CHECK(fixture.RunsOfLast() == 1);
  }
  SECTION("refused by both: 503 with Retry-After, and no run") {
    // A refused request has not run: the router retries it a few times.
    const std::vector<UpstreamAction> refusals(4, UpstreamAction::kRefuse);
    fixture.mA.QueueActions(refusals);
    fixture.mB.QueueActions(refusals);
    const Answer answer = fixture.Call("/pay/1");
    CHECK(answer.mStatus == 503);
    CHECK(FindHeader(answer.mHeaders, "Retry-After") != nullptr);
    CHECK(fixture.RunsOfLast() == 0);
  }
  SECTION("a failure of the upstream is forwarded unchanged") {
    fixture.mA.QueueActions({});
    fixture.mB.QueueActions({});
    next(UpstreamAction::kFail);
    CHECK(fixture.Call("/pay/1").mStatus == 500);
    CHECK(fixture.RunsOfLast() == 1);
  }
}

Test(relay, a_safe_request_is_retried) {
  RelayFixture fixture;
  fixture.Begin();
  for (UpstreamAction act :
       {UpstreamAction::kTruncate, UpstreamAction::kFail}) {
    // If the first upstream is chosen it fails, and the other one answers.
    fixture.mA.QueueActions({act});
    const Answer answer = fixture.Call("/look/1");
    CHECK(answer.mStatus == 200);
    fixture.mA.QueueActions({});
  }
}

Test(relay, a_cut_stream_resumes_after_its_last_event) {
  RelayFixture fixture;
  fixture.Begin();
  fixture.mA.QueueActions({UpstreamAction::kTruncate});
  fixture.mB.QueueActions({UpstreamAction::kTruncate});
  const Answer answer = fixture.Call("/stream/1");
  CHECK(answer.mEnd == StreamEnd::kLost || answer.mStatus == 200);
  fixture.mA.QueueActions({});
  fixture.mB.QueueActions({});
  SECTION("the caller gets full events, each once and in order") {
    for (int i = 0; i < 10; i++) {
      fixture.mA.QueueActions({UpstreamAction::kTruncate});
      const Answer next = fixture.Call("/stream/1");
      fixture.mA.QueueActions({});
      std::string wanted;
      for (int id = 1; id <= ScriptedUpstream::kEvents; id++) {
        wanted += "id: " + std::to_string(id) + "\ndata: x\n\n";
      }
      CHECK(next.mEnd == StreamEnd::kComplete);
      CHECK(next.mBody == wanted);
    }
  }
}

Test(relay, a_started_stream_waits_for_retry_credit) {
  // The limit is one retry per 400 ms, and that one is used up.
  RelayFixture fixture(
      kShortWarmUp,
      {.mRatio = 0, .mWindow = 400, .mSlack = 1, .mUsableShare = 1});
  fixture.Begin();
  // In the first window a router withholds the retries that its predecessor may
  // have used.
  fixture.Wait(400);
  fixture.mA.QueueActions({UpstreamAction::kTruncate});
  fixture.mB.QueueActions({UpstreamAction::kTruncate});
  CHECK(fixture.Call("/look/1").mStatus == 502);
  CHECK(fixture.RunsOfLast() == 2);
  SECTION("cut by either upstream, it ends at the other") {
    const auto watch = fixture.CutNextOnce();
    const Answer answer = fixture.Call("/stream/1");
    CHECK(answer.mStatus == 200);
    CHECK(answer.mEnd == StreamEnd::kComplete);
    CHECK(fixture.RunsOfLast() == 2);
  }
}

Test(relay, a_leaving_upstream_gets_no_new_requests) {
  RelayFixture fixture;
  fixture.Begin();
  fixture.SendHeartbeat(fixture.mA, UpstreamState::kLeaving);
  const Millis sentAt = SteadyNow();
  REQUIRE(fixture.RunUntil([&] { return SteadyNow() - sentAt > 1000; }));
  const int before = fixture.mA.TotalRuns();
  for (int i = 0; i < 20; i++) {
    CHECK(fixture.Call("/look/1").mStatus == 200);
  }
  CHECK(fixture.mA.TotalRuns() == before);
}

Test(relay, keys_are_refused_when_the_lease_from_control_runs_out) {
  RelayFixture fixture;
  fixture.Begin();
  fixture.mControl.reset();
  REQUIRE(fixture.RunUntil([&] { return !fixture.mRouter->Ready(); }));
  const Answer answer = fixture.Call("/pay/1");
  CHECK(answer.mStatus == 503);
  CHECK(fixture.RunsOfLast() == 0);
  SECTION("and accepted again once control is back") {
    fixture.StartControl();
    REQUIRE(fixture.RunUntil([&] { return fixture.mRouter->Ready(); }));
  }
}

Test(relay, a_caller_that_disconnects_frees_its_upstream) {
  RelayFixture fixture;
  fixture.Begin();
  fixture.mA.QueueActions({UpstreamAction::kSilent});
  fixture.mB.QueueActions({UpstreamAction::kSilent});
  StreamCallOptions options;
  options.mServer = fixture.mRouter->Address();
  options.mTarget = "/look/1";
  options.mHeaders = {
      {"Host", "shop"}, {"X-Request", "gone"}, {"X-Key", "key"}};
  auto call = StartStreamCall(fixture.mLoop, std::move(options));
  const auto runs = [&] {
    return fixture.mA.Runs("gone") + fixture.mB.Runs("gone");
  };
  REQUIRE(fixture.RunUntil([&] { return runs() == 1; }));
  call.reset();
  CHECK(fixture.RunUntil(
      [&] { return fixture.mA.Closed() + fixture.mB.Closed() >= 1; }));
}

Test(relay, a_stopping_router_still_serves_requests) {
  RelayFixture fixture;
  fixture.Begin();
  fixture.mRouter->Stop();
  CHECK(!fixture.mRouter->Ready());
  SECTION("a new request is served, and its connection closed") {
    const Answer answer = fixture.Call("/look/1");
    CHECK(answer.mStatus == 200);
    const std::string* header = FindHeader(answer.mHeaders, "Connection");
    CHECK(header != nullptr && *header == "close");
  }
}

Test(relay, a_router_is_destroyed_safely_with_requests_in_flight) {
  // Guards against use after free: at the end of the stop's grace period the
  // remaining requests outlived the objects that they use.
  RelayFixture fixture;
  ScriptedUpstream engine(fixture.mLoop, "engine");
  fixture.Begin();
  fixture.BeginEngine(engine);
  engine.QueueActions({UpstreamAction::kSilent});
  StreamCallOptions options;
  options.mServer = fixture.mRouter->Address();
  options.mTarget = "/stream/1";
  options.mHeaders = {
      {"Host", "shop"}, {"X-Request", "left"}, {"X-Key", "key"}};
  bool ended = false;
  options.mOnEnd = [&ended](StreamEnd) { ended = true; };
  const auto call = StartStreamCall(fixture.mLoop, std::move(options));
  REQUIRE(fixture.RunUntil([&] { return engine.Runs("left") == 1; }));
  fixture.mRouter.reset();
  CHECK(fixture.RunUntil([&] { return ended; }));
  CHECK(fixture.RunUntil([&] { return engine.Closed() == 1; }));
}
