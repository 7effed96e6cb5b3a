/// Plays elections and changes of voters whose disks are slow, without a
/// network or clock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "spindleweir/servers/consensus/raft_node.h"
#include "tests/delayed_storage.h"

namespace spindleweir {

/// Whose syncs end no more.
enum class HangingDisk {
  kNone,
  kFromTheStart,      ///< One voter's, from its first write on.
  kLeaderAmidChanges  ///< The leader's, after three changes.
};

struct SlowElectionOptions {
  std::uint64_t mSeed = 1;
  int mVoters = 5;
  int mRunning = 5;
  Millis mMinSync = 5;
  Millis mMaxSync = 5;
  Millis mStall = 0;  ///< Once the voters run, no sync ends before this.
  HangingDisk mHangingDisk = HangingDisk::kNone;
  Millis mPause = 0;  ///< From a committed change to the next one.
};

struct SlowElectionResult {
  /// From the moment at which power is back to a leader that has committed; the
  /// voters start within 0.3 s plus two syncs each.
  std::optional<Millis> mLeaderAfter;
  std::int64_t mTermsBegun = 0;  ///< Until then.
  std::int64_t mTermsInAll = 0;
  /// How long each change took that was committed, proposed one after the other
  /// and again where the leader was lost.
  std::vector<Millis> mChanges;
};

/// One play: messages take 2 ms; writes that a voter begins during a sync share
/// its next one.
class SlowElection {
 public:
  explicit SlowElection(SlowElectionOptions aOptions);

  SlowElectionResult Play();

 private:
  struct Voter {
    std::string mId;
    DelayedStorage mStorage;
    std::unique_ptr<RaftNode> mNode;
    bool mIsSyncing = false;
    bool mHangs = false;
  };
  struct Change {
    std::string mPayload;
    Millis mSince = 0;
    Voter* mLeader = nullptr;  ///< Was proposed to this one.
    std::int64_t mTerm = 0;
    bool mIsCommitted = false;
  };

  void At(Millis aTime, std::function<void()> aDo);
  Millis DrawSync();
  void FillDisk(Voter& aVoter);
  void Start(Voter& aVoter);
  void Tick(Voter& aVoter);
  void Send(Voter& aFrom, const RaftMessage& aMessage);
  void BeginSync(Voter& aVoter);
  void Watch();
  void WatchChange();
  Voter* Leader();
  std::int64_t HighestTerm() const;

  SlowElectionOptions mOptions;
  std::mt19937_64 mRandom;
  std::vector<std::string> mIds;
  std::vector<std::unique_ptr<Voter>> mRunning;
  std::map<std::pair<Millis, std::int64_t>, std::function<void()>> mEvents;
  std::int64_t mEventCount = 0;
  Millis mNow = 0;
  Change mChange;
  SlowElectionResult mResult;
};

}  // namespace spindleweir
