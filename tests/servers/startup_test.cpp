/// The first seconds of voters, routers and callers: elections, polls of
/// controls, admission of waiting requests and retry times.
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

/// Storage in memory; calls take no time.
class MemoryStorage : public RaftStorage {
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
  void SaveSnapshot(const Snapshot& aSnapshot,
                    std::span<const LogEntry> aRemaining,
                    const HardState& aState) override {
    mState.mSnapshot = aSnapshot;
    mState.mEntries.assign(aRemaining.begin(), aRemaining.end());
    mState.mHardState = aState;
  }

 private:
  DurableState mState;
};

/// Start time of a voter that never starts.
constexpr Millis kNever = 1000000;

/// Simulates voters that start at different times. Calls to a voter that isn't
/// running yet fail at once, messages take 2 ms, and vote replies aVoteDelay.
class VoterStartup {
 public:
  VoterStartup(std::vector<Millis> aStartTimes, std::uint64_t aSeed,
               Millis aVoteDelay = 2)
      : mStartTimes(std::move(aStartTimes)),
        mSeed(aSeed),
        mVoteDelay(aVoteDelay) {
    for (std::size_t i = 0; i < mStartTimes.size(); i++) {
      mIds.push_back("v" + std::to_string(i));
    }
    mNodes.resize(mStartTimes.size());
  }

  /// Milliseconds from the last start until all running voters know a leader
  /// with a committed entry; kTimeLimit if that doesn't happen.
  Millis TimeToLeader() {
    constexpr Millis kTimeLimit = 5000;
    Millis last = 0;
    for (const Millis start : mStartTimes) {
      last = start == kNever ? last : std::max(last, start);
    }
    for (Millis now = 0; now < kTimeLimit; now++) {
      Step(now);
      if (now > last && AllKnowLeader()) {
        return now - last;
      }
    }
    return kTimeLimit;
  }

 private:
  static constexpr Millis kDelay = 2;

  struct InTransit {
    RaftMessage mMessage;
    Millis mAt;
  };

  /// Whether all running voters know a leader with a committed entry.
  bool AllKnowLeader() const {
    return std::all_of(mNodes.begin(), mNodes.end(), [](const auto& aNode) {
      return aNode == nullptr || aNode->HasCommitInTerm();
    });
  }

  void Step(Millis aNow) {
    constexpr Millis kTick = 20;
    for (std::size_t i = 0; i < mIds.size(); i++) {
      if (aNow == mStartTimes[i]) {
        Start(i, aNow);
      }
      if (mNodes[i] != nullptr && (aNow - mStartTimes[i]) % kTick == 0) {
        mNow = aNow;
        mNodes[i]->Tick(aNow);
      }
    }
    const std::vector<InTransit> sent = std::move(mMessages);
    mMessages.clear();
    for (const InTransit& inTransit : sent) {
      if (inTransit.mAt > aNow) {
        mMessages.push_back(inTransit);
        continue;
      }
      const auto it =
          std::find(mIds.begin(), mIds.end(), inTransit.mMessage.mTo) -
          mIds.begin();
      RaftNode* to = mNodes[static_cast<std::size_t>(it)].get();
      if (to != nullptr) {
        mNow = aNow;
        to->Receive(inTransit.mMessage, aNow);
        continue;
      }
      for (const auto& node : mNodes) {
        if (node != nullptr) {
          node->OnSendFailed(inTransit.mMessage.mTo, kDelay);
        }
      }
    }
  }

  void Start(std::size_t aIndex, Millis aNow) {
    mStorages.push_back(std::make_unique<MemoryStorage>());
    RaftOptions options;
    options.mId = mIds[aIndex];
    options.mVoters = mIds;
    options.mElectionTimeout = 350;
    options.mHeartbeatInterval = 70;
    options.mSeed = mSeed * mIds.size() + aIndex;
    options.mStorage = mStorages.back().get();
    options.mSend = [this](const RaftMessage& aMessage) {
      const bool isVote = aMessage.mKind == RaftKind::kVoteReply;
      mMessages.push_back({aMessage, mNow + (isVote ? mVoteDelay : kDelay)});
    };
    options.mApply = [](const LogEntry&) {};
    options.mMakeSnapshot = [] { return std::string(); };
    options.mInstallSnapshot = [](const std::string&) {};
    mNodes[aIndex] = std::make_unique<RaftNode>(std::move(options), aNow);
  }

  std::vector<Millis> mStartTimes;
  std::uint64_t mSeed;
  Millis mVoteDelay;
  Millis mNow = 0;
  std::vector<std::string> mIds;
  std::vector<std::unique_ptr<MemoryStorage>> mStorages;
  std::vector<std::unique_ptr<RaftNode>> mNodes;
  std::vector<InTransit> mMessages;
};

/// A leader of three voters: one follows, all calls to the other ("far") fail.
class UnreachableVoter {
 public:
  explicit UnreachableVoter(Millis aFailureDelay)
      : mFailureDelay(aFailureDelay) {
    RaftOptions options;
    options.mId = "leader";
    options.mVoters = {"leader", "follower", "far"};
    options.mStorage = &mStorage;
    options.mSend = [this](const RaftMessage& aMessage) {
      mMessages.push_back(aMessage);
    };
    options.mApply = [](const LogEntry&) {};
    options.mMakeSnapshot = [] { return std::string(); };
    options.mInstallSnapshot = [](const std::string&) {};
    mNode = std::make_unique<RaftNode>(std::move(options), mNow);
  }

  /// Messages with entries sent to the unreachable voter in 0.9 s, that is nine
  /// heartbeat intervals.
  int CountMessagesWithEntries() {
    while (mNode->Role() != RaftRole::kLeader) {
      Step();
    }
    mMessagesWithEntries = 0;
    mNode->Propose("p");
    for (int i = 0; i < 90; i++) {
      Step();
    }
    return mMessagesWithEntries;
  }

 private:
  void Step() {
    mNow += 10;
    mNode->Tick(mNow);
    while (!mMessages.empty()) {
      const RaftMessage message = mMessages.front();
      mMessages.erase(mMessages.begin());
      if (message.mTo == "far") {
        mMessagesWithEntries += message.mEntries.empty() ? 0 : 1;
        mNode->OnSendFailed("far", mFailureDelay);
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

  Millis mFailureDelay;
  Millis mNow = 0;
  int mMessagesWithEntries = 0;
  MemoryStorage mStorage;
  std::vector<RaftMessage> mMessages;
  std::unique_ptr<RaftNode> mNode;
};

/// Three engines that each hold two of four layers.
struct ThreeEngineZone {
  ThreeEngineZone() {
    mProfile.mLayers = 4;
    mProfile.mPromptTokensPerSecond = 100000;
    mProfile.mKinds = {{.mName = "fast", .mPromptFactor = 1},
                       {.mName = "slow", .mPromptFactor = 4}};
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

/// Callers that are refused within the same 250 ms, at routers that share the
/// slots which become free.
struct RetrySimulation {
  int mRouterCount = 30;
  int mCallers = 600;
  double mFreePerMilli = 0.2;  ///< Of all routers together.
  bool mUsesPrediction = true;

  /// The share of the callers that find no free slot when they retry.
  double ShareRefusedAgain() const {
    constexpr Millis kRefusalWindow = 250;
    constexpr Millis kRemaining = 20000;
    std::mt19937 random(7);
    std::uniform_real_distribution<double> unit(0, 1);
    std::vector<RetrySchedule> routers(static_cast<std::size_t>(mRouterCount));
    std::vector<Millis> returnTimes;
    for (int i = 0; i < mCallers; i++) {
      const Millis now = i * kRefusalWindow / mCallers;
      RetrySchedule& router = routers[random() % routers.size()];
      const AssignedRetry answer =
          router.Assign({.mNow = now,
                         .mTimeLeft = kRemaining,
                         .mFreeAfter = 300,
                         .mFreePerMilli = mFreePerMilli / mRouterCount,
                         .mRandom = unit(random)});
      // Without prediction: 0.6 s and up to 0.8 s at random, regardless of the
      // slots that become free.
      const auto spread = static_cast<Millis>(600 + 800 * unit(random));
      returnTimes.push_back(now + (mUsesPrediction ? answer.mAfter : spread));
    }
    std::sort(returnTimes.begin(), returnTimes.end());
    double slots = 0;
    Millis at = 0;
    int refused = 0;
    for (const Millis time : returnTimes) {
      slots += mFreePerMilli * static_cast<double>(time - at);
      at = time;
      const bool served = slots >= 1;
      slots -= served ? 1 : 0;
      refused += served ? 0 : 1;
    }
    return static_cast<double>(refused) / mCallers;
  }
};

}  // namespace

Test(startup, voters_that_start_at_different_times_elect_a_leader_quickly) {
  std::vector<Millis> delays;
  for (std::uint64_t seed = 1; seed <= 200; seed++) {
    delays.push_back(VoterStartup({0, 90, 250}, seed).TimeToLeader());
  }
  std::sort(delays.begin(), delays.end());
  SECTION("within the minimum election timeout with three voters") {
    CHECK(delays[180] <= 200);
    CHECK(delays.back() <= 300);
  }
  SECTION("also when three of five voters need each other's votes") {
    std::vector<Millis> withThree;
    for (std::uint64_t seed = 1; seed <= 200; seed++) {
      withThree.push_back(
          VoterStartup({0, 20, 60, kNever, kNever}, seed).TimeToLeader());
    }
    std::sort(withThree.begin(), withThree.end());
    CHECK(withThree[180] <= 300);
  }
  SECTION("also when a vote takes 0.4 s") {
    std::vector<Millis> withSlowVotes;
    for (std::uint64_t seed = 1; seed <= 200; seed++) {
      withSlowVotes.push_back(
          VoterStartup({0, 90, 250}, seed, 400).TimeToLeader());
    }
    std::sort(withSlowVotes.begin(), withSlowVotes.end());
    CHECK(withSlowVotes[180] <= 3000);
    CHECK(withSlowVotes.back() < 5000);
  }
  SECTION("a voter that never starts does not delay the others") {
    CHECK(VoterStartup({0, 90, kNever}, 3).TimeToLeader() <= 300);
  }
}

Test(startup, entries_are_resent_early_only_after_a_refused_connection) {
  SECTION("refused connection: with the next heartbeat") {
    CHECK(UnreachableVoter(2).CountMessagesWithEntries() >= 8);
  }
  SECTION("timeout: after the resend timeout") {
    CHECK(UnreachableVoter(1000).CountMessagesWithEntries() <= 3);
  }
}

Test(startup, a_router_without_a_lease_polls_controls_more_often) {
  const PolledControl withoutLease{.mInterval = 150,
                                   .mIsNearest = true,
                                   .mLacksConfiguration = true,
                                   .mLacksLease = true,
                                   .mRouterCount = 8};
  SECTION("the nearest control twice as often, the others four times") {
    CHECK(NextPollDelay(withoutLease) == 75);
    PolledControl far = withoutLease;
    far.mIsNearest = false;
    CHECK(NextPollDelay(far) == 150);
  }
  SECTION("less often with more routers, but not below the regular rate") {
    PolledControl large = withoutLease;
    large.mRouterCount = 150;
    CHECK(NextPollDelay(large) == 120);
    large.mRouterCount = 520;
    CHECK(NextPollDelay(large) == 150);
    large.mIsNearest = false;
    CHECK(NextPollDelay(large) == 600);
  }
  SECTION("at the regular rate while the number of routers is unknown") {
    PolledControl alone = withoutLease;
    alone.mRouterCount = 1;
    CHECK(NextPollDelay(alone) == 150);
    alone.mIsNearest = false;
    CHECK(NextPollDelay(alone) == 600);
  }
  SECTION("at the regular rate if there are more than 200 routers") {
    PolledControl many = withoutLease;
    many.mRouterCount = 300;
    many.mInterval = 525;
    CHECK(NextPollDelay(many) == 525);
    many.mIsNearest = false;
    CHECK(NextPollDelay(many) == 2100);
  }
  SECTION("100 ms after a refused connection") {
    PolledControl refused = withoutLease;
    refused.mWasRefused = true;
    refused.mIsNearest = false;
    CHECK(NextPollDelay(refused) == 100);
    refused.mLacksLease = false;
    CHECK(NextPollDelay(refused) == 600);
  }
  SECTION("less often if polls time out") {
    PolledControl busy = withoutLease;
    busy.mFailures = 2;
    CHECK(NextPollDelay(busy) == 300);
  }
}

Test(startup, prefill_capacity_of_a_zone_is_that_of_its_slowest_layer) {
  ThreeEngineZone zone;
  SECTION("engines with the same layers add up") {
    // Engines with half of the layers read 200 tokens per millisecond (fast)
    // and 50 (slow).
    CHECK(std::abs(zone.Capacity() - 200) < 1e-6);
    zone.Add("slow", {2, 4});
    CHECK(std::abs(zone.Capacity() - 250) < 1e-6);
  }
  SECTION("zero if no engine holds one of the layers") {
    zone.mRecords.pop_back();
    zone.mRecords.pop_back();
    CHECK(zone.Capacity() == 0);
  }
}

Test(startup, waiting_requests_are_admitted_at_the_prefill_rate) {
  // 0.7 of the 10 tokens per millisecond are granted: 800 tokens take 114 ms.
  WarmUpAdmission admission;
  admission.SetShare(10);
  int keys[30];
  const WarmUpRequest fresh{.mReceivedAt = 900,
                            .mTarget = 500,
                            .mWaitLimit = 1800,
                            .mPromptTokens = 800};
  SECTION("the requests that are read within 0.2 s are admitted at once") {
    int admitted = 0;
    for (int i = 0; i < 10; i++) {
      admitted += admission.TryAdmit(&keys[i], fresh, 1000).mVerdict ==
                          WarmUpVerdict::kAdmit
                      ? 1
                      : 0;
    }
    CHECK(admitted == 2);
  }
  SECTION("the others are admitted as these are read") {
    CHECK(admission.TryAdmit(&keys[5], fresh, 1010).mVerdict ==
          WarmUpVerdict::kWait);
    CHECK(admission.TryAdmit(&keys[2], fresh, 1130).mVerdict ==
          WarmUpVerdict::kAdmit);
  }
  SECTION("requests that still meet their target precede late ones") {
    WarmUpAdmission other;
    other.SetShare(10);
    WarmUpRequest late = fresh;
    late.mReceivedAt = 400;
    for (int i = 0; i < 4; i++) {
      (void)other.TryAdmit(&keys[i], fresh, 1000);
    }
    (void)other.TryAdmit(&keys[4], late, 1000);
    const WarmUpDecision first = other.TryAdmit(&keys[2], fresh, 1040);
    const WarmUpDecision second = other.TryAdmit(&keys[4], late, 1040);
    CHECK(first.mTokensAhead < second.mTokensAhead);
    CHECK(first.mVerdict == WarmUpVerdict::kAdmit);
    CHECK(second.mVerdict == WarmUpVerdict::kWait);
  }
  SECTION("requests whose caller would leave before their turn are refused") {
    WarmUpAdmission other;
    other.SetShare(1);
    int refused = 0;
    for (int i = 0; i < 10; i++) {
      const WarmUpDecision decision = other.TryAdmit(&keys[i], fresh, 1000);
      refused += decision.mVerdict == WarmUpVerdict::kRefuse ? 1 : 0;
    }
    CHECK(refused >= 8);
  }
  SECTION("a caller that leaves shortens the queue") {
    WarmUpAdmission other;
    other.SetShare(10);
    for (int i = 0; i < 8; i++) {
      (void)other.TryAdmit(&keys[i], fresh, 1000);
    }
    const double before = other.TryAdmit(&keys[7], fresh, 1001).mTokensAhead;
    other.Withdraw(&keys[3]);
    CHECK(other.TryAdmit(&keys[7], fresh, 1001).mTokensAhead <= before);
  }
  SECTION("all requests are admitted if the capacity is unknown") {
    WarmUpAdmission other;
    for (int i = 0; i < 10; i++) {
      CHECK(other.TryAdmit(&keys[i], fresh, 1000).mVerdict ==
            WarmUpVerdict::kAdmit);
    }
  }
}

Test(startup, retry_times_follow_the_capacity_that_becomes_free) {
  SECTION("with random retry times nearly half are refused again") {
    const RetrySimulation play{.mUsesPrediction = false};
    CHECK(play.ShareRefusedAgain() > 0.45);
  }
  SECTION("with predicted retry times almost none are") {
    CHECK(RetrySimulation().ShareRefusedAgain() < 0.005);
  }
  SECTION("with a single router almost none are either") {
    CHECK(RetrySimulation{.mRouterCount = 1}.ShareRefusedAgain() < 0.005);
  }
}

Test(startup, a_retry_time_stays_within_its_bounds) {
  RetrySchedule times;
  SECTION("not before capacity can become free") {
    const AssignedRetry answer = times.Assign({.mNow = 50,
                                               .mTimeLeft = 20000,
                                               .mFreeAfter = 1200,
                                               .mFreePerMilli = 1});
    CHECK(answer.mAfter >= 1200);
    CHECK(answer.mAfter < 1400);
    CHECK(answer.mRoomExpected);
  }
  SECTION("within a third of the caller's remaining time") {
    const AssignedRetry answer = times.Assign(
        {.mNow = 50, .mTimeLeft = 900, .mFreeAfter = 5000, .mFreePerMilli = 1});
    CHECK(answer.mAfter == 300);
  }
  SECTION("at most 10 s ahead, so that the slots use little memory") {
    const AssignedRetry answer = times.Assign(
        {.mNow = 50, .mTimeLeft = std::numeric_limits<Millis>::max()});
    CHECK(answer.mAfter <= 10000);
  }
  SECTION("spread over the whole range if no capacity becomes free") {
    Millis earliest = 10000;
    Millis latest = 0;
    for (int i = 0; i < 40; i++) {
      const Millis after =
          times.Assign({.mNow = 50, .mTimeLeft = 12000, .mFreeAfter = 300})
              .mAfter;
      earliest = std::min(earliest, after);
      latest = std::max(latest, after);
    }
    CHECK(earliest < 600);
    CHECK(latest > 3500);
  }
  SECTION("past retry times no longer count as expected") {
    (void)times.Assign({.mNow = 50, .mTimeLeft = 900, .mFreePerMilli = 1});
    CHECK(times.ExpectedCallers(60) > 0);
    CHECK(times.ExpectedCallers(20000) == 0);
  }
}

Test(startup, retries_are_recognised_by_their_remaining_time) {
  RetryDetector deadline;
  SECTION("no request is a likely retry before the first one") {
    CHECK(!deadline.IsLikelyRetry(500));
  }
  for (int i = 0; i < 200; i++) {
    // Six of ten requests are retries.
    deadline.Record(i % 10 < 4 ? 20000 : 12000);
  }
  SECTION("requests with less time than first attempts are retries") {
    CHECK(deadline.IsLikelyRetry(17000));
    CHECK(!deadline.IsLikelyRetry(20000));
    CHECK(!deadline.IsLikelyRetry(0));
  }
  SECTION("one caller with much more time does not change the estimate") {
    deadline.Record(30000);
    CHECK(!deadline.IsLikelyRetry(20000));
  }
  SECTION("nor does a deadline of days or the greatest possible one") {
    constexpr Millis kDay = 86400000;
    deadline.Record(kDay);
    CHECK(!deadline.IsLikelyRetry(20000));
    deadline.Record(std::numeric_limits<Millis>::max());
    CHECK(!deadline.IsLikelyRetry(21000));
  }
  SECTION("the estimate follows if all callers have more time") {
    for (int i = 0; i < 100; i++) {
      deadline.Record(40000);
    }
    CHECK(deadline.IsLikelyRetry(20000));
    CHECK(!deadline.IsLikelyRetry(40000));
  }
}
