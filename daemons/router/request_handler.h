/// What a caller's request carries, and what a completion and a service call
/// do alike with it: its place, its claim, its receipt, its end.
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

  /// What its idempotency key claims on a route.
  std::string ClaimKey(const std::string& aRoute) const {
    return mWorkspace.mName + "\n" + aRoute + "\n" + mIdempotencyKey;
  }
};

/// Tick for one request. It holds itself from Open() until after Close().
class RequestHandler {
 protected:
  /// aTarget: the model or service.
  RequestHandler(RouterContext& aContext, ClaimClient& aClaims,
                 CallerRequest aRequest, const std::string& aTarget);
  ~RequestHandler() = default;
  RequestHandler(const RequestHandler&) = delete;
  RequestHandler& operator=(const RequestHandler&) = delete;

  void Open(std::shared_ptr<void> aSelf);
  /// Asks for a place; aDone is called once, unless the work ends before.
  void RequestAdmission(double aServiceMillis,
                        std::function<void(const AdmissionOutcome&)> aDone);
  /// Sends an error as the whole answer.
  void ReplyWithError(ResultCode aCode, const std::string& aMessage,
                      Millis aRetryAfter);
  /// Ends the claim, if it is held: released where nothing can have run, else
  /// its outcome is unknown.
  void SettleClaim(bool aMayHaveRun);
  /// Ends the claim with the answer, and calls aThen once resends learn it: at
  /// once where no claim is held.
  void FinishClaim(const StoredAnswer& aAnswer, std::function<void()> aThen);
  /// Writes receipt, counter and log line, and gives the place back. The
  /// object goes in the next turn of the loop.
  void Close(ResultCode aCode, Ran aRan, int aTokens, int aAttempts);

  RouterContext& mContext;
  ClaimClient& mClaims;
  CallerRequest mRequest;
  Receipt mReceipt;
  ClaimRecord mClaim;
  bool mClaimHeld = false;
  bool mHoldsSlot = false;  ///< Holds a place of the limiter.

 private:
  std::uint64_t mTicket = 0;
  std::shared_ptr<void> mSelf;
};

}  // namespace spindleweir
