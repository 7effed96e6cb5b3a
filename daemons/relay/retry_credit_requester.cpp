#include "daemons/relay/retry_credit_requester.h"

#include <algorithm>
#include <optional>

#include "daemons/relay/sync_link.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/daemons/sync_messages.h"

namespace spindleweir {

namespace {

constexpr Millis kRequestTimeout = 300;
/// Maximum per call, so that one router doesn't take a whole share.
constexpr int kMaxRequested = 32;

}  // namespace

RetryCreditRequester::RetryCreditRequester(RelayContext& aContext,
                                           SyncLink& aLink)
    : mContext(aContext), mLink(aLink) {}

void RetryCreditRequester::Request(const std::string& aService,
                                   const void* aRequest) {
  PendingRequests& pending = mPending[aService];
  pending.mRequests.insert(aRequest);
  if (pending.mPolling) {
    return;
  }
  const int wanted =
      std::min(kMaxRequested, static_cast<int>(pending.mRequests.size()));
  // Requests that still need a credit then ask again.
  pending.mRequests.clear();
  Ask(aService, pending, wanted);
}

bool RetryCreditRequester::IsAsking(const std::string& aService) const {
  const auto it = mPending.find(aService);
  return it != mPending.end() && it->second.mPolling;
}

void RetryCreditRequester::Ask(const std::string& aService,
                               PendingRequests& aPending, int aWanted) {
  const std::vector<Endpoint>& polled = mLink.Controls();
  const Millis now = SteadyNow();
  const std::optional<Endpoint> control =
      polled.empty() ? std::nullopt
                     : aPending.mSources.Next(
                           polled.front(), mContext.mDirectory.Addresses(now),
                           now, [this] { return mContext.Random(); });
  if (!control.has_value()) {
    return;
  }
  aPending.mPolling = true;
  const Question question{.mService = aService,
                          .mControl = *control,
                          .mWanted = aWanted,
                          .mSentAt = now};
  const RetryCreditRequest message{.mProcess = mContext.mOptions.mId,
                                   .mService = aService,
                                   .mWanted = aWanted};
  mContext.mRpc.Call(
      *control, rpc_method::kRetries, ToJson(message), kRequestTimeout,
      [this, question](const RpcResult& aResult) {
        const int granted =
            aResult.mOk ? FromJson<RetryCreditGrant>(aResult.mAnswer).mGranted
                        : 0;
        ApplyGrant(question, granted);
      });
}

void RetryCreditRequester::ApplyGrant(const Question& aQuestion, int aGranted) {
  PendingRequests& pending = mPending[aQuestion.mService];
  const Millis now = SteadyNow();
  pending.mPolling = false;
  pending.mSources.OnAnswer(aQuestion.mControl, aQuestion.mWanted, aGranted,
                            now);
  RetryAllowance& allowance = mContext.RetryAllowanceOf(aQuestion.mService);
  if (aGranted > 0) {
    allowance.AddCredits(aGranted, aQuestion.mSentAt);
  }
  LogLine(LogLevel::kInfo, "retries_granted")
      .Add("service", aQuestion.mService)
      .Add("control", aQuestion.mControl.Text())
      .Add("wanted", aQuestion.mWanted)
      .Add("granted", aGranted)
      .Add("took_ms", static_cast<Json::Int64>(now - aQuestion.mSentAt))
      .Add("left", allowance.Available(now));
  mContext.mCounters.Add("retries_granted", {}, aGranted);
  if (aGranted < aQuestion.mWanted) {
    // Not every control has a share, and shares are spent at different times.
    Ask(aQuestion.mService, pending, aQuestion.mWanted - aGranted);
  }
}

}  // namespace spindleweir
