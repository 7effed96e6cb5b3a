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
  RelayFixture fixture;
  ScriptedUpstream front(fixture.mLoop, "front");
  ScriptedUpstream leaving(fixture.mLoop, "leaving");
  ScriptedUpstream one(fixture.mLoop, "one");
  ScriptedUpstream two(fixture.mLoop, "two");
  fixture.Begin();
  fixture.PublishModel();
  fixture.SendEngineHeartbeat(leaving, kBack);
  fixture.SendEngineHeartbeat(front, kFront);
  fixture.AwaitCall(front);
  front.Next({UpstreamAct::kStall});
  const auto open = fixture.Open("/stream/1", "moved");
  REQUIRE(fixture.RunUntil([&open] { return !open->mAnswer.mBody.empty(); }));
  fixture.SendEngineHeartbeat(one, kBack);
  fixture.SendEngineHeartbeat(two, kBack);
  REQUIRE(fixture.RunUntil([&fixture] {
    fixture.mRouter->RefreshGauges();
    return fixture.mRouter->OwnCounters().Value("upstreams_ready") == 6;
  }));
  front.RefuseMoves(1);
  fixture.SendEngineHeartbeat(leaving, kBack, UpstreamState::kLeaving);
  REQUIRE(fixture.RunUntil([&front] { return front.Moves().size() >= 2; }));
  CHECK(front.Moves()[0] != front.Moves()[1]);
  for (const std::string& path : front.Moves()) {
    CHECK(path == "front one " || path == "front two ");
  }
  CHECK(front.Runs("moved") == 1);
}
