/// A caller's request, and the handling that completions and service calls
/// share: admission, claim, receipt and end.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "daemons/router/claim_client.h"
#include "daemons/router/router_context.h"
#include "spindleweir/drivers/http_server.h"

namespace spindleweir {

/// A caller's request after its headers were checked.
struct CallerRequest {
  std::string mId;
  WorkspaceSpec mWorkspace;
  std::shared_ptr<HttpExchange> mExchange;
  std::string mIdempotencyKey;  ///< Empty: none.
  int mPriority = 0;
  Millis mDeadline = 0;  ///< Absolute, steady; 0: none.
  Millis mStarted = 0;   ///< Steady.

  /// The claim key of the idempotency key on a route, which is scoped to the
  /// workspace.
  std::string ClaimKey(const std::string& aRoute) const {
    return mWorkspace.mName + "\n" + aRoute + "\n" + mIdempotencyKey;
  }
};

/// Base class for the handling of one request. The router's OpenRequests own
/// the object from Open() to Close().
class RequestHandler {
 protected:
  /// aTarget: name of the model or service.
  RequestHandler(RouterContext& aContext, ClaimClient& aClaims,
                 CallerRequest aRequest, const std::string& aTarget);
  ~RequestHandler() = default;
  RequestHandler(const RequestHandler&) = delete;
  RequestHandler& operator=(const RequestHandler&) = delete;

  void Open(std::shared_ptr<void> aSelf);
  /// Requests a slot from the limiter; aDone is called once, unless Close() is
  /// called before. aServiceMillis is the expected duration.
  void RequestAdmission(double aServiceMillis,
                        std::function<void(const AdmissionOutcome&)> aDone);
  /// Sends an error as the complete HTTP response.
  void ReplyWithError(ResultCode aCode, const std::string& aMessage,
                      Millis aRetryAfter);
  /// Ends a held claim without an answer: releases it if nothing can have run,
  /// or else stores an unknown outcome.
  void SettleClaim(bool aMayHaveRun);
  /// Ends the claim with the answer. Calls aThen once a resend would get this
  /// answer, or immediately if no claim is held.
  void FinishClaim(const StoredAnswer& aAnswer, std::function<void()> aThen);
  /// Writes the receipt, counter and log line, and releases the slot. The
  /// object is destroyed in the next iteration of the event loop.
  void Close(ResultCode aCode, Ran aRan, int aTokens, int aAttempts);

  RouterContext& mContext;
  ClaimClient& mClaims;
  CallerRequest mRequest;
  Receipt mReceipt;
  ClaimRecord mClaim;
  bool mClaimHeld = false;
  bool mHoldsSlot = false;  ///< Holds a slot of the limiter.

 private:
  std::uint64_t mTicket = 0;
  const void* mSelf = nullptr;  ///< Key in OpenRequests.
};

}  // namespace spindleweir
