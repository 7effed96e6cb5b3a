/// The share of a limit that one control may grant from.
#pragma once

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/limits/recent_maximum.h"

namespace spindleweir {

/// What a control knows of the voters of the replicated log.
struct VoterState {
  int mVoters = 0;
  bool mIsVoter = false;
  bool mHasLeaderContact = false;
};

/// What a control that starts knows of the grants before.
enum class PreviousGrants {
  kNone,      ///< The deployment is new.
  kRecorded,  ///< Its own are on its disk.
  kUnknown,
};

struct PoolShareOptions {
  Millis mStartedAt = 0;
  PreviousGrants mPrevious = PreviousGrants::kUnknown;
  /// The greatest number of voters that the process before knew of lately; 0:
  /// not known.
  int mPreviousVoters = 0;
  /// No deployment has more voters.
  int mMaxVoters = 7;
  /// For how long what is granted counts.
  Millis mGrantRetention = 10000;
  /// A voter goes on granting for so long without a leader: elections take
  /// less. Who has been removed from the voters has no leader.
  Millis mLeaderTimeout = 5000;
};

/// Each voter has an equal share, whatever routers it serves. The share of one
/// that ends lies idle, and is not taken over by others while anything that was
/// granted from it may count. So the shares add up to at most one at any time:
/// - a control that starts without knowing what it granted waits until all that
///   has expired;
/// - a new voter waits as well until a removed one has ceased to grant;
/// - with fewer voters the shares grow only after the same time, also if the
///   control starts again meanwhile: it assumes that there were as many as the
///   process before knew of, and one more that was removed just before.
/// The class only decides; the time is passed to each call.
class PoolShare {
 public:
  explicit PoolShare(PoolShareOptions aOptions);

  /// Applies the present voters. Called often, and before each Value().
  void Update(const VoterState& aState, Millis aNow);
  const PoolShareOptions& Options() const { return mOptions; }
  /// From 0 to 1.
  double Value(Millis aNow) const;
  /// The greatest number of voters known of lately, to be kept for the next
  /// process; 0: none is known yet.
  int RecentVoters() const { return mVoters.Value(); }

 private:
  /// A control that starts may find fewer voters than there were just before.
  void AssumeFormerVoters(int aVoters, Millis aNow);
  /// Time after a change of the voters until all that controls with the former
  /// list granted has expired.
  Millis ChangeRetention() const {
    return mOptions.mGrantRetention + mOptions.mLeaderTimeout;
  }

  PoolShareOptions mOptions;
  RecentMaximum mVoters;
  int mAssumedVoters = 0;  ///< For a while after the start.
  VoterState mState;
  bool mIsKnown = false;  ///< Voters were applied.
  Millis mOpensAt;
  Millis mLeaderSeenAt = -1;  ///< -1: not since the start.
};

}  // namespace spindleweir
