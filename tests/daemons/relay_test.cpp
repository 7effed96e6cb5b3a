/// A router and a control that found each other by seeds, between scripted
/// upstreams and callers, in one loop.
#include <sys/socket.h>
#include <unistd.h>

#include <netinet/in.h>

#include <map>

#include "spindleweir/core/json_codec.h"
#include "spindleweir/daemons/joined_control.h"
#include "spindleweir/daemons/relay_router.h"
#include "spindleweir/drivers/stream_client.h"
#include "standins/plain_protocol.h"
#include "standins/scripted_upstream.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr Millis kLease = 600;
/// Long enough for any machine, and short where nothing is to come.
constexpr Millis kLongStart = 30000;
constexpr Millis kShortStart = 50;

/// A port that is free at the moment.
Endpoint FreeEndpoint() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  (void)bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  socklen_t n = sizeof(address);
  (void)getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n);
  close(fd);
  return {"127.0.0.1", ntohs(address.sin_port)};
}

/// What a caller got.
struct Answer {
  StreamEnd mEnd = StreamEnd::kNotSent;
  int mStatus = 0;
  HttpHeaders mHeaders;
  std::string mBody;
};

TrafficConfiguration Traffic(std::int64_t aVersion) {
  TrafficConfiguration traffic;
  traffic.mVersion = aVersion;
  const auto add = [&traffic](const char* aName, RouteKind aKind) {
    traffic.mRoutes.push_back({.mName = aName,
                               .mHost = "shop",
                               .mPrefix = std::string("/") + aName + "/",
                               .mKind = aKind,
                               .mTimeout = 5000,
                               .mAttempts = 2,
                               .mResumable = aKind == RouteKind::kStream,
                               .mTargets = {{"counter", 1}}});
  };
  add("pay", RouteKind::kUnsafe);
  add("look", RouteKind::kSafe);
  add("stream", RouteKind::kStream);
  traffic.mServices = {{.mName = "counter"}};
  traffic.mWorkspaces = {{"school", {"key"}, -1}};
  return traffic;
}

std::string Document(const TrafficConfiguration& aTraffic) {
  return DumpJson(ToJson(aTraffic));
}

/// The system under test.
struct Story {
  explicit Story(Millis aStartWait = kShortStart,
                 RetryAllowanceOptions aRetries = {})
      : mA(mLoop, "a"), mB(mLoop, "b"), mSeed(FreeEndpoint()) {
    StartControl();
    RelayOptions options;
    options.mId = "router";
    options.mZone = "z";
    options.mListen = {"127.0.0.1", 0};
    options.mSeeds = {mSeed};
    options.mClusterKey = "secret";
    options.mLeaseLength = kLease;
    options.mStopGrace = 2000;
    options.mStartWait = aStartWait;
    options.mRetries = aRetries;
    options.mCallers = PlainCallers();
    options.mEngines = PlainEngines();
    mRouter = std::make_unique<RelayRouter>(mLoop, std::move(options));
  }

  void StartControl() {
    ControlOptions options;
    options.mZone = "z";
    options.mRpcListen = mSeed;
    options.mOperatorListen = {"127.0.0.1", 1};
    options.mClusterKey = "secret";
    options.mData = mFolder.Path("data");
    options.mSeeds = {mSeed};
    options.mFirstStart = true;
    options.mElectionTimeout = 50;
    options.mDocuments = PlainDocuments();
    options.mDocuments.mRead = [this](std::string_view aDocument) {
      mDocumentsRead++;
      return PlainDocuments().mRead(aDocument);
    };
    options.mEngines = PlainEngines();
    mControl = std::make_unique<JoinedControl>(mLoop, std::move(options));
  }

  bool RunUntil(const std::function<bool()>& aCondition) {
    return RunLoopUntil(mLoop, aCondition);
  }

  OperatorAnswer Publish(const std::string& aDocument) {
    OperatorAnswer answer;
    bool done = false;
    // Until a leader is there the answer is "not now".
    for (int i = 0; i < 200 && !done; i++) {
      bool ended = false;
      mControl->Publish(aDocument, [&](const OperatorAnswer& aAnswer) {
        answer = aAnswer;
        ended = true;
      });
      RunUntil([&] { return ended; });
      done = answer.mCode != ResultCode::kNoQuorum;
      if (!done) {
        Wait(20);
      }
    }
    return answer;
  }

  OperatorAnswer Read() {
    OperatorAnswer answer;
    bool ended = false;
    mControl->Read([&](const OperatorAnswer& aAnswer) {
      answer = aAnswer;
      ended = true;
    });
    RunUntil([&] { return ended; });
    return answer;
  }

  void Wait(Millis aTime) {
    const Millis until = SteadyNow() + aTime;
    RunUntil([until] { return SteadyNow() >= until; });
  }

  void Beat(const ScriptedUpstream& aUpstream, UpstreamState aState) {
    Beat({.mInstance = aUpstream.Instance(),
          .mService = "counter",
          .mAddress = aUpstream.Address(),
          .mZone = "z",
          .mSlots = 6,
          .mState = aState});
  }

  void Beat(UpstreamRecord aRecord) {
    bool acknowledged = false;
    aRecord.mSequence = ++mSequence;
    mControl->Beat(aRecord, [&] { acknowledged = true; });
    REQUIRE(RunUntil([&] { return acknowledged; }));
  }

  /// An engine that holds all layers of the service "model".
  void BeginEngine(const ScriptedUpstream& aEngine) {
    TrafficConfiguration traffic = Traffic(8);
    TrafficService model{.mName = "model"};
    model.mEngine.mLayers = 8;
    model.mEngine.mUsualAnswer = 10;
    model.mEngine.mTokenBytes = 1;
    model.mEngine.mKinds = {{.mName = "k", .mMemoryMb = 100}};
    traffic.mServices.push_back(model);
    traffic.mRoutes.back().mTargets = {{"model", 1}};
    REQUIRE(Publish(Document(traffic)).mCode == ResultCode::kOk);
    Beat({.mInstance = aEngine.Instance(),
          .mService = "model",
          .mAddress = aEngine.Address(),
          .mZone = "z",
          .mKind = "k",
          .mSlots = 6,
          .mLayers = {0, 8}});
    for (int i = 0; aEngine.AllRuns() == 0; i++) {
      REQUIRE(i < 200);
      Call("/stream/x");
      Wait(10);
    }
  }

  Answer Call(const std::string& aTarget, const std::string& aKey = "key") {
    Answer answer;
    bool ended = false;
    StreamCallOptions options;
    options.mServer = mRouter->Address();
    options.mMethod = "POST";
    options.mTarget = aTarget;
    options.mHeaders = {{"Host", "shop"},
                        {"X-Request", "r" + std::to_string(++mRequest)},
                        {"X-Key", aKey}};
    options.mOnHead = [&](const AnswerHead& aHead) {
      answer.mStatus = aHead.mStatus;
      answer.mHeaders = aHead.mHeaders;
    };
    options.mOnData = [&](std::string_view aBytes) { answer.mBody += aBytes; };
    options.mOnEnd = [&](StreamEnd aEnd) {
      answer.mEnd = aEnd;
      ended = true;
    };
    const auto call = StartStreamCall(mLoop, std::move(options));
    REQUIRE(RunUntil([&] { return ended; }));
    return answer;
  }

  std::string Last() const { return "r" + std::to_string(mRequest); }
  int RunsOfLast() const { return mA.Runs(Last()) + mB.Runs(Last()); }

  /// A configuration in force, both upstreams known.
  void Begin() {
    REQUIRE(Publish(Document(Traffic(7))).mCode == ResultCode::kOk);
    Beat(mA, UpstreamState::kReady);
    Beat(mB, UpstreamState::kReady);
    REQUIRE(RunUntil([this] { return mRouter->Ready(); }));
    for (int i = 0; mA.AllRuns() == 0 || mB.AllRuns() == 0; i++) {
      REQUIRE(i < 200);
      Call("/look/x");
    }
  }

  TemporaryFolder mFolder;
  EventLoop mLoop;
  ScriptedUpstream mA;
  ScriptedUpstream mB;
  Endpoint mSeed;
  std::unique_ptr<JoinedControl> mControl;
  std::unique_ptr<RelayRouter> mRouter;
  std::int64_t mSequence = 0;
  int mRequest = 0;
  int mDocumentsRead = 0;  ///< By control.
};

}  // namespace

Test(relay, configurations_are_accepted_by_their_version) {
  Story story;
  CHECK(story.Call("/look/x").mStatus == 503);
  const std::string seven = Document(Traffic(7));
  CHECK(story.Publish(seven).mCode == ResultCode::kOk);
  CHECK(story.Read().mDocument == seven);
  SECTION("sent again it is acknowledged again") {
    CHECK(story.Publish(seven).mCode == ResultCode::kOk);
  }
  SECTION("other content under its version is refused") {
    TrafficConfiguration other = Traffic(7);
    other.mRoutes.pop_back();
    CHECK(story.Publish(Document(other)).mCode == ResultCode::kVersionTaken);
    CHECK(story.Read().mDocument == seven);
  }
  SECTION("an older one is acknowledged and changes nothing") {
    CHECK(story.Publish(Document(Traffic(6))).mCode == ResultCode::kOk);
    CHECK(story.Read().mDocument == seven);
  }
  SECTION("one that cannot be used is refused, whatever its version") {
    TrafficConfiguration bad = Traffic(3);
    bad.mServices.clear();
    CHECK(story.Publish(Document(bad)).mCode == ResultCode::kBadConfiguration);
    CHECK(story.Publish("{").mCode == ResultCode::kMalformedJson);
  }
  SECTION("it is there again after a start from the disk") {
    story.mControl.reset();
    story.StartControl();
    for (int i = 0; i < 400 && story.Read().mDocument != seven; i++) {
      story.Wait(10);
    }
    CHECK(story.Read().mDocument == seven);
  }
}

Test(relay, a_start_from_the_disk_reads_the_newest_configuration_only) {
  constexpr int kVersions = 20;
  Story story;
  for (int version = 1; version <= kVersions; version++) {
    REQUIRE(story.Publish(Document(Traffic(version))).mCode == ResultCode::kOk);
  }
  story.mControl.reset();
  story.mDocumentsRead = 0;
  story.StartControl();
  const std::string newest = Document(Traffic(kVersions));
  for (int i = 0; story.Read().mDocument != newest; i++) {
    REQUIRE(i < 500);
    story.Wait(20);
  }
  story.Beat(story.mA, UpstreamState::kReady);
  for (int i = 0; story.Call("/look/x").mStatus != 200; i++) {
    REQUIRE(i < 500);
    story.Wait(20);
  }
  CHECK(story.mDocumentsRead <= 2);
}

Test(relay, a_router_that_has_just_started_keeps_requests_for_a_while) {
  SECTION("one that is told what it lacks serves them") {
    Story story(kLongStart);
    const std::string document = Document(Traffic(7));
    const auto publisher = story.mLoop.Every(20, [&] {
      story.mControl->Publish(document, [](const OperatorAnswer&) {});
    });
    const auto beats = story.mLoop.Every(50, [&] {
      story.mControl->Beat({.mInstance = story.mA.Instance(),
                            .mService = "counter",
                            .mAddress = story.mA.Address(),
                            .mZone = "z",
                            .mSlots = 6,
                            .mSequence = ++story.mSequence},
                           [] {});
    });
    CHECK(story.Call("/pay/x").mStatus == 200);
    CHECK(story.RunsOfLast() == 1);
  }
  SECTION("one that is told nothing refuses them") {
    Story story(kShortStart);
    CHECK(story.Call("/pay/x").mStatus == 503);
    CHECK(story.RunsOfLast() == 0);
  }
}

Test(relay, requests_go_where_the_routes_say) {
  Story story;
  story.Begin();
  const Answer good = story.Call("/pay/1");
  CHECK(good.mStatus == 200 && good.mBody.starts_with("by "));
  CHECK(FindHeader(good.mHeaders, "X-Signature") != nullptr);
  CHECK(story.RunsOfLast() == 1);
  CHECK(story.Call("/other/1").mStatus == 404);
  CHECK(story.Call("/pay/1", "wrong").mStatus == 401);
  CHECK(story.RunsOfLast() == 0);
}

Test(relay, what_may_not_be_repeated_runs_at_most_once) {
  Story story;
  story.Begin();
  const auto next = [&story](UpstreamAct aAct) {
    story.mA.Next({aAct});
    story.mB.Next({aAct});
  };
  SECTION("cut after it ran: no promise, and no second run") {
    next(UpstreamAct::kCut);
    const Answer answer = story.Call("/pay/1");
    CHECK(answer.mStatus == 502);
    CHECK(story.RunsOfLast() == 1);
  }
  SECTION("refused by both: a promise, and when to come back") {
    // A refusal is no run: it is tried again a few times, then given up.
    const std::vector<UpstreamAct> refusals(4, UpstreamAct::kRefuse);
    story.mA.Next(refusals);
    story.mB.Next(refusals);
    const Answer answer = story.Call("/pay/1");
    CHECK(answer.mStatus == 503);
    CHECK(FindHeader(answer.mHeaders, "Retry-After") != nullptr);
    CHECK(story.RunsOfLast() == 0);
  }
  SECTION("a failure that ran is handed on as it is") {
    story.mA.Next({});
    story.mB.Next({});
    next(UpstreamAct::kFail);
    CHECK(story.Call("/pay/1").mStatus == 500);
    CHECK(story.RunsOfLast() == 1);
  }
}

Test(relay, what_may_be_repeated_is_sent_once_more) {
  Story story;
  story.Begin();
  for (UpstreamAct act : {UpstreamAct::kCut, UpstreamAct::kFail}) {
    // Whichever is chosen first fails; the other one answers.
    story.mA.Next({act});
    const Answer answer = story.Call("/look/1");
    CHECK(answer.mStatus == 200);
    story.mA.Next({});
  }
}

Test(relay, a_stream_goes_on_after_its_last_event) {
  Story story;
  story.Begin();
  story.mA.Next({UpstreamAct::kCut});
  story.mB.Next({UpstreamAct::kCut});
  const Answer answer = story.Call("/stream/1");
  CHECK(answer.mEnd == StreamEnd::kLost || answer.mStatus == 200);
  story.mA.Next({});
  story.mB.Next({});
  SECTION("whole events only, each once and in order") {
    for (int i = 0; i < 10; i++) {
      story.mA.Next({UpstreamAct::kCut});
      const Answer next = story.Call("/stream/1");
      story.mA.Next({});
      std::string wanted;
      for (int id = 1; id <= ScriptedUpstream::kEvents; id++) {
        wanted += "id: " + std::to_string(id) + "\ndata: x\n\n";
      }
      CHECK(next.mEnd == StreamEnd::kComplete);
      CHECK(next.mBody == wanted);
    }
  }
}

Test(relay, a_stream_that_has_begun_waits_until_its_retry_is_paid) {
  // One retry in 400 ms, and it is spent.
  Story story(kShortStart,
              {.mRatio = 0, .mWindow = 400, .mSlack = 1, .mUsed = 1});
  story.Begin();
  story.mA.Next({UpstreamAct::kCut});
  story.mB.Next({UpstreamAct::kCut});
  CHECK(story.Call("/look/1").mStatus == 502);
  CHECK(story.RunsOfLast() == 2);
  SECTION("whichever upstream cuts it, it ends at the other") {
    story.mA.Next({UpstreamAct::kCut});
    story.mB.Next({UpstreamAct::kCut});
    const std::string id = "r" + std::to_string(story.mRequest + 1);
    const auto watch = story.mLoop.Every(1, [&story, &id] {
      if (story.mA.Runs(id) > 0) {
        story.mB.Next({});
      } else if (story.mB.Runs(id) > 0) {
        story.mA.Next({});
      }
    });
    const Answer answer = story.Call("/stream/1");
    CHECK(answer.mStatus == 200);
    CHECK(answer.mEnd == StreamEnd::kComplete);
    CHECK(story.RunsOfLast() == 2);
  }
}

Test(relay, who_leaves_gets_no_new_work) {
  Story story;
  story.Begin();
  story.Beat(story.mA, UpstreamState::kLeaving);
  const Millis toldAt = SteadyNow();
  REQUIRE(story.RunUntil([&] { return SteadyNow() - toldAt > 1000; }));
  const int before = story.mA.AllRuns();
  for (int i = 0; i < 20; i++) {
    CHECK(story.Call("/look/1").mStatus == 200);
  }
  CHECK(story.mA.AllRuns() == before);
}

Test(relay, without_control_keys_are_soon_of_no_use) {
  Story story;
  story.Begin();
  story.mControl.reset();
  REQUIRE(story.RunUntil([&] { return !story.mRouter->Ready(); }));
  const Answer answer = story.Call("/pay/1");
  CHECK(answer.mStatus == 503);
  CHECK(story.RunsOfLast() == 0);
  SECTION("and of use again when it is back") {
    story.StartControl();
    REQUIRE(story.RunUntil([&] { return story.mRouter->Ready(); }));
  }
}

Test(relay, a_caller_that_leaves_frees_its_upstream) {
  Story story;
  story.Begin();
  story.mA.Next({UpstreamAct::kSilent});
  story.mB.Next({UpstreamAct::kSilent});
  StreamCallOptions options;
  options.mServer = story.mRouter->Address();
  options.mTarget = "/look/1";
  options.mHeaders = {
      {"Host", "shop"}, {"X-Request", "gone"}, {"X-Key", "key"}};
  auto call = StartStreamCall(story.mLoop, std::move(options));
  const auto runs = [&] {
    return story.mA.Runs("gone") + story.mB.Runs("gone");
  };
  REQUIRE(story.RunUntil([&] { return runs() == 1; }));
  call.reset();
  CHECK(story.RunUntil(
      [&] { return story.mA.Closed() + story.mB.Closed() >= 1; }));
}

Test(relay, a_planned_stop_ends_what_is_in_flight) {
  Story story;
  story.Begin();
  story.mRouter->Stop();
  CHECK(!story.mRouter->Ready());
  SECTION("who still comes is served, on a connection that closes") {
    const Answer answer = story.Call("/look/1");
    CHECK(answer.mStatus == 200);
    const std::string* header = FindHeader(answer.mHeaders, "Connection");
    CHECK(header != nullptr && *header == "close");
  }
}

Test(relay, a_router_may_end_with_requests_in_flight) {
  // Found on the users' platform, grown: at the end of the grace the requests
  // that were left outlived the parts that they use.
  Story story;
  ScriptedUpstream engine(story.mLoop, "engine");
  story.Begin();
  story.BeginEngine(engine);
  engine.Next({UpstreamAct::kSilent});
  StreamCallOptions options;
  options.mServer = story.mRouter->Address();
  options.mTarget = "/stream/1";
  options.mHeaders = {
      {"Host", "shop"}, {"X-Request", "left"}, {"X-Key", "key"}};
  bool ended = false;
  options.mOnEnd = [&ended](StreamEnd) { ended = true; };
  const auto call = StartStreamCall(story.mLoop, std::move(options));
  REQUIRE(story.RunUntil([&] { return engine.Runs("left") == 1; }));
  story.mRouter.reset();
  CHECK(story.RunUntil([&] { return ended; }));
  CHECK(story.RunUntil([&] { return engine.Closed() == 1; }));
}
