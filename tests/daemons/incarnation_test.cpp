/// Upstreams that restart under the same name, seen by control and a router.
#include <limits>

#include "daemons/invalid_messages.h"
#include "spindleweir/servers/membership/upstream_table.h"
#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

constexpr std::int64_t kFirstStart = 1790000000000;
constexpr std::int64_t kNextStart = kFirstStart + 60000;

UpstreamRecord HeartbeatOf(const ScriptedUpstream& aUpstream,
                           std::int64_t aStart, std::int64_t aSequence) {
  return {.mInstance = aUpstream.Instance(),
          .mStart = aStart,
          .mService = "counter",
          .mAddress = aUpstream.Address(),
          .mZone = "z",
          .mSlots = 6,
          .mSequence = aSequence};
}

UpstreamRecord EngineHeartbeatOf(const ScriptedUpstream& aEngine,
                                 std::int64_t aStart, std::int64_t aSequence,
                                 LayerRange aLayers) {
  UpstreamRecord record = HeartbeatOf(aEngine, aStart, aSequence);
  record.mService = "model";
  record.mKind = "k";
  record.mLayers = aLayers;
  return record;
}

/// Sends a heartbeat to control and waits for the answer.
HeartbeatAnswer SendHeartbeat(RelayFixture& aStory,
                              const UpstreamRecord& aRecord) {
  HeartbeatAnswer answer;
  bool ended = false;
  aStory.mControl->ApplyHeartbeat(aRecord, [&](const HeartbeatAnswer& aAnswer) {
    answer = aAnswer;
    ended = true;
  });
  REQUIRE(aStory.RunUntil([&ended] { return ended; }));
  return answer;
}

std::int64_t RestartsSeen(RelayFixture& aStory) {
  return aStory.mRouter->OwnCounters().Value("upstreams_restarted");
}

std::int64_t ReadyAtRouter(RelayFixture& aStory) {
  aStory.mRouter->RefreshGauges();
  return aStory.mRouter->OwnCounters().Value("upstreams_ready");
}

/// A stream request that is sent when it is constructed.
struct OpenStream {
  explicit OpenStream(RelayFixture& aStory) : mBegun(SteadyNow()) {
    StreamCallOptions options;
    options.mServer = aStory.mRouter->Address();
    options.mMethod = "POST";
    options.mTarget = "/stream/x";
    options.mHeaders = {{"Host", "shop"},
                        {"X-Request", "s" + std::to_string(++aStory.mRequest)},
                        {"X-Key", "key"}};
    options.mOnHead = [this](const AnswerHead& aHead) {
      mStatus = aHead.mStatus;
    };
    options.mOnEnd = [this](StreamEnd aEnd) {
      mEnd = aEnd;
      mEnded = true;
    };
    mCall = StartStreamCall(aStory.mLoop, std::move(options));
  }

  Millis mBegun;
  int mStatus = 0;
  StreamEnd mEnd = StreamEnd::kNotSent;
  bool mEnded = false;
  std::unique_ptr<StreamCall> mCall;
};

}  // namespace

Test(incarnation, an_upstream_that_left_is_used_again_after_its_restart) {
  RelayFixture story;
  story.Begin();
  SendHeartbeat(story, HeartbeatOf(story.mA, kFirstStart, 90));
  UpstreamRecord leaving = HeartbeatOf(story.mA, kFirstStart, 91);
  leaving.mState = UpstreamState::kLeaving;
  SendHeartbeat(story, leaving);
  REQUIRE(story.RunUntil([&story] { return ReadyAtRouter(story) == 1; }));
  const int before = story.mA.TotalRuns();
  SECTION("a new incarnation with a lower sequence gets requests") {
    SendHeartbeat(story, HeartbeatOf(story.mA, kNextStart, 1));
    for (int i = 0; story.mA.TotalRuns() == before; i++) {
      REQUIRE(i < 200);
      CHECK(story.Call("/look/x").mStatus == 200);
      story.Wait(5);
    }
  }
  SECTION("a late heartbeat of the previous incarnation does not end it") {
    leaving.mSequence = 200;
    SendHeartbeat(story, leaving);
    story.Wait(500);
    CHECK(ReadyAtRouter(story) == 2);
  }
  SECTION("a leave without a start does not end it and is not acknowledged") {
    bool accepted = true;
    bool ended = false;
    story.mControl->Leave(story.mA.Instance(),
                          [&](const HeartbeatAnswer& aAnswer) {
                            accepted = aAnswer.mAccepted;
                            ended = true;
                          });
    REQUIRE(story.RunUntil([&ended] { return ended; }));
    CHECK(!accepted);
    CHECK(ReadyAtRouter(story) == 2);
  }
  SECTION("a leave that states its start ends it") {
    bool accepted = false;
    story.mControl->Leave(
        story.mA.Instance(),
        [&](const HeartbeatAnswer& aAnswer) { accepted = aAnswer.mAccepted; },
        kNextStart);
    REQUIRE(story.RunUntil(
        [&story, &accepted] { return accepted && ReadyAtRouter(story) == 1; }));
  }
}

// Guards against an upstream whose heartbeats are acknowledged and that gets no
// requests: the first heartbeat of its predecessor came after its own.
Test(incarnation, a_late_first_heartbeat_does_not_shut_out_the_running_one) {
  RelayFixture story;
  story.Begin();
  story.PublishModel();
  // Of another service, so that no request of this one is sent by its record.
  UpstreamRecord late = EngineHeartbeatOf(story.mA, 0, 1, {});
  late.mInstance = "ended";
  CHECK(SendHeartbeat(story, late).mAccepted);
  story.Wait(600);
  story.SendHeartbeat(story.mA, UpstreamState::kReady);
  SECTION("after its next heartbeat it gets requests again") {
    const int before = story.mA.TotalRuns();
    for (int i = 0; story.mA.TotalRuns() == before; i++) {
      REQUIRE(i < 200);
      CHECK(story.Call("/look/x").mStatus == 200);
      story.Wait(5);
    }
    CHECK(ReadyAtRouter(story) == 2);
  }
  SECTION("further heartbeats of the ended one do not take it out of use") {
    story.SendHeartbeat(story.mA, UpstreamState::kReady);
    late.mSequence = 2;
    CHECK(SendHeartbeat(story, late).mAccepted);
    story.SendHeartbeat(story.mA, UpstreamState::kReady);
    REQUIRE(story.RunUntil([&story] { return ReadyAtRouter(story) == 2; }));
    const int before = story.mA.TotalRuns();
    for (int i = 0; story.mA.TotalRuns() == before; i++) {
      REQUIRE(i < 200);
      CHECK(story.Call("/look/x").mStatus == 200);
      story.Wait(5);
    }
  }
}

Test(incarnation, streams_of_the_previous_incarnation_move_at_once) {
  // A stream of an upstream that is only silent moves after about one second.
  constexpr Millis kSilenceMoveTime = 900;
  RelayFixture story;
  story.Begin();
  story.BeginEngine(story.mA);
  std::int64_t start = kFirstStart;
  Millis took = kSilenceMoveTime;
  // Repeated if the machine was too slow to distinguish the two causes.
  for (int round = 0; took >= kSilenceMoveTime && round < 5; round++) {
    SendHeartbeat(story, EngineHeartbeatOf(story.mB, ++start, 1, {}));
    SendHeartbeat(story, EngineHeartbeatOf(story.mA, ++start, 1, {0, 8}));
    const std::int64_t seen = RestartsSeen(story);
    REQUIRE(story.RunUntil([&] { return ReadyAtRouter(story) == 2; }));
    story.Wait(600);
    const int runsOfA = story.mA.TotalRuns();
    const int runsOfB = story.mB.TotalRuns();
    story.mA.QueueActions({UpstreamAction::kSilent});
    const OpenStream stream(story);
    REQUIRE(
        story.RunUntil([&] { return story.mA.TotalRuns() == runsOfA + 1; }));
    SendHeartbeat(story, EngineHeartbeatOf(story.mB, start, 2, {0, 8}));
    SendHeartbeat(story, EngineHeartbeatOf(story.mA, ++start, 1, {}));
    REQUIRE(
        story.RunUntil([&] { return story.mB.TotalRuns() == runsOfB + 1; }));
    took = SteadyNow() - stream.mBegun;
    CHECK(RestartsSeen(story) > seen);
    REQUIRE(story.RunUntil([&stream] { return stream.mEnded; }));
    CHECK(stream.mStatus == 200);
    CHECK(stream.mEnd == StreamEnd::kComplete);
  }
  CHECK(took < kSilenceMoveTime);
}

Test(incarnation, a_call_of_the_previous_incarnation_is_not_sent_again) {
  RelayFixture story;
  story.Begin();
  SendHeartbeat(story, HeartbeatOf(story.mA, kFirstStart, 90));
  SendHeartbeat(story, HeartbeatOf(story.mB, kFirstStart, 90));
  story.Wait(300);
  story.mA.QueueActions({UpstreamAction::kSilent});
  story.mB.QueueActions({UpstreamAction::kSilent});
  const int before = story.mA.TotalRuns() + story.mB.TotalRuns();
  const auto restart = story.mLoop.After(300, [&story] {
    for (const ScriptedUpstream* upstream : {&story.mA, &story.mB}) {
      story.mControl->ApplyHeartbeat(HeartbeatOf(*upstream, kNextStart, 1),
                                     [](const HeartbeatAnswer&) {});
    }
  });
  const Answer answer = story.Call("/pay/x");
  CHECK(RestartsSeen(story) >= 2);
  CHECK(answer.mStatus >= 500);
  CHECK(answer.mStatus != 503);
  CHECK(story.RunsOfLast() == 1);
  CHECK(story.mA.TotalRuns() + story.mB.TotalRuns() == before + 1);
}

Test(incarnation, heartbeats_that_cannot_be_used_are_refused_and_counted) {
  RelayFixture story;
  story.Begin();
  UpstreamRecord unknown = HeartbeatOf(story.mA, kFirstStart, 1);
  unknown.mInstance = "strange";
  unknown.mService = "nowhere";
  CHECK(CodeThrownBy([&] {
          story.mControl->ApplyHeartbeat(unknown,
                                         [](const HeartbeatAnswer&) {});
        }) == ResultCode::kUnknownService);
  CHECK(CodeThrownBy([&] {
          story.mRouter->ApplyHeartbeat(unknown, [](const HeartbeatAnswer&) {});
        }) == ResultCode::kUnknownService);
  SECTION("an unknown upstream that leaves is accepted") {
    unknown.mState = UpstreamState::kLeaving;
    CHECK(SendHeartbeat(story, unknown).mAccepted);
  }
  SECTION("an invalid heartbeat is counted by its source and cause") {
    story.mControl->OnInvalidHeartbeat("x",
                                       Error(ResultCode::kBadHeartbeat, "why"));
    CHECK(story.mControl->OwnCounters().Value(
              "bad_upstream_words",
              "at=\"heartbeat\",cause=\"BadHeartbeat\"") == 1);
  }
}

Test(incarnation, an_update_with_an_invalid_age_is_ignored) {
  Counters counters;
  InvalidMessages words(counters);
  const std::string text = PackUpstreams({{.mInstance = "a",
                                           .mService = "s",
                                           .mAddress = "10.0.0.1:80",
                                           .mZone = "z",
                                           .mLastSeenAgo = 40}});
  const auto read = words.Unpack("news", UpstreamUpdate{text, 30});
  REQUIRE(read.size() == 1);
  CHECK(read[0].mLastSeenAgo == 70);
  for (const Millis age : {std::numeric_limits<Millis>::max(), Millis{-1}}) {
    CHECK(words.Unpack("news", UpstreamUpdate{text, age}).empty());
  }
}
