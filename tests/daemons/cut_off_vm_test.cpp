/// Routers that lose their links to all upstreams, while callers, control and
/// the other routers still reach them, must serve their callers nevertheless.
/// They refused nearly all requests: each had one way, a connection of the
/// router's own.
#include <set>
#include <vector>

#include "spindleweir/core/json_codec.h"
#include "spindleweir/daemons/sync_messages.h"
#include "spindleweir/drivers/rpc_channel.h"
#include "tests/daemons/link_cut.h"
#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

constexpr int kCalls = 6;
/// What callers of the shortest calls wait for.
constexpr Millis kDeadline = 1500;
/// Time for the routers to hear of each other.
constexpr Millis kAcquaintance = 1500;

/// Two routers, one of which can be cut off from the upstreams.
struct CutOffVm {
  explicit CutOffVm(const std::string& aZone = "z") : mFixture(kLongWarmUp) {
    mForwarder = mFixture.mForwarding.Text();
    mRouter = mFixture.MakeRouter("cut", mCut.Hook(), aZone);
  }

  /// Serves calls by both upstreams, then cuts the router off.
  void CutOff(CutMode aMode) {
    mFixture.Begin();
    REQUIRE(mFixture.RunUntil([this] { return mRouter->Ready(); }));
    mFixture.Wait(kAcquaintance);
    CHECK(CallAtCutRouter("/look/x").mStatus == 200);
    mCut.Cut(aMode, Upstreams());
  }

  /// The same with two engines.
  void CutOffFromEngines(CutMode aMode) {
    BeginEngines();
    mCut.Cut(aMode, Upstreams());
  }

  void BeginEngines() {
    mFixture.PublishModel();
    mFixture.SendEngineHeartbeat(mFixture.mA);
    mFixture.SendEngineHeartbeat(mFixture.mB);
    mFixture.AwaitCall(mFixture.mA);
    REQUIRE(mFixture.RunUntil([this] { return mRouter->Ready(); }));
    mFixture.Wait(kAcquaintance);
    REQUIRE(CallAtCutRouter("/stream/x").mStatus == 200);
  }

  std::set<std::string> Upstreams() const {
    return {mFixture.mA.Address(), mFixture.mB.Address()};
  }

  /// Calls of the cut router that the other one forwarded.
  std::int64_t Forwarded() const {
    return mFixture.mRouter->OwnCounters().Value("calls_forwarded");
  }

  Answer CallAtCutRouter(const std::string& aTarget) {
    return mFixture.CallAt(*mRouter, aTarget, "key", kDeadline);
  }

  /// The number of kCalls calls that are answered 200, each run once.
  int ServedOnce(const std::string& aTarget) {
    int served = 0;
    for (int i = 0; i < kCalls; i++) {
      const Answer answer = CallAtCutRouter(aTarget);
      served += answer.mStatus == 200 && mFixture.RunsOfLast() == 1 ? 1 : 0;
    }
    return served;
  }

  RelayFixture mFixture;
  LinkCut mCut;
  std::string mForwarder;  ///< Where the other router forwards calls.
  std::unique_ptr<RelayRouter> mRouter;
};

void CheckPlainCalls(CutMode aMode) {
  CutOffVm vm;
  vm.CutOff(aMode);
  SECTION("calls that may not be repeated run once and are answered") {
    CHECK(vm.ServedOnce("/pay/x") == kCalls);
  }
  SECTION("calls that may be repeated are answered") {
    CHECK(vm.ServedOnce("/look/x") == kCalls);
  }
  SECTION("streams are answered") {
    CHECK(vm.ServedOnce("/stream/x") == kCalls);
  }
}

void CheckEngineStreams(CutMode aMode) {
  CutOffVm vm;
  vm.CutOffFromEngines(aMode);
  SECTION("streams of engines are answered") {
    CHECK(vm.ServedOnce("/stream/x") == kCalls);
  }
}

std::string FullBody() {
  std::string body;
  for (int id = 1; id <= ScriptedUpstream::kEvents; id++) {
    body += "id: " + std::to_string(id) + "\ndata: x\n\n";
  }
  return body;
}

/// The number of reports at control that an upstream can't be reached.
std::int64_t UnreachableReports(RelayFixture& aFixture) {
  HttpClient client(aFixture.mLoop);
  RpcChannel rpc(client, "secret");
  SyncRequest request;
  request.mProcess = "witness/1";
  request.mZone = "z";
  request.mReportsLoads = 1;
  std::int64_t reports = -1;
  rpc.Call(aFixture.mSeed, rpc_method::kSync, ToJson(request), 20000,
           [&reports](const RpcResult& aResult) {
             reports = 0;
             const auto answer = FromJson<SyncAnswer>(aResult.mAnswer);
             for (const auto& [instance, share] :
                  UnpackLoads(answer.mPackedLoads, nullptr)) {
               reports += share.mUnreachableReporters;
             }
           });
  REQUIRE(aFixture.RunUntil([&reports] { return reports >= 0; }));
  return reports;
}

}  // namespace

// Refused after three connections of 0.5 s each that nobody answered.
Test(cut_off_vm, serves_its_callers_while_its_connections_hang) {
  CheckPlainCalls(CutMode::kHang);
}

// Refused within milliseconds, after three connections that were refused.
Test(cut_off_vm, serves_its_callers_while_its_connections_are_reset) {
  CheckPlainCalls(CutMode::kReset);
}

Test(cut_off_vm, serves_its_callers_while_only_new_connections_fail) {
  CheckPlainCalls(CutMode::kRefuseNew);
}

Test(cut_off_vm, serves_streams_of_engines_while_its_connections_hang) {
  CheckEngineStreams(CutMode::kHang);
}

Test(cut_off_vm, serves_streams_of_engines_while_its_connections_are_reset) {
  CheckEngineStreams(CutMode::kReset);
}

Test(cut_off_vm, serves_streams_of_engines_while_only_new_connections_fail) {
  CheckEngineStreams(CutMode::kRefuseNew);
}

// Streams hung until their connections timed out, and ended incomplete.
Test(cut_off_vm, continues_its_streams_by_way_of_another_vm) {
  for (const CutMode mode : {CutMode::kHang, CutMode::kReset}) {
    CutOffVm vm;
    vm.BeginEngines();
    vm.mFixture.mA.QueueActions({UpstreamAction::kSlowStream});
    vm.mFixture.mB.QueueActions({UpstreamAction::kSlowStream});
    const auto stream =
        vm.mFixture.OpenAt(*vm.mRouter, {.mTarget = "/stream/x", .mId = "s"});
    REQUIRE(vm.mFixture.RunUntil(
        [&stream] { return !stream->mAnswer.mBody.empty(); }));
    vm.mCut.Cut(mode, vm.Upstreams());
    REQUIRE(vm.mFixture.RunUntil([&stream] { return stream->mEnded; }));
    SECTION("each event comes once") {
      CHECK(stream->mAnswer.mEnd == StreamEnd::kComplete);
      CHECK(stream->mAnswer.mBody == FullBody());
    }
  }
}

Test(cut_off_vm, does_not_repeat_a_call_that_was_sent_before_the_cut) {
  for (const CutMode mode : {CutMode::kHang, CutMode::kReset}) {
    CutOffVm vm;
    vm.CutOff(CutMode::kNone);
    vm.mFixture.mA.QueueActions({UpstreamAction::kDelayedAnswer});
    vm.mFixture.mB.QueueActions({UpstreamAction::kDelayedAnswer});
    const auto call = vm.mFixture.OpenAt(
        *vm.mRouter, {.mTarget = "/pay/x", .mId = "p", .mDeadline = kDeadline});
    const auto runs = [&vm] {
      return vm.mFixture.mA.Runs("p") + vm.mFixture.mB.Runs("p");
    };
    REQUIRE(vm.mFixture.RunUntil([&runs] { return runs() == 1; }));
    vm.mCut.Cut(mode, vm.Upstreams());
    REQUIRE(vm.mFixture.RunUntil([&call] { return call->mEnded; }));
    SECTION("its caller hears that the outcome is not known") {
      CHECK(call->mAnswer.mStatus == 502 || call->mAnswer.mStatus == 504);
      CHECK(runs() == 1);
    }
  }
}

// The forwarder's answer could look like a refusal, or like a complete answer.
Test(cut_off_vm, does_not_repeat_a_forwarded_call_whose_answer_is_lost) {
  CutOffVm vm;
  vm.CutOff(CutMode::kHang);
  REQUIRE(vm.ServedOnce("/pay/x") == kCalls);
  const auto both = [&vm](UpstreamAction aAction) {
    vm.mFixture.mA.QueueActions({aAction});
    vm.mFixture.mB.QueueActions({aAction});
  };
  SECTION("an answer that breaks off") {
    both(UpstreamAction::kTruncate);
    CHECK(vm.CallAtCutRouter("/pay/x").mStatus == 502);
    CHECK(vm.mFixture.RunsOfLast() == 1);
  }
  SECTION("no answer") {
    both(UpstreamAction::kSilent);
    CHECK(vm.CallAtCutRouter("/pay/x").mStatus == 504);
    CHECK(vm.mFixture.RunsOfLast() == 1);
  }
  SECTION("a refusal by the upstream is passed on, and another one serves") {
    both(UpstreamAction::kAnswer);
    vm.mFixture.mA.QueueActions({UpstreamAction::kRefuse});
    CHECK(vm.CallAtCutRouter("/pay/x").mStatus == 200);
    CHECK(vm.mFixture.RunsOfLast() == 1);
  }
}

Test(cut_off_vm, is_helped_by_another_zone_if_its_own_is_cut_off) {
  CutOffVm vm("y");
  LinkCut secondCut;
  const auto second = vm.mFixture.MakeRouter("second", secondCut.Hook(), "y");
  vm.mFixture.Begin();
  REQUIRE(vm.mFixture.RunUntil([&] { return second->Ready(); }));
  vm.CutOff(CutMode::kHang);
  secondCut.Cut(CutMode::kHang, vm.Upstreams());
  SECTION("both routers of the zone serve their callers") {
    for (int i = 0; i < kCalls; i++) {
      CHECK(vm.CallAtCutRouter("/pay/x").mStatus == 200);
      CHECK(vm.mFixture.RunsOfLast() == 1);
      CHECK(vm.mFixture.CallAt(*second, "/pay/x", "key", kDeadline).mStatus ==
            200);
      CHECK(vm.mFixture.RunsOfLast() == 1);
    }
  }
}

// Routers that are cut off must not hand a call to each other in turn.
Test(cut_off_vm, is_refused_at_once_by_others_that_are_cut_off) {
  CutOffVm vm;
  LinkCut otherCut;
  vm.mFixture.mRouter = vm.mFixture.MakeRouter("other", otherCut.Hook());
  LinkCut secondCut;
  const auto second = vm.mFixture.MakeRouter("second", secondCut.Hook());
  vm.CutOff(CutMode::kReset);
  secondCut.Cut(CutMode::kReset, vm.Upstreams());
  otherCut.Cut(CutMode::kReset, vm.Upstreams());
  SECTION("calls are refused as not run") {
    for (int i = 0; i < kCalls; i++) {
      CHECK(vm.CallAtCutRouter("/pay/x").mStatus == 503);
      CHECK(vm.mFixture.RunsOfLast() == 0);
    }
  }
}

// Its reports made sound routers avoid engines, and control replace them.
Test(cut_off_vm, does_not_blame_the_upstreams) {
  for (const CutMode mode : {CutMode::kHang, CutMode::kReset}) {
    CutOffVm vm;
    vm.BeginEngines();
    vm.mFixture.mA.QueueActions(
        std::vector<UpstreamAction>(kCalls, UpstreamAction::kSlowStream));
    vm.mFixture.mB.QueueActions(
        std::vector<UpstreamAction>(kCalls, UpstreamAction::kSlowStream));
    std::vector<std::unique_ptr<OpenCall>> streams;
    for (int i = 0; i < kCalls; i++) {
      streams.push_back(vm.mFixture.OpenAt(
          *vm.mRouter,
          {.mTarget = "/stream/x", .mId = "s" + std::to_string(i)}));
    }
    REQUIRE(vm.mFixture.RunUntil(
        [&streams] { return !streams.back()->mAnswer.mBody.empty(); }));
    vm.mCut.Cut(mode, vm.Upstreams());
    std::int64_t reports = 0;
    for (int i = 0; i < 10; i++) {
      vm.mFixture.Wait(100);
      reports += UnreachableReports(vm.mFixture);
    }
    SECTION("it reports none as unreachable, and none as crashed") {
      CHECK(reports == 0);
      CHECK(vm.mRouter->OwnCounters().Value("crashes_seen") == 0);
    }
  }
}

/// Guards against a connection from before the cut as the proof that a router
/// has its links: where no other VM answered in time, it blamed the upstreams.
Test(cut_off_vm, does_not_blame_the_upstreams_though_no_other_vm_answers) {
  for (const CutMode mode : {CutMode::kHang, CutMode::kReset}) {
    CutOffVm vm;
    vm.BeginEngines();
    vm.mFixture.mA.QueueActions({UpstreamAction::kSlowStream});
    vm.mFixture.mB.QueueActions({UpstreamAction::kSlowStream});
    const auto stream =
        vm.mFixture.OpenAt(*vm.mRouter, {.mTarget = "/stream/x", .mId = "s"});
    REQUIRE(vm.mFixture.RunUntil(
        [&stream] { return !stream->mAnswer.mBody.empty(); }));
    std::set<std::string> cut = vm.Upstreams();
    cut.insert(vm.mForwarder);
    vm.mCut.Cut(mode, cut);
    std::int64_t reports = 0;
    for (int i = 0; i < 10; i++) {
      vm.mFixture.Wait(100);
      reports += UnreachableReports(vm.mFixture);
    }
    SECTION("it reports none as unreachable, and none as crashed") {
      CHECK(reports == 0);
      CHECK(vm.mRouter->OwnCounters().Value("crashes_seen") == 0);
    }
  }
}

/// Guards against crashes that are never counted: a router whose calls go by
/// way of others asked them whether they reach the upstream, but not whether it
/// had refused them, so that the request went on to end upstreams.
Test(cut_off_vm, counts_a_crash_that_its_forwarder_sees) {
  for (const CutMode mode : {CutMode::kHang, CutMode::kReset}) {
    CutOffVm vm;
    vm.CutOff(mode);
    REQUIRE(vm.ServedOnce("/pay/x") == kCalls);
    vm.mFixture.mA.CrashOnTarget("bad");
    for (int i = 0; !vm.mFixture.mA.Crashed(); i++) {
      REQUIRE(i < 100);
      (void)vm.CallAtCutRouter("/pay/bad");
    }
    const Counters& counters = vm.mRouter->OwnCounters();
    CHECK(vm.mFixture.RunUntil(
        [&counters] { return counters.Value("crashes_seen") == 1; }));
  }
}

Test(cut_off_vm, calls_upstreams_itself_once_its_links_are_back) {
  CutOffVm vm;
  vm.CutOff(CutMode::kHang);
  REQUIRE(vm.ServedOnce("/pay/x") == kCalls);
  vm.mCut.Heal();
  std::int64_t before = -1;
  SECTION("within some calls, a quarter of a second apart") {
    for (int i = 0; i < 20 && vm.Forwarded() != before; i++) {
      before = vm.Forwarded();
      CHECK(vm.CallAtCutRouter("/look/x").mStatus == 200);
      vm.mFixture.Wait(250);
    }
    CHECK(vm.Forwarded() == before);
  }
}

// An upstream that answers nobody for a second is no lost link.
Test(cut_off_vm, is_not_what_a_silent_upstream_makes_of_a_router) {
  CutOffVm vm;
  LinkCut otherCut;
  vm.mFixture.mRouter = vm.mFixture.MakeRouter("other", otherCut.Hook());
  vm.CutOff(CutMode::kNone);
  vm.mCut.Cut(CutMode::kHang, {vm.mFixture.mA.Address()});
  otherCut.Cut(CutMode::kHang, {vm.mFixture.mA.Address()});
  SECTION("the other upstream serves, without a forwarder") {
    CHECK(vm.ServedOnce("/pay/x") == kCalls);
    CHECK(vm.mRouter->OwnCounters().Value("calls_by_forwarder",
                                          "outcome=\"answered\"") == 0);
  }
  SECTION("once it goes on, nothing is forwarded either") {
    vm.mCut.Heal();
    otherCut.Heal();
    CHECK(vm.ServedOnce("/pay/x") == kCalls);
    CHECK(vm.mRouter->OwnCounters().Value("calls_by_forwarder",
                                          "outcome=\"answered\"") == 0);
  }
}

Test(forwarder, takes_no_more_than_its_part_of_the_descriptors) {
  CutOffVm vm;
  // An eighth of them: one connection and one call.
  vm.mFixture.mDescriptors = 24;
  vm.mFixture.mRouter = vm.mFixture.MakeRouter("narrow");
  vm.CutOff(CutMode::kHang);
  REQUIRE(vm.ServedOnce("/pay/x") == kCalls);
  vm.mFixture.mA.QueueActions({UpstreamAction::kDelayedAnswer});
  vm.mFixture.mB.QueueActions({UpstreamAction::kDelayedAnswer});
  const auto open =
      vm.mFixture.OpenAt(*vm.mRouter, {.mTarget = "/pay/x", .mId = "p"});
  REQUIRE(vm.mFixture.RunUntil([&vm] {
    return vm.mFixture.mA.Runs("p") + vm.mFixture.mB.Runs("p") == 1;
  }));
  SECTION("what it refuses has not run, and its own callers are served") {
    CHECK(vm.CallAtCutRouter("/pay/x").mStatus == 503);
    CHECK(vm.mFixture.RunsOfLast() == 0);
    vm.mFixture.mA.QueueActions({});
    vm.mFixture.mB.QueueActions({});
    CHECK(vm.mFixture.Call("/pay/x").mStatus == 200);
  }
  SECTION("what it took is answered") {
    REQUIRE(vm.mFixture.RunUntil([&open] { return open->mEnded; }));
    CHECK(open->mAnswer.mStatus == 200);
  }
}

Test(forwarder, completes_what_it_took_before_it_stops) {
  CutOffVm vm;
  vm.mFixture.mStopGrace = 6000;
  vm.mFixture.mRouter = vm.mFixture.MakeRouter("stopping");
  vm.CutOff(CutMode::kHang);
  vm.mFixture.mA.QueueActions({UpstreamAction::kDelayedAnswer});
  vm.mFixture.mB.QueueActions({UpstreamAction::kDelayedAnswer});
  const auto open =
      vm.mFixture.OpenAt(*vm.mRouter, {.mTarget = "/pay/x", .mId = "p"});
  REQUIRE(vm.mFixture.RunUntil([&vm] {
    return vm.mFixture.mA.Runs("p") + vm.mFixture.mB.Runs("p") == 1;
  }));
  vm.mFixture.mRouter->Stop();
  REQUIRE(vm.mFixture.RunUntil([&open] { return open->mEnded; }));
  CHECK(open->mAnswer.mStatus == 200);
}

Test(forwarder, forwards_nothing_for_who_lacks_the_key_of_the_cluster) {
  CutOffVm vm;
  vm.CutOff(CutMode::kNone);
  for (const char* key : {"", "wrong"}) {
    Answer answer;
    bool ended = false;
    StreamCallOptions options;
    options.mServer = vm.mFixture.mForwarding;
    options.mMethod = "POST";
    options.mTarget = "/pay/x";
    options.mHeaders = {{"Host", "shop"},
                        {"X-Request", "stranger"},
                        {"X-Forward-To", vm.mFixture.mA.Instance()},
                        {"X-Forward-Key", key}};
    options.mOnHead = [&answer](const AnswerHead& aHead) {
      answer.mStatus = aHead.mStatus;
    };
    options.mOnEnd = [&ended](StreamEnd) { ended = true; };
    const auto call = StartStreamCall(vm.mFixture.mLoop, std::move(options));
    REQUIRE(vm.mFixture.RunUntil([&ended] { return ended; }));
    CHECK(answer.mStatus == 503);
  }
  CHECK(vm.mFixture.mA.Runs("stranger") == 0);
}
