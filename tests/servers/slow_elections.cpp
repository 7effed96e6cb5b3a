#include "tests/servers/slow_elections.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// As on the controls.
constexpr Millis kElectionTimeout = 350;
constexpr Millis kHeartbeatInterval = 70;
constexpr Millis kTickInterval = 20;

constexpr Millis kMessageTime = 2;
constexpr Millis kStartSpread = 300;
/// When the power is back: a machine that has run for a while.
constexpr Millis kStart = 1000000;
constexpr Millis kLongestPlay = 120000;
constexpr std::size_t kChanges = 10;
constexpr std::size_t kChangesBeforeHang = 3;
constexpr std::int64_t kFirstTerm = 3;

}  // namespace

SlowElection::SlowElection(SlowElectionOptions aOptions)
    : mOptions(aOptions), mRandom(aOptions.mSeed), mNow(kStart) {
  for (int i = 0; i < mOptions.mVoters; i++) {
    mIds.push_back("v" + std::to_string(i));
  }
  for (int i = 0; i < mOptions.mRunning; i++) {
    mRunning.push_back(std::make_unique<Voter>());
    Voter& voter = *mRunning.back();
    voter.mId = mIds[static_cast<std::size_t>(i)];
    voter.mHangs =
        i == 0 && mOptions.mHangingDisk == HangingDisk::kFromTheStart;
    FillDisk(voter);
    std::uniform_int_distribution<Millis> spread(0, kStartSpread);
    const Millis opened = DrawSync() + DrawSync();
    At(kStart + spread(mRandom) + opened, [this, &voter] { Start(voter); });
  }
}

void SlowElection::FillDisk(Voter& aVoter) {
  // Some voters lack the last entry, so that not each can be elected.
  std::bernoulli_distribution lacks(0.3);
  std::vector<LogEntry> entries{{.mIndex = 2, .mTerm = 2, .mPayload = "old"},
                                {.mIndex = 3, .mTerm = 3, .mPayload = "old"}};
  if (lacks(mRandom) && aVoter.mId != mIds.front()) {
    entries.pop_back();
  }
  aVoter.mStorage.SaveSnapshot({.mIndex = 1, .mTerm = 1, .mVoters = mIds},
                               entries, {.mTerm = kFirstTerm});
  aVoter.mStorage.Sync(1);
  aVoter.mStorage.Crash(0);
}

void SlowElection::At(Millis aTime, std::function<void()> aDo) {
  mEvents.emplace(std::pair(aTime, ++mEventCount), std::move(aDo));
}

Millis SlowElection::DrawSync() {
  return std::uniform_int_distribution<Millis>(mOptions.mMinSync,
                                               mOptions.mMaxSync)(mRandom);
}

void SlowElection::Start(Voter& aVoter) {
  RaftOptions options;
  options.mId = aVoter.mId;
  options.mElectionTimeout = kElectionTimeout;
  options.mHeartbeatInterval = kHeartbeatInterval;
  options.mSeed = mRandom();
  options.mStorage = &aVoter.mStorage;
  options.mSend = [this, &aVoter](const RaftMessage& aMessage) {
    Send(aVoter, aMessage);
  };
  options.mApply = [this](const LogEntry& aEntry) {
    mChange.mIsCommitted =
        mChange.mIsCommitted || aEntry.mPayload == mChange.mPayload;
  };
  options.mMakeSnapshot = [] { return std::string(); };
  options.mInstallSnapshot = [](const std::string&) {};
  aVoter.mNode = std::make_unique<RaftNode>(std::move(options), mNow);
  Tick(aVoter);
}

void SlowElection::Tick(Voter& aVoter) {
  aVoter.mNode->Tick(mNow);
  BeginSync(aVoter);
  At(mNow + kTickInterval, [this, &aVoter] { Tick(aVoter); });
}

void SlowElection::Send(Voter& aFrom, const RaftMessage& aMessage) {
  At(mNow + kMessageTime, [this, &aFrom, aMessage] {
    const auto to = std::find_if(mRunning.begin(), mRunning.end(),
                                 [&aMessage](const auto& aVoter) {
                                   return aVoter->mId == aMessage.mTo;
                                 });
    if (to == mRunning.end() || (*to)->mNode == nullptr) {
      aFrom.mNode->OnSendFailed(aMessage.mTo, kMessageTime);
      return;
    }
    (*to)->mNode->Receive(aMessage, mNow);
    BeginSync(**to);
  });
}

void SlowElection::BeginSync(Voter& aVoter) {
  const std::size_t writes = aVoter.mStorage.Pending();
  if (aVoter.mIsSyncing || writes == 0) {
    return;
  }
  aVoter.mIsSyncing = true;
  At(std::max(mNow + DrawSync(), kStart + mOptions.mStall),
     [this, &aVoter, writes] {
       if (aVoter.mHangs) {
         return;
       }
       aVoter.mStorage.Sync(writes);
       aVoter.mIsSyncing = false;
       aVoter.mNode->OnStorageProgress(mNow);
       BeginSync(aVoter);
     });
}

SlowElection::Voter* SlowElection::Leader() {
  const auto it =
      std::find_if(mRunning.begin(), mRunning.end(), [](const auto& aVoter) {
        return aVoter->mNode != nullptr && aVoter->mNode->Leads();
      });
  return it == mRunning.end() ? nullptr : it->get();
}

std::int64_t SlowElection::HighestTerm() const {
  std::int64_t highest = kFirstTerm;
  for (const auto& voter : mRunning) {
    highest =
        std::max(highest, voter->mNode == nullptr ? 0 : voter->mNode->Term());
  }
  return highest;
}

void SlowElection::Watch() {
  if (!mResult.mLeaderAfter.has_value() && Leader() != nullptr) {
    mResult.mLeaderAfter = mNow - kStart;
    mResult.mTermsBegun = HighestTerm() - kFirstTerm;
  }
  if (mResult.mLeaderAfter.has_value()) {
    WatchChange();
  }
}

void SlowElection::WatchChange() {
  if (mChange.mIsCommitted) {
    mResult.mChanges.push_back(mNow - mChange.mSince);
    const bool hangs =
        mOptions.mHangingDisk == HangingDisk::kLeaderAmidChanges &&
        mResult.mChanges.size() == kChangesBeforeHang;
    if (hangs && Leader() != nullptr) {
      Leader()->mHangs = true;
    }
    mChange = {.mSince = mNow + mOptions.mPause};
  }
  if (mNow < mChange.mSince) {
    return;
  }
  if (mChange.mPayload.empty()) {
    mChange.mPayload = "c" + std::to_string(mResult.mChanges.size());
    mChange.mSince = mNow;
  }
  const bool isProposed = mChange.mLeader != nullptr &&
                          mChange.mLeader->mNode->Leads() &&
                          mChange.mLeader->mNode->Term() == mChange.mTerm;
  Voter* leader = Leader();
  if (!isProposed && leader != nullptr) {
    mChange.mLeader = leader;
    mChange.mTerm = leader->mNode->Term();
    leader->mNode->Propose(mChange.mPayload);
    BeginSync(*leader);
  }
}

SlowElectionResult SlowElection::Play() {
  while (!mEvents.empty() && mResult.mChanges.size() < kChanges) {
    const auto next = mEvents.begin();
    mNow = next->first.first;
    if (mNow > kStart + kLongestPlay) {
      break;
    }
    const std::function<void()> run = std::move(next->second);
    mEvents.erase(next);
    run();
    Watch();
  }
  mResult.mTermsInAll = HighestTerm() - kFirstTerm;
  return std::move(mResult);
}

}  // namespace spindleweir
