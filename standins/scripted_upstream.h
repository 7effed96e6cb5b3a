/// An upstream whose handling of requests is scripted by the test.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "spindleweir/drivers/stream_server.h"

namespace spindleweir {

/// How the upstream handles a request.
enum class UpstreamAction {
  kAnswer,      ///< Runs it and answers in full; a stream: all events.
  kRefuse,      ///< Answers that it didn't run the request.
  kTruncate,    ///< Runs it and aborts the answer: a stream after two events.
  kFail,        ///< Runs it and answers 500 or the SetFailureStatus() status.
  kSilent,      ///< Runs it and sends no answer.
  kStall,       ///< Runs it; a stream: sends one event, then nothing.
  kSlowStream,  ///< Runs it; a stream: events kEventInterval apart.
  kDelayedAnswer,  ///< Runs it and answers in full after kAnswerDelay.
};

/// One upstream, listening on its own port.
class ScriptedUpstream {
 public:
  ScriptedUpstream(EventLoop& aLoop, std::string aInstance);

  /// Sets the actions for the next requests, one each; kAnswer applies to all
  /// later ones.
  void QueueActions(std::vector<UpstreamAction> aActions);
  /// From now on full answers have aBytes bytes: the request's id, repeated.
  void SetAnswerBytes(std::size_t aBytes) { mBytes = aBytes; }
  /// Returns the body of such an answer.
  static std::string BodyOf(const std::string& aRequest, std::size_t aBytes);
  /// From now on the upstream crashes when it starts to run a request whose
  /// target ends with aTargetEnd.
  void CrashOnTarget(std::string aTargetEnd) {
    mCrashTarget = std::move(aTargetEnd);
  }
  /// From now on the upstream crashes when it starts to run a request whose
  /// prompt has this part.
  void CrashOnPart(std::string aPart) { mCrashPart = std::move(aPart); }
  /// Stops the upstream: all connections are lost and its port refuses new
  /// ones.
  void Crash();
  bool Crashed() const { return mCrashed; }
  /// Rejects the next aCount orders to move a request with status 409, as an
  /// engine of the path that lacks capacity does.
  void RejectRepaths(int aCount) { mRejectedRepaths = aCount; }
  /// The paths of all such orders: instances, each followed by a space.
  const std::vector<std::string>& Repaths() const { return mRepaths; }
  /// From now on answers advertise this limit, in requests per second; nullopt:
  /// no limit.
  void AdvertiseLimit(std::optional<double> aPerSecond) { mLimit = aPerSecond; }
  /// From now on the upstream rejects all requests and asks for this back-off;
  /// 0: it asks for none.
  void RejectRequests(Millis aBackoff) { mBackoff = aBackoff; }
  /// Ends the effect of RejectRequests().
  void AcceptRequests() { mBackoff.reset(); }
  /// From now on answers announce that the upstream is leaving.
  void AnnounceLeaving() { mLeaving = true; }
  /// Returns the number of requests that arrived at aFrom or later.
  int ArrivalsSince(Millis aFrom) const;
  /// Returns the maximum number of requests that arrived within a span of
  /// aWindow, counting those at aFrom or later.
  int MaxArrivalsIn(Millis aWindow, Millis aFrom) const;
  /// Sets the status for kFail.
  void SetFailureStatus(int aStatus) { mFailureStatus = aStatus; }
  const std::string& Address() const { return mAddress; }
  const std::string& Instance() const { return mInstance; }
  /// Returns how often the request arrived, whether it was run or not.
  int Arrivals(const std::string& aRequest) const;
  /// Returns how often this upstream ran the request.
  int Runs(const std::string& aRequest) const;
  int TotalRuns() const;
  /// Returns the number of calls that were closed before the end of their
  /// answer.
  int Closed() const { return mClosedEarly; }

  static constexpr Millis kEventInterval = 50;
  static constexpr Millis kAnswerDelay = 2100;
  static constexpr int kEvents = 5;  ///< Per stream, with ids from 1.

 private:
  void Handle(const std::shared_ptr<StreamExchange>& aExchange);
  /// Whether the upstream is to crash when it runs such a request.
  bool CrashesOn(const RequestHead& aHead) const;
  /// Adds the headers for the advertised limit, leaving and back-off.
  HttpHeaders WithNotices(HttpHeaders aHeaders) const;
  void HandleRepath(StreamExchange& aOrder);
  void Stream(const std::shared_ptr<StreamExchange>& aStream,
              UpstreamAction aAction);
  /// Writes the event aId, and each later one after kEventInterval.
  void WriteSlowly(const std::shared_ptr<StreamExchange>& aExchange, int aId);

  EventLoop& mLoop;
  std::string mInstance;
  std::deque<UpstreamAction> mPendingActions;
  std::map<std::string, int> mRuns;
  std::vector<Millis> mArrivals;
  std::map<std::string, int> mArrivalsOf;  ///< By request.
  std::optional<double> mLimit;
  bool mLeaving = false;
  std::optional<Millis> mBackoff;  ///< Set while it rejects all requests.
  int mClosedEarly = 0;
  std::size_t mBytes = 0;
  int mRejectedRepaths = 0;
  std::vector<std::string> mRepaths;
  int mFailureStatus;
  std::string mCrashTarget;
  std::string mCrashPart;
  bool mCrashed = false;
  std::vector<std::unique_ptr<Timer>> mTimers;
  std::unique_ptr<StreamServer> mServer;
  std::string mAddress;
};

}  // namespace spindleweir
