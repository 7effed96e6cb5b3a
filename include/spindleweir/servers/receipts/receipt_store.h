/// Receipts: where each request and its data were processed. Prompts and
/// answers are never part of them.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/configuration/configuration.h"

namespace spindleweir {

/// One attempt: the upstreams that worked on it.
struct ReceiptAttempt {
  int mAttempt = 0;
  int mFirstToken = 0;  ///< Index of the first token that was asked for.
  std::string mEnded;   ///< "done", "failed", "replaced" or "cancelled".
  std::vector<StagePlacement> mStages;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("attempt", mAttempt);
    aCodec.Field("first_token", mFirstToken);
    aCodec.Field("ended", mEnded);
    aCodec.Field("stages", mStages);
  }
};

/// The receipt of one request.
struct Receipt {
  std::string mRequest;
  std::string mWorkspace;
  std::string mTarget;  ///< The model or service.
  std::string mRouter;
  std::string mZone;  ///< Of the router.
  std::int64_t mConfigurationVersion = 0;
  Millis mStartedWall = 0;
  Millis mDurationMillis = 0;
  int mTokens = 0;
  int mCode = 0;  ///< A ResultCode.
  std::string mRan;
  std::vector<ReceiptAttempt> mAttempts;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("request", mRequest);
    aCodec.Field("workspace", mWorkspace);
    aCodec.Field("target", mTarget);
    aCodec.Field("router", mRouter);
    aCodec.Field("zone", mZone);
    aCodec.Field("configuration_version", mConfigurationVersion);
    aCodec.Field("started_wall_ms", mStartedWall);
    aCodec.Field("took_ms", mDurationMillis);
    aCodec.Field("tokens", mTokens);
    aCodec.Field("code", mCode);
    aCodec.Field("ran", mRan);
    aCodec.Field("attempts", mAttempts);
  }
};

/// Receipts by request, the newest up to a bound.
class ReceiptStore {
 public:
  explicit ReceiptStore(std::size_t aMaximum) : mMaximum(aMaximum) {}

  /// Adds or replaces a receipt.
  void Add(const Receipt& aReceipt);
  const Receipt* Find(const std::string& aRequest) const;
  std::size_t Size() const { return mReceipts.size(); }
  /// Oldest first.
  std::vector<Receipt> All() const;

 private:
  std::size_t mMaximum;
  std::map<std::string, Receipt> mReceipts;
  std::deque<std::string> mOrder;
};

/// What a router has not yet handed over: a bounded queue of which a batch is
/// under way at a time. What does not fit any more is counted as lost.
class ReceiptOutbox {
 public:
  explicit ReceiptOutbox(std::size_t aMaximum) : mMaximum(aMaximum) {}

  void Add(const Receipt& aReceipt);
  /// The next batch; empty where there is none, or one is under way.
  std::vector<Receipt> TakeBatch(std::size_t aMaxCount);
  /// The batch under way was handed over, or was not and comes again.
  void OnBatchResult(bool aDelivered);

  std::size_t Size() const { return mPending.size() + mInFlight.size(); }
  std::int64_t Lost() const { return mLost; }

 private:
  std::size_t mMaximum;
  std::deque<Receipt> mPending;
  std::vector<Receipt> mInFlight;
  std::int64_t mLost = 0;
};

}  // namespace spindleweir
