#include <map>

#include "spindleweir/servers/placement/layer_planner.h"
#include "spindleweir/servers/routing/inter_zone_budget.h"
#include "spindleweir/servers/routing/layer_path.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

EngineProfile Profile() {
  EngineProfile profile;
  profile.mLayers = 80;
  profile.mLayerMb = 1750;
  profile.mTokenBytes = 918000;
  profile.mActivationBytes = 45900;
  profile.mLinkMbps = 400000;
  profile.mPipeMbps = 26000;
  profile.mStepMillis = 1.02;
  profile.mRequestMillis = 0.00714;
  profile.mContextMillis = 0.00956;
  profile.mReadPerSecond = 105000;
  profile.mPairMillis = 0.309;
  profile.mLoadSeconds = 14;
  profile.mZoneDelay = 0.75;
  profile.mKinds = {{"fast", 72000, 2.4, 3.2},
                    {"middle", 43200, 5.6, 2.7},
                    {"slow", 21600, 16, 8.2}};
  return profile;
}

/// Engines of a test, with orders carried out at once.
struct Engines {
  void Add(const std::string& aZone, const std::string& aKind, int aCount) {
    for (int i = 0; i < aCount; i++) {
      UpstreamRecord record;
      record.mInstance =
          aZone + "-" + aKind + "-" + std::to_string(mRecords.size());
      record.mAddress = "10.0.0." + std::to_string(mRecords.size()) + ":1";
      record.mZone = aZone;
      record.mKind = aKind;
      mRecords.push_back(record);
    }
  }
  std::vector<const UpstreamRecord*> Views() const {
    std::vector<const UpstreamRecord*> views;
    for (const UpstreamRecord& record : mRecords) {
      views.push_back(&record);
    }
    return views;
  }
  std::size_t Place(const EngineProfile& aProfile) {
    const std::vector<LayerOrder> orders = PlanLayers(aProfile, Views());
    for (const LayerOrder& order : orders) {
      for (UpstreamRecord& record : mRecords) {
        if (record.mInstance == order.mInstance) {
          record.mLayers = order.mLayers;
        }
      }
    }
    return orders.size();
  }
  void Lose(const std::string& aInstance) {
    std::erase_if(mRecords, [&](const UpstreamRecord& aRecord) {
      return aRecord.mInstance == aInstance;
    });
  }
  const UpstreamRecord* Find(const std::string& aInstance) const {
    for (const UpstreamRecord& record : mRecords) {
      if (record.mInstance == aInstance) {
        return &record;
      }
    }
    return nullptr;
  }
  /// Whether each layer is held in a zone.
  bool Whole(const std::string& aZone, int aLayers) const {
    std::vector<bool> held(static_cast<std::size_t>(aLayers), false);
    for (const UpstreamRecord& record : mRecords) {
      for (int i = record.mLayers.mFrom; i < record.mLayers.mTo; i++) {
        held[static_cast<std::size_t>(i)] =
            held[static_cast<std::size_t>(i)] || record.mZone == aZone;
      }
    }
    return std::find(held.begin(), held.end(), false) == held.end();
  }
  std::vector<UpstreamRecord> mRecords;
};

/// Engines as in a zone of the users.
Engines Zone() {
  Engines engines;
  engines.Add("z", "fast", 1);
  engines.Add("z", "middle", 3);
  engines.Add("z", "slow", 8);
  return engines;
}

PathQuery Question(const EngineProfile& aProfile, const Engines& aEngines) {
  PathQuery question;
  question.mProfile = &aProfile;
  question.mZone = "z";
  question.mTokens = 1000;
  question.mPrefillTokens = 800;
  question.mAnswerTokens = 200;
  question.mEngines = aEngines.Views();
  question.mLoadOf = [](const std::string&) { return EngineLoad{}; };
  return question;
}

/// Each layer once and in order.
bool IsWhole(const LayerPath& aPath, int aLayers) {
  int reached = 0;
  std::set<std::string> used;
  for (const PathStage& part : aPath) {
    if (part.mLayers.mFrom != reached || part.mLayers.Count() <= 0 ||
        !used.insert(part.mInstance).second) {
      return false;
    }
    reached = part.mLayers.mTo;
  }
  return reached == aLayers;
}

}  // namespace

Test(layers, a_zone_gets_whole_rows_within_memory) {
  const EngineProfile profile = Profile();
  Engines engines = Zone();
  engines.Place(profile);
  CHECK(engines.Whole("z", profile.mLayers));
  for (const UpstreamRecord& record : engines.mRecords) {
    const EngineModel model(profile, *profile.FindKind(record.mKind));
    CHECK(record.mLayers.Count() > 0);
    CHECK(record.mLayers.Count() <= model.MaxLayers());
    CHECK(model.RequestCapacity(record.mLayers.Count()) > 0);
  }
  SECTION("what is placed stays where it is") {
    CHECK(engines.Place(profile) == 0);
  }
  SECTION("any one engine may go: the rest still holds all layers") {
    for (const UpstreamRecord& record : engines.mRecords) {
      Engines rest = engines;
      rest.Lose(record.mInstance);
      CHECK(rest.Whole("z", profile.mLayers));
    }
  }
}

Test(layers, an_engine_that_says_layers_beyond_the_model_is_placed_anew) {
  const EngineProfile profile = Profile();
  Engines engines;
  engines.Add("a", "fast", 12);
  while (engines.Place(profile) > 0) {
  }
  UpstreamRecord& stray = engines.mRecords.front();
  for (const LayerRange& said : {LayerRange{70, 90}, LayerRange{80, 9000}}) {
    stray.mLayers = said;
    const std::vector<LayerOrder> orders = PlanLayers(profile, engines.Views());
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].mInstance == stray.mInstance);
    CHECK(orders[0].mLayers.Count() > 0 && orders[0].mLayers.mTo <= 80);
  }
}

Test(layers, holes_are_closed_by_those_who_are_there) {
  const EngineProfile profile = Profile();
  Engines engines = Zone();
  engines.Place(profile);
  SECTION("any two engines may go, one after the other") {
    for (std::size_t i = 0; i < engines.mRecords.size(); i++) {
      for (std::size_t k = 0; k < i; k++) {
        Engines rest = engines;
        rest.Lose(engines.mRecords[i].mInstance);
        rest.Lose(engines.mRecords[k].mInstance);
        for (int step = 0; step < 6 && rest.Place(profile) > 0; step++) {
        }
        CHECK(rest.Whole("z", profile.mLayers));
      }
    }
  }
  SECTION("an engine that comes back empty gets layers again") {
    engines.mRecords[0].mLayers = {};
    CHECK(engines.Place(profile) == 1);
    CHECK(engines.mRecords[0].mLayers.Count() > 0);
  }
}

namespace {

/// Small cards: a zone holds the weights once and a half.
EngineProfile SmallCards() {
  EngineProfile profile = Profile();
  profile.mTokenBytes = 426000;
  profile.mCapacityTokens = 100000;
  profile.mKinds = {{"fast", 36000, 3.1, 3.2},
                    {"middle", 21600, 16, 8.2},
                    {"slow", 14400, 15, 15}};
  return profile;
}

Engines SmallZone() {
  Engines engines;
  engines.Add("z", "fast", 1);
  engines.Add("z", "middle", 7);
  engines.Add("z", "slow", 5);
  return engines;
}

/// Engines whose loss leaves the zone whole.
int CountSpared(const Engines& aEngines, int aLayers) {
  int spared = 0;
  for (const UpstreamRecord& record : aEngines.mRecords) {
    Engines rest = aEngines;
    rest.Lose(record.mInstance);
    spared += rest.Whole("z", aLayers) ? 1 : 0;
  }
  return spared;
}

/// Tokens for which the layer with the least room has some.
double LeastRoom(const EngineProfile& aProfile, const Engines& aEngines) {
  double least = 1e12;
  for (int layer = 0; layer < aProfile.mLayers; layer++) {
    double room = 0;
    for (const UpstreamRecord& record : aEngines.mRecords) {
      const EngineModel model(aProfile, *aProfile.FindKind(record.mKind));
      const LayerRange& layers = record.mLayers;
      if (layers.mFrom <= layer && layer < layers.mTo) {
        room += model.RequestCapacity(layers.Count()) / layers.Count();
      }
    }
    least = std::min(least, room);
  }
  return least;
}

}  // namespace

Test(layers,
     in_a_zone_that_holds_the_weights_once_and_a_half_engines_share_layers) {
  const EngineProfile profile = SmallCards();
  Engines engines = SmallZone();
  engines.Place(profile);
  CHECK(engines.Whole("z", profile.mLayers));
  // A row with cover for what is held least spares 5 of these 13.
  CHECK(CountSpared(engines, profile.mLayers) >= 7);
  CHECK(LeastRoom(profile, engines) >= 0.8 * profile.mCapacityTokens);
  SECTION("a hole is closed by as many spare engines as it needs") {
    // The one card with room for so many layers is lost.
    Engines rest = engines;
    rest.Lose(rest.mRecords.front().mInstance);
    CHECK(!rest.Whole("z", profile.mLayers));
    CHECK(rest.Place(profile) >= 2);
    CHECK(rest.Whole("z", profile.mLayers));
  }
  SECTION("an engine that comes back makes the zone worth more") {
    Engines rest = engines;
    rest.mRecords.back().mLayers = {};
    const int before = CountSpared(rest, profile.mLayers);
    CHECK(rest.Place(profile) == 1);
    CHECK(CountSpared(rest, profile.mLayers) > before);
  }
  SECTION("one loss after the other, each mended; nothing moves to and fro") {
    Engines rest = engines;
    for (int lost = 0; lost < 3; lost++) {
      rest.Lose(rest.mRecords[rest.mRecords.size() / 2].mInstance);
      int steps = 0;
      while (rest.Place(profile) > 0) {
        REQUIRE(++steps < 20);
      }
      CHECK(rest.Whole("z", profile.mLayers));
      CHECK(LeastRoom(profile, rest) >= 0.5 * profile.mCapacityTokens);
    }
  }
  SECTION("what cannot be whole is left with one hole, at an end") {
    // A path then goes over to another zone once; with two holes inside it
    // would four times, and the pipe between zones would be full.
    Engines rest = engines;
    while (rest.mRecords.size() > 6) {
      rest.Lose(rest.mRecords[rest.mRecords.size() / 2].mInstance);
      for (int step = 0; step < 20 && rest.Place(profile) > 0; step++) {
      }
    }
    CHECK(!rest.Whole("z", profile.mLayers));
    CHECK(rest.Place(profile) == 0);
    std::vector<bool> held(static_cast<std::size_t>(profile.mLayers), false);
    for (const UpstreamRecord& record : rest.mRecords) {
      for (int i = record.mLayers.mFrom; i < record.mLayers.mTo; i++) {
        held[static_cast<std::size_t>(i)] = true;
      }
    }
    int edges = 0;
    for (std::size_t i = 1; i < held.size(); i++) {
      edges += held[i] != held[i - 1] ? 1 : 0;
    }
    CHECK(edges <= 1);
  }
  SECTION("while an order is under way nothing else is moved") {
    // Two pairs hold the same layers: one engine of them has the layers of an
    // engine that is alone now to take.
    Engines rest = engines;
    std::vector<UpstreamRecord*> spares;
    for (UpstreamRecord& record : rest.mRecords) {
      Engines without = engines;
      without.Lose(record.mInstance);
      const bool spare =
          record.mKind == "middle" && without.Whole("z", profile.mLayers);
      if (spare) {
        spares.push_back(&record);
      }
    }
    REQUIRE(spares.size() >= 4);
    spares[1]->mLayers = spares[2]->mLayers;
    REQUIRE(rest.Whole("z", profile.mLayers));
    Engines busy = rest;
    busy.mRecords.front().mBusy = true;
    CHECK(busy.Place(profile) == 0);
    CHECK(rest.Place(profile) == 1);
  }
}

Test(layers, a_path_passes_each_layer_once_and_in_order) {
  const EngineProfile profile = Profile();
  Engines engines = Zone();
  engines.Add("other", "fast", 2);
  engines.Add("other", "middle", 2);
  engines.Place(profile);
  PathQuery question = Question(profile, engines);
  const PathResult answer = ChoosePath(question);
  CHECK(IsWhole(answer.mPath, profile.mLayers));
  SECTION("without one engine after the other") {
    for (const UpstreamRecord& record : engines.mRecords) {
      question.mExcludedEngines = {record.mInstance};
      const LayerPath path = ChoosePath(question).mPath;
      CHECK(IsWhole(path, profile.mLayers));
      for (const PathStage& part : path) {
        CHECK(part.mInstance != record.mInstance);
      }
    }
  }
  SECTION("full engines are passed by; where all are, that is said") {
    question.mExcludedEngines.clear();
    const std::string first = answer.mPath.front().mInstance;
    question.mLoadOf = [&](const std::string& aInstance) {
      return EngineLoad{.mTokenLayers = aInstance == first ? 1e12 : 0};
    };
    CHECK(ChoosePath(question).mPath.front().mInstance != first);
    question.mLoadOf = [](const std::string&) {
      return EngineLoad{.mTokenLayers = 1e12};
    };
    CHECK(ChoosePath(question).mPath.empty());
    CHECK(ChoosePath(question).mLacksRoom);
  }
  SECTION("where the own zone is full the whole path is in another") {
    // Found on the users' platform, grown: paths went over to another zone
    // midway, and the pipe between the zones held up all of them.
    const auto full = [&engines](const std::string& aInstance, int aFrom) {
      const UpstreamRecord* record = engines.Find(aInstance);
      const bool counts = record->mZone == "z" && record->mLayers.mTo > aFrom;
      return EngineLoad{.mTokenLayers = counts ? 1e12 : 0};
    };
    for (int from : {0, 40}) {
      question.mLoadOf = [&](const std::string& aInstance) {
        return full(aInstance, from);
      };
      const LayerPath path = ChoosePath(question).mPath;
      CHECK(IsWhole(path, profile.mLayers));
      for (const PathStage& part : path) {
        CHECK(engines.Find(part.mInstance)->mZone == "other");
      }
    }
  }
  SECTION("a path goes over midway only where it may") {
    // The own zone lacks the upper layers, the other one the lower.
    question.mLoadOf = [&engines](const std::string& aInstance) {
      const UpstreamRecord* record = engines.Find(aInstance);
      const bool upper = record->mLayers.mTo > 40;
      const bool full = upper == (record->mZone == "z");
      return EngineLoad{.mTokenLayers = full ? 1e12 : 0};
    };
    const PathResult over = ChoosePath(question);
    CHECK(over.mPath.empty() || over.mZoneCrossings == 1);
    question.mMayCrossZones = false;
    CHECK(ChoosePath(question).mPath.empty());
    CHECK(ChoosePath(question).mLacksRoom);
    question.mMayCrossZones = true;
  }
  SECTION("a part of the layers alone") {
    question.mLoadOf = [](const std::string&) { return EngineLoad{}; };
    question.mLayers = {20, 50};
    const LayerPath path = ChoosePath(question).mPath;
    REQUIRE(!path.empty());
    CHECK(path.front().mLayers.mFrom == 20 && path.back().mLayers.mTo == 50);
  }
}

Test(layers, the_model_follows_the_pages) {
  const EngineProfile profile = Profile();
  const EngineModel fast(profile, *profile.FindKind("fast"));
  CHECK(fast.MaxLayers() == 41);
  // 72,000 MB less 40 layers, at 11,475 bytes a token and layer.
  CHECK(std::abs(fast.RequestCapacity(40) - 2000e6 / 11475) < 1);
  CHECK(std::abs(fast.StepMillis(40, {}) - 0.5 * 2.4 * 1.02) < 1e-9);
  CHECK(std::abs(fast.LoadMillis(40) - 7000) < 1e-9);
}

Test(layers, the_pipe_between_zones_is_shared) {
  // Found on the users' platform, grown: paths that went over paused for half
  // a second and more, all others for a tenth.
  EngineProfile profile = Profile();
  profile.mPipeMbps = 10;
  profile.mActivationBytes = 1000;
  InterZoneBudget pipe({.mShare = 0.5, .mBurst = 1000});
  SECTION("a share for each router, and a debt is waited out") {
    // 5 Mbit/s for 10 routers: 0.5 Mbit in a second.
    CHECK(pipe.Allows(profile, 10, 0));
    pipe.Spend(profile, 125, 1);
    CHECK(!pipe.Allows(profile, 10, 900));
    CHECK(pipe.Allows(profile, 10, 1100));
  }
  SECTION("what stays in a zone costs nothing") {
    pipe.Spend(profile, 1e9, 0);
    CHECK(pipe.Allows(profile, 10, 1200));
  }
  SECTION("nothing is saved up beyond a burst") {
    CHECK(pipe.Allows(profile, 10, 100000));
    pipe.Spend(profile, 63, 1);
    CHECK(pipe.Allows(profile, 10, 101000));
    pipe.Spend(profile, 63, 1);
    CHECK(!pipe.Allows(profile, 10, 101000));
  }
}
