#include <random>

#include "spindleweir/servers/membership/entry_vms.h"
#include "spindleweir/servers/membership/leaving_set.h"
#include "spindleweir/servers/membership/member_table.h"
#include "spindleweir/servers/membership/steward_lease.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

/// Members that probe each other over a network with faults.
struct MemberNetwork {
  explicit MemberNetwork(int aCount) {
    for (int i = 0; i < aCount; i++) {
      mIds.push_back("m" + std::to_string(i));
    }
    for (const std::string& id : mIds) {
      MemberTableOptions options;
      options.mId = id;
      options.mSeed = mIds.size();
      options.mSendProbe = [this, id](const std::string& aTarget,
                                      const std::string& aVia) {
        Probe(id, aTarget, aVia);
      };
      options.mOnStateChange = [](const MemberUpdate&) {};
      mTables[id] = std::make_unique<MemberTable>(options, 0);
      mTables[id]->SetMembers(mIds, 0);
    }
  }

  bool Reaches(const std::string& aFrom, const std::string& aTo) const {
    return !mDown.contains(aFrom) && !mDown.contains(aTo) &&
           !mCut.contains(aFrom + ">" + aTo) &&
           !mCut.contains(aTo + ">" + aFrom);
  }

  void Probe(const std::string& aFrom, const std::string& aTarget,
             const std::string& aVia) {
    const bool direct = aVia.empty() && Reaches(aFrom, aTarget);
    const bool indirect =
        !aVia.empty() && Reaches(aFrom, aVia) && Reaches(aVia, aTarget);
    if (direct) {
      mTables[aTarget]->ApplyUpdates(mTables[aFrom]->NextGossip(), mNow);
      mTables[aFrom]->ApplyUpdates(mTables[aTarget]->NextGossip(), mNow);
    }
    if (direct || indirect) {
      mTables[aFrom]->OnProbeAnswered(aTarget, mNow);
    }
  }

  void Run(Millis aTime) {
    for (const Millis end = mNow + aTime; mNow < end; mNow += 50) {
      for (const std::string& id : mIds) {
        if (!mDown.contains(id)) {
          mTables[id]->Tick(mNow);
        }
      }
    }
  }

  /// How many running members see aId in a state.
  int SeenAs(const std::string& aId, MemberState aState) const {
    int count = 0;
    for (const auto& [id, table] : mTables) {
      const bool counts = id != aId && !mDown.contains(id);
      count += counts && table->StateOf(aId) == aState ? 1 : 0;
    }
    return count;
  }

  Millis mNow = 0;
  std::vector<std::string> mIds;
  std::map<std::string, std::unique_ptr<MemberTable>> mTables;
  std::set<std::string> mDown;
  std::set<std::string> mCut;  ///< Links as "FROM>TO", cut in both directions.
};

LeaseOptions MakeLease(const std::string& aId, std::size_t aVoters) {
  LeaseOptions options;
  options.mId = aId;
  options.mVoters = aVoters;
  options.mRandom = [] { return 0.5; };
  return options;
}

}  // namespace

Test(member_table, a_dead_member_is_detected_by_all_and_comes_back) {
  MemberNetwork network(8);
  network.Run(5000);
  CHECK(network.SeenAs("m3", MemberState::kAlive) == 7);
  network.mDown.insert("m3");
  network.Run(8000);
  CHECK(network.SeenAs("m3", MemberState::kDead) == 7);
  SECTION("a member suspended for minutes is alive for all again") {
    network.Run(120000);
    network.mDown.clear();
    network.Run(10000);
    CHECK(network.SeenAs("m3", MemberState::kAlive) == 7);
    for (const std::string& id : network.mIds) {
      CHECK(network.SeenAs(id, MemberState::kAlive) == 7);
    }
  }
}

Test(member_table, members_cut_off_from_each_other_only_stay_alive) {
  MemberNetwork network(5);
  network.Run(5000);
  network.mCut.insert("m0>m1");
  network.Run(30000);
  CHECK(network.SeenAs("m1", MemberState::kDead) == 0);
  CHECK(network.SeenAs("m0", MemberState::kDead) == 0);
}

Test(leaving_set, keeps_a_vm_until_a_newer_incarnation) {
  LeavingSet set;
  set.OnSeen("vm", 5);
  CHECK(set.Add({"vm", 0}));
  CHECK(!set.Add({"vm", 0}));
  SECTION("a report of the same incarnation changes nothing") {
    set.OnSeen("vm", 5);
    CHECK(set.Contains("vm"));
  }
  SECTION("a newer one removes it, and an old notice does not add it again") {
    set.OnSeen("vm", 6);
    CHECK(!set.Contains("vm"));
    CHECK(!set.Add({"vm", 5}));
    CHECK(!set.Contains("vm"));
  }
  SECTION("a drain lasts until the configuration ends it") {
    set.SetDrained({"vm"});
    set.OnSeen("vm", 9);
    CHECK(set.Contains("vm"));
    set.SetDrained({});
    CHECK(!set.Contains("vm"));
  }
}

Test(leaving_set, removes_vms_that_are_not_known_any_more) {
  LeavingSet set;
  CHECK(!set.Add({"stranger", 0}));
  set.Retain({"vm"}, 0);
  CHECK(set.Add({"vm", 0}));
  set.Retain({}, 300000);
  CHECK(set.Contains("vm"));
  set.Retain({}, 700000);
  CHECK(set.Notices().empty());
  SECTION("a late notice from a peer does not add it again") {
    CHECK(!set.Add({"vm", 0}));
  }
}

Test(steward_lease, a_restarted_voter_abstains_for_one_duration) {
  LeaseVoter voter(MakeLease("v", 1), 1000);
  CHECK(!voter.Handle({.mCandidate = "a", .mEpoch = 1}, 1500).mGranted);
  CHECK(voter.Handle({.mCandidate = "a", .mEpoch = 1}, 4000).mGranted);
  SECTION("no other candidate is granted the lease during a promise") {
    CHECK(!voter.Handle({.mCandidate = "b", .mEpoch = 2}, 6900).mGranted);
    CHECK(voter.Handle({.mCandidate = "b", .mEpoch = 2}, 7000).mGranted);
  }
  SECTION(
      "no other candidate is granted it with an epoch that is not greater") {
    CHECK(!voter.Handle({.mCandidate = "c", .mEpoch = 2}, 20000).mGranted);
    CHECK(voter.Handle({.mCandidate = "c", .mEpoch = 3}, 20000).mGranted);
  }
}

Test(steward_lease, candidates_that_start_together_agree_on_one) {
  // Guards against a lease that no router gets: eight routers that start at
  // once split the votes, and each keeps renewing the few that it has.
  std::mt19937 random(3);
  std::vector<std::unique_ptr<LeaseVoter>> voters;
  std::vector<std::unique_ptr<LeaseHolder>> holders;
  Millis now = 0;
  constexpr int kCount = 8;
  for (int i = 0; i < kCount; i++) {
    LeaseOptions options = MakeLease("r" + std::to_string(i), kCount);
    options.mRandom = [&random] {
      return std::uniform_real_distribution<double>(0, 1)(random);
    };
    voters.push_back(std::make_unique<LeaseVoter>(options, -10000));
    holders.push_back(std::make_unique<LeaseHolder>(
        options, 0, [&, i](const LeaseRequest& aRequest) {
          // Each sends to its own voter first, then to the others in turn.
          for (int n = 0; n < kCount; n++) {
            LeaseVoter& voter = *voters[static_cast<std::size_t>(
                (i + n * (i % 2 == 0 ? 1 : 3)) % kCount)];
            holders[static_cast<std::size_t>(i)]->Handle(
                voter.Handle(aRequest, now), now);
          }
        }));
  }
  // Worst case: each voter has granted another candidate.
  for (int i = 0; i < kCount; i++) {
    voters[static_cast<std::size_t>(i)]->Handle(
        {.mCandidate = "r" + std::to_string(i), .mEpoch = 1}, 0);
  }
  int held = 0;
  for (now = 0; now < 30000; now += 50) {
    int holding = 0;
    for (const auto& holder : holders) {
      holder->Tick(now);
    }
    for (const auto& holder : holders) {
      holding += holder->Holds(now) ? 1 : 0;
    }
    CHECK(holding <= 1);
    held += holding;
  }
  // Once a candidate has the lease, it keeps it.
  CHECK(held > 500);
}

Test(steward_lease, the_lease_ends_before_the_promise_of_a_voter) {
  LeaseHolder* self = nullptr;
  LeaseVoter voter(MakeLease("v", 1), -10000);
  Millis now = 0;
  bool reachable = true;
  LeaseHolder holder(MakeLease("a", 1), 0, [&](const LeaseRequest& aRequest) {
    if (reachable) {
      self->Handle(voter.Handle(aRequest, now), now);
    }
  });
  self = &holder;
  holder.Tick(now);
  CHECK(holder.Holds(now));
  reachable = false;
  Millis ended = 0;
  for (now = 0; now < 5000 && ended == 0; now += 10) {
    holder.Tick(now);
    ended = holder.Holds(now) ? 0 : now;
  }
  CHECK(ended > 0 && ended < 3000);
  CHECK(!voter.Handle({.mCandidate = "b", .mEpoch = 9}, ended).mGranted);
}

Test(entry_vms, invalid_lists_are_rejected) {
  const auto read = [](const char* aText) {
    return CodeThrownBy([&] { EntryVms::Parse(aText); });
  };
  CHECK(
      read(
          R"([{"id":"r","role":"router","zone":"z","address":"1.2.3.4:5"}])") ==
      ResultCode::kOk);
  for (const char* text :
       {"", "{}", R"([{"id":"r"}])",
        R"([{"id":"r","role":"x","zone":"z","address":"1.2.3.4:5"}])",
        R"([{"id":"r","role":"router","zone":"z","address":"nowhere"}])",
        R"([{"id":"r","role":"router","zone":"z","address":"1.2.3.4:5"},
            {"id":"r","role":"router","zone":"z","address":"1.2.3.4:6"}])"}) {
    SECTION(text) {
      CHECK(read(text) == ResultCode::kBadEntryVms);
    }
  }
}
