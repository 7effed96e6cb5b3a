/// An engine that refuses to move a stream to another path must get an order
/// for a further path. If the router took the refused order (409, no capacity)
/// as done, it would report loads of engines that hold nothing and restart the
/// stall timeout, and the stream would be silent until its caller leaves.
#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

constexpr LayerRange kFront = {0, 4};
constexpr LayerRange kBack = {4, 8};

}  // namespace

Test(refused_move, another_path_is_chosen) {
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
  front.QueueActions({UpstreamAction::kStall});
  const auto open = fixture.Open("/stream/1", "moved");
  REQUIRE(fixture.RunUntil([&open] { return !open->mAnswer.mBody.empty(); }));
  fixture.SendEngineHeartbeat(one, kBack);
  fixture.SendEngineHeartbeat(two, kBack);
  REQUIRE(fixture.RunUntil([&fixture] {
    fixture.mRouter->RefreshGauges();
    return fixture.mRouter->OwnCounters().Value("upstreams_ready") == 6;
  }));
  front.RejectRepaths(1);
  fixture.SendEngineHeartbeat(leaving, kBack, UpstreamState::kLeaving);
  REQUIRE(fixture.RunUntil([&front] { return front.Repaths().size() >= 2; }));
  CHECK(front.Repaths()[0] != front.Repaths()[1]);
  for (const std::string& path : front.Repaths()) {
    CHECK(path == "front one " || path == "front two ");
  }
  CHECK(front.Runs("moved") == 1);
}
