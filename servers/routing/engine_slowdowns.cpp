#include "spindleweir/servers/routing/engine_slowdowns.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace spindleweir {

namespace {

constexpr double kNormal = 1;
constexpr double kPercent = 100;
/// A pace that is told is not above this: what an engine says of itself is
/// read from outside.
constexpr double kMaxSlowdown = 100;
constexpr double kMillisPerSecond = 1000;
/// Questions in one look, so that what the first find spares others.
constexpr int kMaxPollsPerRound = 3;
/// An engine is not asked twice in this time by one router. Its report tells
/// how it was at the last question that is 200 ms old: the first question after
/// a while finds hardly any (411 reports within 150 ms, 13 of 98 engines slow
/// for 0.7 s: 3), the next one, 240 ms later, does.
constexpr Millis kMinPollInterval = 240;
/// For so long a question counts as a first one.
constexpr Millis kSecondPollWindow = 1000;
/// The part of the questions that is kept for second ones.
constexpr double kSecondPollReserve = 0.5;
/// Chance that an engine known to be slow is asked again in one look, by any
/// of the routers: looks are 20 ms apart, so that 2.5 questions a second go to
/// each whatever the number of routers, and it is used again about a second
/// after it is well.
constexpr double kRepollChance = 0.05;
/// A change of a pace below this part isn't news to those who divide paths.
constexpr double kMinSlowdownChange = 0.25;

}  // namespace

const char* NameOf(SlowdownSource aSource) {
  switch (aSource) {
    case SlowdownSource::kReport:
      return "word";
    case SlowdownSource::kPeers:
      return "news";
    case SlowdownSource::kStreams:
      return "streams";
  }
  return "";
}

void EngineSlowdowns::RecordOnTime(std::span<const std::string> aPath,
                                   Millis aFrom) {
  for (const std::string& instance : aPath) {
    Engine& engine = mEngines[instance];
    engine.mClearedFrom = std::max(engine.mClearedFrom, aFrom);
    engine.mLateStreams = 0;
    engine.mBlames = 0;
  }
}

void EngineSlowdowns::RecordLate(std::span<const std::string> aPath,
                                 Millis aFrom, Millis aNow) {
  std::vector<Engine*> suspects;
  for (const std::string& instance : aPath) {
    if (mSlowEngines.contains(instance)) {
      return;
    }
    Engine& engine = mEngines[instance];
    if (engine.mClearedFrom <= aFrom) {
      suspects.push_back(&engine);
    }
  }
  for (Engine* engine : suspects) {
    engine->mLateStreams++;
  }
  if (suspects.size() != 1) {
    return;
  }
  Engine& blamed = *suspects.front();
  const bool fresh =
      blamed.mBlames > 0 && aNow - blamed.mBlamedAt < mOptions.mBlameLifetime;
  blamed.mBlames = fresh ? blamed.mBlames + 1 : 1;
  blamed.mBlamedFrom = fresh ? blamed.mBlamedFrom : aFrom;
  blamed.mBlamedAt = aNow;
}

bool EngineSlowdowns::HasSlowReport(const Engine& aEngine, Millis aNow) const {
  return aEngine.mReportedAt >= 0 &&
         aEngine.mReportedSlowdown >= mOptions.mSlowThreshold &&
         aNow - aEngine.mReportedAt < mOptions.mReportLifetime;
}

bool EngineSlowdowns::IsKnownSlow(const std::string& aInstance,
                                  const Engine& aEngine, Millis aNow) const {
  return HasSlowReport(aEngine, aNow) || mPeerReports.contains(aInstance);
}

bool EngineSlowdowns::IsBlamed(const Engine& aEngine) const {
  return aEngine.mBlames >= mOptions.mMinBlamingStreams &&
         aEngine.mBlamedFrom >= aEngine.mReportedAt - mOptions.mReportLag;
}

int EngineSlowdowns::ReportersOf(const std::string& aInstance) const {
  const auto it = mPeerReports.find(aInstance);
  return it == mPeerReports.end() ? 0 : it->second.mReporters;
}

void EngineSlowdowns::RefillAllowance(Millis aNow) {
  const double gained = mRefilledAt < 0
                            ? mOptions.mPollBurst
                            : mOptions.mPollsPerSecond / kMillisPerSecond *
                                  static_cast<double>(aNow - mRefilledAt);
  mPollAllowance = std::min(mOptions.mPollBurst, mPollAllowance + gained);
  mRefilledAt = aNow;
}

bool EngineSlowdowns::IsRepollDue(
    const Engine& aEngine, Millis aNow, int aRouters,
    const std::function<double()>& aRandom) const {
  const bool isNew = aEngine.mReportedAt >= 0 &&
                     aNow - aEngine.mReportedAt < mOptions.mRepollDelay;
  return !isNew && aRandom() * std::max(1, aRouters) < kRepollChance;
}

std::vector<std::string> EngineSlowdowns::EnginesToPoll(
    Millis aNow, int aRouters, const std::function<double()>& aRandom) {
  RefillAllowance(aNow);
  std::vector<std::string> asked;
  std::vector<Suspect> suspects;
  for (auto& [instance, engine] : mEngines) {
    const bool justPolled =
        engine.mPolledAt >= 0 && aNow - engine.mPolledAt < kMinPollInterval;
    if (justPolled) {
      continue;
    }
    if (mSlowEngines.contains(instance) &&
        IsKnownSlow(instance, engine, aNow)) {
      if (IsRepollDue(engine, aNow, aRouters, aRandom)) {
        engine.mPolledAt = aNow;
        asked.push_back(instance);
      }
      continue;
    }
    const bool suspected = (engine.mLateStreams > 0 || IsBlamed(engine)) &&
                           aNow >= engine.mNoPollUntil;
    if (suspected) {
      // Routers that suspect the same engines begin with different ones.
      const bool second =
          engine.mPolledAt >= 0 && aNow - engine.mPolledAt <= kSecondPollWindow;
      suspects.push_back({second, engine.mLateStreams + aRandom(), instance});
    }
  }
  PollSuspects(std::move(suspects), aNow, asked);
  return asked;
}

void EngineSlowdowns::PollSuspects(std::vector<Suspect> aSuspects, Millis aNow,
                                   std::vector<std::string>& aPolled) {
  std::sort(aSuspects.rbegin(), aSuspects.rend());
  int left = kMaxPollsPerRound;
  for (const Suspect& suspect : aSuspects) {
    const double kept =
        suspect.mIsSecondPoll ? 0 : mOptions.mPollBurst * kSecondPollReserve;
    if (mPollAllowance < 1 + kept || left-- <= 0) {
      break;
    }
    mPollAllowance -= 1;
    Engine& engine = mEngines[suspect.mInstance];
    engine.mPolledAt = aNow;
    engine.mLateStreams = 0;
    aPolled.push_back(suspect.mInstance);
  }
}

void EngineSlowdowns::OnEngineReport(const std::string& aInstance,
                                     double aSlowdown, Millis aNow) {
  const double reported = std::clamp(aSlowdown, kNormal, kMaxSlowdown);
  if (reported >= mOptions.mSlowThreshold) {
    OnSlowReport(aInstance, reported, aNow);
  } else {
    OnNormalReport(aInstance, reported, aNow);
  }
}

void EngineSlowdowns::OnSlowReport(const std::string& aInstance,
                                   double aSlowdown, Millis aNow) {
  Engine& engine = mEngines[aInstance];
  const bool wasKnown = IsKnownSlow(aInstance, engine, aNow);
  const bool second =
      engine.mReportedAt >= 0 && aNow - engine.mReportedAt <= kSecondPollWindow;
  engine.mReportedAt = aNow;
  if (!wasKnown && !second) {
    // It may tell of the time of a question long ago: engines that had been
    // slow were judged so again 7 to 17 s after they were well.
    engine.mReportedSlowdown = kNormal;
    engine.mLateStreams++;
    engine.mNoPollUntil = aNow;
    return;
  }
  engine.mReportedSlowdown = aSlowdown;
  engine.mPollBackoff = 0;
  mPollAllowance =
      std::min(mOptions.mPollBurst,
               mPollAllowance + (wasKnown ? 0 : mOptions.mPollsPerSlowEngine));
}

void EngineSlowdowns::OnNormalReport(const std::string& aInstance,
                                     double aSlowdown, Millis aNow) {
  Engine& engine = mEngines[aInstance];
  const bool wasSlow =
      mSlowEngines.contains(aInstance) && IsKnownSlow(aInstance, engine, aNow);
  const bool reportedWell =
      engine.mHasRecovered &&
      engine.mReportedSlowdown < mOptions.mSlowThreshold &&
      aNow - engine.mReportedAt < mOptions.mReportLifetime;
  engine.mHasRecovered = wasSlow || reportedWell;
  engine.mRecoveredAt = engine.mHasRecovered ? aNow : engine.mRecoveredAt;
  engine.mReportedSlowdown = aSlowdown;
  engine.mReportedAt = aNow;
  mPeerReports.erase(aInstance);
  engine.mPollBackoff = std::clamp(
      engine.mPollBackoff * 2, mOptions.mPollBackoff, mOptions.mMaxPollBackoff);
  engine.mNoPollUntil = aNow + engine.mPollBackoff;
}

void EngineSlowdowns::ApplyPeerReports(const LoadShares& aOthers, Millis aNow) {
  for (const auto& [instance, share] : aOthers) {
    if (share.mRecoveryReporters > 0) {
      mPeerReports.erase(instance);
      Engine& engine = mEngines[instance];
      engine.mRecoveredAt = aNow;
      const bool isNew = aNow - engine.mReportedAt < mOptions.mRepollDelay;
      if (HasSlowReport(engine, aNow) && !isNew) {
        engine.mReportedSlowdown = kNormal;
      }
      continue;
    }
    const auto known = mEngines.find(instance);
    // Reports of before travel on for a while after one hears that it is well.
    const bool isOld = known != mEngines.end() &&
                       known->second.mRecoveredAt >= 0 &&
                       aNow - known->second.mRecoveredAt <
                           mOptions.mReportLifetime + mOptions.mPeerReportAge;
    if (share.mSlowdownReporters <= 0 || isOld) {
      continue;
    }
    const double mean = static_cast<double>(share.mSlowdownPercent) / kPercent /
                        static_cast<double>(share.mSlowdownReporters);
    mPeerReports[instance] = {
        .mSlowdown = std::clamp(mean, kNormal, kMaxSlowdown),
        .mReporters = static_cast<int>(share.mSlowdownReporters),
        .mReceivedAt = aNow};
  }
  std::erase_if(mPeerReports, [&](const auto& aItem) {
    return aNow - aItem.second.mReceivedAt >
           mOptions.mReportLifetime + mOptions.mFadeDuration;
  });
}

void EngineSlowdowns::AddReports(LoadShares& aLoads, Millis aNow) const {
  for (const auto& [instance, engine] : mEngines) {
    const bool holds = engine.mReportedAt >= 0 &&
                       aNow - engine.mReportedAt < mOptions.mReportLifetime;
    const bool slow = engine.mReportedSlowdown >= mOptions.mSlowThreshold;
    if (!holds || (!slow && !engine.mHasRecovered)) {
      continue;
    }
    LoadShare& share = aLoads[instance];
    share.mInstance = instance;
    if (!slow) {
      share.mRecoveryReporters = 1;
      continue;
    }
    share.mSlowdownPercent = std::llround(engine.mReportedSlowdown * kPercent);
    share.mSlowdownReporters = 1;
  }
}

double EngineSlowdowns::FadedSlowdown(double aSlowdown, Millis aAge,
                                      Millis aHolds) const {
  if (aAge <= aHolds) {
    return aSlowdown;
  }
  const double left = 1 - static_cast<double>(aAge - aHolds) /
                              static_cast<double>(mOptions.mFadeDuration);
  return kNormal + (aSlowdown - kNormal) * std::max(0.0, left);
}

SlowdownChange EngineSlowdowns::EvaluateEngine(const std::string& aInstance,
                                               const Engine& aEngine,
                                               Millis aNow) const {
  SlowdownChange judged{.mInstance = aInstance,
                        .mLateStreams = aEngine.mBlames};
  const Millis reportAge =
      aEngine.mReportedAt < 0 ? -1 : aNow - aEngine.mReportedAt;
  judged.mReportAge = reportAge;
  const auto news = mPeerReports.find(aInstance);
  judged.mReporters = ReportersOf(aInstance);
  if (reportAge >= 0) {
    judged.mSlowdown = aEngine.mReportedSlowdown >= mOptions.mSlowThreshold
                           ? FadedSlowdown(aEngine.mReportedSlowdown, reportAge,
                                           mOptions.mReportLifetime)
                           : kNormal;
  }
  // A report newer than what others tell goes before it.
  const bool isNew = reportAge >= 0 && reportAge < mOptions.mRepollDelay;
  if (!isNew && news != mPeerReports.end()) {
    const double told =
        FadedSlowdown(news->second.mSlowdown, aNow - news->second.mReceivedAt,
                      mOptions.mReportLifetime);
    judged.mSource =
        told > judged.mSlowdown ? SlowdownSource::kPeers : judged.mSource;
    judged.mSlowdown = std::max(told, judged.mSlowdown);
  }
  if (judged.mSlowdown < mOptions.mSlowThreshold && IsBlamed(aEngine)) {
    judged.mSlowdown =
        FadedSlowdown(mOptions.mBlamedSlowdown, aNow - aEngine.mBlamedAt,
                      mOptions.mBlameLifetime);
    judged.mSource = SlowdownSource::kStreams;
  }
  judged.mIsSlow = judged.mSlowdown >= mOptions.mSlowThreshold;
  return judged;
}

std::vector<SlowdownChange> EngineSlowdowns::Evaluate(Millis aNow) {
  for (const auto& [instance, news] : mPeerReports) {
    mEngines.try_emplace(instance);
  }
  std::vector<SlowdownChange> changes;
  for (auto& [instance, engine] : mEngines) {
    const bool quiet = engine.mReportedAt < 0 && engine.mBlames == 0 &&
                       !mSlowEngines.contains(instance) &&
                       !mPeerReports.contains(instance);
    if (quiet) {
      continue;
    }
    const SlowdownChange judged = EvaluateEngine(instance, engine, aNow);
    const auto it = mSlowEngines.find(instance);
    const bool wasSlow = it != mSlowEngines.end();
    if (wasSlow != judged.mIsSlow) {
      changes.push_back(judged);
    }
    const double before = wasSlow ? it->second : kNormal;
    const double after = judged.mIsSlow ? judged.mSlowdown : kNormal;
    mRevision += std::abs(after - before) > before * kMinSlowdownChange ? 1 : 0;
    if (judged.mIsSlow) {
      mSlowEngines[instance] = judged.mSlowdown;
      continue;
    }
    if (wasSlow) {
      mSlowEngines.erase(it);
      engine.mBlames = 0;
      engine.mLateStreams = 0;
    }
  }
  return changes;
}

double EngineSlowdowns::SlowdownOf(const std::string& aInstance) const {
  const auto it = mSlowEngines.find(aInstance);
  return it == mSlowEngines.end() ? kNormal : it->second;
}

void EngineSlowdowns::Forget(const std::string& aInstance) {
  mEngines.erase(aInstance);
  mPeerReports.erase(aInstance);
  mRevision += mSlowEngines.erase(aInstance) > 0 ? 1 : 0;
}

void EngineSlowdowns::ForgetIf(
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
