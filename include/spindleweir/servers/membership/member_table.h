/// Membership by probing, in the manner of SWIM (Das, Gupta, Motivala 2002):
/// direct probe, indirect probe, suspicion, incarnation. No sockets or clocks.
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

/// The name of a state.
const char* NameOf(MemberState aState);

/// What is said of a member.
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

/// How the table is set up.
struct MemberTableOptions {
  std::string mId;
  std::int64_t mIncarnation = 1;  ///< Greater than at any earlier start.
  Millis mPeriod = 300;           ///< One probe a period.
  Millis mProbeTimeout = 200;     ///< Until the indirect probes.
  Millis mSuspicion = 1500;       ///< Suspect to dead.
  int mIndirect = 2;              ///< Members asked to probe in one's place.
  std::size_t mUpdatesPerMessage = 8;
  int mRepeats = 6;  ///< How often each update is passed on.
  std::uint64_t mSeed = 1;
  /// Sends a probe to a member; through another one where aVia is not empty.
  std::function<void(const std::string& aTarget, const std::string& aVia)>
      mSendProbe;
  /// Told of each change of state.
  std::function<void(const MemberUpdate&)> mOnStateChange;
};

/// The members as one process sees them.
class MemberTable {
 public:
  MemberTable(MemberTableOptions aOptions, Millis aNow);

  /// Replaces the list of those to probe, from the list of entry VMs.
  void SetMembers(const std::vector<std::string>& aIds, Millis aNow);
  void Tick(Millis aNow);
  /// A probe of that member, direct or not, was answered.
  void OnProbeAnswered(const std::string& aId, Millis aNow);
  /// Takes updates that came with a message.
  void ApplyUpdates(std::span<const MemberUpdate> aUpdates, Millis aNow);
  /// The updates to send with a message.
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
  struct Rumour {
    MemberUpdate mUpdate;
    int mLeft;
  };

  void Set(const std::string& aId, MemberState aState,
           std::int64_t aIncarnation, Millis aNow);
  void Spread(const MemberUpdate& aUpdate);
  void StartProbe(Millis aNow);
  void ProbeIndirectly();
  std::string NextTarget();

  MemberTableOptions mOptions;
  std::map<std::string, Member> mMembers;
  std::vector<std::string> mOrder;  ///< A shuffled round of probes.
  std::vector<Rumour> mRumours;
  std::string mProbed;  ///< The member of the probe under way.
  Millis mProbedAt = 0;
  bool mIndirectSent = false;
  Millis mNextAt;
  std::mt19937_64 mRandom;
};

}  // namespace spindleweir
