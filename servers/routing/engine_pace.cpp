#include "spindleweir/servers/routing/engine_pace.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace spindleweir {

namespace {

constexpr double kWell = 1;
constexpr double kPercent = 100;
/// A pace that is told is not above this: what an engine says of itself is
/// read from outside.
constexpr double kMostPace = 100;
constexpr double kMillisPerSecond = 1000;
/// Questions in one look, so that what the first find spares others.
constexpr int kMostAtOnce = 3;
/// An engine is not asked twice in this time by one router. Its report tells
/// how it was at the last question that is 200 ms old: the first question after
/// a while finds hardly any (411 reports within 150 ms, 13 of 98 engines slow
/// for 0.7 s: 3), the next one, 240 ms later, does.
constexpr Millis kAskGap = 240;
/// For so long a question counts as a first one.
constexpr Millis kSecondWithin = 1000;
/// The part of the questions that is kept for second ones.
constexpr double kForSecond = 0.5;
/// Chance that an engine known to be slow is asked again in one look, by any
/// of the routers: looks are 20 ms apart, so that 2.5 questions a second go to
/// each whatever the number of routers, and it is used again about a second
/// after it is well.
constexpr double kAgainChance = 0.05;
/// A change of a pace below this part isn't news to those who divide paths.
constexpr double kSamePace = 0.25;

}  // namespace

const char* NameOf(PaceSource aSource) {
  switch (aSource) {
    case PaceSource::kReport:
      return "word";
    case PaceSource::kNews:
      return "news";
    case PaceSource::kStreams:
      return "streams";
  }
  return "";
}

void EnginePaces::RecordOnTime(std::span<const std::string> aPath,
                               Millis aFrom) {
  for (const std::string& instance : aPath) {
    Engine& engine = mEngines[instance];
    engine.mClearedFrom = std::max(engine.mClearedFrom, aFrom);
    engine.mSuspicion = 0;
    engine.mBlames = 0;
  }
}

void EnginePaces::RecordLate(std::span<const std::string> aPath, Millis aFrom,
                             Millis aNow) {
  std::vector<Engine*> suspects;
  for (const std::string& instance : aPath) {
    if (mSlow.contains(instance)) {
      return;
    }
    Engine& engine = mEngines[instance];
    if (engine.mClearedFrom <= aFrom) {
      suspects.push_back(&engine);
    }
  }
  for (Engine* engine : suspects) {
    engine->mSuspicion++;
  }
  if (suspects.size() != 1) {
    return;
  }
  Engine& blamed = *suspects.front();
  const bool fresh =
      blamed.mBlames > 0 && aNow - blamed.mBlamedAt < mOptions.mBlameHolds;
  blamed.mBlames = fresh ? blamed.mBlames + 1 : 1;
  blamed.mBlamedFrom = fresh ? blamed.mBlamedFrom : aFrom;
  blamed.mBlamedAt = aNow;
}

bool EnginePaces::HoldsSlowReport(const Engine& aEngine, Millis aNow) const {
  return aEngine.mReportedAt >= 0 &&
         aEngine.mReportedPace >= mOptions.mSlowFrom &&
         aNow - aEngine.mReportedAt < mOptions.mReportHolds;
}

bool EnginePaces::IsKnownSlow(const std::string& aInstance,
                              const Engine& aEngine, Millis aNow) const {
  return HoldsSlowReport(aEngine, aNow) || mNews.contains(aInstance);
}

bool EnginePaces::IsBlamed(const Engine& aEngine) const {
  return aEngine.mBlames >= mOptions.mWitnesses &&
         aEngine.mBlamedFrom >= aEngine.mReportedAt - mOptions.mReportLag;
}

int EnginePaces::TellersOf(const std::string& aInstance) const {
  const auto it = mNews.find(aInstance);
  return it == mNews.end() ? 0 : it->second.mTellers;
}

void EnginePaces::Refill(Millis aNow) {
  const double gained = mRefilledAt < 0
                            ? mOptions.mBurst
                            : mOptions.mPerSecond / kMillisPerSecond *
                                  static_cast<double>(aNow - mRefilledAt);
  mAllowance = std::min(mOptions.mBurst, mAllowance + gained);
  mRefilledAt = aNow;
}

bool EnginePaces::IsDueAgain(const Engine& aEngine, Millis aNow, int aRouters,
                             const std::function<double()>& aRandom) const {
  const bool isNew = aEngine.mReportedAt >= 0 &&
                     aNow - aEngine.mReportedAt < mOptions.mAskAgain;
  return !isNew && aRandom() * std::max(1, aRouters) < kAgainChance;
}

std::vector<std::string> EnginePaces::ToAsk(
    Millis aNow, int aRouters, const std::function<double()>& aRandom) {
  Refill(aNow);
  std::vector<std::string> asked;
  std::vector<Suspect> suspects;
  for (auto& [instance, engine] : mEngines) {
    const bool justAsked =
        engine.mAskedAt >= 0 && aNow - engine.mAskedAt < kAskGap;
    if (justAsked) {
      continue;
    }
    if (mSlow.contains(instance) && IsKnownSlow(instance, engine, aNow)) {
      if (IsDueAgain(engine, aNow, aRouters, aRandom)) {
        engine.mAskedAt = aNow;
        asked.push_back(instance);
      }
      continue;
    }
    const bool suspected = (engine.mSuspicion > 0 || IsBlamed(engine)) &&
                           aNow >= engine.mQuietUntil;
    if (suspected) {
      // Routers that suspect the same engines begin with different ones.
      const bool second =
          engine.mAskedAt >= 0 && aNow - engine.mAskedAt <= kSecondWithin;
      suspects.push_back({second, engine.mSuspicion + aRandom(), instance});
    }
  }
  AskSuspects(std::move(suspects), aNow, asked);
  return asked;
}

void EnginePaces::AskSuspects(std::vector<Suspect> aSuspects, Millis aNow,
                              std::vector<std::string>& aAsked) {
  std::sort(aSuspects.rbegin(), aSuspects.rend());
  int left = kMostAtOnce;
  for (const Suspect& suspect : aSuspects) {
    const double kept = suspect.mIsSecond ? 0 : mOptions.mBurst * kForSecond;
    if (mAllowance < 1 + kept || left-- <= 0) {
      break;
    }
    mAllowance -= 1;
    Engine& engine = mEngines[suspect.mInstance];
    engine.mAskedAt = aNow;
    engine.mSuspicion = 0;
    aAsked.push_back(suspect.mInstance);
  }
}

void EnginePaces::TakeReport(const std::string& aInstance, double aPace,
                             Millis aNow) {
  const double reported = std::clamp(aPace, kWell, kMostPace);
  if (reported >= mOptions.mSlowFrom) {
    TakeSlowReport(aInstance, reported, aNow);
  } else {
    TakeWellReport(aInstance, reported, aNow);
  }
}

void EnginePaces::TakeSlowReport(const std::string& aInstance, double aPace,
                                 Millis aNow) {
  Engine& engine = mEngines[aInstance];
  const bool wasKnown = IsKnownSlow(aInstance, engine, aNow);
  const bool second =
      engine.mReportedAt >= 0 && aNow - engine.mReportedAt <= kSecondWithin;
  engine.mReportedAt = aNow;
  if (!wasKnown && !second) {
    // It may tell of the time of a question long ago: engines that had been
    // slow were judged so again 7 to 17 s after they were well.
    engine.mReportedPace = kWell;
    engine.mSuspicion++;
    engine.mQuietUntil = aNow;
    return;
  }
  engine.mReportedPace = aPace;
  engine.mQuiet = 0;
  mAllowance =
      std::min(mOptions.mBurst, mAllowance + (wasKnown ? 0 : mOptions.mFound));
}

void EnginePaces::TakeWellReport(const std::string& aInstance, double aPace,
                                 Millis aNow) {
  Engine& engine = mEngines[aInstance];
  const bool wasSlow =
      mSlow.contains(aInstance) && IsKnownSlow(aInstance, engine, aNow);
  const bool reportedWell = engine.mWasSlow &&
                            engine.mReportedPace < mOptions.mSlowFrom &&
                            aNow - engine.mReportedAt < mOptions.mReportHolds;
  engine.mWasSlow = wasSlow || reportedWell;
  engine.mWellAt = engine.mWasSlow ? aNow : engine.mWellAt;
  engine.mReportedPace = aPace;
  engine.mReportedAt = aNow;
  mNews.erase(aInstance);
  engine.mQuiet =
      std::clamp(engine.mQuiet * 2, mOptions.mQuiet, mOptions.mMostQuiet);
  engine.mQuietUntil = aNow + engine.mQuiet;
}

void EnginePaces::TakeNews(const LoadShares& aOthers, Millis aNow) {
  for (const auto& [instance, share] : aOthers) {
    if (share.mWellTellers > 0) {
      mNews.erase(instance);
      Engine& engine = mEngines[instance];
      engine.mWellAt = aNow;
      const bool isNew = aNow - engine.mReportedAt < mOptions.mAskAgain;
      if (HoldsSlowReport(engine, aNow) && !isNew) {
        engine.mReportedPace = kWell;
      }
      continue;
    }
    const auto known = mEngines.find(instance);
    // Reports of before travel on for a while after one hears that it is well.
    const bool isOld = known != mEngines.end() && known->second.mWellAt >= 0 &&
                       aNow - known->second.mWellAt <
                           mOptions.mReportHolds + mOptions.mNewsAge;
    if (share.mPaceTellers <= 0 || isOld) {
      continue;
    }
    const double mean = static_cast<double>(share.mPacePercent) / kPercent /
                        static_cast<double>(share.mPaceTellers);
    mNews[instance] = {.mPace = std::clamp(mean, kWell, kMostPace),
                       .mTellers = static_cast<int>(share.mPaceTellers),
                       .mHeardAt = aNow};
  }
  std::erase_if(mNews, [&](const auto& aItem) {
    return aNow - aItem.second.mHeardAt >
           mOptions.mReportHolds + mOptions.mFade;
  });
}

void EnginePaces::Tell(LoadShares& aLoads, Millis aNow) const {
  for (const auto& [instance, engine] : mEngines) {
    const bool holds = engine.mReportedAt >= 0 &&
                       aNow - engine.mReportedAt < mOptions.mReportHolds;
    const bool slow = engine.mReportedPace >= mOptions.mSlowFrom;
    if (!holds || (!slow && !engine.mWasSlow)) {
      continue;
    }
    LoadShare& share = aLoads[instance];
    share.mInstance = instance;
    if (!slow) {
      share.mWellTellers = 1;
      continue;
    }
    share.mPacePercent = std::llround(engine.mReportedPace * kPercent);
    share.mPaceTellers = 1;
  }
}

double EnginePaces::Faded(double aPace, Millis aAge, Millis aHolds) const {
  if (aAge <= aHolds) {
    return aPace;
  }
  const double left = 1 - static_cast<double>(aAge - aHolds) /
                              static_cast<double>(mOptions.mFade);
  return kWell + (aPace - kWell) * std::max(0.0, left);
}

PaceChange EnginePaces::JudgeOne(const std::string& aInstance,
                                 const Engine& aEngine, Millis aNow) const {
  PaceChange judged{.mInstance = aInstance, .mLate = aEngine.mBlames};
  const Millis reportAge =
      aEngine.mReportedAt < 0 ? -1 : aNow - aEngine.mReportedAt;
  judged.mReportAge = reportAge;
  const auto news = mNews.find(aInstance);
  judged.mTellers = TellersOf(aInstance);
  if (reportAge >= 0) {
    judged.mPace =
        aEngine.mReportedPace >= mOptions.mSlowFrom
            ? Faded(aEngine.mReportedPace, reportAge, mOptions.mReportHolds)
            : kWell;
  }
  // A report newer than what others tell goes before it.
  const bool isNew = reportAge >= 0 && reportAge < mOptions.mAskAgain;
  if (!isNew && news != mNews.end()) {
    const double told = Faded(news->second.mPace, aNow - news->second.mHeardAt,
                              mOptions.mReportHolds);
    judged.mSource = told > judged.mPace ? PaceSource::kNews : judged.mSource;
    judged.mPace = std::max(told, judged.mPace);
  }
  if (judged.mPace < mOptions.mSlowFrom && IsBlamed(aEngine)) {
    judged.mPace = Faded(mOptions.mBlamedPace, aNow - aEngine.mBlamedAt,
                         mOptions.mBlameHolds);
    judged.mSource = PaceSource::kStreams;
  }
  judged.mSlow = judged.mPace >= mOptions.mSlowFrom;
  return judged;
}

std::vector<PaceChange> EnginePaces::Judge(Millis aNow) {
  for (const auto& [instance, news] : mNews) {
    mEngines.try_emplace(instance);
  }
  std::vector<PaceChange> changes;
  for (auto& [instance, engine] : mEngines) {
    const bool quiet = engine.mReportedAt < 0 && engine.mBlames == 0 &&
                       !mSlow.contains(instance) && !mNews.contains(instance);
    if (quiet) {
      continue;
    }
    const PaceChange judged = JudgeOne(instance, engine, aNow);
    const auto it = mSlow.find(instance);
    const bool wasSlow = it != mSlow.end();
    if (wasSlow != judged.mSlow) {
      changes.push_back(judged);
    }
    const double before = wasSlow ? it->second : kWell;
    const double after = judged.mSlow ? judged.mPace : kWell;
    mRevision += std::abs(after - before) > before * kSamePace ? 1 : 0;
    if (judged.mSlow) {
      mSlow[instance] = judged.mPace;
      continue;
    }
    if (wasSlow) {
      mSlow.erase(it);
      engine.mBlames = 0;
      engine.mSuspicion = 0;
    }
  }
  return changes;
}

double EnginePaces::PaceOf(const std::string& aInstance) const {
  const auto it = mSlow.find(aInstance);
  return it == mSlow.end() ? kWell : it->second;
}

void EnginePaces::Forget(const std::string& aInstance) {
  mEngines.erase(aInstance);
  mNews.erase(aInstance);
  mRevision += mSlow.erase(aInstance) > 0 ? 1 : 0;
}

void EnginePaces::ForgetAll(
    const std::function<bool(const std::string&)>& aIsGone) {
  std::vector<std::string> gone;
  for (const auto& [instance, engine] : mEngines) {
    if (aIsGone(instance)) {
      gone.push_back(instance);
    }
  }
  for (const std::string& instance : gone) {
    Forget(instance);
  }
}

}  // namespace spindleweir
