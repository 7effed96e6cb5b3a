/// Failure detection by the SWIM protocol (Das, Gupta, Motivala 2002): direct
/// probes, indirect probes, suspicion and incarnations. It uses no sockets or
/// clocks: the caller sends the probes and passes the time in.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"

namespace spindleweir {

enum class MemberState { kAlive, kSuspect, kDead };

/// The name of a state in logs and metrics.
const char* NameOf(MemberState aState);

/// The state of a member, as it is gossiped.
struct MemberUpdate {
  std::string mId;
  MemberState mState = MemberState::kAlive;
  std::int64_t mIncarnation = 0;

  bool operator==(const MemberUpdate&) const = default;
  template <class Codec>
  void Fields(Codec& aCodec) {
    int state = static_cast<int>(mState);
    aCodec.Required("id", mId);
    aCodec.Required("state", state);
    mState = static_cast<MemberState>(state);
    aCodec.Required("incarnation", mIncarnation);
  }
};

/// Settings of a member table.
struct MemberTableOptions {
  std::string mId;
  std::int64_t mIncarnation = 1;    ///< Greater than at any earlier start.
  Millis mProbeInterval = 300;      ///< Between probes, each of one member.
  Millis mProbeTimeout = 200;       ///< After this, indirect probes are sent.
  Millis mSuspicionTimeout = 1500;  ///< From suspect to dead.
  int mIndirectProbes = 2;  ///< Members that are asked to probe the target.
  std::size_t mUpdatesPerMessage = 8;
  int mTransmissions = 6;  ///< How often each update is sent.
  std::uint64_t mSeed = 1;
  /// Sends a probe to a member, by way of another one if aVia is not empty.
  std::function<void(const std::string& aTarget, const std::string& aVia)>
      mSendProbe;
  /// Called after each change of state.
  std::function<void(const MemberUpdate&)> mOnStateChange;
};

/// The states of all members, as one process sees them.
class MemberTable {
 public:
  MemberTable(MemberTableOptions aOptions, Millis aNow);

  /// Replaces the list of members to probe, which comes from the entry VMs.
  void SetMembers(const std::vector<std::string>& aIds, Millis aNow);
  /// Starts probes and ends suspicions that are due; called periodically.
  void Tick(Millis aNow);
  /// A direct or indirect probe of the member was answered.
  void OnProbeAnswered(const std::string& aId, Millis aNow);
  /// Applies the updates of a received message.
  void ApplyUpdates(std::span<const MemberUpdate> aUpdates, Millis aNow);
  /// The updates to send with the next message; counts them as sent.
  std::vector<MemberUpdate> NextGossip();

  /// Whether the member is alive or only suspected.
  bool IsUsable(const std::string& aId) const;
  MemberState StateOf(const std::string& aId) const;
  std::int64_t Incarnation() const { return mOptions.mIncarnation; }
  std::vector<MemberUpdate> All() const;

 private:
  struct Member {
    MemberState mState = MemberState::kAlive;
    std::int64_t mIncarnation = 0;
    Millis mSuspectSince = 0;
  };
  struct PendingUpdate {
    MemberUpdate mUpdate;
    int mSendsLeft;
  };

  void SetState(const std::string& aId, MemberState aState,
                std::int64_t aIncarnation, Millis aNow);
  /// Queues an update for gossip, in place of any older one of the member.
  void QueueUpdate(const MemberUpdate& aUpdate);
  void StartProbe(Millis aNow);
  void ProbeIndirectly();
  std::string NextTarget();

  MemberTableOptions mOptions;
  std::map<std::string, Member> mMembers;
  /// Members still to be probed in this round.
  std::vector<std::string> mProbeOrder;
  std::vector<PendingUpdate> mPendingUpdates;
  std::string mProbeTarget;  ///< Of the probe in progress; empty: none.
  Millis mProbeSentAt = 0;
  bool mIndirectSent = false;
  Millis mNextProbeAt;
  std::mt19937_64 mRandom;
};

}  // namespace spindleweir
