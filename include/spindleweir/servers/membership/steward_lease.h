/// The lease of a zone's steward, the only router that sends orders to the
/// zone's engines. A majority of the zone's routers grants it.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// Sent by a candidate or holder to each router of the zone, itself included.
struct LeaseRequest {
  std::string mCandidate;
  std::int64_t mEpoch = 0;  ///< Fence of the orders under this lease.
  std::int64_t mRound = 0;  ///< Copied to the reply.
  bool mRelease = false;    ///< Releases the lease.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("candidate", mCandidate);
    aCodec.Required("epoch", mEpoch);
    aCodec.Required("round", mRound);
    aCodec.Field("release", mRelease);
  }
};

/// The answer of one router to a lease request.
struct LeaseReply {
  std::string mVoter;
  bool mGranted = false;
  std::int64_t mEpoch = 0;  ///< Greatest epoch that the voter knows.
  std::int64_t mRound = 0;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("voter", mVoter);
    aCodec.Required("granted", mGranted);
    aCodec.Required("epoch", mEpoch);
    aCodec.Required("round", mRound);
  }
};

/// Settings of the lease. Durations are the same on all routers of a zone.
struct LeaseOptions {
  std::string mId;
  std::size_t mVoters = 1;  ///< Number of routers in the zone.
  /// Rounds are counted from here. It is greater than any round of an earlier
  /// incarnation, so that late replies to that one are ignored.
  std::int64_t mFirstRound = 0;
  /// Epochs are counted from here: the VM's clock at the start, in
  /// milliseconds. No epoch in use can have reached it, since each one takes a
  /// round.
  std::int64_t mFirstEpoch = 0;
  Millis mDuration = 3000;
  Millis mRenewInterval = 800;
  /// Greatest drift between the clocks of two VMs, as a share of the duration:
  /// the holder's lease ends that much before the voters' promises.
  double mMaxDrift = 0.1;
  /// Returns a random number from 0 to 1.
  std::function<double()> mRandom;
};

/// Grants the lease. It stores nothing on disk: after a start it grants nothing
/// for one lease duration, in which each promise of the earlier incarnation
/// ends.
class LeaseVoter {
 public:
  LeaseVoter(LeaseOptions aOptions, Millis aNow);
  LeaseReply Handle(const LeaseRequest& aRequest, Millis aNow);

 private:
  LeaseOptions mOptions;
  Millis mAbstainsUntil;
  std::string mPromisedTo;
  Millis mPromisedUntil = 0;
  std::int64_t mEpoch = 0;
};

/// Requests, renews and releases the lease.
class LeaseHolder {
 public:
  LeaseHolder(LeaseOptions aOptions, Millis aNow,
              std::function<void(const LeaseRequest&)> aBroadcast);

  /// Starts the round that is due, if any; called periodically.
  void Tick(Millis aNow);
  void Handle(const LeaseReply& aReply, Millis aNow);
  /// An engine or a peer has this epoch: the next one requested is greater.
  void OnEpochSeen(std::int64_t aEpoch);
  /// Releases the lease at a planned stop; it is not requested again.
  void Release(Millis aNow);

  /// Whether orders may be sent now.
  bool Holds(Millis aNow) const { return aNow < mHeldUntil; }
  std::int64_t Epoch() const { return mEpoch; }

 private:
  void StartRound(Millis aNow);
  void AbandonRound(Millis aNow);
  void BroadcastRelease();

  LeaseOptions mOptions;
  std::function<void(const LeaseRequest&)> mBroadcast;
  std::int64_t mEpoch = 0;
  std::int64_t mSeenEpoch = 0;
  std::int64_t mRound = 0;
  Millis mRoundStartedAt = 0;
  Millis mNextRoundAt;
  Millis mHeldUntil = 0;
  std::set<std::string> mGrants;  ///< Voters that granted this round.
  bool mRoundActive = false;      ///< A round was started and not abandoned.
  bool mReleased = false;
};

}  // namespace spindleweir
