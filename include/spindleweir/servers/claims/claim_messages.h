/// Messages between routers and claim keepers.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// State of the call that a claim stands for.
enum class ClaimState {
  kFree,     ///< No owner holds the key.
  kHeld,     ///< The owner may run the call.
  kDone,     ///< The call ran; its answer is stored or was too large.
  kUnknown,  ///< The call was dispatched; its outcome is unknown.
};

/// The answer of a call, as a keeper stores it.
struct StoredAnswer {
  int mStatus = 0;    ///< HTTP status.
  std::string mType;  ///< Content type.
  std::string mBody;
  bool mBodyStored = true;  ///< False: the body was too large; mBody is empty.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Field("status", mStatus);
    aCodec.Field("type", mType);
    aCodec.Field("body", mBody);
    aCodec.Field("kept", mBodyStored);
  }
};

/// The record of one key. Times are Unix times in milliseconds.
struct ClaimRecord {
  std::string mKey;     ///< Workspace, route and idempotency key.
  std::string mDigest;  ///< SHA-256 of the request body.
  std::string mOwner;   ///< Id of the attempt that the key was granted to.
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

/// Operation that a router requests of a keeper.
enum class ClaimOperation {
  kAcquire,  ///< Grant the key to the owner if it is free.
  kRelease,  ///< The owner did not dispatch the call and will not.
  kFinish,   ///< The owner's call ended: store its state and answer.
};

/// A router's request to a keeper.
struct ClaimMessage {
  ClaimOperation mOperation = ClaimOperation::kAcquire;
  ClaimRecord mRecord;

  template <class Codec>
  void Fields(Codec& aCodec) {
    int operation = static_cast<int>(mOperation);
    aCodec.Required("ask", operation);
    mOperation = static_cast<ClaimOperation>(operation);
    aCodec.Required("record", mRecord);
  }
};

/// Requests a page of a keeper's records, in the order of their keys.
struct ClaimPageRequest {
  std::string mAfter;  ///< Last key of the previous page; empty: first page.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("after", mAfter);
  }
};

/// A page of a keeper's records.
struct ClaimPage {
  std::vector<ClaimRecord> mRecords;
  bool mIsLast = false;      ///< No records follow this page.
  bool mIsComplete = false;  ///< False while the keeper itself abstains.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("records", mRecords);
    aCodec.Required("last", mIsLast);
    aCodec.Required("whole", mIsComplete);
  }
};

/// A keeper's reply.
struct ClaimReply {
  bool mGranted = false;  ///< Whether the requesting owner holds the key.
  ClaimRecord mRecord;    ///< The keeper's record of the key.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("granted", mGranted);
    aCodec.Required("record", mRecord);
  }
};

}  // namespace spindleweir
