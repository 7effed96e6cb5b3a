/// Receipts: records of where each request and its data were processed. They
/// never contain prompts or answers.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/configuration/configuration.h"

namespace spindleweir {

/// One attempt of a request, with the upstreams that processed it.
struct ReceiptAttempt {
  int mAttempt = 0;
  int mFirstToken = 0;  ///< Index of the first token requested.
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
  std::string mTarget;  ///< Model or service.
  std::string mRouter;
  std::string mZone;  ///< Zone of the router.
  std::int64_t mConfigurationVersion = 0;
  Millis mStartedWall = 0;  ///< Unix time in milliseconds.
  Millis mDurationMillis = 0;
  int mTokens = 0;
  int mCode = 0;     ///< A ResultCode.
  std::string mRan;  ///< Whether the request ran: NameOf(Ran).
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

/// Receipts by request id; the oldest are dropped above a maximum number.
class ReceiptStore {
 public:
  explicit ReceiptStore(std::size_t aMaxReceipts)
      : mMaxReceipts(aMaxReceipts) {}

  /// Adds a receipt, or replaces the one of the same request.
  void Add(const Receipt& aReceipt);
  const Receipt* Find(const std::string& aRequest) const;
  std::size_t Size() const { return mReceipts.size(); }
  /// All receipts, oldest first.
  std::vector<Receipt> All() const;

 private:
  std::size_t mMaxReceipts;
  std::map<std::string, Receipt> mReceipts;
  std::deque<std::string> mOrder;
};

/// A router's queue of receipts that were not yet delivered. At most one batch
/// is in flight; receipts above the maximum number are dropped and counted.
class ReceiptOutbox {
 public:
  explicit ReceiptOutbox(std::size_t aMaxReceipts)
      : mMaxReceipts(aMaxReceipts) {}

  void Add(const Receipt& aReceipt);
  /// Returns the next batch of at most aMaxCount receipts; empty if no receipt
  /// is pending or a batch is in flight.
  std::vector<Receipt> TakeBatch(std::size_t aMaxCount);
  /// Ends the batch in flight; if it was not delivered, its receipts are sent
  /// again first.
  void OnBatchResult(bool aDelivered);

  std::size_t Size() const { return mPending.size() + mInFlight.size(); }
  /// Number of dropped receipts.
  std::int64_t Lost() const { return mLost; }

 private:
  std::size_t mMaxReceipts;
  std::deque<Receipt> mPending;
  std::vector<Receipt> mInFlight;
  std::int64_t mLost = 0;
};

}  // namespace spindleweir
