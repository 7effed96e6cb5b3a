#include "daemons/relay/retry_credit_requester.h"

#include <algorithm>

#include "daemons/relay/sync_link.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/daemons/sync_messages.h"

namespace spindleweir {

namespace {

constexpr Millis kTimeout = 300;
/// After an answer that did not give all: a pool fills by tenths of a window,
/// and all routers may ask.
constexpr Millis kAskAgain = 200;
/// In one question, so that one router does not take all.
constexpr int kMostWanted = 32;

}  // namespace

RetryWishes::RetryWishes(RelayContext& aContext, SyncLink& aLink)
    : mContext(aContext), mLink(aLink) {}

void RetryWishes::Want(const std::string& aService, const void* aRequest) {
  Wish& wish = mWishes[aService];
  wish.mRequests.insert(aRequest);
  if (!wish.mAsking && SteadyNow() >= wish.mNotBefore) {
    Ask(aService, wish);
  }
}

void RetryWishes::Ask(const std::string& aService, Wish& aWish) {
  const bool pooled = mContext.mOptions.mRetries.mPooledShare > 0;
  if (!pooled || mLink.Controls().empty()) {
    aWish.mRequests.clear();
    return;
  }
  const int wanted =
      std::min(kMostWanted, static_cast<int>(aWish.mRequests.size()));
  aWish.mRequests.clear();
  aWish.mAsking = true;
  const RetryWish message{.mProcess = mContext.mOptions.mId,
                          .mService = aService,
                          .mWanted = wanted};
  mContext.mRpc.Call(
      mLink.Controls().front(), rpc_method::kRetries, ToJson(message), kTimeout,
      [this, aService, wanted](const RpcResult& aResult) {
        const int granted =
            aResult.mOk ? FromJson<RetryGrant>(aResult.mAnswer).mGranted : 0;
        Take(aService, wanted, granted);
      });
}

void RetryWishes::Take(const std::string& aService, int aWanted, int aGranted) {
  Wish& wish = mWishes[aService];
  wish.mAsking = false;
  wish.mNotBefore = aGranted < aWanted ? SteadyNow() + kAskAgain : 0;
  if (aGranted > 0) {
    mContext.RetriesOf(aService).AddCredits(aGranted, SteadyNow());
  }
  LogLine(LogLevel::kInfo, "retries_granted")
      .Add("service", aService)
      .Add("wanted", aWanted)
      .Add("granted", aGranted);
  mContext.mCounters.Add("retries_granted", {}, aGranted);
}

}  // namespace spindleweir
