/// One completion on its way: admission, claim, chain, stream, resume, end.
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

/// A typed state machine; it holds itself while anything of it is open.
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
  /// kStoring: all tokens came, and the claim keepers are told.
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
  void EndAttempt(const char* aEnding);
  void ReplaceChain(const std::string& aWhy,
                    const std::set<std::string>& aFailed);
  void HandleMissingChain();

  Millis StallTimeout() const;
  void StartStallTimer();
  void OnStallTimer();
  void ProbeStages();
  void OnProbesDone(const std::set<std::string>& aSilent);

  void Deliver(const TokenFrame& aFrame);
  void ApplyBackpressure();
  /// Ends the answer once resends learn it.
  void FinishCompletion();
  void SendFinalAnswer(const std::string& aFullAnswer);
  void Fail(ResultCode aCode, const std::string& aMessage,
            Millis aRetryAfter = 0);
  void OnCallerDisconnected();
  void End(ResultCode aCode, Ran aRan);
  double ExpectedMillis() const;

  CompletionBody mBody;
  ModelSpec mModel;
  CompletionReply mReply;
  TokenFilter mTokenFilter;
  Phase mPhase = Phase::kQueued;
  bool mDispatched = false;  ///< Something may have run.
  /// Set once the first event is written.
  std::optional<StreamEventWriter> mEventWriter;
  bool mStreaming = false;           ///< The answer's head was sent.
  std::vector<std::string> mTokens;  ///< Delivered, for a resume.
  std::vector<StagePlacement> mStages;
  double mChainCost = 0;
  std::set<std::string> mExcluded;
  Millis mLastProgressAt = 0;  ///< The last token, or the dispatch.
  int mConsecutiveStalls = 0;  ///< In a row, without a token.
  int mChainRetries = 0;       ///< For any chain at all.
  Millis mNoChainSince = 0;    ///< When no chain was left; 0: there is one.
  std::unique_ptr<HttpCall> mCall;
  std::unique_ptr<Timer> mStallTimer;
  std::unique_ptr<Timer> mDeadlineTimer;
  std::unique_ptr<Timer> mBackpressureTimer;
  std::unique_ptr<Timer> mRetryTimer;
};

}  // namespace spindleweir
