/// The handling of one completion: admission, claim, chain selection,
/// streaming, resume after a failure, and end.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "daemons/router/completion_body.h"
#include "daemons/router/request_handler.h"
#include "spindleweir/servers/routing/token_filter.h"

namespace spindleweir {

/// A state machine that owns itself until the completion has ended and no
/// callback is pending.
class Completion : private RequestHandler,
                   public std::enable_shared_from_this<Completion> {
 public:
  Completion(RouterContext& aContext, ClaimClient& aClaims,
             CallerRequest aRequest, CompletionBody aBody, ModelSpec aModel);
  ~Completion();
  Completion(const Completion&) = delete;
  Completion& operator=(const Completion&) = delete;

  void Begin();

 private:
  /// kStoring: all tokens have arrived, and the claim keepers store the
  /// outcome.
  enum class Phase { kQueued, kClaiming, kRunning, kStoring, kEnded };

  void OnAdmission(const AdmissionOutcome& aOutcome);
  void OnClaim(const ClaimOutcome& aOutcome);
  void ReplayStored(const StoredAnswer& aAnswer);

  void Dispatch();
  bool ChooseStages();
  void LogRouting(const ChainChoice& aChoice,
                  const std::vector<ChainCandidate>& aCandidates) const;
  ChainJob MakeJob() const;
  void HandleFrame(const TokenFrame& aFrame);
  void HandleChainEnd(const HttpResult& aResult);
  /// Ends the current attempt; aEnding is its outcome in the receipt.
  void EndAttempt(const char* aEnding);
  /// Ends the attempt, excludes aFailed, and dispatches to another chain.
  void ReplaceChain(const std::string& aReason,
                    const std::set<std::string>& aFailed);
  /// Fails, or retries later if a token may already have been produced.
  void HandleMissingChain();

  /// How long a chain may produce no token before its engines are probed.
  Millis StallTimeout() const;
  void StartStallTimer();
  void OnStallTimer();
  void ProbeStages();
  /// aSilent: engines that did not answer the probe.
  void OnProbesDone(const std::set<std::string>& aSilent);

  void Deliver(const TokenFrame& aFrame);
  /// Pauses the chain while the caller reads too slowly.
  void ApplyBackpressure();
  /// Stores the full answer at the claim keepers, then sends its end.
  void FinishCompletion();
  void SendFinalAnswer(const std::string& aFullAnswer);
  void Fail(ResultCode aCode, const std::string& aMessage,
            Millis aRetryAfter = 0);
  void OnCallerDisconnected();
  void End(ResultCode aCode, Ran aRan);
  /// Highest expected step time of an engine that runs the model's first
  /// stage; 0 if there is none.
  double ExpectedMillis() const;

  CompletionBody mBody;
  ModelSpec mModel;
  CompletionReply mReply;
  TokenFilter mTokenFilter;
  Phase mPhase = Phase::kQueued;
  bool mDispatched = false;  ///< An engine may have started work.
  /// Set once the first stream event is written.
  std::optional<StreamEventWriter> mEventWriter;
  bool mStreaming = false;           ///< The response headers were sent.
  std::vector<std::string> mTokens;  ///< Delivered tokens, for a resume.
  std::vector<StagePlacement> mStages;
  double mChainCost = 0;
  std::set<std::string> mExcluded;
  Millis mLastProgressAt = 0;  ///< Last token or dispatch.
  int mConsecutiveStalls = 0;  ///< Since the last token.
  int mChainRetries = 0;       ///< While no chain is usable.
  Millis mNoChainSince = 0;    ///< 0: a chain is usable.
  std::unique_ptr<HttpCall> mCall;
  std::unique_ptr<Timer> mStallTimer;
  std::unique_ptr<Timer> mDeadlineTimer;
  std::unique_ptr<Timer> mBackpressureTimer;
  std::unique_ptr<Timer> mRetryTimer;
};

}  // namespace spindleweir
