#include <algorithm>
#include <limits>
#include <random>

#include "spindleweir/servers/routing/chain_chooser.h"
#include "spindleweir/servers/routing/retry_budget.h"
#include "spindleweir/servers/routing/token_filter.h"
#include "spindleweir/servers/routing/upstream_view.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

double LinkMillis(const std::string& aFrom, const std::string& aTo) {
  return aFrom == aTo ? 0.1 : 5;
}

ChainQuery MakeQuery(int aLayers) {
  ChainQuery query;
  query.mModel = "m";
  query.mVersion = "1";
  query.mLayers = aLayers;
  query.mHomeZone = "z0";
  query.mLinkMillis = LinkMillis;
  query.mRandom = [] { return 0.0; };
  return query;
}

ChainCandidate Engine(const std::string& aName, int aFirst, int aLast,
                      double aStep, const std::string& aZone = "z0") {
  ChainCandidate engine;
  engine.mEngine = aName;
  engine.mZone = aZone;
  engine.mAccelerator = "a100";
  engine.mModel = "m";
  engine.mVersion = "1";
  engine.mFirst = aFirst;
  engine.mLast = aLast;
  engine.mStepMillis = aStep;
  return engine;
}

/// Returns the least cost over all chains.
double Exhaustive(std::span<const ChainCandidate> aEngines, int aLayer,
                  const std::string& aZone, const ChainQuery& aQuery) {
  if (aLayer == aQuery.mLayers) {
    return LinkMillis(aZone, aQuery.mHomeZone);
  }
  double least = std::numeric_limits<double>::infinity();
  for (const ChainCandidate& engine : aEngines) {
    if (engine.mFirst == aLayer && engine.mUsable) {
      // The chooser gets the router's link with the engine's zone first.
      const double link = aLayer == 0
                              ? LinkMillis(engine.mZone, aQuery.mHomeZone)
                              : LinkMillis(aZone, engine.mZone);
      least = std::min(
          least, link + engine.mWaitMillis + engine.mStepMillis +
                     Exhaustive(aEngines, engine.mLast, engine.mZone, aQuery));
    }
  }
  return least;
}

TokenFrame Frame(const std::string& aRequest, int aAttempt, int aIndex,
                 bool aLast = false) {
  TokenFrame frame;
  frame.mRequest = aRequest;
  frame.mAttempt = aAttempt;
  frame.mIndex = aIndex;
  frame.mLayers = 8;
  frame.mLast = aLast;
  return frame;
}

}  // namespace

Test(chain_chooser, finds_the_cheapest_of_all_chains) {
  std::mt19937 random(7);
  const auto pick = [&random](int aLeast, int aMax) {
    return std::uniform_int_distribution<int>(aLeast, aMax)(random);
  };
  for (int round = 0; round < 300; round++) {
    std::vector<ChainCandidate> engines;
    for (int i = 0; i < 12; i++) {
      const int first = pick(0, 5);
      engines.push_back(Engine("e" + std::to_string(i), first,
                               pick(first + 1, 6), pick(1, 20),
                               "z" + std::to_string(pick(0, 2))));
      engines.back().mWaitMillis = pick(0, 10);
      engines.back().mUsable = pick(0, 9) > 0;
    }
    const ChainQuery query = MakeQuery(6);
    const ChainChoice choice = ChooseChain(engines, query);
    const double least = Exhaustive(engines, 0, "", query);
    REQUIRE(choice.Found() == (least < 1e9));
    if (!choice.Found()) {
      continue;
    }
    CHECK(std::abs(choice.mCostMillis - least) < 1e-6);
    SECTION("the ranges of the chain tile the layers in order") {
      int layer = 0;
      for (std::size_t index : choice.mStages) {
        CHECK(engines[index].mFirst == layer);
        layer = engines[index].mLast;
      }
      CHECK(layer == 6);
    }
  }
}

Test(chain_chooser, uses_admitted_candidates_only_and_counts_rejections) {
  std::vector<ChainCandidate> engines = {
      Engine("near", 0, 8, 10, "z0"), Engine("far", 0, 8, 10, "z1"),
      Engine("other", 0, 8, 1, "z0"), Engine("gone", 0, 8, 1, "z0")};
  engines[2].mModel = "other";
  engines[3].mUsable = false;
  SECTION("the engine in the home zone is chosen if all else is equal") {
    const ChainQuery query = MakeQuery(8);
    CHECK(ChooseChain(engines, query).mStages[0] == 0);
  }
  SECTION("only allowed zones are used") {
    ChainQuery query = MakeQuery(8);
    const std::vector<std::string> zones = {"z1"};
    query.mZones = zones;
    const ChainChoice choice = ChooseChain(engines, query);
    CHECK(choice.mStages[0] == 1 && choice.mRejected.mZone == 1);
    CHECK(choice.mRejected.mOtherModel == 1 && choice.mRejected.mUnusable == 1);
  }
  SECTION("only allowed hardware is used") {
    ChainQuery query = MakeQuery(8);
    const std::vector<std::string> hardware = {"h100"};
    query.mHardware = hardware;
    const ChainChoice choice = ChooseChain(engines, query);
    CHECK(!choice.Found() && choice.mRejected.mHardware == 2);
  }
  SECTION("excluded engines are not used") {
    ChainQuery query = MakeQuery(8);
    const std::set<std::string> excluded = {"near"};
    query.mExcluded = &excluded;
    CHECK(ChooseChain(engines, query).mStages[0] == 1);
  }
  SECTION("a chain with a gap in its layers is never chosen") {
    const std::vector<ChainCandidate> withGap = {Engine("a", 0, 3, 1),
                                                 Engine("b", 4, 8, 1)};
    CHECK(!ChooseChain(withGap, MakeQuery(8)).Found());
  }
}

Test(token_filter, delivers_only_the_next_token_of_the_current_attempt) {
  TokenFilter filter("r", 8);
  filter.BeginAttempt();
  CHECK(filter.Check(Frame("r", 1, 0)) == TokenVerdict::kDeliver);
  CHECK(filter.Check(Frame("s", 1, 1)) == TokenVerdict::kOtherRequest);
  CHECK(filter.Check(Frame("r", 1, 0)) == TokenVerdict::kDuplicate);
  CHECK(filter.Check(Frame("r", 1, 2)) == TokenVerdict::kGap);
  TokenFrame incomplete = Frame("r", 1, 1);
  incomplete.mLayers = 4;
  CHECK(filter.Check(incomplete) == TokenVerdict::kWrongLayers);
  SECTION("a further attempt continues after the last delivered token") {
    CHECK(filter.BeginAttempt() == 2);
    CHECK(filter.Check(Frame("r", 1, 1)) == TokenVerdict::kStaleAttempt);
    CHECK(filter.Check(Frame("r", 2, 1, true)) == TokenVerdict::kDeliver);
    CHECK(filter.Check(Frame("r", 2, 2)) == TokenVerdict::kAfterEnd);
    CHECK(filter.Ended() && filter.Delivered() == 2);
  }
}

Test(retry_budget, limits_retries_to_a_share_of_the_traffic) {
  RetryBudget budget(
      {.mEarnedPerRequest = 0.1, .mMaxBalance = 20, .mInitialBalance = 5});
  int spent = 0;
  for (int i = 0; i < 1000; i++) {
    budget.RequestStarted();
    spent += budget.TrySpend() ? 1 : 0;
  }
  CHECK(spent <= 106 && spent >= 100);
  SECTION("unused retries are saved up to the maximum only") {
    for (int i = 0; i < 100000; i++) {
      budget.RequestStarted();
    }
    int burst = 0;
    while (budget.TrySpend()) {
      burst++;
    }
    CHECK(burst == 20);
  }
}

Test(upstream_view, failures_eject_at_most_half_of_a_zone) {
  UpstreamView view({});
  EngineReport report;
  for (int i = 0; i < 4; i++) {
    report.mEngine = "e" + std::to_string(i);
    report.mZone = "z";
    report.mModel = "m";
    report.mLast = 8;
    view.Listed(report.mEngine, "z", "", {"127.0.0.1", 1000 + i}, false, 0);
    view.Reported(report, 0);
  }
  const auto usable = [&view](Millis aNow) {
    int count = 0;
    for (const ChainCandidate& candidate : view.Candidates(aNow)) {
      count += candidate.mUsable ? 1 : 0;
    }
    return count;
  };
  CHECK(usable(10) == 4);
  SECTION("one failure does not eject") {
    view.Failed("e0", 10);
    CHECK(usable(10) == 4);
  }
  SECTION("two consecutive failures eject for a limited time") {
    view.Failed("e0", 10);
    CHECK(usable(10) == 3);
    CHECK(usable(2500) == 4);
  }
  SECTION("half of the engines stay usable however many fail") {
    for (int round = 0; round < 10; round++) {
      for (int i = 0; i < 4; i++) {
        view.Failed("e" + std::to_string(i), 20);
      }
    }
    CHECK(usable(21) == 2);
  }
  SECTION("a report past its lifetime is ignored") {
    CHECK(usable(9000) == 0);
  }
  SECTION(
      "the last engine that is not leaving stays usable however often it "
      "fails") {
    view.SetLeaving({"e0", "e1", "e2"});
    for (int round = 0; round < 10; round++) {
      view.Failed("e3", 20);
    }
    CHECK(usable(21) == 1);
  }
}

Test(upstream_view, local_requests_count_until_a_report_includes_them) {
  UpstreamView view({});
  EngineReport report;
  report.mEngine = "e";
  report.mModel = "m";
  report.mLast = 8;
  report.mBatch = 1;
  report.mStepMillis = 10;
  view.Listed("e", "z", "", {"127.0.0.1", 1000}, false, 0);
  view.Reported(report, 0);
  CHECK(view.Candidates(1)[0].mWaitMillis == 0);
  view.Dispatched("e", 1);
  view.Dispatched("e", 2);
  CHECK(view.Candidates(3)[0].mWaitMillis == 20);
  SECTION("a report from before the dispatches does not hide them") {
    view.Reported(report, 4);
    CHECK(view.Candidates(5)[0].mWaitMillis == 20);
  }
  SECTION("ended requests do not count") {
    view.Ended("e");
    view.Ended("e");
    view.Reported(report, 6);
    CHECK(view.Candidates(7)[0].mWaitMillis == 0);
  }
}

Test(upstream_view, a_lagging_list_does_not_drain_a_new_incarnation) {
  UpstreamView view({});
  view.Listed("e", "z", "", {"127.0.0.1", 1}, true, 0);
  CHECK(view.TakeNewlyLeaving().size() == 1);
  // The VM has restarted; the list still marks it as leaving.
  view.Listed("e", "z", "", {"127.0.0.1", 1}, true, 0);
  CHECK(view.TakeNewlyLeaving().empty());
  view.Listed("e", "z", "", {"127.0.0.1", 1}, false, 0);
  CHECK(!view.IsLeaving("e"));
}

Test(upstream_view, a_leaving_upstream_gets_no_new_requests) {
  UpstreamView view({});
  view.Listed("s1", "z", "kaunter", {"127.0.0.1", 1}, false, 0);
  view.Listed("s2", "z", "kaunter", {"127.0.0.1", 2}, false, 0);
  CHECK(view.ServiceInstances("kaunter", 0).size() == 2);
  SECTION("it is leaving according to the platform's list") {
    view.Listed("s1", "z", "kaunter", {"127.0.0.1", 1}, true, 0);
    REQUIRE(view.ServiceInstances("kaunter", 0).size() == 1);
    CHECK(view.ServiceInstances("kaunter", 0)[0]->mVm == "s2");
    view.Listed("s1", "z", "kaunter", {"127.0.0.1", 1}, false, 0);
    CHECK(view.IsLeaving("s1"));
    // A different process with the same name, at another address.
    view.Listed("s1", "z", "kaunter", {"127.0.0.1", 7}, false, 0);
    CHECK(!view.IsLeaving("s1"));
  }
  SECTION("it is leaving according to another source") {
    view.SetLeaving({"s2"});
    CHECK(view.IsLeaving("s2"));
  }
  SECTION("its failures are not counted") {
    view.SetLeaving({"s1", "s2"});
    view.Failed("s2", 0);
    view.Failed("s2", 0);
    view.Failed("s2", 0);
    CHECK(view.Find("s2")->mFailures == 0);
  }
}
