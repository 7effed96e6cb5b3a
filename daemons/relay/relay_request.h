/// One request of a caller: selects its route and service, checks its key,
/// sends attempts to upstreams and relays the answer.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemons/relay/relay_admission.h"
#include "daemons/relay/stream_guard.h"
#include "daemons/relay/upstream_call.h"
#include "spindleweir/drivers/stream_client.h"
#include "spindleweir/drivers/stream_server.h"
#include "spindleweir/servers/routing/path_timing.h"
#include "spindleweir/servers/routing/service_choice.h"
#include "spindleweir/servers/streams/event_reader.h"

namespace spindleweir {

/// Exists until its answer has ended or its caller has disconnected.
class RelayRequest : public std::enable_shared_from_this<RelayRequest>,
                     private GuardedStream {
 public:
  /// aOnEnd is called exactly once, when the request has ended.
  RelayRequest(RelayContext& aContext,
               std::shared_ptr<StreamExchange> aExchange,
               std::function<void()> aOnEnd);
  ~RelayRequest() override;
  RelayRequest(const RelayRequest&) = delete;
  RelayRequest& operator=(const RelayRequest&) = delete;

  void Begin();
  /// Ends the request because this process stops: replies if no answer was
  /// started, otherwise cuts the stream.
  void EndByStop();

 private:
  /// Tokens, times layers, that an engine has to prefill before the next event.
  struct PrefillWork {
    std::string mInstance;
    double mTokenLayers = 0;
  };

  /// One upstream, or one path of engines, to which the request is sent.
  struct Attempt {
    std::string mInstance;
    /// Of the incarnation to which the attempt was sent.
    std::int64_t mStart = 0;
    LayerPath mPath;
    double mTokens = 0;  ///< Tokens of memory that each layer reserves.
    /// The path is a weighted draw, not the cheapest.
    bool mDrawnByWeight = false;
    Millis mStartedAt = 0;
    Millis mLastDataAt = 0;
    /// Start of the silence, by EventLoop::RunningNow(). A move sets it anew.
    Millis mSilentSince = 0;
    AnswerHead mHead;
    AnswerFacts mFacts;
    EventReader mEvents;
    std::string mBody;  ///< Of an answer that isn't a stream.
    /// An event, or a part of an unstreamed answer, came.
    bool mHadEvents = false;
    /// For lack of memory the answer is relayed without being collected.
    bool mPassesThrough = false;
    std::unique_ptr<UpstreamCall> mCall;
    /// Order to the first stage to move to another path.
    std::unique_ptr<UpstreamCall> mMoveOrder;
    LayerPath mPreviousPath;  ///< Path before the order, in case it is refused.
    Millis mPreviousSilentSince = 0;  ///< mSilentSince before the order.
    /// Stages of paths to which the first stage refused to move.
    std::set<std::string> mRefusedStages;
    int mMoves = 0;
    /// It was not sent for lack of a retry.
    bool mLacksRetry = false;
    Millis mMovedAt = 0;
    Millis mSearchedAt = 0;  ///< Last search for a path without slow engines.
    std::vector<PrefillWork> mPrefills;
    /// It runs as a trial of the parts of its prompt.
    bool mIsTrial = false;
    /// When the first event came; 0: none yet.
    Millis mFirstEventAt = 0;
    /// Its upstream began to write the answer and stayed up.
    bool mStayedUp = false;
    std::unique_ptr<Timer> mProofTimer;
    /// If the first stage leaves: when to switch to another path.
    Millis mLeaveAt = 0;
  };

  /// The resource for lack of which a request cannot proceed.
  enum class Lack { kNothing, kAttempts, kRetries, kPath, kCapacity };

  /// An answer with a server error, used if no further attempt gives a better
  /// one.
  struct FallbackAnswer {
    AnswerHead mHead;
    std::string mBody;
  };

  void MoveOff(const std::set<std::string>& aInstances,
               MoveReason aReason) override;
  bool MoveOffSlow(Millis aNow) override;
  std::string FirstInstance() const override;
  /// The slow stages of the path, without the first stage, which cannot be
  /// replaced.
  std::set<std::string> SlowStages() const;
  /// The path with all slow stages replaced, or with one of them; empty if
  /// there is no such path.
  LayerPath ReplaceSlowStages(const std::set<std::string>& aSlow);
  StreamTargets Targets() const;
  /// The path with these instances replaced and the other stages retained;
  /// empty if there is no replacement.
  LayerPath ReplaceStages(const std::set<std::string>& aInstances);
  /// As ReplaceStages, but only with engines of the query.
  LayerPath ReplaceStagesAmong(PathQuery aQuery,
                               const std::set<std::string>& aInstances);
  void Repath(LayerPath aPath, MoveReason aReason);
  /// Called when the move order has ended. aStatus: 0 if it wasn't answered.
  void EndOrder(int aStatus, MoveReason aReason);
  /// Restores the previous path, which the engines go on using after they
  /// refused a move, and searches for another one.
  void UndoMove(MoveReason aReason);
  void SetPath(LayerPath aPath);
  void WatchAttempt();
  void StopWatching();
  /// Records that these stages have to prefill all tokens so far.
  void BeginPrefill(const LayerPath& aStages);
  void EndPrefill();
  PathQuery EngineQuery(SampleScope aScope = SampleScope::kLocalZone) const;
  void SpendInterZoneBudget(const PathQuery& aQuery, const PathResult& aAnswer);

  void Admit();
  /// Whether this router has just started and the request has not used up its
  /// share of waiting for that.
  bool MayWaitForStartUp() const;
  /// Schedules another admission if this router has just started; false if the
  /// request has to be answered now.
  bool WaitForStartUp();
  void ChooseService();
  /// Starts the first attempt as soon as the warm-up admits it.
  void AwaitWarmUp();
  /// Logs and counts the outcome of the warm-up for this request.
  void RecordWarmUp(const WarmUpDecision& aDecision);
  void StartAttempt();
  /// Schedules another attempt; false if the request should not wait.
  bool WaitForPath();
  bool ChooseEnginePath(Attempt& aAttempt);
  bool ChoosePlainUpstream(Attempt& aAttempt);
  /// Leaves out those that this request could not be sent to, unless all are:
  /// one that seems silent may serve, one that has ended doesn't.
  void LeaveOutUnreached(std::vector<const UpstreamRecord*>& aUpstreams) const;
  void Send(const UpstreamRecord& aFirst);
  bool MaySend() const;
  /// Whether no attempt has reached an upstream yet.
  bool IsFirstSent() const;
  /// Whether the attempt, whose connection is made, may reach its upstream: it
  /// is the first one that does, or a retry was spent for it a moment ago or
  /// just now.
  bool HoldsRetry();
  /// Logs an attempt that reaches upstreams beyond the request's first one.
  void LogRetry() const;
  void HandleHead(const AnswerHead& aHead);
  /// The instance that refused the attempt: the stage of its path that the
  /// answer names, otherwise the upstream that answered.
  const std::string& Refuser() const;
  /// Applies the limit that an answer advertises for its upstream.
  void ApplyLimit(const LimitNotice& aWord);
  /// Applies the notice in an answer that its upstream is leaving.
  void ApplyLeaving(bool aLeaves);
  void HandleData(std::string_view aBytes);
  void HandleEnd(StreamEnd aEnd);
  void HandleEvents(std::string_view aBytes);
  void HandleFullAnswer();
  /// Collects or relays more bytes of an answer that isn't a stream.
  void HandleBody(std::string_view aBytes);
  /// Whether the status of the answer would promise the caller that its call
  /// has not run, though the upstream did not state that.
  bool WouldMisreportNotRun() const;
  /// Starts to relay the answer before it is complete, for lack of memory.
  void PassThrough();
  /// Pauses reading from the upstream while the caller reads slowly.
  void ApplyBackpressure();
  /// Updates the memory held for a collected answer; false if it exceeds the
  /// allowance.
  bool MayCollect();
  void ClaimMemory();
  void CheckSilence();
  void HandleTimeout();
  void HandleCallerGone();

  /// Replaces an attempt that may still proceed by a better one. Returns false,
  /// without a change, if there is none. aMayStay: the better one may begin at
  /// the same upstream.
  bool SwitchAttempt(ResultCode aCode, bool aMayStay = false);
  /// Tries to switch again in a moment, when control may have granted a credit,
  /// unless the attempt goes on meanwhile.
  void SwitchWithCredit(ResultCode aCode, bool aMayStay);
  /// Reports the attempt as lost: its upstream may have crashed.
  void RecordLostAttempt();
  void LogFailure(Ran aRan, ResultCode aCode) const;
  /// The reserved share of an engine's capacity, by the loads known here; -1 if
  /// it is no stage of the path.
  double KnownFillOf(const std::string& aAddress) const;
  /// Ends the attempt, then retries or gives up. aRan: whether the upstream ran
  /// it.
  void AttemptFailed(Ran aRan, ResultCode aCode, bool aWasSent);
  /// Retries once a retry could be spent, or gives up.
  void RetryOrGiveUp(ResultCode aCode);
  /// Spends a retry; if none is available, requests a credit from control.
  bool TrySpendRetry();
  /// Whether the request may go on waiting for a retry credit from control.
  bool MayWaitForCredit();
  /// Whether to wait for capacity instead of giving up: for a stream that has
  /// begun and whose caller is still connected, and for a likely retry whose
  /// caller has no further attempt.
  bool IsWorthWaiting() const;
  /// Whether the request is most likely the caller's retry, and its last one.
  bool IsLikelyRetry() const;
  /// aRan: whether the attempt that ended was run.
  bool MayTryAgain(Ran aRan) const;
  /// Whether the request may be tried again after an attempt that was not sent:
  /// a few times, or as long as it is worth waiting.
  bool HasUnsentAttemptsLeft() const;
  /// Whether another upstream may be tried at once after an attempt that was
  /// not sent.
  bool MayTryOtherAtOnce() const;
  /// Tries again after an attempt that was not sent.
  void RetryUnsent(ResultCode aCode);
  void DropAttempt();
  /// Whether the attempt was sent to the incarnation that is known now. Its
  /// outcome says nothing about a successor.
  bool IsCurrent() const;
  /// Drops the attempt; the upstream may have begun to run it.
  void AbandonAttempt();
  void GiveUp(ResultCode aCode);
  /// Records what the request lacks, and logs it if that changed.
  void SetLack(Lack aLack);
  static const char* LackName(Lack aLack);
  void Refuse(ResultCode aCode, ReturnCause aCause);
  /// The inputs by which an upstream of a plain service was found to be full,
  /// for the log; empty if none was.
  Json::Value FullUpstreamInputs() const;
  /// Digest of workspace, host, path and body. Identifies repetitions of a
  /// request regardless of its id.
  const std::string& Content() const;
  /// The first shared parts of its prompt, for the log.
  Json::Value LoggedParts() const;
  /// Whether too many upstreams crashed while running this request, or others
  /// with a part of its prompt, on any router.
  bool IsBarred() const;
  /// What may be done with it now because of the parts of its prompt.
  PartDecision DecideByParts() const;
  /// Waits until others with a suspected part were tried; refuses the request
  /// after a while. False: it may run now.
  bool WaitsForTrial();
  /// False: too many requests wait already.
  bool StartWaitingForTrial();
  void StopWaitingForTrial();
  /// Marks the attempt as a trial if crashes were seen under its parts.
  void BeginTrial();
  void EndTrial();
  /// Whether the attempt may be the cause of a crash of its upstream, and the
  /// next one may crash as well.
  bool IsSuspect() const;
  /// The first event of the attempt came: it excuses the parts of the prompt if
  /// the upstream stays up.
  void AwaitProof();
  /// The upstream stayed up since it began to write the answer.
  void ExcuseParts();
  void Forward(const AnswerHead& aHead, std::string_view aBody);
  void End(const char* aOutcome, int aStatus);
  void Count(const char* aOutcome, int aStatus);
  void CountLoad(int aSign);
  Millis Remaining() const;

  RelayContext& mContext;
  std::shared_ptr<StreamExchange> mExchange;
  std::function<void()> mOnEnd;
  RequestFacts mFacts;
  std::shared_ptr<const RouteTable> mTable;
  const TrafficRoute* mRoute = nullptr;
  const TrafficService* mService = nullptr;
  std::string mWorkspace;
  mutable std::string mContent;  ///< Computed on first use.
  /// The parts of its prompt: see PartSubjects.
  std::vector<std::string> mParts;
  Millis mTrialAwaitedAt = 0;  ///< Start of the wait for a trial; 0: none.
  bool mNeedsLease = false;
  Millis mDeadline = 0;   ///< By the steady clock.
  Millis mArrivedAt = 0;  ///< When it was recorded as an arrival.
  std::unique_ptr<Attempt> mAttempt;
  std::optional<FallbackAnswer> mFallback;
  std::set<std::string> mTried;
  std::set<std::string> mUnreached;  ///< Instances of attempts not sent.
  StreamKey mKey = 0;        ///< Key in the stream guard; 0 if not watched.
  int mRanAttempts = 0;      ///< Attempts that ran, or may have run.
  int mRefusedAttempts = 0;  ///< Attempts that an upstream refused to run.
  int mUnsentAttempts = 0;   ///< Attempts that were not sent.
  /// When a retry was spent for the next attempt; 0: none was.
  Millis mRetrySpentAt = 0;
  bool mSpentCredit = false;  ///< It was one that control had granted.
  /// Why the latest attempt failed.
  ResultCode mRetryCode = ResultCode::kNoUpstream;
  /// Start of the wait for a retry credit; 0 if it doesn't wait.
  Millis mCreditAwaitedAt = 0;
  bool mMayHaveRun = false;
  bool mLacksCapacity = false;
  Lack mLack = Lack::kNothing;  ///< Since the last attempt.
  /// An upstream that the latest choice excluded because it was full.
  std::optional<UpstreamOccupancy> mFullUpstream;
  /// Id of the last event sent to the caller.
  std::optional<std::int64_t> mLastEvent;
  Millis mFirstEventAt = 0;
  Millis mLastEventAt = 0;
  Millis mLongestPause = 0;
  int mEvents = 0;
  bool mEnded = false;
  std::unique_ptr<Timer> mTimeout;
  std::unique_ptr<Timer> mSilenceTimer;
  std::unique_ptr<Timer> mPathTimer;
  std::unique_ptr<Timer> mSwitchTimer;
};

}  // namespace spindleweir
