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

/// A zone of 600 engines of three kinds with assigned layers, and one of 40.
struct Fleet {
  Fleet() {
    mProfile.mLayers = 80;
    mProfile.mLayerMb = 1750;
    mProfile.mTokenBytes = 918000;
    mProfile.mCapacityTokens = 100000;
    mProfile.mActivationBytes = 45900;
    mProfile.mIntraZoneMbps = 400000;
    mProfile.mInterZoneMbps = 4300;
    mProfile.mStepMillis = 0.85;
    mProfile.mPromptTokensPerSecond = 353000;
    mProfile.mKinds = {{"fast", 36000, 3.1, 3.2},
                       {"middle", 22000, 16, 8.2},
                       {"small", 14000, 15, 15}};
    Add("z", 600);
    Add("y", 40);
    std::map<std::string, LayerRange> assigned;
    for (const LayerOrder& order : PlanLayers(mProfile, Views())) {
      assigned[order.mInstance] = order.mLayers;
    }
    for (UpstreamRecord& record : mRecords) {
      record.mLayers = assigned[record.mInstance];
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

  PathQuery Query(std::vector<const UpstreamRecord*> aEngines) {
    PathQuery query;
    query.mProfile = &mProfile;
    query.mZone = "z";
    query.mTokens = 900;
    query.mPrefillTokens = 760;
    query.mAnswerTokens = 140;
    query.mEngines = std::move(aEngines);
    query.mLoadOf = [](const std::string&) { return EngineLoad(); };
    query.mRandom = [this] { return Random(); };
    return query;
  }

  double Random() { return mUniform(mRandom); }

  EngineProfile mProfile;
  std::vector<UpstreamRecord> mRecords;
  std::mt19937 mRandom{7};
  std::uniform_real_distribution<double> mUniform{0, 1};
};

/// Returns the share of choices that use the most used engine.
double Busiest(const std::map<std::string, int>& aCounts) {
  int most = 0;
  for (const auto& [instance, count] : aCounts) {
    most = std::max(most, count);
  }
  return static_cast<double>(most) / kChoices;
}

}  // namespace

Test(sample, a_small_zone_is_not_sampled) {
  Fleet fleet;
  std::vector<const UpstreamRecord*> few = fleet.Views();
  few.resize(100);
  const EngineSample sample =
      SampleEngines(few, "z", SampleScope::kLocalZone, [] { return 0.5; });
  CHECK(sample.mEngines == few);
  CHECK(sample.mShare == 1);
}

Test(sample, choices_without_shared_loads_use_different_paths) {
  // Without sampling, 300 simultaneous choices over all 600 engines would use a
  // few fast ones, which have capacity for about 90 requests each.
  Fleet fleet;
  const std::vector<const UpstreamRecord*> all = fleet.Views();
  std::map<std::string, int> counts;
  for (int i = 0; i < kChoices; i++) {
    const EngineSample sample = SampleEngines(
        all, "z", SampleScope::kLocalZone, [&fleet] { return fleet.Random(); });
    CHECK(sample.mEngines.size() < 150);
    const PathResult answer = ChoosePath(fleet.Query(sample.mEngines));
    REQUIRE(!answer.mPath.empty());
    int reached = 0;
    for (const PathStage& stage : answer.mPath) {
      CHECK(stage.mLayers.mFrom == reached);
      reached = stage.mLayers.mTo;
      counts[stage.mInstance]++;
    }
    CHECK(reached == fleet.mProfile.mLayers);
  }
  CHECK(Busiest(counts) < 0.25);
  SECTION("without samples they use the same engines") {
    std::map<std::string, int> same;
    for (int i = 0; i < kChoices / 10; i++) {
      for (const PathStage& stage : ChoosePath(fleet.Query(all)).mPath) {
        same[stage.mInstance] += 10;
      }
    }
    CHECK(Busiest(same) > 2 * Busiest(counts));
  }
}

Test(sample, other_zones_are_used_if_the_local_zone_has_no_path) {
  Fleet fleet;
  std::vector<const UpstreamRecord*> engines = fleet.Views();
  std::erase_if(engines, [](const UpstreamRecord* aEngine) {
    return aEngine->mZone == "z" && aEngine->mLayers.mFrom == 0;
  });
  const auto random = [&fleet] { return fleet.Random(); };
  const EngineSample local =
      SampleEngines(engines, "z", SampleScope::kLocalZone, random);
  CHECK(local.mShare < 1);
  CHECK(ChoosePath(fleet.Query(local.mEngines)).mPath.empty());
  const EngineSample wide =
      SampleEngines(engines, "z", SampleScope::kAllZones, random);
  CHECK(!ChoosePath(fleet.Query(wide.mEngines)).mPath.empty());
}

Test(sample, a_draw_uses_engines_of_the_current_sample_only) {
  Fleet fleet;
  const std::vector<const UpstreamRecord*> all = fleet.Views();
  PathChooser choice;
  std::set<std::string> firsts;
  for (int i = 0; i < 20; i++) {
    EngineSample sample = SampleEngines(all, "z", SampleScope::kLocalZone,
                                        [&fleet] { return fleet.Random(); });
    PathQuery query = fleet.Query(sample.mEngines);
    query.mSampleShare = sample.mShare;
    const PathResult answer = choice.Choose(
        query, {.mUnreportedRequests = 1e6, .mRevision = 1, .mNow = i});
    REQUIRE(!answer.mPath.empty());
    for (const PathStage& stage : answer.mPath) {
      const bool seen =
          std::any_of(sample.mEngines.begin(), sample.mEngines.end(),
                      [&stage](const UpstreamRecord* aEngine) {
                        return aEngine->mInstance == stage.mInstance;
                      });
      CHECK(seen);
    }
    firsts.insert(answer.mPath.front().mInstance);
  }
  CHECK(firsts.size() > 5);
}
