/// Controls that hold the log before they vote, and a leader that hands over.
#include <algorithm>
#include <memory>
#include <vector>

#include "spindleweir/servers/consensus/raft_node.h"
#include "tests/delayed_storage.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr Millis kElectionTimeout = 500;
constexpr Millis kLongEnough = 2 * kElectionTimeout;

/// One voter of three whose messages the test reads and answers.
struct OneOfThree {
  OneOfThree() {
    RaftOptions options;
    options.mId = "a";
    options.mVoters = {"a", "b", "c"};
    options.mElectionTimeout = kElectionTimeout;
    options.mStorage = &mDisk;
    options.mSend = [this](const RaftMessage& aMessage) {
      mSent.push_back(aMessage);
    };
    options.mApply = [this](const LogEntry& aEntry) {
      mApplied.push_back(aEntry.mPayload);
    };
    options.mMakeSnapshot = [] { return std::string(); };
    options.mInstallSnapshot = [](const std::string&) {};
    mNode = std::make_unique<RaftNode>(std::move(options), mNow);
    Sync();
  }

  void Sync() {
    mDisk.Sync(mDisk.Pending());
    mNode->OnStorageProgress(mNow);
  }

  void PassTime(Millis aTime) {
    mNow += aTime;
    mNode->Tick(mNow);
    Sync();
  }

  void Receive(RaftKind aKind, const std::string& aFrom, std::int64_t aIndex) {
    RaftMessage message;
    message.mKind = aKind;
    message.mFrom = aFrom;
    message.mTo = "a";
    message.mTerm =
        aKind == RaftKind::kPreVoteReply ? mNode->Term() + 1 : mNode->Term();
    message.mGranted = true;
    message.mIndex = aIndex;
    message.mRound = mSent.empty() ? 0 : mSent.back().mRound;
    mNode->Receive(message, mNow);
    Sync();
  }

  void BecomeLeader() {
    PassTime(kLongEnough);
    Receive(RaftKind::kPreVoteReply, "b", 0);
    Receive(RaftKind::kVoteReply, "b", 0);
    Receive(RaftKind::kAppendReply, "b", mNode->LastIndex());
  }

  /// The messages of a kind that were sent to aTo.
  std::vector<RaftMessage> SentTo(const std::string& aTo, RaftKind aKind) {
    std::vector<RaftMessage> messages;
    std::copy_if(mSent.begin(), mSent.end(), std::back_inserter(messages),
                 [&](const RaftMessage& aMessage) {
                   return aMessage.mTo == aTo && aMessage.mKind == aKind;
                 });
    return messages;
  }

  DelayedStorage mDisk;
  std::vector<RaftMessage> mSent;
  std::vector<std::string> mApplied;
  Millis mNow = 100000;
  std::unique_ptr<RaftNode> mNode;
};

}  // namespace

Test(learners, receive_the_log_and_count_in_no_majority) {
  OneOfThree leader;
  leader.BecomeLeader();
  REQUIRE(leader.mNode->Leads());
  leader.mNode->SetLearners({"d"});
  const std::int64_t index = leader.mNode->Propose("x");
  leader.Sync();
  CHECK(!leader.SentTo("d", RaftKind::kAppend).empty());
  CHECK(!leader.mNode->HoldsLog("d"));
  SECTION("it is sent what is committed, and no more") {
    for (const RaftMessage& message : leader.SentTo("d", RaftKind::kAppend)) {
      CHECK(message.mEntries.empty() || message.mEntries.back().mIndex < index);
    }
  }
  SECTION("its answer commits nothing") {
    leader.Receive(RaftKind::kAppendReply, "d", index);
    CHECK(leader.mNode->CommitIndex() < index);
    CHECK(leader.mNode->HoldsLog("d"));
  }
  SECTION("a voter's answer does") {
    leader.Receive(RaftKind::kAppendReply, "c", index);
    CHECK(leader.mNode->CommitIndex() == index);
  }
  SECTION("one that falls silent counts as holding the log no more") {
    for (Millis passed = 0; passed < kLongEnough; passed += 100) {
      leader.PassTime(100);
      leader.Receive(RaftKind::kAppendReply, "b", leader.mNode->LastIndex());
    }
    CHECK(leader.mNode->Leads());
    CHECK(!leader.mNode->HoldsLog("d"));
  }
}

Test(learners, a_change_of_two_voters_at_once_is_refused) {
  // Two majorities, one of the old voters and one of the new, might not meet.
  OneOfThree leader;
  leader.BecomeLeader();
  CHECK(leader.mNode->ProposeVoters({"a", "b", "d"}) == 0);
  CHECK(leader.mNode->ProposeVoters({"a", "b", "c", "d"}) != 0);
  SECTION("and so is one before the last is committed") {
    CHECK(!leader.mNode->VotersAreCommitted());
    CHECK(leader.mNode->ProposeVoters({"a", "c", "d"}) == 0);
  }
}

Test(learners, leadership_goes_to_a_voter_that_has_the_whole_log) {
  OneOfThree leader;
  leader.BecomeLeader();
  leader.mNode->SetLearners({"d"});
  leader.Receive(RaftKind::kAppendReply, "d", leader.mNode->LastIndex());
  const std::vector<std::string> all = {"c", "d", "b"};
  leader.mNode->TransferLeadership(all);
  CHECK(leader.SentTo("c", RaftKind::kTimeoutNow).empty());
  CHECK(leader.SentTo("d", RaftKind::kTimeoutNow).empty());
  CHECK(leader.SentTo("b", RaftKind::kTimeoutNow).size() == 1);
}

Test(learners, a_voter_stands_at_once_when_its_leader_asks) {
  OneOfThree voter;
  RaftMessage append;
  append.mKind = RaftKind::kAppend;
  append.mFrom = "b";
  append.mTo = "a";
  append.mTerm = 1;
  voter.mNode->Receive(append, voter.mNow);
  voter.Sync();
  RaftMessage now = append;
  now.mKind = RaftKind::kTimeoutNow;
  SECTION("not when another asks") {
    now.mFrom = "c";
    voter.mNode->Receive(now, voter.mNow);
    CHECK(voter.mNode->Role() == RaftRole::kFollower);
  }
  SECTION("the leader does") {
    now.mFrom = "b";
    voter.mNode->Receive(now, voter.mNow);
    CHECK(voter.mNode->Role() == RaftRole::kCandidate);
    CHECK(voter.SentTo("c", RaftKind::kVote).size() == 1);
  }
}
