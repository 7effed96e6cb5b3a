/// The lease of a zone's steward: the one router that gives the zone's engines
/// their orders. A majority of the zone's routers grants it.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// What a candidate or holder asks of each router of the zone, itself too.
struct LeaseRequest {
  std::string mCandidate;
  std::int64_t mEpoch = 0;  ///< The fence of the orders it would give.
  std::int64_t mRound = 0;  ///< Echoed.
  bool mRelease = false;    ///< Gives the lease back.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("candidate", mCandidate);
    aCodec.Required("epoch", mEpoch);
    aCodec.Required("round", mRound);
    aCodec.Field("release", mRelease);
  }
};

/// The answer of one router.
struct LeaseReply {
  std::string mVoter;
  bool mGranted = false;
  std::int64_t mEpoch = 0;  ///< The greatest it knows.
  std::int64_t mRound = 0;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("voter", mVoter);
    aCodec.Required("granted", mGranted);
    aCodec.Required("epoch", mEpoch);
    aCodec.Required("round", mRound);
  }
};

/// Times of the lease; the same on all routers of a zone.
struct LeaseOptions {
  std::string mId;
  std::size_t mVoters = 1;  ///< Routers of the zone.
  /// Rounds are counted from here; greater than any number of an earlier
  /// start, so that late replies to an earlier start count for nothing.
  std::int64_t mFirstRound = 0;
  /// Epochs are counted from here: the VM's clock in milliseconds at the
  /// start, which no epoch in use can have reached, since each takes a round.
  std::int64_t mFirstEpoch = 0;
  Millis mLength = 3000;
  Millis mRenew = 800;
  /// How much the clocks of two VMs may drift apart, as a share: the holder
  /// stops that much before the voters let go.
  double mDrift = 0.1;
  std::function<double()> mRandom;
};

/// The side that grants. It keeps nothing on disk: after a start it grants
/// nothing for one length, in which every promise it forgot has ended.
class LeaseVoter {
 public:
  LeaseVoter(LeaseOptions aOptions, Millis aNow);
  LeaseReply Handle(const LeaseRequest& aRequest, Millis aNow);

 private:
  LeaseOptions mOptions;
  Millis mSilentUntil;
  std::string mPromisedTo;
  Millis mPromisedUntil = 0;
  std::int64_t mEpoch = 0;
};

/// The side that asks.
class LeaseHolder {
 public:
  LeaseHolder(LeaseOptions aOptions, Millis aNow,
              std::function<void(const LeaseRequest&)> aBroadcast);

  void Tick(Millis aNow);
  void Handle(const LeaseReply& aReply, Millis aNow);
  /// An epoch seen at an engine or a peer: the next one is greater.
  void OnEpochSeen(std::int64_t aEpoch);
  /// Gives the lease back at a planned stop.
  void Release(Millis aNow);

  /// Whether orders may be given now.
  bool Holds(Millis aNow) const { return aNow < mHeldUntil; }
  std::int64_t Epoch() const { return mEpoch; }

 private:
  void StartRound(Millis aNow);
  void GiveUpRound(Millis aNow);
  void BroadcastRelease();

  LeaseOptions mOptions;
  std::function<void(const LeaseRequest&)> mBroadcast;
  std::int64_t mEpoch = 0;
  std::int64_t mSeenEpoch = 0;
  std::int64_t mRound = 0;
  Millis mRoundAt = 0;
  Millis mNextAt;
  Millis mHeldUntil = 0;
  std::set<std::string> mGrants;
  bool mTrying = false;  ///< A round was started and not given up.
  bool mReleased = false;
};

}  // namespace spindleweir
