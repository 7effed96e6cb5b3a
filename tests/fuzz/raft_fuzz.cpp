/// Stateful fuzzing of the replicated log against a simple oracle: what was
/// once accepted stays, in its place, on every voter.
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <random>
#include <set>

#include "spindleweir/servers/consensus/raft_node.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

/// A disk that keeps all that was saved; a crash loses nothing of it.
class MemoryStorage : public RaftStorage {
 public:
  DurableState Load() override { return mState; }
  void SaveHardState(const HardState& aState) override {
    FailIfAsked();
    mState.mHardState = aState;
  }
  void Append(std::span<const LogEntry> aEntries) override {
    FailIfAsked();
    const std::int64_t keep =
        aEntries.front().mIndex - mState.mSnapshot.mIndex - 1;
    mState.mEntries.resize(static_cast<std::size_t>(keep));
    mState.mEntries.insert(mState.mEntries.end(), aEntries.begin(),
                           aEntries.end());
  }
  void SaveSnapshot(const Snapshot& aSnapshot, std::span<const LogEntry> aRest,
                    const HardState& aState) override {
    FailIfAsked();
    mState.mSnapshot = aSnapshot;
    mState.mEntries.assign(aRest.begin(), aRest.end());
    mState.mHardState = aState;
  }

  bool mFail = false;

 private:
  void FailIfAsked() const {
    if (mFail) {
      throw Error(ResultCode::kStorageFailed, "asked to fail");
    }
  }
  DurableState mState;
};

/// Voters, a network that loses, reorders and doubles, and the oracle.
class World {
 public:
  World(int aVoters, bool aPlantedDefect) : mDefect(aPlantedDefect) {
    for (int i = 0; i < aVoters; i++) {
      mIds.push_back("v" + std::to_string(i));
    }
    for (const std::string& id : mIds) {
      mStorages[id] = std::make_unique<MemoryStorage>();
      Start(id);
    }
  }

  void Start(const std::string& aId) {
    mApplied[aId].clear();
    if (mDefect) {
      // The planted defect: a voter that forgets what it promised.
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
      Judge(aId);
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
      Judge(aId);
    };
    mNodes[aId] = std::make_unique<RaftNode>(std::move(options), mNow);
  }

  /// The oracle: all voters' histories are prefixes of one history.
  void Judge(const std::string& aId) {
    const std::vector<std::string>& own = mApplied[aId];
    for (std::size_t i = 0; i < own.size(); i++) {
      if (i == mAccepted.size()) {
        mAccepted.push_back(own[i]);
      }
      mGood = mGood && mAccepted[i] == own[i];
    }
  }

  void Step(int aDice) {
    const std::string& id =
        mIds[static_cast<std::size_t>(aDice / 16) % mIds.size()];
    switch (aDice % 16) {
      case 0:
        mNodes[id]->Propose("p" + std::to_string(++mProposals));
        break;
      case 1:
        if (mCrashes < 40) {
          mCrashes++;
          Start(id);
        }
        break;
      case 2:
        mCut = mCut == id ? "" : id;
        break;
      case 3:
        if (!mNetwork.empty()) {
          const auto it =
              mNetwork.begin() + aDice / 16 % static_cast<int>(mNetwork.size());
          // Its sender may learn of it, also where a double still arrives.
          if (mProposals % 2 == 0) {
            mNodes[it->mFrom]->OnSendFailed(it->mTo, 0);
          }
          mNetwork.erase(it);
        }
        break;
      case 4:
        if (!mNetwork.empty() && mNetwork.size() < 500) {
          mNetwork.push_back(
              mNetwork[static_cast<std::size_t>(aDice / 16) % mNetwork.size()]);
        }
        break;
      case 5:
        mNow += aDice / 16 % 400;
        mNodes[id]->Tick(mNow);
        break;
      case 6:
        mNow += 60;
        for (const std::string& each : mIds) {
          mNodes[each]->Tick(mNow);
        }
        break;
      case 7:
        mNodes[id]->ConfirmRead([this, id, seen = mAccepted.size()](bool aYes) {
          // A confirmed read shows all that was accepted when it was asked.
          mGood = mGood && (!aYes || mApplied[id].size() >= seen);
        });
        break;
      default:
        Deliver(static_cast<std::size_t>(aDice / 16));
        break;
    }
  }

  void Deliver(std::size_t aWhich) {
    if (mNetwork.empty()) {
      return;
    }
    const auto it = mNetwork.begin() +
                    static_cast<std::ptrdiff_t>(aWhich % mNetwork.size());
    const RaftMessage message = *it;
    mNetwork.erase(it);
    const bool gone =
        mGone.contains(message.mFrom) || mGone.contains(message.mTo);
    if (!gone && message.mFrom != mCut && message.mTo != mCut) {
      mNodes[message.mTo]->Receive(message, mNow);
    }
  }

  /// Heals everything and lets the voters that are left agree and go on.
  bool Settle() {
    mCut.clear();
    const std::size_t before = mAccepted.size();
    for (int i = 0; i < 400; i++) {
      mNow += 50;
      for (const std::string& id : mIds) {
        if (!mGone.contains(id)) {
          mNodes[id]->Tick(mNow);
        }
      }
      for (int n = 0; n < 2000 && !mNetwork.empty(); n++) {
        Deliver(0);
      }
      if (i == 200) {
        for (const std::string& id : mIds) {
          if (!mGone.contains(id)) {
            mNodes[id]->Propose("last");
          }
        }
      }
    }
    bool equal = mAccepted.size() > before;
    for (const std::string& id : mIds) {
      equal = equal &&
              (mGone.contains(id) || mApplied[id].size() == mAccepted.size());
    }
    return equal;
  }

  bool Good() const { return mGood; }

  /// Power is lost everywhere, and some disks with it: what was on its way is
  /// gone, all others start from their disks. A voter is what its disk says it
  /// is, so that one without comes back as another and has no vote here; the
  /// planted defect lets it vote under its old name.
  void LosePowerAndDisks(int aLost, bool aVotesAgain) {
    mNetwork.clear();
    mCut.clear();
    for (const std::string& id : mIds) {
      const bool lost = aLost-- > 0;
      if (lost) {
        mStorages[id] = std::make_unique<MemoryStorage>();
      }
      if (lost && !aVotesAgain) {
        mGone.insert(id);
      } else {
        Start(id);
      }
    }
  }

  std::map<std::string, std::unique_ptr<MemoryStorage>> mStorages;
  std::map<std::string, std::unique_ptr<RaftNode>> mNodes;
  std::vector<std::string> mIds;
  Millis mNow = 0;

 private:
  bool mDefect;
  std::map<std::string, std::vector<std::string>> mApplied;
  std::vector<RaftMessage> mNetwork;
  std::vector<std::string> mAccepted;
  std::string mCut;
  std::set<std::string> mGone;  ///< Their disks are lost.
  int mProposals = 0;
  int mCrashes = 0;
  std::uint64_t mSeed = 0;
  bool mGood = true;
};

/// Runs dice against a world; false where the oracle was contradicted.
bool Survives(int aVoters, const std::vector<int>& aDice, bool aDefect) {
  World world(aVoters, aDefect);
  for (int dice : aDice) {
    world.Step(dice);
    if (!world.Good()) {
      return false;
    }
  }
  return aDefect || (world.Settle() && world.Good());
}

rc::Gen<std::vector<int>> Dice(int aCount) {
  return rc::gen::container<std::vector<int>>(static_cast<std::size_t>(aCount),
                                              rc::gen::inRange(0, 16 * 1024));
}

}  // namespace

Test(raft_fuzz, what_is_accepted_stays_on_three_voters) {
  cr_assert(rc::check("three voters",
                      [] { RC_ASSERT(Survives(3, *Dice(1500), false)); }));
}

Test(raft_fuzz, what_is_accepted_stays_on_five_voters) {
  cr_assert(rc::check("five voters",
                      [] { RC_ASSERT(Survives(5, *Dice(1500), false)); }));
}

/// False where something accepted is lost with these disks, or the rest stops.
bool SurvivesLostDisks(int aVoters, int aLost, const std::vector<int>& aDice,
                       bool aVotesAgain) {
  World world(aVoters, false);
  for (int dice : aDice) {
    world.Step(dice);
  }
  world.LosePowerAndDisks(aLost, aVotesAgain);
  return world.Settle() && world.Good();
}

Test(raft_fuzz, what_is_accepted_survives_lost_disks_and_lost_power_of_all) {
  cr_assert(rc::check("one disk of three", [] {
    RC_ASSERT(SurvivesLostDisks(3, 1, *Dice(600), false));
  }));
  cr_assert(rc::check("two disks of five", [] {
    RC_ASSERT(SurvivesLostDisks(5, 2, *Dice(600), false));
  }));
}

Test(raft_fuzz, a_voter_that_lost_its_disk_and_votes_is_caught) {
  std::mt19937 random(7);
  bool caught = false;
  for (int round = 0; round < 400 && !caught; round++) {
    std::vector<int> dice;
    for (int i = 0; i < 600; i++) {
      dice.push_back(std::uniform_int_distribution<int>(0, 16383)(random));
    }
    caught = !SurvivesLostDisks(5, 3, dice, true);
  }
  CHECK(caught);
}

Test(raft_fuzz, a_voter_that_forgets_is_caught) {
  // The check must be able to fail: a planted defect has to be found.
  std::mt19937 random(5);
  bool caught = false;
  for (int round = 0; round < 200 && !caught; round++) {
    std::vector<int> dice;
    for (int i = 0; i < 1500; i++) {
      dice.push_back(std::uniform_int_distribution<int>(0, 16383)(random));
    }
    caught = !Survives(3, dice, true);
  }
  CHECK(caught);
}

Test(raft, the_first_voters_are_remembered) {
  // Found by a test of a deployment: after a restart of all voters none of
  // them knew that it was one.
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

Test(raft, a_late_snapshot_takes_back_nothing_that_was_acknowledged) {
  // Found by the fuzzer: a snapshot older than what a voter has acknowledged
  // made it forget the entries after the snapshot.
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
  RaftMessage late = append;
  late.mKind = RaftKind::kSnapshot;
  late.mEntries.clear();
  late.mSnapshot = {.mIndex = 2, .mTerm = 1, .mVoters = options.mVoters};
  node.Receive(late, 2);
  CHECK(node.LastIndex() == 4);
  CHECK(storage.Load().mEntries.size() == 2);
}

Test(raft, a_voter_whose_disk_fails_promises_nothing_more) {
  World world(3, false);
  cr_assert(world.Settle());
  for (const std::string& id : world.mIds) {
    if (world.mNodes[id]->Role() == RaftRole::kLeader) {
      world.mStorages[id]->mFail = true;
      CHECK(world.mNodes[id]->Propose("x") == 0);
      CHECK(world.mNodes[id]->Failed() && !world.mNodes[id]->Leads());
      break;
    }
  }
  SECTION("the others go on") {
    for (int i = 0; i < 100; i++) {
      world.mNow += 50;
      for (const std::string& id : world.mIds) {
        world.mNodes[id]->Tick(world.mNow);
      }
      for (std::size_t n = 0; n < 100; n++) {
        world.Deliver(0);
      }
    }
    int leaders = 0;
    for (const std::string& id : world.mIds) {
      leaders += world.mNodes[id]->Leads() ? 1 : 0;
    }
    CHECK(leaders == 1);
  }
}

Test(raft, a_lost_voter_is_replaced_one_step_at_a_time) {
  World world(3, false);
  cr_assert(world.Settle());
  for (const std::string& id : world.mIds) {
    RaftNode& node = *world.mNodes[id];
    if (!node.Leads()) {
      continue;
    }
    SECTION("two steps at once are refused") {
      CHECK(node.ProposeVoters({"v0", "x", "y"}) == 0);
      CHECK(node.ProposeVoters({}) == 0);
    }
    SECTION("one is taken, and no second before it is accepted") {
      std::vector<std::string> fewer;
      for (const std::string& voter : world.mIds) {
        if (voter == id || fewer.empty() || fewer.back() == id) {
          fewer.push_back(voter);
        }
      }
      fewer.resize(2);
      if (std::find(fewer.begin(), fewer.end(), id) == fewer.end()) {
        fewer.back() = id;
      }
      CHECK(node.ProposeVoters(fewer) != 0);
      CHECK(node.ProposeVoters(world.mIds) == 0);
    }
    return;
  }
  cr_assert_fail("no leader");
}
