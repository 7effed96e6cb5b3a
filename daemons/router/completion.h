/// One completion on its way: admission, claim, chain, stream, resume, end.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "daemons/router/caller_work.h"
#include "daemons/router/completion_body.h"
#include "spindleweir/servers/routing/token_filter.h"

namespace spindleweir {

/// A typed state machine; it holds itself while anything of it is open.
class Completion : private CallerWork,
                   public std::enable_shared_from_this<Completion> {
 public:
  Completion(RouterContext& aContext, ClaimGate& aClaims,
             CallerRequest aRequest, CompletionBody aBody, ModelSpec aModel);
  ~Completion();
  Completion(const Completion&) = delete;
  Completion& operator=(const Completion&) = delete;

  void Begin();

 private:
  /// kKeeping: all tokens came, and the claim keepers are told.
  enum class Phase { kQueued, kClaiming, kRunning, kKeeping, kEnded };

  void Admitted(const AdmissionOutcome& aOutcome);
  void Claimed(const ClaimOutcome& aOutcome);
  void ReplayStored(const StoredAnswer& aAnswer);

  void Dispatch();
  bool ChooseStages();
  void LogRouting(const ChainChoice& aChoice,
                  const std::vector<ChainCandidate>& aCandidates) const;
  ChainJob MakeJob() const;
  void HandleFrame(const TokenFrame& aFrame);
  void HandleChainEnd(const HttpResult& aResult);
  void EndAttempt(const char* aHow);
  void Replace(const std::string& aWhy, const std::set<std::string>& aFailed);
  void NoChain();

  Millis LongestSilence() const;
  void WatchSilence();
  void HandleSilence();
  void ProbeStages();
  void ProbesDone(const std::set<std::string>& aSilent);

  void Deliver(const TokenFrame& aFrame);
  void PushBack();
  /// Ends the answer once resends learn it.
  void FinishWhole();
  void GiveEnd(const std::string& aWhole);
  void Fail(ResultCode aCode, const std::string& aMessage,
            Millis aRetryAfter = 0);
  void CallerLeft();
  void End(ResultCode aCode, Ran aRan);
  double ExpectedMillis() const;

  CompletionBody mBody;
  ModelSpec mModel;
  CompletionReply mReply;
  TokenFilter mGate;
  Phase mPhase = Phase::kQueued;
  bool mDispatched = false;  ///< Something may have run.
  /// Set once the first event is written.
  std::optional<StreamEventWriter> mEvents;
  bool mStreaming = false;           ///< The answer's head was sent.
  std::vector<std::string> mTokens;  ///< Delivered, for a resume.
  std::vector<StagePlacement> mStages;
  double mChainCost = 0;
  std::set<std::string> mExcluded;
  Millis mSilentSince = 0;  ///< The last token, or the dispatch.
  int mSilences = 0;        ///< In a row, without a token.
  int mChainWaits = 0;      ///< For any chain at all.
  Millis mLostChainAt = 0;  ///< When no chain was left; 0: there is one.
  std::unique_ptr<HttpCall> mCall;
  std::unique_ptr<Timer> mSilenceTimer;
  std::unique_ptr<Timer> mDeadlineTimer;
  std::unique_ptr<Timer> mPushBackTimer;
  std::unique_ptr<Timer> mRetryTimer;
};

}  // namespace spindleweir
