#include "tests/fuzz/successor_play.h"

#include <algorithm>

namespace spindleweir {

namespace {

constexpr Millis kElectionTimeout = 350;
constexpr Millis kHeartbeatInterval = 70;
constexpr Millis kTickInterval = 20;
constexpr Millis kPollInterval = 300;
constexpr Millis kPlanInterval = 100;
constexpr Millis kMessageTime = 3;
constexpr Millis kListWindow = 10000;
constexpr Millis kOperatorInterval = 250;
constexpr int kPort = 7000;
/// Steady clocks don't start at zero.
constexpr Millis kStart = 1000000;

/// From the start of a successor until its machine counts as sound.
constexpr Millis kCatchUp = 4000;
/// From the return of the machines until service is back.
constexpr Millis kRecovery = 12000;
/// Until a machine that was asked to end is killed.
constexpr Millis kGrace = 8000;
constexpr Millis kGrowth = 15000;
constexpr Millis kMaxGap = 2500;

}  // namespace

SuccessorPlay::SuccessorPlay(SuccessorPlayOptions aOptions)
    : mOptions(aOptions), mRandom(aOptions.mSeed), mNow(kStart) {
  std::vector<Endpoint> seeds;
  const int machines = mOptions.mVoters + mOptions.mSpares;
  for (int i = 0; i < machines; i++) {
    Machine& machine = AddMachine("z" + std::to_string(i % 3), {});
    if (i < 3) {
      seeds.push_back(machine.mAddress);
    }
  }
  for (const auto& machine : mMachines) {
    machine->mSeeds = seeds;
    machine->mId = ControlId(machine->mAddress, "first");
    Start(*machine, true);
  }
  Operate();
}

void SuccessorPlay::At(Millis aTime, std::function<void()> aDo) {
  mEvents.emplace(std::pair(aTime, ++mEventCount), std::move(aDo));
}

void SuccessorPlay::AtIn(Machine& aMachine, Millis aTime,
                         std::function<void()> aDo) {
  At(aTime, [&aMachine, life = aMachine.mLife, aDo = std::move(aDo)] {
    if (aMachine.mLife == life && aMachine.mNode != nullptr) {
      aDo();
    }
  });
}

bool SuccessorPlay::RunUntilTrue(Millis aTime,
                                 const std::function<bool()>& aCondition) {
  while (!aCondition()) {
    const auto next = mEvents.begin();
    if (next->first.first > aTime) {
      mNow = aTime;
      return false;
    }
    mNow = next->first.first;
    const std::function<void()> run = std::move(next->second);
    mEvents.erase(next);
    run();
    Watch();
  }
  return true;
}

void SuccessorPlay::RunUntil(Millis aTime) {
  RunUntilTrue(aTime, [] { return false; });
}

void SuccessorPlay::Tell(const std::string& aWhat) {
  mResult.mStory += std::to_string(mNow - kStart) + " " + aWhat + "\n";
}

SuccessorPlay::Machine& SuccessorPlay::AddMachine(
    const std::string& aZone, std::vector<Endpoint> aSeeds) {
  mMachines.push_back(std::make_unique<Machine>());
  Machine& machine = *mMachines.back();
  machine.mZone = aZone;
  machine.mAddress = {"10.0.0." + std::to_string(++mAddresses), kPort};
  machine.mSeeds = std::move(aSeeds);
  GiveDisk(machine);
  return machine;
}

void SuccessorPlay::GiveDisk(Machine& aMachine) {
  aMachine.mDisk = std::make_unique<DelayedStorage>();
  if (mOptions.mDefect == SuccessorDefect::kTellsEntriesEarly) {
    aMachine.mDisk->mDefect = StorageDefect::kTellsEntriesEarly;
  }
  aMachine.mSync = 2 + mRandom.Time(mOptions.mMaxSync);
  const bool keepsName = mOptions.mDefect == SuccessorDefect::kKeepsName;
  if (!keepsName || aMachine.mId.empty()) {
    aMachine.mId =
        ControlId(aMachine.mAddress, "disk" + std::to_string(++mDisks));
  }
}

void SuccessorPlay::Start(Machine& aMachine, bool aIsFirst) {
  aMachine.mLife++;
  aMachine.mIsSyncing = false;
  aMachine.mApplied.clear();
  aMachine.mProposed.clear();
  aMachine.mDirectory = std::make_unique<ControlDirectory>();
  aMachine.mDirectory->SetSeeds(aMachine.mSeeds);
  VoterChangesOptions changes{
      .mSelf = aMachine.mId,
      .mCatchUp = kCatchUp,
      .mTolerated = static_cast<std::size_t>(Tolerated())};
  if (mOptions.mDefect == SuccessorDefect::kWaitsTooLong) {
    changes.mCatchUp = 4 * kCatchUp;
  }
  if (mOptions.mDefect == SuccessorDefect::kEndsAtOnce) {
    changes.mStopTimeout = 0;
  }
  aMachine.mChanges = std::make_unique<VoterChanges>(changes, mNow);
  RaftOptions options;
  options.mId = aMachine.mId;
  if (aIsFirst) {
    for (const Endpoint& seed : aMachine.mSeeds) {
      options.mVoters.push_back(ControlId(seed, "first"));
    }
  }
  options.mElectionTimeout = kElectionTimeout;
  options.mHeartbeatInterval = kHeartbeatInterval;
  options.mSnapshotThresholdEntries = 16;
  options.mSeed = static_cast<std::uint64_t>(mRandom.Below(1 << 30));
  options.mStorage = aMachine.mDisk.get();
  options.mSend = [this, &aMachine](const RaftMessage& aMessage) {
    Send(aMachine, aMessage);
  };
  options.mApply = [this, &aMachine](const LogEntry& aEntry) {
    OnApplied(aMachine, aEntry);
  };
  options.mMakeSnapshot = [&aMachine] {
    std::string data;
    for (const auto& [index, payload] : aMachine.mApplied) {
      data += std::to_string(index) + ":" + payload + ",";
    }
    return data;
  };
  options.mInstallSnapshot = [&aMachine](const std::string& aData) {
    aMachine.mApplied.clear();
    for (std::size_t at = 0; at < aData.size();) {
      const std::size_t colon = aData.find(':', at);
      const std::size_t end = aData.find(',', at);
      aMachine.mApplied[std::stoll(aData.substr(at, colon - at))] =
          aData.substr(colon + 1, end - colon - 1);
      at = end + 1;
    }
  };
  aMachine.mNode = std::make_unique<RaftNode>(std::move(options), mNow);
  Tick(aMachine);
  Poll(aMachine);
  Plan(aMachine);
}

void SuccessorPlay::End(Machine& aMachine, bool aKeepsWrites) {
  aMachine.mLife++;
  aMachine.mNode.reset();
  aMachine.mDirectory.reset();
  aMachine.mDisk->Crash(aKeepsWrites ? SIZE_MAX : 0);
}

void SuccessorPlay::Stop(Machine& aMachine) {
  Tell("stop " + aMachine.mId);
  aMachine.mChanges->BeginStop(mNow);
  Poll(aMachine);
  AtIn(aMachine, mNow + kGrace, [this, &aMachine] {
    Tell("killed at the end of the grace " + aMachine.mId);
    End(aMachine, true);
  });
}

void SuccessorPlay::Tick(Machine& aMachine) {
  aMachine.mNode->Tick(mNow);
  BeginSync(aMachine);
  AtIn(aMachine, mNow + kTickInterval, [this, &aMachine] { Tick(aMachine); });
}

void SuccessorPlay::Plan(Machine& aMachine) {
  const std::vector<std::string> next =
      aMachine.mChanges->Step(*aMachine.mNode, *aMachine.mDirectory, mNow);
  if (!next.empty()) {
    std::string list;
    for (const std::string& id : next) {
      list += " " + id;
    }
    Tell(aMachine.mId + " changes voters to" + list);
    BeginSync(aMachine);
  }
  const bool toldOthers =
      mNow - aMachine.mChanges->StoppingSince() > 2 * kMessageTime;
  if (aMachine.mChanges->MayEnd(*aMachine.mNode, *aMachine.mDirectory,
                                toldOthers, mNow)) {
    Tell("ended " + aMachine.mId);
    End(aMachine, true);
    return;
  }
  AtIn(aMachine, mNow + kPlanInterval, [this, &aMachine] { Plan(aMachine); });
}

ControlInfo SuccessorPlay::InfoOf(const Machine& aMachine) const {
  return {.mId = aMachine.mId,
          .mZone = aMachine.mZone,
          .mIsStopping = aMachine.mChanges->IsStopping()};
}

void SuccessorPlay::Poll(Machine& aMachine) {
  aMachine.mDirectory->SetVoters(aMachine.mNode->Voters());
  for (const Endpoint& address : aMachine.mDirectory->Addresses(mNow)) {
    Machine* peer = RunningAt(address);
    const bool isReachable =
        peer != nullptr && !peer->mIsCutOff && !aMachine.mIsCutOff;
    if (!isReachable || peer == &aMachine) {
      continue;
    }
    AtIn(*peer, mNow + kMessageTime, [this, peer, info = InfoOf(aMachine)] {
      peer->mDirectory->OnSeen(info, mNow);
    });
    AtIn(aMachine, mNow + 2 * kMessageTime,
         [this, &aMachine, life = peer->mLife, peer] {
           if (peer->mLife != life || peer->mNode == nullptr) {
             return;
           }
           aMachine.mDirectory->OnSeen(InfoOf(*peer), mNow);
           for (const ControlInfo& info :
                peer->mDirectory->SeenWithin(kListWindow, mNow)) {
             aMachine.mDirectory->OnReported(info, mNow);
           }
         });
  }
  AtIn(aMachine, mNow + kPollInterval, [this, &aMachine] { Poll(aMachine); });
}

void SuccessorPlay::Send(Machine& aFrom, const RaftMessage& aMessage) {
  At(mNow + kMessageTime, [this, &aFrom, life = aFrom.mLife, aMessage] {
    Machine* to = RunningAt(AddressOfControl(aMessage.mTo));
    if (aFrom.mIsCutOff || (to != nullptr && to->mIsCutOff)) {
      return;
    }
    if (to != nullptr) {
      to->mNode->Receive(aMessage, mNow);
      BeginSync(*to);
    } else if (aFrom.mLife == life && aFrom.mNode != nullptr) {
      aFrom.mNode->OnSendFailed(aMessage.mTo, kMessageTime);
    }
  });
}

void SuccessorPlay::BeginSync(Machine& aMachine) {
  const std::size_t writes = aMachine.mDisk->Pending();
  if (aMachine.mNode == nullptr || aMachine.mIsSyncing || writes == 0) {
    return;
  }
  aMachine.mIsSyncing = true;
  AtIn(aMachine, mNow + aMachine.mSync, [this, &aMachine, writes] {
    aMachine.mDisk->Sync(writes);
    aMachine.mIsSyncing = false;
    aMachine.mNode->OnStorageProgress(mNow);
    BeginSync(aMachine);
  });
}

void SuccessorPlay::OnApplied(Machine& aMachine, const LogEntry& aEntry) {
  aMachine.mApplied[aEntry.mIndex] = aEntry.mPayload;
  const auto [it, isNew] = mHistory.emplace(aEntry.mIndex, aEntry.mPayload);
  mResult.mIsConsistent =
      mResult.mIsConsistent && it->second == aEntry.mPayload;
  const auto proposed = aMachine.mProposed.find(aEntry.mIndex);
  if (proposed != aMachine.mProposed.end() &&
      proposed->second == aEntry.mTerm) {
    mAcknowledged.insert(aEntry.mPayload);
  }
}

void SuccessorPlay::Operate() {
  Machine* leader = Leader();
  if (mOperates && leader != nullptr) {
    const std::int64_t index =
        leader->mNode->Propose("p" + std::to_string(++mPayloads));
    leader->mProposed[index] = leader->mNode->Term();
    BeginSync(*leader);
  }
  At(mNow + kOperatorInterval, [this] { Operate(); });
}

void SuccessorPlay::Watch() {
  for (const auto& machine : mMachines) {
    if (machine->mNode == nullptr ||
        machine->mNode->Role() != RaftRole::kLeader) {
      continue;
    }
    const auto [it, isNew] =
        mLeaders.emplace(machine->mNode->Term(), machine->mId);
    mResult.mIsConsistent = mResult.mIsConsistent && it->second == machine->mId;
  }
}

SuccessorPlay::Machine* SuccessorPlay::RunningAt(const Endpoint& aAddress) {
  const auto it = std::find_if(
      mMachines.begin(), mMachines.end(), [&aAddress](const auto& aMachine) {
        return aMachine->mNode != nullptr && aMachine->mAddress == aAddress;
      });
  return it == mMachines.end() ? nullptr : it->get();
}

SuccessorPlay::Machine* SuccessorPlay::Leader() {
  const auto it = std::find_if(
      mMachines.begin(), mMachines.end(), [](const auto& aMachine) {
        return aMachine->mNode != nullptr && aMachine->mNode->Leads();
      });
  return it == mMachines.end() ? nullptr : it->get();
}

std::vector<SuccessorPlay::Machine*> SuccessorPlay::Running() {
  std::vector<Machine*> running;
  for (const auto& machine : mMachines) {
    if (machine->mNode != nullptr) {
      running.push_back(machine.get());
    }
  }
  return running;
}

void SuccessorPlay::Replace(Machine& aOld) {
  const int kind = mRandom.Below(mOptions.mCuts ? 5 : 4);
  if (kind == 4) {
    CutOff(aOld);
    return;
  }
  const Millis gap = mRandom.Time(kMaxGap);
  const auto comes = [this, &aOld](bool aIsWiped) {
    Machine* machine = &aOld;
    if (aIsWiped) {
      GiveDisk(aOld);
    } else {
      std::vector<Endpoint> seeds;
      for (const auto& listed : mMachines) {
        if (!listed->mIsGone && seeds.size() < 3) {
          seeds.push_back(listed->mAddress);
        }
      }
      machine = &AddMachine(aOld.mZone, seeds);
    }
    Start(*machine, false);
    Tell("start " + machine->mId);
    mSettledAt = std::max(mSettledAt, mNow + kCatchUp);
  };
  aOld.mIsGone = kind != 1;
  mResult.mReplaced++;
  if (kind == 0 || kind == 1) {
    Tell("kill " + aOld.mId + (kind == 0 ? "" : ", disk lost"));
    End(aOld, true);
  }
  if (kind == 2) {
    Stop(aOld);
  }
  if (kind == 3) {
    // The successor comes first, and may have had its time long before.
    comes(false);
    At(mNow + mRandom.Time(2 * kCatchUp), [this, &aOld] {
      if (aOld.mNode != nullptr) {
        Stop(aOld);
      }
    });
    return;
  }
  At(mNow + gap, [this, comes, kind] { comes(kind == 1); });
}

void SuccessorPlay::CutOff(Machine& aMachine) {
  Tell("cut off " + aMachine.mId);
  aMachine.mIsCutOff = true;
  const Millis end = mNow + 500 + mRandom.Time(5000);
  mSettledAt = std::max(mSettledAt, end + kCatchUp);
  At(end, [this, &aMachine] {
    Tell("back " + aMachine.mId);
    aMachine.mIsCutOff = false;
  });
}

void SuccessorPlay::Disrupt() {
  std::vector<Machine*> running = Running();
  const int count = 1 + mRandom.Below(Tolerated());
  std::vector<Machine*> old;
  for (int i = 0; i < count; i++) {
    const auto it =
        running.begin() + mRandom.Below(static_cast<int>(running.size()));
    // Leaders more often than chance would have it.
    Machine* chosen =
        i == 0 && mRandom.Chance(0.5) && Leader() != nullptr ? Leader() : *it;
    std::erase(running, chosen);
    old.push_back(chosen);
  }
  const std::size_t expected = Running().size();
  for (Machine* machine : old) {
    At(mNow + mRandom.Time(600), [this, machine] {
      if (machine->mNode != nullptr) {
        Replace(*machine);
      }
    });
  }
  if (mOptions.mKillsAll) {
    At(mNow + mRandom.Time(5000), [this] { KillAll(); });
  }
  // Until all successors have had their time and all old processes ended.
  RunUntil(mNow + 6000);
  RunUntilTrue(mNow + 30000, [this, expected] {
    return mNow >= mSettledAt && Running().size() == expected;
  });
}

void SuccessorPlay::KillAll() {
  Tell("kill all");
  for (Machine* machine : Running()) {
    const bool stops = machine->mChanges->IsStopping();
    End(*machine, true);
    if (stops) {
      continue;  // It is gone for good.
    }
    At(mNow + 200 + mRandom.Time(700), [this, machine] {
      Start(*machine, false);
      mSettledAt = std::max(mSettledAt, mNow + kCatchUp);
    });
  }
}

std::vector<SuccessorPlay::Machine*> SuccessorPlay::DrawMinority(
    std::vector<Machine*> aFrom) {
  std::vector<Machine*> drawn;
  for (int i = 0; i < Tolerated(); i++) {
    drawn.push_back(
        aFrom[Index(mRandom.Below(static_cast<int>(aFrom.size())))]);
    std::erase(aFrom, drawn.back());
  }
  return drawn;
}

void SuccessorPlay::Close(const std::vector<Machine*>& aWiped) {
  mOperates = false;
  mResult.mAcknowledged = static_cast<int>(mAcknowledged.size());
  for (Machine* machine : Running()) {
    End(*machine, false);
    machine->mIsCutOff = false;
    At(mNow + 500 + mRandom.Time(300),
       [this, machine] { Start(*machine, false); });
  }
  for (Machine* machine : aWiped) {
    GiveDisk(*machine);
    Tell("disk lost at the close: now " + machine->mId);
  }
  mResult.mHasRecovered = RunUntilTrue(mNow + 800 + kRecovery, [this] {
    const Machine* leader = Leader();
    if (leader == nullptr) {
      return false;
    }
    std::set<std::string> held;
    for (const auto& [index, payload] : leader->mApplied) {
      held.insert(payload);
    }
    return std::includes(held.begin(), held.end(), mAcknowledged.begin(),
                         mAcknowledged.end());
  });
}

SuccessorPlayResult SuccessorPlay::Play() {
  RunUntil(mNow + kGrowth);
  const int rounds = 1 + mRandom.Below(3);
  for (int i = 0; i < rounds; i++) {
    Disrupt();
  }
  const std::size_t before = mAcknowledged.size();
  RunUntilTrue(mNow + kRecovery,
               [this, before] { return mAcknowledged.size() > before; });
  Close(DrawMinority(Running()));
  return std::move(mResult);
}

SuccessorPlayResult SuccessorPlay::PlayAmid(VoterTrouble aTrouble) {
  RunUntil(mNow + kGrowth + mRandom.Time(1000));
  const std::vector<std::string> ids = Leader()->mNode->Voters();
  std::vector<Machine*> voters = Running();
  std::erase_if(voters, [&ids](const Machine* aMachine) {
    return std::find(ids.begin(), ids.end(), aMachine->mId) == ids.end();
  });
  Machine* replaced =
      voters[Index(mRandom.Below(static_cast<int>(voters.size())))];
  std::erase(voters, replaced);
  mResult.mReplaced = 1;
  if (aTrouble == VoterTrouble::kStops) {
    Stop(*replaced);
    RunUntil(mNow + mRandom.Time(700));
  } else {
    Tell("cut off " + replaced->mId);
    replaced->mIsCutOff = true;
    RunUntil(mNow + 1500 + mRandom.Time(700));
  }
  Close(DrawMinority(voters));
  return std::move(mResult);
}

}  // namespace spindleweir
