#include "daemons/relay/retry_credit_requester.h"

#include <algorithm>

#include "daemons/relay/sync_link.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/daemons/sync_messages.h"

namespace spindleweir {

namespace {

constexpr Millis kRequestTimeout = 300;
/// Delay after a partial grant: a pool is refilled in tenths of a window, and
/// all routers may request credits.
constexpr Millis kShortGrantDelay = 200;
/// Maximum per call, so that one router doesn't take the whole pool.
constexpr int kMaxRequested = 32;

}  // namespace

RetryCreditRequester::RetryCreditRequester(RelayContext& aContext,
                                           SyncLink& aLink)
    : mContext(aContext), mLink(aLink) {}

void RetryCreditRequester::Request(const std::string& aService,
                                   const void* aRequest) {
  PendingRequests& pending = mPending[aService];
  pending.mRequests.insert(aRequest);
  if (!pending.mPolling && SteadyNow() >= pending.mNotBefore) {
    Send(aService, pending);
  }
}

void RetryCreditRequester::Send(const std::string& aService,
                                PendingRequests& aPending) {
  const bool pooled = mContext.mOptions.mRetries.mPooledShare > 0;
  if (!pooled || mLink.Controls().empty()) {
    aPending.mRequests.clear();
    return;
  }
  const int requested =
      std::min(kMaxRequested, static_cast<int>(aPending.mRequests.size()));
  aPending.mRequests.clear();
  aPending.mPolling = true;
  const RetryCreditRequest message{.mProcess = mContext.mOptions.mId,
                                   .mService = aService,
                                   .mWanted = requested};
  mContext.mRpc.Call(
      mLink.Controls().front(), rpc_method::kRetries, ToJson(message),
      kRequestTimeout, [this, aService, requested](const RpcResult& aResult) {
        const int granted =
            aResult.mOk ? FromJson<RetryCreditGrant>(aResult.mAnswer).mGranted
                        : 0;
        ApplyGrant(aService, requested, granted);
      });
}

void RetryCreditRequester::ApplyGrant(const std::string& aService,
                                      int aRequested, int aGranted) {
  PendingRequests& pending = mPending[aService];
  pending.mPolling = false;
  pending.mNotBefore =
      aGranted < aRequested ? SteadyNow() + kShortGrantDelay : 0;
  if (aGranted > 0) {
    mContext.RetryAllowanceOf(aService).AddCredits(aGranted, SteadyNow());
  }
  LogLine(LogLevel::kInfo, "retries_granted")
      .Add("service", aService)
      .Add("wanted", aRequested)
      .Add("granted", aGranted);
  mContext.mCounters.Add("retries_granted", {}, aGranted);
}

}  // namespace spindleweir
