/// One caller's request on its way: route, key, attempts at upstreams, the
/// relay of the answer.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemons/relay/relay_admission.h"
#include "daemons/relay/stream_guard.h"
#include "spindleweir/drivers/stream_client.h"
#include "spindleweir/drivers/stream_server.h"
#include "spindleweir/servers/routing/path_timing.h"
#include "spindleweir/servers/routing/service_choice.h"
#include "spindleweir/servers/streams/event_reader.h"

namespace spindleweir {

/// Lives until its answer has ended or its caller is gone.
class RelayRequest : public std::enable_shared_from_this<RelayRequest>,
                     private GuardedStream {
 public:
  /// aOnEnd is called once, when nothing more will happen.
  RelayRequest(RelayContext& aContext,
               std::shared_ptr<StreamExchange> aExchange,
               std::function<void()> aOnEnd);
  ~RelayRequest() override;
  RelayRequest(const RelayRequest&) = delete;
  RelayRequest& operator=(const RelayRequest&) = delete;

  void Begin();
  /// This process ends. Who has no answer yet gets one, a stream is cut.
  void EndByStop();

 private:
  /// What an engine must read before an event can come.
  struct PrefillWork {
    std::string mInstance;
    double mTokenLayers = 0;
  };

  /// One upstream, or one path of engines, that the request is sent to.
  struct Attempt {
    std::string mInstance;
    std::int64_t mStart = 0;  ///< Of the incarnation that it was sent to.
    LayerPath mPath;
    double mTokens = 0;           ///< Memory promised for each layer.
    bool mDrawnByWeight = false;  ///< The path was dealt, not the cheapest.
    Millis mStartedAt = 0;
    Millis mLastDataAt = 0;
    /// Since when it says nothing, by EventLoop::RunningNow().
    Millis mSilentSince = 0;
    AnswerHead mHead;
    AnswerFacts mFacts;
    EventReader mEvents;
    std::string mBody;        ///< Of an answer that is not a stream.
    bool mHadEvents = false;  ///< One came, or a stage of a whole answer.
    bool mPassesThrough =
        false;  ///< It goes on as it comes, for lack of memory.
    std::unique_ptr<StreamCall> mCall;
    std::unique_ptr<StreamCall> mMoveOrder;  ///< To move to another path.
    LayerPath mPreviousPath;                 ///< The order's, for its refusal.
    Millis mPreviousSilentSince = 0;         ///< mSilentSince before the order.
    /// Parts of paths that its first engine refused to move to.
    std::set<std::string> mRefusedStages;
    int mMoves = 0;
    Millis mMovedAt = 0;
    Millis mSearchedAt = 0;  ///< For a path without slow engines.
    std::vector<PrefillWork> mPrefills;
    Millis mLeaveAt = 0;  ///< The first leaves: gone on elsewhere from then.
  };

  /// What a request that can't go on has too little of.
  enum class Lack { kNothing, kAttempts, kRetries, kPath, kCapacity };

  /// A whole answer of an upstream that is used where no better one comes.
  struct FallbackAnswer {
    AnswerHead mHead;
    std::string mBody;
  };

  void MoveOff(const std::set<std::string>& aInstances,
               MoveReason aReason) override;
  bool MoveOffSlow(Millis aNow) override;
  std::string FirstInstance() const override;
  /// The slow stages of the path but its first, which cannot be replaced.
  std::set<std::string> SlowStages() const;
  /// The path without its slow stages, or without some; empty: no better one.
  LayerPath ReplaceSlowStages(const std::set<std::string>& aSlow);
  StreamTargets Targets() const;
  /// The path without some instances, the other stages kept; empty: none.
  LayerPath ReplaceStages(const std::set<std::string>& aInstances);
  /// The same by the engines of a query only.
  LayerPath ReplaceStagesAmong(PathQuery aQuery,
                               const std::set<std::string>& aInstances);
  void Repath(LayerPath aPath, MoveReason aReason);
  /// The order was answered; 0: it was not.
  void EndOrder(int aStatus, MoveReason aReason);
  /// The engines go on with the path that they had: so does what is told of it,
  /// and another one is looked for.
  void UndoMove(MoveReason aReason);
  void SetPath(LayerPath aPath);
  void WatchAttempt();
  void StopWatching();
  /// Notes that these stages read all tokens so far.
  void BeginPrefill(const LayerPath& aStages);
  void EndPrefill();
  PathQuery EngineQuery(SampleScope aScope = SampleScope::kLocalZone) const;
  void SpendInterZoneBudget(const PathQuery& aQuery, const PathResult& aAnswer);

  void Admit();
  /// Whether this router has just started and the request has not waited for
  /// that for long.
  bool MayWaitForStartUp() const;
  /// Looks at the request again in a moment, where this router has just
  /// started; false: it has to be answered now.
  bool WaitForStartUp();
  void ChooseService();
  /// Starts the first attempt as soon as the opening lets it in.
  void AwaitWarmUp();
  /// Logs and counts how the opening ended for it.
  void RecordWarmUp(const WarmUpDecision& aDecision);
  void StartAttempt();
  /// Tries again in a moment, where a stream has begun; false: not worth it.
  bool WaitForPath();
  bool ChooseEnginePath(Attempt& aAttempt);
  bool ChoosePlainUpstream(Attempt& aAttempt);
  void Send(const UpstreamRecord& aFirst);
  bool MaySend() const;
  void HandleHead(const AnswerHead& aHead);
  /// Who refused the attempt: the stage of its path that the answer names, else
  /// the upstream that answered.
  const std::string& Refuser() const;
  /// Takes what an answer says of its upstream's limit.
  void ApplyLimit(const LimitWord& aWord);
  /// Takes an answer's word that its upstream leaves.
  void ApplyLeaving(bool aLeaves);
  void HandleData(std::string_view aBytes);
  void HandleEnd(StreamEnd aEnd);
  void HandleEvents(std::string_view aBytes);
  void HandleFullAnswer();
  /// Takes more of an answer that is not a stream.
  void HandleBody(std::string_view aBytes);
  /// Whether the answer's status would tell the caller that its call has not
  /// run, though the upstream did not say so.
  bool WouldMisreportNotRun() const;
  /// Starts the answer before it is whole, for lack of memory.
  void PassThrough();
  /// Stops work from the upstream where the caller is slow.
  void ApplyBackpressure();
  /// Notes what is held of an answer that is collected; false: too much.
  bool MayCollect();
  void ClaimMemory();
  void CheckSilence();
  void HandleTimeout();
  void HandleCallerGone();

  /// Leaves an attempt that may still go on for a better one; false, and
  /// nothing changes, where there is none.
  bool SwitchAttempt(ResultCode aCode);
  /// The attempt is lost: its upstream may have crashed.
  void RecordLostAttempt();
  void LogFailure(Ran aRan, ResultCode aCode) const;
  /// The share of an engine's room that is promised, by the loads known here;
  /// -1: it is no stage of the path.
  double KnownFillOf(const std::string& aAddress) const;
  /// The attempt is over; aRan says what is known. Tries again or gives up.
  void AttemptFailed(Ran aRan, ResultCode aCode, bool aWasSent);
  /// Tries again once the retry is paid for, or gives up.
  void PayForRetry(ResultCode aCode);
  /// Takes a retry, or asks control for one.
  bool TrySpendRetry();
  /// Whether control may still hand out a retry in this moment.
  bool MayWaitForCredit();
  /// Whether a stream has begun that its caller still waits for, or the request
  /// has come back and would be refused for good.
  bool IsWorthWaiting() const;
  /// Whether it is most likely a retry, and its caller has no further one.
  bool IsLikelyRetry() const;
  /// aRan: of the attempt that is over.
  bool MayTryAgain(Ran aRan) const;
  void DropAttempt();
  /// Whether the incarnation that the attempt was sent to is the one known:
  /// what becomes of it says nothing of a successor.
  bool IsCurrent() const;
  /// Drops the attempt, whose upstream may have begun.
  void AbandonAttempt();
  void GiveUp(ResultCode aCode);
  /// Notes, and logs where it is new, what keeps it from going on.
  void SetLack(Lack aLack);
  static const char* LackName(Lack aLack);
  void Refuse(ResultCode aCode, ReturnCause aCause);
  /// The inputs by which an upstream of a plain service was found full, for
  /// the log; empty: none was.
  Json::Value FullUpstreamInputs() const;
  /// Tells requests of the same workspace, path and body from all others,
  /// whatever id they come under: a digest.
  const std::string& Content() const;
  /// Whether upstreams crashed under it, here or elsewhere, too often.
  bool IsBarred() const;
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
  mutable std::string mContent;  ///< Empty: not asked for yet.
  bool mNeedsLease = false;
  Millis mDeadline = 0;   ///< Steady.
  Millis mArrivedAt = 0;  ///< When it was counted as asking for an upstream.
  std::unique_ptr<Attempt> mAttempt;
  std::optional<FallbackAnswer> mFallback;
  std::set<std::string> mTried;
  StreamKey mKey = 0;           ///< Of the guard; 0: not watched.
  int mRanAttempts = 0;         ///< Attempts that ran, or may have run.
  int mRefusedAttempts = 0;     ///< Attempts that an upstream refused to run.
  int mUnsentAttempts = 0;      ///< Attempts that did not.
  Millis mCreditAwaitedAt = 0;  ///< Since when it waits for a retry; 0: not.
  bool mMayHaveRun = false;
  bool mLacksCapacity = false;
  Lack mLack = Lack::kNothing;  ///< Since its last attempt.
  /// An upstream that the newest choice left out for lack of room.
  std::optional<UpstreamOccupancy> mFullUpstream;
  std::optional<std::int64_t> mLastEvent;  ///< Given to the caller.
  Millis mFirstEventAt = 0;
  Millis mLastEventAt = 0;
  Millis mLongestPause = 0;
  int mEvents = 0;
  bool mEnded = false;
  std::unique_ptr<Timer> mTimeout;
  std::unique_ptr<Timer> mSilenceTimer;
  std::unique_ptr<Timer> mPathTimer;
};

}  // namespace spindleweir
