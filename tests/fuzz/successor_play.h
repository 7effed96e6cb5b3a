/// Plays controls whose machines are replaced or lose their disks, in series
/// and several at a time, without a network or clock: replicated log, directory
/// and voter plan as on a control, disks and messages that take their time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "spindleweir/servers/consensus/raft_node.h"
#include "spindleweir/servers/membership/control_directory.h"
#include "spindleweir/servers/membership/voter_changes.h"
#include "tests/delayed_storage.h"
#include "tests/fuzz/play_random.h"

namespace spindleweir {

/// What a play plants, so that a test can see whether it would notice.
enum class SuccessorDefect {
  kNone,
  /// Disks tell entries as durable at once.
  kTellsEntriesEarly,
  /// A control that lost its disk takes the name of the old one.
  kKeepsName,
  /// Controls take the catch-up time for four times as long as it is.
  kWaitsTooLong,
  /// A control that was asked to end hands nothing over.
  kEndsAtOnce,
};

struct SuccessorPlayOptions {
  unsigned mSeed = 1;
  int mVoters = 3;         ///< 3, 5 or 7: as many machines.
  Millis mMaxSync = 20;    ///< Each disk draws its own time from 2 ms to this.
  bool mKillsAll = false;  ///< All processes end amid the replacements too.
  bool mCuts = false;      ///< Machines are cut off for a while too.
  int mSpares = 0;         ///< Machines beside those that vote.
  SuccessorDefect mDefect = SuccessorDefect::kNone;
};

/// What a voter goes through when the closing fault strikes amid it.
enum class VoterTrouble { kStops, kIsCutOff };

struct SuccessorPlayResult {
  /// Voters, terms and logs never contradicted each other.
  bool mIsConsistent = true;
  /// After the closing fault a leader holds all that was acknowledged.
  bool mHasRecovered = false;
  int mReplaced = 0;  ///< Machines replaced or wiped before it.
  int mAcknowledged = 0;
  std::string mStory;  ///< One line for each event.
};

/// One play. Up to a minority of the machines is replaced or wiped at a time,
/// killed or planned; the next ones follow once each successor has run for the
/// catch-up time. Last, right after an acknowledgement, the disks of a minority
/// are lost, and all others lose power.
class SuccessorPlay {
 public:
  explicit SuccessorPlay(SuccessorPlayOptions aOptions);

  SuccessorPlayResult Play();
  /// The closing fault strikes while a voter is replaced: it was just asked to
  /// end, or is cut off and comes back with its disk.
  SuccessorPlayResult PlayAmid(VoterTrouble aTrouble);

 private:
  struct Machine {
    std::string mZone;
    Endpoint mAddress;
    std::string mId;  ///< Of the control on the present disk.
    std::vector<Endpoint> mSeeds;
    std::unique_ptr<DelayedStorage> mDisk;
    Millis mSync = 0;
    bool mIsSyncing = false;
    bool mIsCutOff = false;
    bool mIsGone = false;  ///< Is in no operator's list any more.
    int mLife = 0;         ///< Grows with each start and end.
    std::unique_ptr<ControlDirectory> mDirectory;
    std::unique_ptr<VoterChanges> mChanges;
    std::unique_ptr<RaftNode> mNode;  ///< nullptr: doesn't run.
    std::map<std::int64_t, std::string> mApplied;
    std::map<std::int64_t, std::int64_t> mProposed;  ///< Term by index.
  };

  void At(Millis aTime, std::function<void()> aDo);
  /// The same, unless the machine's process has ended until then.
  void AtIn(Machine& aMachine, Millis aTime, std::function<void()> aDo);
  void RunUntil(Millis aTime);
  bool RunUntilTrue(Millis aTime, const std::function<bool()>& aCondition);
  void Tell(const std::string& aWhat);

  Machine& AddMachine(const std::string& aZone, std::vector<Endpoint> aSeeds);
  void GiveDisk(Machine& aMachine);
  void Start(Machine& aMachine, bool aIsFirst);
  void End(Machine& aMachine, bool aKeepsWrites);
  void Stop(Machine& aMachine);
  void Tick(Machine& aMachine);
  void Plan(Machine& aMachine);
  void Poll(Machine& aMachine);
  void Send(Machine& aFrom, const RaftMessage& aMessage);
  void BeginSync(Machine& aMachine);
  void OnApplied(Machine& aMachine, const LogEntry& aEntry);
  void Operate();
  void Watch();

  void Disrupt();
  void Replace(Machine& aOld);
  void CutOff(Machine& aMachine);
  void KillAll();
  /// Power of all is lost, and the disks of aWiped; all come back.
  void Close(const std::vector<Machine*>& aWiped);
  std::vector<Machine*> DrawMinority(std::vector<Machine*> aFrom);

  Machine* RunningAt(const Endpoint& aAddress);
  Machine* Leader();
  std::vector<Machine*> Running();
  ControlInfo InfoOf(const Machine& aMachine) const;
  int Tolerated() const { return (mOptions.mVoters - 1) / 2; }

  SuccessorPlayOptions mOptions;
  PlayRandom mRandom;
  std::vector<std::unique_ptr<Machine>> mMachines;
  std::map<std::pair<Millis, std::int64_t>, std::function<void()>> mEvents;
  std::int64_t mEventCount = 0;
  Millis mNow = 0;
  int mAddresses = 0;
  int mDisks = 0;
  int mPayloads = 0;
  bool mOperates = true;
  /// When the last successor will have run for the catch-up time.
  Millis mSettledAt = 0;
  std::map<std::int64_t, std::string> mHistory;  ///< Applied, by index.
  std::map<std::int64_t, std::string> mLeaders;  ///< By term.
  std::set<std::string> mAcknowledged;
  SuccessorPlayResult mResult;
};

}  // namespace spindleweir
