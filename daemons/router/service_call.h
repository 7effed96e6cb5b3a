/// The handling of one call to a service.
#pragma once

#include <memory>
#include <set>
#include <string>

#include "daemons/router/request_handler.h"

namespace spindleweir {

/// A call that isn't repeatable is dispatched at most once. With an
/// Idempotency-Key it is claimed first, so that this holds across all routers.
class ServiceCall : private RequestHandler,
                    public std::enable_shared_from_this<ServiceCall> {
 public:
  /// aPath: the path after the service's name, with its leading slash.
  ServiceCall(RouterContext& aContext, ClaimClient& aClaims,
              CallerRequest aRequest, ServiceSpec aService, std::string aPath);
  ~ServiceCall();
  ServiceCall(const ServiceCall&) = delete;
  ServiceCall& operator=(const ServiceCall&) = delete;

  void Begin();

 private:
  void OnAdmission(const AdmissionOutcome& aOutcome);
  void OnClaim(const ClaimOutcome& aOutcome);
  void Dispatch();
  void LogRouting(const std::string& aChosen, std::size_t aCandidates) const;
  void HandleResult(const HttpResult& aResult);
  /// aProvenNotRun: the instance cannot have started the call.
  void RetryOrFail(const std::string& aReason, bool aProvenNotRun);
  /// Stores the answer at the claim keepers, then sends it to the caller.
  void SendAnswer(const HttpResult& aResult);
  void Fail(ResultCode aCode, const std::string& aMessage,
            Millis aRetryAfter = 0);
  void OnCallerDisconnected();
  void OnTimeout();
  void EndAttempt(const char* aEnding);
  void End(ResultCode aCode, Ran aRan);
  bool IsRepeatable() const;

  ServiceSpec mService;
  std::string mPath;
  bool mEnded = false;
  bool mHasRun = false;      ///< Answer is being stored at the claim keepers.
  bool mMayHaveRun = false;  ///< An attempt was sent and got no answer.
  int mAttempt = 0;
  std::string mVm;  ///< VM of the current attempt.
  std::set<std::string> mTriedVms;
  std::unique_ptr<HttpCall> mCall;
  std::unique_ptr<Timer> mTimer;
  std::unique_ptr<Timer> mRetryTimer;
};

}  // namespace spindleweir
