/// Stateful fuzzing of the replicated log against an oracle: a command that a
/// voter has applied stays at its position on every voter.
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <random>
#include <set>

#include "spindleweir/servers/consensus/raft_node.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

/// Storage in memory that loses nothing in a crash.
class MemoryStorage : public RaftStorage {
 public:
  DurableState Load() override { return mState; }
  void SaveHardState(const HardState& aState) override {
    ThrowIfFailing();
    mState.mHardState = aState;
  }
  void Append(std::span<const LogEntry> aEntries) override {
    ThrowIfFailing();
    const std::int64_t keep =
        aEntries.front().mIndex - mState.mSnapshot.mIndex - 1;
    mState.mEntries.resize(static_cast<std::size_t>(keep));
    mState.mEntries.insert(mState.mEntries.end(), aEntries.begin(),
                           aEntries.end());
  }
  void SaveSnapshot(const Snapshot& aSnapshot,
                    std::span<const LogEntry> aRemaining,
                    const HardState& aState) override {
    ThrowIfFailing();
    mState.mSnapshot = aSnapshot;
    mState.mEntries.assign(aRemaining.begin(), aRemaining.end());
    mState.mHardState = aState;
  }

  bool mFailing = false;

 private:
  void ThrowIfFailing() const {
    if (mFailing) {
      throw Error(ResultCode::kStorageFailed,
                  "the test lets this storage fail");
    }
  }
  DurableState mState;
};

/// Voters, a network that loses, reorders and duplicates messages, and the
/// oracle.
class RaftCluster {
 public:
  RaftCluster(int aVoters, bool aForgetsState) : mForgetsState(aForgetsState) {
    for (int i = 0; i < aVoters; i++) {
      mIds.push_back("v" + std::to_string(i));
    }
    for (const std::string& id : mIds) {
      mStorages[id] = std::make_unique<MemoryStorage>();
      StartVoter(id);
    }
  }

  void StartVoter(const std::string& aId) {
    mApplied[aId].clear();
    if (mForgetsState) {
      // Planted defect: the voter loses its term, vote and log on a restart.
      mStorages[aId] = std::make_unique<MemoryStorage>();
    }
    RaftOptions options;
    options.mId = aId;
    options.mVoters = mIds;
    options.mSeed = ++mSeed;
    options.mSnapshotThresholdEntries = 8;
    options.mStorage = mStorages[aId].get();
    options.mSend = [this](const RaftMessage& aMessage) {
      mNetwork.push_back(aMessage);
    };
    options.mApply = [this, aId](const LogEntry& aEntry) {
      mApplied[aId].push_back(aEntry.mPayload);
      CheckHistory(aId);
    };
    options.mMakeSnapshot = [this, aId] {
      std::string data;
      for (const std::string& payload : mApplied[aId]) {
        data += payload + ",";
      }
      return data;
    };
    options.mInstallSnapshot = [this, aId](const std::string& aData) {
      mApplied[aId].clear();
      for (std::size_t at = 0; at < aData.size();) {
        const std::size_t end = aData.find(',', at);
        mApplied[aId].push_back(aData.substr(at, end - at));
        at = end + 1;
      }
      CheckHistory(aId);
    };
    mNodes[aId] = std::make_unique<RaftNode>(std::move(options), mNow);
  }

  /// Oracle check: the applied commands of all voters are prefixes of one
  /// history.
  void CheckHistory(const std::string& aId) {
    const std::vector<std::string>& history = mApplied[aId];
    for (std::size_t i = 0; i < history.size(); i++) {
      if (i == mAccepted.size()) {
        mAccepted.push_back(history[i]);
      }
      mConsistent = mConsistent && mAccepted[i] == history[i];
    }
  }

  void Step(int aAction) {
    const std::string& id =
        mIds[static_cast<std::size_t>(aAction / 16) % mIds.size()];
    switch (aAction % 16) {
      case 0:
        mNodes[id]->Propose("p" + std::to_string(++mProposals));
        break;
      case 1:
        if (mCrashes < 40) {
          mCrashes++;
          StartVoter(id);
        }
        break;
      case 2:
        mPartitioned = mPartitioned == id ? "" : id;
        break;
      case 3:
        if (!mNetwork.empty()) {
          const auto it = mNetwork.begin() +
                          aAction / 16 % static_cast<int>(mNetwork.size());
          // The sender may be notified of the loss, even if a duplicate of the
          // message still arrives.
          if (mProposals % 2 == 0) {
            mNodes[it->mFrom]->OnSendFailed(it->mTo, 0);
          }
          mNetwork.erase(it);
        }
        break;
      case 4:
        if (!mNetwork.empty() && mNetwork.size() < 500) {
          mNetwork.push_back(mNetwork[static_cast<std::size_t>(aAction / 16) %
                                      mNetwork.size()]);
        }
        break;
      case 5:
        mNow += aAction / 16 % 400;
        mNodes[id]->Tick(mNow);
        break;
      case 6:
        mNow += 60;
        for (const std::string& each : mIds) {
          mNodes[each]->Tick(mNow);
        }
        break;
      case 7:
        mNodes[id]->ConfirmRead(
            [this, id, seen = mAccepted.size()](bool aConfirmed) {
              // A confirmed read returns all that was accepted when it started.
              mConsistent =
                  mConsistent && (!aConfirmed || mApplied[id].size() >= seen);
            });
        break;
      default:
        Deliver(static_cast<std::size_t>(aAction / 16));
        break;
    }
  }

  void Deliver(std::size_t aPosition) {
    if (mNetwork.empty()) {
      return;
    }
    const auto it = mNetwork.begin() +
                    static_cast<std::ptrdiff_t>(aPosition % mNetwork.size());
    const RaftMessage message = *it;
    mNetwork.erase(it);
    const bool gone = mLostVoters.contains(message.mFrom) ||
                      mLostVoters.contains(message.mTo);
    if (!gone && message.mFrom != mPartitioned && message.mTo != mPartitioned) {
      mNodes[message.mTo]->Receive(message, mNow);
    }
  }

  /// Heals the network and runs the remaining voters for 20 s. Returns whether
  /// they accepted a new command and have equal histories.
  bool HealAndConverge() {
    mPartitioned.clear();
    const std::size_t before = mAccepted.size();
    for (int i = 0; i < 400; i++) {
      mNow += 50;
      for (const std::string& id : mIds) {
        if (!mLostVoters.contains(id)) {
          mNodes[id]->Tick(mNow);
        }
      }
      for (int n = 0; n < 2000 && !mNetwork.empty(); n++) {
        Deliver(0);
      }
      if (i == 200) {
        for (const std::string& id : mIds) {
          if (!mLostVoters.contains(id)) {
            mNodes[id]->Propose("last");
          }
        }
      }
    }
    bool equal = mAccepted.size() > before;
    for (const std::string& id : mIds) {
      equal = equal && (mLostVoters.contains(id) ||
                        mApplied[id].size() == mAccepted.size());
    }
    return equal;
  }

  bool IsConsistent() const { return mConsistent; }

  /// All voters lose power, and aLost of them their disks. Messages in transit
  /// are lost; the other voters restart from their disks. The disk determines
  /// the identity of a voter, so a voter without its disk is no longer a
  /// member. aVoteAgain plants the defect that it rejoins under its old
  /// identity.
  void LosePowerAndDisks(int aLost, bool aVoteAgain) {
    mNetwork.clear();
    mPartitioned.clear();
    for (const std::string& id : mIds) {
      const bool lost = aLost-- > 0;
      if (lost) {
        mStorages[id] = std::make_unique<MemoryStorage>();
      }
      if (lost && !aVoteAgain) {
        mLostVoters.insert(id);
      } else {
        StartVoter(id);
      }
    }
  }

  std::map<std::string, std::unique_ptr<MemoryStorage>> mStorages;
  std::map<std::string, std::unique_ptr<RaftNode>> mNodes;
  std::vector<std::string> mIds;
  Millis mNow = 0;

 private:
  bool mForgetsState;
  std::map<std::string, std::vector<std::string>> mApplied;
  std::vector<RaftMessage> mNetwork;
  std::vector<std::string> mAccepted;
  std::string mPartitioned;
  std::set<std::string> mLostVoters;  ///< Voters that lost their disks.
  int mProposals = 0;
  int mCrashes = 0;
  std::uint64_t mSeed = 0;
  bool mConsistent = true;
};

/// Runs random actions. Returns false if the oracle finds a contradiction.
bool KeepsAcceptedEntries(int aVoters, const std::vector<int>& aActions,
                          bool aForgetsState) {
  RaftCluster cluster(aVoters, aForgetsState);
  for (int action : aActions) {
    cluster.Step(action);
    if (!cluster.IsConsistent()) {
      return false;
    }
  }
  return aForgetsState || (cluster.HealAndConverge() && cluster.IsConsistent());
}

rc::Gen<std::vector<int>> RandomActions(int aCount) {
  return rc::gen::container<std::vector<int>>(static_cast<std::size_t>(aCount),
                                              rc::gen::inRange(0, 16 * 1024));
}

}  // namespace

Test(raft_fuzz, committed_entries_survive_faults_with_three_voters) {
  cr_assert(rc::check("three voters", [] {
    RC_ASSERT(KeepsAcceptedEntries(3, *RandomActions(1500), false));
  }));
}

Test(raft_fuzz, committed_entries_survive_faults_with_five_voters) {
  cr_assert(rc::check("five voters", [] {
    RC_ASSERT(KeepsAcceptedEntries(5, *RandomActions(1500), false));
  }));
}

/// Returns false if an accepted command is lost together with the disks, or if
/// the remaining voters stop accepting commands.
bool KeepsAcceptedEntriesAfterLostDisks(int aVoters, int aLost,
                                        const std::vector<int>& aActions,
                                        bool aVoteAgain) {
  RaftCluster cluster(aVoters, false);
  for (int action : aActions) {
    cluster.Step(action);
  }
  cluster.LosePowerAndDisks(aLost, aVoteAgain);
  return cluster.HealAndConverge() && cluster.IsConsistent();
}

Test(raft_fuzz, committed_entries_survive_power_loss_and_lost_disks) {
  cr_assert(rc::check("one disk of three", [] {
    RC_ASSERT(
        KeepsAcceptedEntriesAfterLostDisks(3, 1, *RandomActions(600), false));
  }));
  cr_assert(rc::check("two disks of five", [] {
    RC_ASSERT(
        KeepsAcceptedEntriesAfterLostDisks(5, 2, *RandomActions(600), false));
  }));
}

Test(raft_fuzz, detects_a_voter_that_votes_after_losing_its_disk) {
  std::mt19937 random(7);
  bool caught = false;
  for (int round = 0; round < 400 && !caught; round++) {
    std::vector<int> actions;
    for (int i = 0; i < 600; i++) {
      actions.push_back(std::uniform_int_distribution<int>(0, 16383)(random));
    }
    caught = !KeepsAcceptedEntriesAfterLostDisks(5, 3, actions, true);
  }
  CHECK(caught);
}

Test(raft_fuzz, detects_a_voter_that_loses_its_persistent_state) {
  // Verifies that the oracle can fail: it must find a planted defect.
  std::mt19937 random(5);
  bool caught = false;
  for (int round = 0; round < 200 && !caught; round++) {
    std::vector<int> actions;
    for (int i = 0; i < 1500; i++) {
      actions.push_back(std::uniform_int_distribution<int>(0, 16383)(random));
    }
    caught = !KeepsAcceptedEntries(3, actions, true);
  }
  CHECK(caught);
}

Test(raft, initial_voters_are_stored_across_restarts) {
  // Guards against a restart of all voters after which none of them knew that
  // it was a voter.
  MemoryStorage storage;
  RaftOptions options;
  options.mId = "v0";
  options.mVoters = {"v0"};
  options.mStorage = &storage;
  options.mSend = [](const RaftMessage&) {};
  options.mApply = [](const LogEntry&) {};
  options.mInstallSnapshot = [](const std::string&) {};
  const RaftNode first(options, 0);
  options.mVoters.clear();
  RaftNode second(options, 0);
  second.Tick(10000);
  CHECK(second.Leads());
}

Test(raft, a_stale_snapshot_removes_no_acknowledged_entries) {
  // Guards against a snapshot older than the acknowledged entries that removed
  // the entries after it.
  MemoryStorage storage;
  std::vector<RaftMessage> sent;
  RaftOptions options;
  options.mId = "v0";
  options.mVoters = {"v0", "v1", "v2"};
  options.mStorage = &storage;
  options.mSend = [&](const RaftMessage& aMessage) {
    sent.push_back(aMessage);
  };
  options.mApply = [](const LogEntry&) {};
  options.mMakeSnapshot = [] { return std::string(); };
  options.mInstallSnapshot = [](const std::string&) {};
  RaftNode node(options, 0);
  RaftMessage append;
  append.mFrom = "v1";
  append.mTo = "v0";
  append.mTerm = 1;
  for (std::int64_t i = 1; i <= 4; i++) {
    append.mEntries.push_back({i, 1, "p" + std::to_string(i), {}});
  }
  node.Receive(append, 1);
  REQUIRE(sent.back().mGranted && sent.back().mIndex == 4);
  RaftMessage stale = append;
  stale.mKind = RaftKind::kSnapshot;
  stale.mEntries.clear();
  stale.mSnapshot = {.mIndex = 2, .mTerm = 1, .mVoters = options.mVoters};
  node.Receive(stale, 2);
  CHECK(node.LastIndex() == 4);
  CHECK(storage.Load().mEntries.size() == 2);
}

Test(raft, a_voter_stops_after_a_storage_failure) {
  RaftCluster cluster(3, false);
  cr_assert(cluster.HealAndConverge());
  for (const std::string& id : cluster.mIds) {
    if (cluster.mNodes[id]->Role() == RaftRole::kLeader) {
      cluster.mStorages[id]->mFailing = true;
      CHECK(cluster.mNodes[id]->Propose("x") == 0);
      CHECK(cluster.mNodes[id]->Failed() && !cluster.mNodes[id]->Leads());
      break;
    }
  }
  SECTION("the other voters elect a leader") {
    for (int i = 0; i < 100; i++) {
      cluster.mNow += 50;
      for (const std::string& id : cluster.mIds) {
        cluster.mNodes[id]->Tick(cluster.mNow);
      }
      for (std::size_t n = 0; n < 100; n++) {
        cluster.Deliver(0);
      }
    }
    int leaders = 0;
    for (const std::string& id : cluster.mIds) {
      leaders += cluster.mNodes[id]->Leads() ? 1 : 0;
    }
    CHECK(leaders == 1);
  }
}

Test(raft, only_one_voter_is_changed_at_a_time) {
  RaftCluster cluster(3, false);
  cr_assert(cluster.HealAndConverge());
  for (const std::string& id : cluster.mIds) {
    RaftNode& node = *cluster.mNodes[id];
    if (!node.Leads()) {
      continue;
    }
    SECTION("a change of two voters, or to none, is refused") {
      CHECK(node.ProposeVoters({"v0", "x", "y"}) == 0);
      CHECK(node.ProposeVoters({}) == 0);
    }
    SECTION(
        "one change is accepted, a second not before the first is committed") {
      std::vector<std::string> fewer;
      for (const std::string& voter : cluster.mIds) {
        if (voter == id || fewer.empty() || fewer.back() == id) {
          fewer.push_back(voter);
        }
      }
      fewer.resize(2);
      if (std::find(fewer.begin(), fewer.end(), id) == fewer.end()) {
        fewer.back() = id;
      }
      CHECK(node.ProposeVoters(fewer) != 0);
      CHECK(node.ProposeVoters(cluster.mIds) == 0);
    }
    return;
  }
  cr_assert_fail("no leader");
}

// A voter that was removed while it ran learned nothing of it: it took itself
// for a voter without a leader, and asked for votes until its process ended.
Test(raft, a_removed_voter_learns_that_it_votes_no_longer) {
  RaftCluster cluster(3, false);
  cr_assert(cluster.HealAndConverge());
  const auto leader = std::find_if(
      cluster.mIds.begin(), cluster.mIds.end(),
      [&](const std::string& aId) { return cluster.mNodes[aId]->Leads(); });
  cr_assert(leader != cluster.mIds.end());
  const std::string removed =
      cluster.mIds.front() == *leader ? cluster.mIds[1] : cluster.mIds.front();
  std::vector<std::string> fewer = cluster.mIds;
  std::erase(fewer, removed);
  REQUIRE(cluster.mNodes[*leader]->ProposeVoters(fewer) != 0);
  for (int i = 0; i < 100; i++) {
    cluster.Deliver(0);
  }
  CHECK(cluster.mNodes[removed]->Voters() == fewer);
  SECTION("it asks for no votes") {
    cluster.mNow += 5000;
    cluster.mNodes[removed]->Tick(cluster.mNow);
    CHECK(cluster.mNodes[removed]->Role() == RaftRole::kFollower);
  }
}

// Votes from slow disks were dropped once the candidate's own time was over,
// while the voters refused the next election for the sake of this one.
Test(raft, votes_count_until_the_next_candidacy) {
  MemoryStorage storage;
  std::vector<RaftMessage> sent;
  RaftOptions options;
  options.mId = "v0";
  options.mVoters = {"v0", "v1", "v2"};
  options.mStorage = &storage;
  options.mSend = [&](const RaftMessage& aMessage) {
    sent.push_back(aMessage);
  };
  options.mApply = [](const LogEntry&) {};
  options.mInstallSnapshot = [](const std::string&) {};
  RaftNode node(options, 0);
  const auto granted = [&](RaftKind aKind, const RaftMessage& aRequest) {
    RaftMessage reply;
    reply.mKind = aKind;
    reply.mFrom = "v1";
    reply.mTo = "v0";
    reply.mTerm = aRequest.mTerm;
    reply.mRound = aRequest.mRound;
    reply.mGranted = true;
    return reply;
  };
  Millis now = 2 * options.mElectionTimeout;
  node.Tick(now);
  REQUIRE(node.Role() == RaftRole::kPreCandidate);
  node.Receive(granted(RaftKind::kPreVoteReply, sent.back()), now);
  REQUIRE(node.Role() == RaftRole::kCandidate);
  const RaftMessage request = sent.back();
  now += 10 * options.mElectionTimeout;
  node.Tick(now);
  REQUIRE(node.Role() == RaftRole::kPreCandidate);
  SECTION("a vote for another candidacy doesn't count") {
    RaftMessage other = granted(RaftKind::kVoteReply, request);
    other.mRound++;
    node.Receive(other, now);
    CHECK(node.Role() == RaftRole::kPreCandidate);
  }
  SECTION("a late vote for the last one does") {
    node.Receive(granted(RaftKind::kVoteReply, request), now);
    CHECK(node.Role() == RaftRole::kLeader);
    CHECK(node.Term() == request.mTerm);
    CHECK(node.FailedElections() == 0);
  }
}

// A voter whose committed entries were replaced read behind the end of its log.
Test(raft, a_committed_entry_is_not_replaced) {
  MemoryStorage storage;
  std::vector<RaftMessage> sent;
  RaftOptions options;
  options.mId = "v0";
  options.mVoters = {"v0", "v1", "v2"};
  options.mStorage = &storage;
  options.mSend = [&](const RaftMessage& aMessage) {
    sent.push_back(aMessage);
  };
  options.mApply = [](const LogEntry&) {};
  options.mInstallSnapshot = [](const std::string&) {};
  RaftNode node(options, 0);
  RaftMessage append;
  append.mFrom = "v1";
  append.mTo = "v0";
  append.mTerm = 1;
  append.mCommit = 3;
  for (std::int64_t i = 1; i <= 3; i++) {
    append.mEntries.push_back({i, 1, "p" + std::to_string(i), {}});
  }
  node.Receive(append, 1);
  REQUIRE(node.CommitIndex() == 3);
  append.mFrom = "v2";
  append.mTerm = 2;
  append.mEntries = {{1, 2, "other", {}}};
  node.Receive(append, 2);
  CHECK(!sent.back().mGranted);
  CHECK(node.LastIndex() == 3);
}
