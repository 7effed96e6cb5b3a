/// The slack of a limit on retries, which controls grant to the routers that
/// need it. The loss of one upstream breaks a dozen streams of one router and
/// none of others: equal parts would be exhausted there and unused elsewhere.
#pragma once

#include <deque>

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/routing/retry_allowance.h"

namespace spindleweir {

/// Grants retries of one service from one control's share of the slack, and
/// counts each until it has left every window, whoever received it and whether
/// that router still exists. The count outlives this process too: a number that
/// it does not exceed is recorded on disk before retries are granted, and the
/// next process counts that number as granted at its start. The number is a
/// little ahead of the grants, so that these need not wait for the disk.
class RetryPool {
 public:
  /// aInherited: the number that the process before has recorded.
  RetryPool(RetryLimits aLimits, int aInherited, Millis aStartedAt);

  /// Grants up to aWanted retries to a router; returns how many. aShare: this
  /// control's share of the slack, from 0 to 1 (see PoolShare).
  int Grant(int aWanted, double aShare, Millis aNow);
  /// Retries that could be granted now; below zero if the share has become
  /// smaller than what was granted.
  double Available(double aShare, Millis aNow);
  /// Granted retries that still count.
  int Granted(Millis aNow);

  /// The number that is known to be on disk.
  int Recorded() const { return mRecorded; }
  /// For a pool without a number of its own: this one is on disk for it.
  void UseRecord(int aRetries) { mRecorded = mWriting = aRetries; }

  /// Whether the recorded number should be written anew.
  bool NeedsRecord(double aShare, Millis aNow);
  /// Begins to record a number; returns it. A smaller one than before limits
  /// the grants from now on, a greater one once it is durable.
  int BeginRecord(double aShare, Millis aNow);
  /// The writing has ended. aIsDurable: with success.
  void EndRecord(bool aIsDurable);

 private:
  /// Retries that were granted at one time.
  struct Grants {
    Millis mAt = 0;
    int mRetries = 0;
  };

  /// The retries that this control may have granted in a window.
  double Part(double aShare) const;
  /// How far the recorded number is ahead of the grants.
  int Headroom(double aShare) const;
  /// The number that would be recorded now.
  int RecordTarget(double aShare, Millis aNow);

  RetryLimits mLimits;
  int mRecorded;  ///< On disk there is this number or a greater one.
  int mWriting;   ///< The number that was written last.
  std::deque<Grants> mGrants;
  int mGranted = 0;  ///< Sum of mGrants.
};

}  // namespace spindleweir
