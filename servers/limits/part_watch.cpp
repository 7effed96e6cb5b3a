#include "spindleweir/servers/limits/part_watch.h"

#include <algorithm>
#include <utility>

#include "spindleweir/core/digest.h"

namespace spindleweir {

namespace {

constexpr std::size_t kRoundsToBar = CrashLedgerOptions().mRoundsToBarPart;

}  // namespace

PartWatch::PartWatch(CrashLedger& aLedger, std::string aObserver,
                     PendingHook aIsPending, PartWatchOptions aOptions)
    : mLedger(aLedger),
      mObserver(std::move(aObserver)),
      mIsPending(std::move(aIsPending)),
      mOptions(aOptions),
      mAnsweredAt(aOptions.mMaxAnsweredParts) {}

bool PartWatch::IsProven(const std::string& aPart) const {
  return mAnsweredAt.Find(aPart).has_value() || mLedger.IsProven(aPart);
}

bool PartWatch::HasUnproven(std::span<const std::string> aParts) const {
  return std::any_of(
      aParts.begin(), aParts.end(),
      [this](const std::string& aPart) { return !IsProven(aPart); });
}

PartDecision PartWatch::Decide(std::span<const std::string> aParts,
                               Millis aNow) const {
  const Prompt prompt{
      .mParts = aParts,
      .mSuspects = mWaiting.empty() ? 0 : SuspectsOf(aParts, aNow).size()};
  PartDecision decision = PartDecision::kRun;
  for (const std::string& part : aParts) {
    decision = std::max(decision, DecideOne(part, prompt, aNow));
  }
  return decision;
}

PartDecision PartWatch::DecideOne(const std::string& aPart,
                                  const Prompt& aPrompt, Millis aNow) const {
  const std::vector<OpenCrash> crashes = mLedger.OpenCrashes(aPart);
  const bool isProven = IsProven(aPart);
  if (crashes.empty()) {
    const bool waits = !isProven && mIsPending(aPart, aNow);
    return waits ? PartDecision::kWait : PartDecision::kRun;
  }
  std::size_t rounds = CrashRounds(crashes);
  if (isProven) {
    // Answers that began since the latest crashes may not be known here yet.
    const auto settled = std::partition_point(
        crashes.begin(), crashes.end(), [&](const OpenCrash& aCrash) {
          return aNow - aCrash.mAt >= mOptions.mExcuseTime;
        });
    rounds = CrashRounds({crashes.begin(), settled});
    if (rounds < kRoundsToBar) {
      return PartDecision::kRun;
    }
  }
  if (rounds < kRoundsToBar ||
      mLedger.IsExplainedByOthers(aPart, aPrompt.mParts)) {
    return DecideSuspect(aPart, aPrompt, crashes.back(), aNow);
  }
  return DecideBarred(aPart, crashes.back(), rounds, aNow);
}

bool PartWatch::IsLearning(Millis aNow) const {
  return !mFirstAnswerAt.has_value() ||
         aNow - *mFirstAnswerAt < mOptions.mLearningTime;
}

bool PartWatch::IsBusy(const std::string& aPart, Millis aNow) const {
  return mTrials.contains(aPart) || mIsPending(aPart, aNow);
}

Millis PartWatch::OthersDelay(const OpenCrash& aCrash) const {
  const auto spread = static_cast<std::uint64_t>(mOptions.mOthersTrialDelay);
  return mOptions.mOthersTrialDelay +
         static_cast<Millis>(FastHash(mObserver + aCrash.mIncarnation) %
                             spread);
}

std::set<std::string> PartWatch::SuspectsOf(std::span<const std::string> aParts,
                                            Millis aNow) const {
  std::set<std::string> suspects;
  for (const std::string& part : aParts) {
    if (!IsProven(part) &&
        (mIsPending(part, aNow) || mLedger.UnexcusedCrashes(part) > 0)) {
      suspects.insert(part);
    }
  }
  return suspects;
}

bool PartWatch::IsNarrowerWaiting(const std::string& aPart,
                                  const Prompt& aPrompt) const {
  return std::any_of(
      mWaiting.begin(), mWaiting.end(), [&](const auto& aWaiting) {
        const std::set<std::string>& suspects = aWaiting.second;
        return suspects.size() < aPrompt.mSuspects && suspects.contains(aPart);
      });
}

PartDecision PartWatch::DecideSuspect(const std::string& aPart,
                                      const Prompt& aPrompt,
                                      const OpenCrash& aLastCrash,
                                      Millis aNow) const {
  if (IsLearning(aNow)) {
    return PartDecision::kRun;
  }
  const Millis delay = aLastCrash.mObserver == mObserver
                           ? mOptions.mTrialDelay
                           : OthersDelay(aLastCrash);
  const bool may = aNow - aLastCrash.mAt >= delay && !IsBusy(aPart, aNow) &&
                   !IsNarrowerWaiting(aPart, aPrompt);
  return may ? PartDecision::kTry : PartDecision::kWait;
}

PartDecision PartWatch::DecideBarred(const std::string& aPart,
                                     const OpenCrash& aLastCrash,
                                     std::size_t aRounds, Millis aNow) const {
  const std::size_t failedTrials = aRounds - kRoundsToBar;
  if (aLastCrash.mObserver != mObserver || IsBusy(aPart, aNow) ||
      failedTrials >= mOptions.mMaxBarredTrials) {
    return PartDecision::kBarred;
  }
  Millis delay = mOptions.mBarredTrialDelay;
  for (std::size_t i = 0; i < failedTrials; i++) {
    delay *= mOptions.mBarredTrialFactor;
  }
  return aNow - aLastCrash.mAt >= delay ? PartDecision::kTry
                                        : PartDecision::kBarred;
}

bool PartWatch::OnWaitStarted(const void* aRequest,
                              std::span<const std::string> aParts,
                              Millis aNow) {
  if (mWaiting.size() >= mOptions.mMaxWaiting) {
    return false;
  }
  mWaiting[aRequest] = SuspectsOf(aParts, aNow);
  return true;
}

void PartWatch::OnWaitEnded(const void* aRequest) {
  mWaiting.erase(aRequest);
}

void PartWatch::OnTrialStarted(std::span<const std::string> aParts) {
  for (const std::string& part : aParts) {
    mTrials[part]++;
  }
}

void PartWatch::OnTrialEnded(std::span<const std::string> aParts) {
  for (const std::string& part : aParts) {
    const auto it = mTrials.find(part);
    if (it != mTrials.end() && --it->second == 0) {
      mTrials.erase(it);
    }
  }
}

void PartWatch::OnAnswered(std::span<const std::string> aParts, Millis aBegunAt,
                           Millis aNow) {
  if (!aParts.empty() && !mFirstAnswerAt.has_value()) {
    mFirstAnswerAt = aBegunAt;
  }
  for (const std::string& part : aParts) {
    mAnsweredAt.Record(part, aBegunAt);
    OnPeerRecord(part, aNow);
  }
}

void PartWatch::OnCrashRecorded(const std::string& aPart, Millis aNow) {
  if (!IsProven(aPart) && mOnNews) {
    mOnNews();
  }
  OnPeerRecord(aPart, aNow);
}

void PartWatch::OnPeerRecord(const std::string& aPart, Millis aNow) {
  const std::optional<Millis> answered = mAnsweredAt.Find(aPart);
  if (!answered.has_value()) {
    return;
  }
  const bool wasHeldUp = mLedger.UnexcusedCrashes(aPart) > 0 &&
                         (!mLedger.IsProven(aPart) || mLedger.IsBarred(aPart));
  mLedger.MarkProven(aPart, aNow);
  mLedger.Excuse(aPart, *answered, aNow);
  if (wasHeldUp && mOnNews) {
    mOnNews();
  }
}

}  // namespace spindleweir
