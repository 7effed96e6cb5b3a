#include <map>
#include <random>
#include <set>

#include "spindleweir/servers/placement/layer_planner.h"
#include "spindleweir/servers/routing/engine_sample.h"
#include "spindleweir/servers/routing/path_chooser.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr int kChoices = 300;

/// A zone of 600 engines of three kinds, placed, beside another of 30.
struct Fleet {
  Fleet() {
    mProfile.mLayers = 80;
    mProfile.mLayerMb = 1750;
    mProfile.mTokenBytes = 918000;
    mProfile.mCapacityTokens = 100000;
    mProfile.mActivationBytes = 45900;
    mProfile.mLinkMbps = 400000;
    mProfile.mPipeMbps = 4300;
    mProfile.mStepMillis = 0.85;
    mProfile.mReadPerSecond = 353000;
    mProfile.mKinds = {{"fast", 36000, 3.1, 3.2},
                       {"middle", 22000, 16, 8.2},
                       {"small", 14000, 15, 15}};
    Add("z", 600);
    Add("y", 40);
    std::map<std::string, LayerRange> dealt;
    for (const LayerOrder& order : PlanLayers(mProfile, Views())) {
      dealt[order.mInstance] = order.mLayers;
    }
    for (UpstreamRecord& record : mRecords) {
      record.mLayers = dealt[record.mInstance];
    }
  }

  void Add(const std::string& aZone, int aCount) {
    for (int i = 0; i < aCount; i++) {
      const char* kind = i % 14 == 0 ? "fast" : i % 2 == 0 ? "middle" : "small";
      mRecords.push_back({.mInstance = aZone + std::to_string(i),
                          .mAddress = "10.0.0.1:" + std::to_string(i),
                          .mZone = aZone,
                          .mKind = kind,
                          .mSlots = 192});
    }
  }

  std::vector<const UpstreamRecord*> Views() const {
    std::vector<const UpstreamRecord*> views;
    for (const UpstreamRecord& record : mRecords) {
      views.push_back(&record);
    }
    return views;
  }

  PathQuery Question(std::vector<const UpstreamRecord*> aEngines) {
    PathQuery question;
    question.mProfile = &mProfile;
    question.mZone = "z";
    question.mTokens = 900;
    question.mPrefillTokens = 760;
    question.mAnswerTokens = 140;
    question.mEngines = std::move(aEngines);
    question.mLoadOf = [](const std::string&) { return EngineLoad(); };
    question.mRandom = [this] { return Random(); };
    return question;
  }

  double Random() { return mUniform(mRandom); }

  EngineProfile mProfile;
  std::vector<UpstreamRecord> mRecords;
  std::mt19937 mRandom{7};
  std::uniform_real_distribution<double> mUniform{0, 1};
};

/// The share of choices that go to the engine that most go to.
double Busiest(const std::map<std::string, int>& aCounts) {
  int most = 0;
  for (const auto& [instance, count] : aCounts) {
    most = std::max(most, count);
  }
  return static_cast<double>(most) / kChoices;
}

}  // namespace

Test(sample, few_engines_are_all_looked_at) {
  Fleet fleet;
  std::vector<const UpstreamRecord*> few = fleet.Views();
  few.resize(100);
  const EngineSample sample =
      SampleEngines(few, "z", SampleScope::kLocalZone, [] { return 0.5; });
  CHECK(sample.mEngines == few);
  CHECK(sample.mShare == 1);
}

Test(sample, routers_that_know_nothing_of_each_other_go_different_ways) {
  // With all 600 engines before them 300 choices of the same moment go to a few
  // fast ones; a zone has room for about 90 requests at each.
  Fleet fleet;
  const std::vector<const UpstreamRecord*> all = fleet.Views();
  std::map<std::string, int> counts;
  for (int i = 0; i < kChoices; i++) {
    const EngineSample sample = SampleEngines(
        all, "z", SampleScope::kLocalZone, [&fleet] { return fleet.Random(); });
    CHECK(sample.mEngines.size() < 150);
    const PathResult answer = ChoosePath(fleet.Question(sample.mEngines));
    REQUIRE(!answer.mPath.empty());
    int reached = 0;
    for (const PathStage& part : answer.mPath) {
      CHECK(part.mLayers.mFrom == reached);
      reached = part.mLayers.mTo;
      counts[part.mInstance]++;
    }
    CHECK(reached == fleet.mProfile.mLayers);
  }
  CHECK(Busiest(counts) < 0.25);
  SECTION("which they do not where each looks at all") {
    std::map<std::string, int> same;
    for (int i = 0; i < kChoices / 10; i++) {
      for (const PathStage& part : ChoosePath(fleet.Question(all)).mPath) {
        same[part.mInstance] += 10;
      }
    }
    CHECK(Busiest(same) > 2 * Busiest(counts));
  }
}

Test(sample, other_zones_are_looked_at_where_the_own_has_no_path) {
  Fleet fleet;
  std::vector<const UpstreamRecord*> engines = fleet.Views();
  std::erase_if(engines, [](const UpstreamRecord* aEngine) {
    return aEngine->mZone == "z" && aEngine->mLayers.mFrom == 0;
  });
  const auto random = [&fleet] { return fleet.Random(); };
  const EngineSample own =
      SampleEngines(engines, "z", SampleScope::kLocalZone, random);
  CHECK(own.mShare < 1);
  CHECK(ChoosePath(fleet.Question(own.mEngines)).mPath.empty());
  const EngineSample wide =
      SampleEngines(engines, "z", SampleScope::kAllZones, random);
  CHECK(!ChoosePath(fleet.Question(wide.mEngines)).mPath.empty());
}

Test(sample, dealing_over_a_sample_remembers_no_earlier_one) {
  Fleet fleet;
  const std::vector<const UpstreamRecord*> all = fleet.Views();
  PathChooser choice;
  std::set<std::string> firsts;
  for (int i = 0; i < 20; i++) {
    EngineSample sample = SampleEngines(all, "z", SampleScope::kLocalZone,
                                        [&fleet] { return fleet.Random(); });
    PathQuery question = fleet.Question(sample.mEngines);
    question.mSampleShare = sample.mShare;
    const PathResult answer = choice.Choose(
        question, {.mUnreportedRequests = 1e6, .mRevision = 1, .mNow = i});
    REQUIRE(!answer.mPath.empty());
    for (const PathStage& part : answer.mPath) {
      const bool seen =
          std::any_of(sample.mEngines.begin(), sample.mEngines.end(),
                      [&part](const UpstreamRecord* aEngine) {
                        return aEngine->mInstance == part.mInstance;
                      });
      CHECK(seen);
    }
    firsts.insert(answer.mPath.front().mInstance);
  }
  CHECK(firsts.size() > 5);
}
