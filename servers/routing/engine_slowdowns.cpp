#include "spindleweir/servers/routing/engine_slowdowns.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace spindleweir {

namespace {

constexpr double kNormal = 1;
constexpr double kPercent = 100;
/// Upper bound of received slowdown factors, which come from other processes.
constexpr double kMaxSlowdown = 100;
constexpr double kMillisPerSecond = 1000;
/// Polls per call of EnginesToPoll(): the first results may make others
/// needless.
constexpr int kMaxPollsPerRound = 3;
/// Minimum time between two polls of an engine by one router. An engine's
/// report describes its state at the last poll that is at least 200 ms old. The
/// first poll after a while therefore detects hardly any slow engine (3 of 98
/// when 13 were slow for 0.7 s, with 411 reports within 150 ms); the next poll,
/// 240 ms later, does.
constexpr Millis kMinPollInterval = 240;
/// A poll within this time after the previous one counts as a second poll.
constexpr Millis kSecondPollWindow = 1000;
/// Share of the poll burst that is reserved for second polls.
constexpr double kSecondPollReserve = 0.5;
/// Probability that any of the routers polls a known slow engine in one round.
/// Rounds are 20 ms apart, so that each such engine gets 2.5 polls per second
/// for any number of routers, and is used again about a second after it
/// recovered.
constexpr double kRepollChance = 0.05;
/// Relative change of a slowdown factor from which on paths are divided again.
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
  const bool isFresh =
      blamed.mBlames > 0 && aNow - blamed.mBlamedAt < mOptions.mBlameLifetime;
  blamed.mBlames = isFresh ? blamed.mBlames + 1 : 1;
  blamed.mBlamedFrom = isFresh ? blamed.mBlamedFrom : aFrom;
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
  const bool isRecent = aEngine.mReportedAt >= 0 &&
                        aNow - aEngine.mReportedAt < mOptions.mRepollDelay;
  return !isRecent && aRandom() * std::max(1, aRouters) < kRepollChance;
}

std::vector<std::string> EngineSlowdowns::EnginesToPoll(
    Millis aNow, int aRouters, const std::function<double()>& aRandom) {
  RefillAllowance(aNow);
  std::vector<std::string> polled;
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
        polled.push_back(instance);
      }
      continue;
    }
    const bool suspected = (engine.mLateStreams > 0 || IsBlamed(engine)) &&
                           aNow >= engine.mNoPollUntil;
    if (suspected) {
      // Random order: routers that suspect the same engines begin with
      // different ones.
      const bool isSecondPoll =
          engine.mPolledAt >= 0 && aNow - engine.mPolledAt <= kSecondPollWindow;
      suspects.push_back(
          {isSecondPoll, engine.mLateStreams + aRandom(), instance});
    }
  }
  PollSuspects(std::move(suspects), aNow, polled);
  return polled;
}

void EngineSlowdowns::PollSuspects(std::vector<Suspect> aSuspects, Millis aNow,
                                   std::vector<std::string>& aPolled) {
  std::sort(aSuspects.rbegin(), aSuspects.rend());
  int left = kMaxPollsPerRound;
  for (const Suspect& suspect : aSuspects) {
    const double reserved =
        suspect.mIsSecondPoll ? 0 : mOptions.mPollBurst * kSecondPollReserve;
    if (mPollAllowance < 1 + reserved || left-- <= 0) {
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
  const bool isSecondPoll =
      engine.mReportedAt >= 0 && aNow - engine.mReportedAt <= kSecondPollWindow;
  engine.mReportedAt = aNow;
  if (!wasKnown && !isSecondPoll) {
    // Ignored and polled again: the first report may describe the time of a
    // much earlier poll, and engines would count as slow again 7 to 17 s after
    // their recovery.
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
  const bool reportedNormal =
      engine.mHasRecovered &&
      engine.mReportedSlowdown < mOptions.mSlowThreshold &&
      aNow - engine.mReportedAt < mOptions.mReportLifetime;
  engine.mHasRecovered = wasSlow || reportedNormal;
  engine.mRecoveredAt = engine.mHasRecovered ? aNow : engine.mRecoveredAt;
  engine.mReportedSlowdown = aSlowdown;
  engine.mReportedAt = aNow;
  mPeerReports.erase(aInstance);
  engine.mPollBackoff = std::clamp(
      engine.mPollBackoff * 2, mOptions.mPollBackoff, mOptions.mMaxPollBackoff);
  engine.mNoPollUntil = aNow + engine.mPollBackoff;
}

void EngineSlowdowns::ApplyPeerReports(const LoadShares& aPeerLoads,
                                       Millis aNow) {
  for (const auto& [instance, share] : aPeerLoads) {
    if (share.mRecoveryReporters > 0) {
      mPeerReports.erase(instance);
      Engine& engine = mEngines[instance];
      engine.mRecoveredAt = aNow;
      const bool isRecent = aNow - engine.mReportedAt < mOptions.mRepollDelay;
      if (HasSlowReport(engine, aNow) && !isRecent) {
        engine.mReportedSlowdown = kNormal;
      }
      continue;
    }
    const auto known = mEngines.find(instance);
    // Peer reports from before a recovery arrive for a while after it.
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
    const bool isValid = engine.mReportedAt >= 0 &&
                         aNow - engine.mReportedAt < mOptions.mReportLifetime;
    const bool slow = engine.mReportedSlowdown >= mOptions.mSlowThreshold;
    if (!isValid || (!slow && !engine.mHasRecovered)) {
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
                                      Millis aLifetime) const {
  if (aAge <= aLifetime) {
    return aSlowdown;
  }
  const double left = 1 - static_cast<double>(aAge - aLifetime) /
                              static_cast<double>(mOptions.mFadeDuration);
  return kNormal + (aSlowdown - kNormal) * std::max(0.0, left);
}

SlowdownChange EngineSlowdowns::EvaluateEngine(const std::string& aInstance,
                                               const Engine& aEngine,
                                               Millis aNow) const {
  SlowdownChange change{.mInstance = aInstance,
                        .mLateStreams = aEngine.mBlames};
  const Millis reportAge =
      aEngine.mReportedAt < 0 ? -1 : aNow - aEngine.mReportedAt;
  change.mReportAge = reportAge;
  const auto peers = mPeerReports.find(aInstance);
  change.mReporters = ReportersOf(aInstance);
  if (reportAge >= 0) {
    change.mSlowdown = aEngine.mReportedSlowdown >= mOptions.mSlowThreshold
                           ? FadedSlowdown(aEngine.mReportedSlowdown, reportAge,
                                           mOptions.mReportLifetime)
                           : kNormal;
  }
  // A recent local report takes precedence over peer reports.
  const bool isRecent = reportAge >= 0 && reportAge < mOptions.mRepollDelay;
  if (!isRecent && peers != mPeerReports.end()) {
    const double reported =
        FadedSlowdown(peers->second.mSlowdown, aNow - peers->second.mReceivedAt,
                      mOptions.mReportLifetime);
    change.mSource =
        reported > change.mSlowdown ? SlowdownSource::kPeers : change.mSource;
    change.mSlowdown = std::max(reported, change.mSlowdown);
  }
  if (change.mSlowdown < mOptions.mSlowThreshold && IsBlamed(aEngine)) {
    change.mSlowdown =
        FadedSlowdown(mOptions.mBlamedSlowdown, aNow - aEngine.mBlamedAt,
                      mOptions.mBlameLifetime);
    change.mSource = SlowdownSource::kStreams;
  }
  change.mIsSlow = change.mSlowdown >= mOptions.mSlowThreshold;
  return change;
}

std::vector<SlowdownChange> EngineSlowdowns::Evaluate(Millis aNow) {
  for (const auto& [instance, peers] : mPeerReports) {
    mEngines.try_emplace(instance);
  }
  std::vector<SlowdownChange> changes;
  for (auto& [instance, engine] : mEngines) {
    const bool isUnremarkable = engine.mReportedAt < 0 && engine.mBlames == 0 &&
                                !mSlowEngines.contains(instance) &&
                                !mPeerReports.contains(instance);
    if (isUnremarkable) {
      continue;
    }
    const SlowdownChange change = EvaluateEngine(instance, engine, aNow);
    const auto it = mSlowEngines.find(instance);
    const bool wasSlow = it != mSlowEngines.end();
    if (wasSlow != change.mIsSlow) {
      changes.push_back(change);
    }
    const double before = wasSlow ? it->second : kNormal;
    const double after = change.mIsSlow ? change.mSlowdown : kNormal;
    mRevision += std::abs(after - before) > before * kMinSlowdownChange ? 1 : 0;
    if (change.mIsSlow) {
      mSlowEngines[instance] = change.mSlowdown;
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
