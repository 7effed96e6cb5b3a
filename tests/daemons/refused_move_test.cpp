/// What was seen: four streams on one engine fell silent for two seconds, until
/// their callers left, each with most of its time left. The order of events: an
/// engine on their paths leaves; their router orders them to others; one of
/// these has no room, and the order is refused. The cause: the router took the
/// order for done. It told loads of engines that held nothing, did not look for
/// another path, and let the silence count anew. Evidence: "repath_answered"
/// with 409 at 941 ms, and nothing of these streams until their callers left.
#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

constexpr LayerRange kFront = {0, 4};
constexpr LayerRange kBack = {4, 8};

}  // namespace

Test(refused_move, another_path_is_looked_for) {
  RelayFixture story;
  ScriptedUpstream front(story.mLoop, "front");
  ScriptedUpstream leaving(story.mLoop, "leaving");
  ScriptedUpstream one(story.mLoop, "one");
  ScriptedUpstream two(story.mLoop, "two");
  story.Begin();
  story.PublishModel();
  story.SendEngineHeartbeat(leaving, kBack);
  story.SendEngineHeartbeat(front, kFront);
  story.AwaitCall(front);
  front.Next({UpstreamAct::kStall});
  const auto open = story.Open("/stream/1", "moved");
  REQUIRE(story.RunUntil([&open] { return !open->mAnswer.mBody.empty(); }));
  story.SendEngineHeartbeat(one, kBack);
  story.SendEngineHeartbeat(two, kBack);
  REQUIRE(story.RunUntil([&story] {
    story.mRouter->RefreshGauges();
    return story.mRouter->OwnCounters().Value("upstreams_ready") == 6;
  }));
  front.RefuseMoves(1);
  story.SendEngineHeartbeat(leaving, kBack, UpstreamState::kLeaving);
  REQUIRE(story.RunUntil([&front] { return front.Moves().size() >= 2; }));
  CHECK(front.Moves()[0] != front.Moves()[1]);
  for (const std::string& path : front.Moves()) {
    CHECK(path == "front one " || path == "front two ");
  }
  CHECK(front.Runs("moved") == 1);
}
