/// What routers and claim keepers say to each other.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// How far the call of a claim has come.
enum class ClaimState {
  kFree,     ///< Nobody holds the key.
  kHeld,     ///< Somebody may run it now.
  kDone,     ///< It ran; the answer is kept or was too large.
  kUnknown,  ///< It was dispatched and its outcome is not known.
};

/// The answer of a call, as a keeper keeps it.
struct StoredAnswer {
  int mStatus = 0;  ///< HTTP status.
  std::string mType;
  std::string mBody;
  bool mBodyStored = true;  ///< False: it was too large; mBody is empty.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Field("status", mStatus);
    aCodec.Field("type", mType);
    aCodec.Field("body", mBody);
    aCodec.Field("kept", mBodyStored);
  }
};

/// What a keeper holds of one key.
struct ClaimRecord {
  std::string mKey;     ///< Workspace, route and idempotency key.
  std::string mDigest;  ///< SHA-256 of the body.
  std::string mOwner;   ///< The attempt that was granted.
  ClaimState mState = ClaimState::kFree;
  Millis mGrantedWall = 0;  ///< When the keeper granted it.
  Millis mExpiresWall = 0;
  StoredAnswer mAnswer;

  template <class Codec>
  void Fields(Codec& aCodec) {
    int state = static_cast<int>(mState);
    aCodec.Required("key", mKey);
    aCodec.Field("digest", mDigest);
    aCodec.Field("owner", mOwner);
    aCodec.Field("state", state);
    mState = static_cast<ClaimState>(state);
    aCodec.Field("granted_wall_ms", mGrantedWall);
    aCodec.Field("expires_wall_ms", mExpiresWall);
    aCodec.Field("answer", mAnswer);
  }
};

/// What a router asks of a keeper.
enum class ClaimOperation {
  kAcquire,  ///< Grant the key to the owner, if it is free.
  kRelease,  ///< The owner did not dispatch and will not.
  kFinish,   ///< The owner's call ended: record state and answer.
};

/// A router's message.
struct ClaimMessage {
  ClaimOperation mOperation = ClaimOperation::kAcquire;
  ClaimRecord mRecord;

  template <class Codec>
  void Fields(Codec& aCodec) {
    int ask = static_cast<int>(mOperation);
    aCodec.Required("ask", ask);
    mOperation = static_cast<ClaimOperation>(ask);
    aCodec.Required("record", mRecord);
  }
};

/// Asks a keeper for its records, in the order of their keys.
struct ClaimPageRequest {
  std::string mAfter;  ///< The last key of the page before; empty: the first.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("after", mAfter);
  }
};

/// A part of a keeper's records.
struct ClaimPage {
  std::vector<ClaimRecord> mRecords;
  bool mIsLast = false;
  bool mIsComplete = false;  ///< Whether the keeper lacks nothing itself.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("records", mRecords);
    aCodec.Required("last", mIsLast);
    aCodec.Required("whole", mIsComplete);
  }
};

/// A keeper's answer.
struct ClaimReply {
  bool mGranted = false;  ///< The key is the asking owner's.
  ClaimRecord mRecord;    ///< What the keeper holds now.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("granted", mGranted);
    aCodec.Required("record", mRecord);
  }
};

}  // namespace spindleweir
