#include <algorithm>
#include <limits>
#include <memory>
#include <random>

#include "spindleweir/servers/consensus/raft_node.h"
#include "spindleweir/servers/limits/retry_detector.h"
#include "spindleweir/servers/limits/retry_schedule.h"
#include "spindleweir/servers/limits/warm_up_admission.h"
#include "spindleweir/servers/membership/poll_schedule.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

/// A disk that takes no time.
class QuickStorage : public RaftStorage {
 public:
  DurableState Load() override { return mState; }
  void SaveHardState(const HardState& aState) override {
    mState.mHardState = aState;
  }
  void Append(std::span<const LogEntry> aEntries) override {
    const std::int64_t keep =
        aEntries.front().mIndex - mState.mSnapshot.mIndex - 1;
    mState.mEntries.resize(static_cast<std::size_t>(keep));
    mState.mEntries.insert(mState.mEntries.end(), aEntries.begin(),
                           aEntries.end());
  }
  void SaveSnapshot(const Snapshot& aSnapshot, std::span<const LogEntry> aRest,
                    const HardState& aState) override {
    mState.mSnapshot = aSnapshot;
    mState.mEntries.assign(aRest.begin(), aRest.end());
    mState.mHardState = aState;
  }

 private:
  DurableState mState;
};

/// The start of a voter that does not come.
constexpr Millis kNever = 1000000;

/// Voters that start one after the other. What is sent to one that does not run
/// yet is turned away, all else takes two milliseconds; a vote as long as it is
/// told.
class VotersStart {
 public:
  VotersStart(std::vector<Millis> aStarts, std::uint64_t aSeed,
              Millis aVoteTakes = 2)
      : mStarts(std::move(aStarts)), mSeed(aSeed), mVoteTakes(aVoteTakes) {
    for (std::size_t i = 0; i < mStarts.size(); i++) {
      mIds.push_back("v" + std::to_string(i));
    }
    mNodes.resize(mStarts.size());
  }

  /// From the last start until all know a leader that may promise.
  Millis SettledAfter() {
    constexpr Millis kMost = 5000;
    Millis last = 0;
    for (const Millis start : mStarts) {
      last = start == kNever ? last : std::max(last, start);
    }
    for (Millis now = 0; now < kMost; now++) {
      Step(now);
      if (now > last && AllSettled()) {
        return now - last;
      }
    }
    return kMost;
  }

 private:
  static constexpr Millis kDelay = 2;

  struct OnTheWay {
    RaftMessage mMessage;
    Millis mAt;
  };

  /// Of those that run.
  bool AllSettled() const {
    return std::all_of(mNodes.begin(), mNodes.end(), [](const auto& aNode) {
      return aNode == nullptr || aNode->HasCommitInTerm();
    });
  }

  void Step(Millis aNow) {
    constexpr Millis kTick = 20;
    for (std::size_t i = 0; i < mIds.size(); i++) {
      if (aNow == mStarts[i]) {
        Start(i, aNow);
      }
      if (mNodes[i] != nullptr && (aNow - mStarts[i]) % kTick == 0) {
        mNow = aNow;
        mNodes[i]->Tick(aNow);
      }
    }
    const std::vector<OnTheWay> sent = std::move(mSent);
    mSent.clear();
    for (const OnTheWay& item : sent) {
      if (item.mAt > aNow) {
        mSent.push_back(item);
        continue;
      }
      const auto it =
          std::find(mIds.begin(), mIds.end(), item.mMessage.mTo) - mIds.begin();
      RaftNode* to = mNodes[static_cast<std::size_t>(it)].get();
      if (to != nullptr) {
        mNow = aNow;
        to->Receive(item.mMessage, aNow);
        continue;
      }
      for (const auto& node : mNodes) {
        if (node != nullptr) {
          node->OnSendFailed(item.mMessage.mTo, kDelay);
        }
      }
    }
  }

  void Start(std::size_t aIndex, Millis aNow) {
    mStorages.push_back(std::make_unique<QuickStorage>());
    RaftOptions options;
    options.mId = mIds[aIndex];
    options.mVoters = mIds;
    options.mElectionTimeout = 350;
    options.mHeartbeatInterval = 70;
    options.mSeed = mSeed * mIds.size() + aIndex;
    options.mStorage = mStorages.back().get();
    options.mSend = [this](const RaftMessage& aMessage) {
      const bool isVote = aMessage.mKind == RaftKind::kVoteReply;
      mSent.push_back({aMessage, mNow + (isVote ? mVoteTakes : kDelay)});
    };
    options.mApply = [](const LogEntry&) {};
    options.mMakeSnapshot = [] { return std::string(); };
    options.mInstallSnapshot = [](const std::string&) {};
    mNodes[aIndex] = std::make_unique<RaftNode>(std::move(options), aNow);
  }

  std::vector<Millis> mStarts;
  std::uint64_t mSeed;
  Millis mVoteTakes;
  Millis mNow = 0;
  std::vector<std::string> mIds;
  std::vector<std::unique_ptr<QuickStorage>> mStorages;
  std::vector<std::unique_ptr<RaftNode>> mNodes;
  std::vector<OnTheWay> mSent;
};

/// A leader of three: one follows, calls to the other all fail.
class FailingCalls {
 public:
  explicit FailingCalls(Millis aFailAfter) : mFailAfter(aFailAfter) {
    RaftOptions options;
    options.mId = "leader";
    options.mVoters = {"leader", "follower", "far"};
    options.mStorage = &mStorage;
    options.mSend = [this](const RaftMessage& aMessage) {
      mSent.push_back(aMessage);
    };
    options.mApply = [](const LogEntry&) {};
    options.mMakeSnapshot = [] { return std::string(); };
    options.mInstallSnapshot = [](const std::string&) {};
    mNode = std::make_unique<RaftNode>(std::move(options), mNow);
  }

  /// Messages with entries to the other, of those in nine heartbeats.
  int WithEntries() {
    while (mNode->Role() != RaftRole::kLeader) {
      Step();
    }
    mWithEntries = 0;
    mNode->Propose("p");
    for (int i = 0; i < 90; i++) {
      Step();
    }
    return mWithEntries;
  }

 private:
  void Step() {
    mNow += 10;
    mNode->Tick(mNow);
    while (!mSent.empty()) {
      const RaftMessage message = mSent.front();
      mSent.erase(mSent.begin());
      if (message.mTo == "far") {
        mWithEntries += message.mEntries.empty() ? 0 : 1;
        mNode->OnSendFailed("far", mFailAfter);
        continue;
      }
      RaftMessage reply;
      reply.mFrom = message.mTo;
      reply.mTo = message.mFrom;
      reply.mTerm = message.mTerm;
      reply.mGranted = true;
      reply.mRound = message.mRound;
      reply.mKind = RaftKind::kAppendReply;
      if (message.mKind == RaftKind::kAppend) {
        reply.mIndex =
            message.mIndex + static_cast<std::int64_t>(message.mEntries.size());
      } else if (message.mKind == RaftKind::kPreVote) {
        reply.mKind = RaftKind::kPreVoteReply;
      } else {
        reply.mKind = RaftKind::kVoteReply;
      }
      mNode->Receive(reply, mNow);
    }
  }

  Millis mFailAfter;
  Millis mNow = 0;
  int mWithEntries = 0;
  QuickStorage mStorage;
  std::vector<RaftMessage> mSent;
  std::unique_ptr<RaftNode> mNode;
};

/// Engines that each hold two of four layers.
struct SmallZone {
  SmallZone() {
    mProfile.mLayers = 4;
    mProfile.mReadPerSecond = 100000;
    mProfile.mKinds = {{.mName = "fast", .mReadFactor = 1},
                       {.mName = "slow", .mReadFactor = 4}};
    Add("fast", {0, 2});
    Add("slow", {0, 2});
    Add("fast", {2, 4});
  }

  void Add(const std::string& aKind, LayerRange aLayers) {
    mRecords.push_back(std::make_unique<UpstreamRecord>(
        UpstreamRecord{.mKind = aKind, .mLayers = aLayers}));
  }

  double Capacity() const {
    std::vector<const UpstreamRecord*> views;
    for (const auto& record : mRecords) {
      views.push_back(record.get());
    }
    return ReadingCapacity(mProfile, views);
  }

  EngineProfile mProfile;
  std::vector<std::unique_ptr<UpstreamRecord>> mRecords;
};

/// Callers that were all refused in the same quarter of a second, at routers
/// that share the places which come free.
struct ReturnPlay {
  int mRouterCount = 30;
  int mCallers = 600;
  double mFreePerMilli = 0.2;  ///< Of all routers together.
  bool mPredicts = true;

  /// The share of the callers that find no place when they come back.
  double RefusedAgain() const {
    constexpr Millis kRefusedWithin = 250;
    constexpr Millis kLeft = 20000;
    std::mt19937 random(7);
    std::uniform_real_distribution<double> unit(0, 1);
    std::vector<RetrySchedule> routers(static_cast<std::size_t>(mRouterCount));
    std::vector<Millis> back;
    for (int i = 0; i < mCallers; i++) {
      const Millis now = i * kRefusedWithin / mCallers;
      RetrySchedule& router = routers[random() % routers.size()];
      const AssignedRetry told =
          router.Assign({.mNow = now,
                         .mTimeLeft = kLeft,
                         .mFreeAfter = 300,
                         .mFreePerMilli = mFreePerMilli / mRouterCount,
                         .mRandom = unit(random)});
      // Before: 0.6 s and up to 0.8 s by chance, whatever comes free.
      const auto spread = static_cast<Millis>(600 + 800 * unit(random));
      back.push_back(now + (mPredicts ? told.mAfter : spread));
    }
    std::sort(back.begin(), back.end());
    double places = 0;
    Millis at = 0;
    int refused = 0;
    for (const Millis time : back) {
      places += mFreePerMilli * static_cast<double>(time - at);
      at = time;
      const bool served = places >= 1;
      places -= served ? 1 : 0;
      refused += served ? 0 : 1;
    }
    return static_cast<double>(refused) / mCallers;
  }
};

}  // namespace

Test(starts, voters_that_start_apart_have_a_leader_soon) {
  std::vector<Millis> after;
  for (std::uint64_t seed = 1; seed <= 200; seed++) {
    after.push_back(VotersStart({0, 90, 250}, seed).SettledAfter());
  }
  std::sort(after.begin(), after.end());
  SECTION("all of them within the least time between two elections") {
    CHECK(after[180] <= 200);
    CHECK(after.back() <= 300);
  }
  SECTION("three of five that need each other's votes as well") {
    std::vector<Millis> of;
    for (std::uint64_t seed = 1; seed <= 200; seed++) {
      of.push_back(
          VotersStart({0, 20, 60, kNever, kNever}, seed).SettledAfter());
    }
    std::sort(of.begin(), of.end());
    CHECK(of[180] <= 300);
  }
  SECTION("voters whose votes take 0.4 s have one as well") {
    std::vector<Millis> slow;
    for (std::uint64_t seed = 1; seed <= 200; seed++) {
      slow.push_back(VotersStart({0, 90, 250}, seed, 400).SettledAfter());
    }
    std::sort(slow.begin(), slow.end());
    CHECK(slow[180] <= 3000);
    CHECK(slow.back() < 5000);
  }
  SECTION("a voter that never comes does not hold up the others") {
    CHECK(VotersStart({0, 90, kNever}, 3).SettledAfter() <= 300);
  }
}

Test(starts, entries_go_again_soon_only_where_they_were_turned_away) {
  SECTION("nobody listened: with the next heartbeat") {
    CHECK(FailingCalls(2).WithEntries() >= 8);
  }
  SECTION("a time-out says nothing: after the usual time") {
    CHECK(FailingCalls(1000).WithEntries() <= 3);
  }
}

Test(starts, a_router_without_a_lease_asks_sooner) {
  const PolledControl lacking{.mInterval = 150,
                              .mIsNearest = true,
                              .mLacksConfiguration = true,
                              .mLacksLease = true,
                              .mRouterCount = 8};
  SECTION("the nearest twice as often, the others four times") {
    CHECK(NextPollDelay(lacking) == 75);
    PolledControl far = lacking;
    far.mIsNearest = false;
    CHECK(NextPollDelay(far) == 150);
  }
  SECTION("the more seldom the more routers there are, up to the usual") {
    PolledControl large = lacking;
    large.mRouterCount = 150;
    CHECK(NextPollDelay(large) == 120);
    large.mRouterCount = 520;
    CHECK(NextPollDelay(large) == 150);
    large.mIsNearest = false;
    CHECK(NextPollDelay(large) == 600);
  }
  SECTION("nor one that does not know yet how many there are") {
    PolledControl alone = lacking;
    alone.mRouterCount = 1;
    CHECK(NextPollDelay(alone) == 150);
    alone.mIsNearest = false;
    CHECK(NextPollDelay(alone) == 600);
  }
  SECTION("and not at all where there are so many that controls have no time") {
    PolledControl many = lacking;
    many.mRouterCount = 300;
    many.mInterval = 525;
    CHECK(NextPollDelay(many) == 525);
    many.mIsNearest = false;
    CHECK(NextPollDelay(many) == 2100);
  }
  SECTION("one that did not listen yet as soon as it may") {
    PolledControl refused = lacking;
    refused.mWasRefused = true;
    refused.mIsNearest = false;
    CHECK(NextPollDelay(refused) == 100);
    refused.mLacksLease = false;
    CHECK(NextPollDelay(refused) == 600);
  }
  SECTION("one that takes questions and has no time for them more seldom") {
    PolledControl busy = lacking;
    busy.mFailures = 2;
    CHECK(NextPollDelay(busy) == 300);
  }
}

Test(starts, a_zone_reads_what_its_weakest_layer_reads) {
  SmallZone zone;
  SECTION("engines that hold the same layers add up") {
    // Half of the layers: 200 tokens a millisecond, and 50 by the slow one.
    CHECK(std::abs(zone.Capacity() - 200) < 1e-6);
    zone.Add("slow", {2, 4});
    CHECK(std::abs(zone.Capacity() - 250) < 1e-6);
  }
  SECTION("without one of the layers nothing is read") {
    zone.mRecords.pop_back();
    zone.mRecords.pop_back();
    CHECK(zone.Capacity() == 0);
  }
}

Test(starts, what_waited_is_let_in_at_the_pace_of_reading) {
  // 10 tokens a millisecond of which 0.7 are dealt out: 800 take 114 ms.
  WarmUpAdmission admission;
  admission.SetShare(10);
  int keys[30];
  const WarmUpRequest fresh{.mReceivedAt = 900,
                            .mTarget = 500,
                            .mWaitLimit = 1800,
                            .mPromptTokens = 800};
  SECTION("as many at once as are read in 0.2 s") {
    int let = 0;
    for (int i = 0; i < 10; i++) {
      let += admission.TryAdmit(&keys[i], fresh, 1000).mVerdict ==
                     WarmUpVerdict::kAdmit
                 ? 1
                 : 0;
    }
    CHECK(let == 2);
  }
  SECTION("and the others as these are read") {
    CHECK(admission.TryAdmit(&keys[5], fresh, 1010).mVerdict ==
          WarmUpVerdict::kWait);
    CHECK(admission.TryAdmit(&keys[2], fresh, 1130).mVerdict ==
          WarmUpVerdict::kAdmit);
  }
  SECTION("who still meets its target goes before one that is late") {
    WarmUpAdmission other;
    other.SetShare(10);
    WarmUpRequest late = fresh;
    late.mReceivedAt = 400;
    for (int i = 0; i < 4; i++) {
      (void)other.TryAdmit(&keys[i], fresh, 1000);
    }
    (void)other.TryAdmit(&keys[4], late, 1000);
    const WarmUpDecision first = other.TryAdmit(&keys[2], fresh, 1040);
    const WarmUpDecision after = other.TryAdmit(&keys[4], late, 1040);
    CHECK(first.mTokensAhead < after.mTokensAhead);
    CHECK(first.mVerdict == WarmUpVerdict::kAdmit);
    CHECK(after.mVerdict == WarmUpVerdict::kWait);
  }
  SECTION("who would have left by its turn is refused at once") {
    WarmUpAdmission other;
    other.SetShare(1);
    int refused = 0;
    for (int i = 0; i < 10; i++) {
      const WarmUpDecision decision = other.TryAdmit(&keys[i], fresh, 1000);
      refused += decision.mVerdict == WarmUpVerdict::kRefuse ? 1 : 0;
    }
    CHECK(refused >= 8);
  }
  SECTION("who leaves makes room") {
    WarmUpAdmission other;
    other.SetShare(10);
    for (int i = 0; i < 8; i++) {
      (void)other.TryAdmit(&keys[i], fresh, 1000);
    }
    const double before = other.TryAdmit(&keys[7], fresh, 1001).mTokensAhead;
    other.Withdraw(&keys[3]);
    CHECK(other.TryAdmit(&keys[7], fresh, 1001).mTokensAhead <= before);
  }
  SECTION("where nothing is known nobody is held back") {
    WarmUpAdmission other;
    for (int i = 0; i < 10; i++) {
      CHECK(other.TryAdmit(&keys[i], fresh, 1000).mVerdict ==
            WarmUpVerdict::kAdmit);
    }
  }
}

Test(starts, callers_come_back_when_there_is_room) {
  SECTION("told a time by chance a half is refused again") {
    const ReturnPlay play{.mPredicts = false};
    CHECK(play.RefusedAgain() > 0.45);
  }
  SECTION("told what comes free nearly nobody is") {
    CHECK(ReturnPlay().RefusedAgain() < 0.005);
  }
  SECTION("nor where one router tells them all") {
    CHECK(ReturnPlay{.mRouterCount = 1}.RefusedAgain() < 0.005);
  }
}

Test(starts, a_time_to_come_back_keeps_its_bounds) {
  RetrySchedule times;
  SECTION("not before there may be room at all") {
    const AssignedRetry answer = times.Assign({.mNow = 50,
                                               .mTimeLeft = 20000,
                                               .mFreeAfter = 1200,
                                               .mFreePerMilli = 1});
    CHECK(answer.mAfter >= 1200);
    CHECK(answer.mAfter < 1400);
    CHECK(answer.mRoomExpected);
  }
  SECTION("within the third of its time that a caller waits") {
    const AssignedRetry answer = times.Assign(
        {.mNow = 50, .mTimeLeft = 900, .mFreeAfter = 5000, .mFreePerMilli = 1});
    CHECK(answer.mAfter == 300);
  }
  SECTION("nor so far away that the slots until then fill the memory") {
    const AssignedRetry answer = times.Assign(
        {.mNow = 50, .mTimeLeft = std::numeric_limits<Millis>::max()});
    CHECK(answer.mAfter <= 10000);
  }
  SECTION("where nothing comes free they are spread over all of it") {
    Millis least = 10000;
    Millis most = 0;
    for (int i = 0; i < 40; i++) {
      const Millis after =
          times.Assign({.mNow = 50, .mTimeLeft = 12000, .mFreeAfter = 300})
              .mAfter;
      least = std::min(least, after);
      most = std::max(most, after);
    }
    CHECK(least < 600);
    CHECK(most > 3500);
  }
  SECTION("those that were told before are gone when their time has passed") {
    (void)times.Assign({.mNow = 50, .mTimeLeft = 900, .mFreePerMilli = 1});
    CHECK(times.ExpectedCallers(60) > 0);
    CHECK(times.ExpectedCallers(20000) == 0);
  }
}

Test(starts, who_has_come_back_is_told_by_the_time_it_has_left) {
  RetryDetector deadline;
  SECTION("nothing is told before anyone came") {
    CHECK(!deadline.IsLikelyRetry(500));
  }
  for (int i = 0; i < 200; i++) {
    // Of ten requests six are later tries.
    deadline.Record(i % 10 < 4 ? 20000 : 12000);
  }
  SECTION("less time than at first is a later try") {
    CHECK(deadline.IsLikelyRetry(17000));
    CHECK(!deadline.IsLikelyRetry(20000));
    CHECK(!deadline.IsLikelyRetry(0));
  }
  SECTION("one caller with much more time changes nothing for the others") {
    deadline.Record(30000);
    CHECK(!deadline.IsLikelyRetry(20000));
  }
  SECTION("nor does one that says it has days, or all of time") {
    constexpr Millis kDay = 86400000;
    deadline.Record(kDay);
    CHECK(!deadline.IsLikelyRetry(20000));
    deadline.Record(std::numeric_limits<Millis>::max());
    CHECK(!deadline.IsLikelyRetry(21000));
  }
  SECTION("where all have more it follows") {
    for (int i = 0; i < 100; i++) {
      deadline.Record(40000);
    }
    CHECK(deadline.IsLikelyRetry(20000));
    CHECK(!deadline.IsLikelyRetry(40000));
  }
}
