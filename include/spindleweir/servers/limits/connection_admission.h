/// Decides whether a router accepts a new connection of a caller. One that gets
/// more requests than it has processor time for answers all of them late; the
/// caller of a connection that is closed unread goes to another router.
#pragma once

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// When connections are limited, and how the limit moves.
struct ConnectionAdmissionOptions {
  /// A periodic step that comes later than this shows that work was waiting.
  Millis mLateThreshold = 25;
  /// What a step counts for that isn't later than the late one before, so that
  /// one long pause (a stop, a new configuration) doesn't limit connections.
  Millis mMaxStep = 100;
  /// Time constant of the pressure.
  Millis mPressureTime = 300;
  /// Pressures from which the limit falls, and below which it rises.
  double mHighPressure = 0.75;
  double mLowPressure = 0.3;
  /// The limit falls to this part of what was accepted, and stays for a while
  /// in which the effect shows.
  double mDecrease = 0.5;
  Millis mHoldTime = 400;
  /// In this time the limit rises by the factor e.
  Millis mRiseTime = 1000;
  /// Connections per second that are accepted under any pressure.
  double mMinPerSecond = 4;
  /// Without a refusal for this time the limit ends.
  Millis mLimitRetention = 2000;
};

/// One per router. Nothing is limited until work waits for processor time again
/// and again.
class ConnectionAdmission {
 public:
  explicit ConnectionAdmission(ConnectionAdmissionOptions aOptions = {})
      : mOptions(aOptions) {}

  /// A periodic step ran. aGap: since the one before; aInterval: as intended.
  /// Returns whether the limit was lowered or has ended.
  bool OnStep(Millis aGap, Millis aInterval, Millis aNow);
  /// Whether to accept a connection that has arrived.
  bool Accept(Millis aNow);
  /// Connections per second that are accepted; 0: not limited.
  double Limit() const { return mLimit; }
  /// Share of the recent time in which work waited, from 0 to 1.
  double Pressure() const { return mPressure; }

 private:
  /// Counts an accepted connection.
  void RecordAccepted(Millis aNow);
  /// Connections accepted per second of late.
  double AcceptedPerSecond(Millis aNow) const;
  void Lower(Millis aNow);

  ConnectionAdmissionOptions mOptions;
  double mPressure = 0;
  Millis mLateGap = 0;  ///< Of the step before if it was late.
  double mLimit = 0;
  Millis mLoweredAt = 0;
  Millis mRefusedAt = 0;
  /// Connections that may be accepted at mTokensAt.
  double mTokens = 0;
  Millis mTokensAt = 0;
  /// Accepted connections, each counting less with time; as of mAcceptedAt.
  double mAccepted = 0;
  Millis mAcceptedAt = 0;
};

}  // namespace spindleweir
