/// An upstream whose next answers are written down beforehand.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "spindleweir/drivers/stream_server.h"

namespace spindleweir {

/// What it does with a request.
enum class UpstreamAction {
  kAnswer,      ///< Runs it and answers whole; a stream: its events to the end.
  kRefuse,      ///< Says that it did not run it.
  kTruncate,    ///< Runs it and breaks off: a stream after two events.
  kFail,        ///< Runs it and answers 500, or as SetFailureStatus() said.
  kSilent,      ///< Runs it and says nothing.
  kStall,       ///< Runs it; a stream: one event, and nothing more.
  kSlowStream,  ///< Runs it; a stream: its events kEventInterval apart.
  kDelayedAnswer,  ///< Runs it and answers whole after kAnswerDelay.
};

/// One upstream on a port of its own.
class ScriptedUpstream {
 public:
  ScriptedUpstream(EventLoop& aLoop, std::string aInstance);

  /// The next requests are dealt with so; then all with kAnswer.
  void QueueActions(std::vector<UpstreamAction> aActions);
  /// From now on whole answers have so many bytes: the request's id again and
  /// again.
  void SetAnswerBytes(std::size_t aBytes) { mBytes = aBytes; }
  /// The body that a request gets then.
  static std::string BodyOf(const std::string& aRequest, std::size_t aBytes);
  /// Whatever begins to run a request whose target ends so ends itself.
  void CrashOnTarget(std::string aTargetEnd) {
    mCrashTarget = std::move(aTargetEnd);
  }
  /// Ends it: all connections are lost, its port refuses.
  void Crash();
  bool Crashed() const { return mCrashed; }
  /// Of the next orders to move a request so many are refused, for lack of room
  /// somewhere.
  void RejectRepaths(int aCount) { mRejectedRepaths = aCount; }
  /// The paths of all such orders, as instances with a space after each.
  const std::vector<std::string>& Repaths() const { return mRepaths; }
  /// From now on its answers name a limit, in requests a second; none: they
  /// name none.
  void AdvertiseLimit(std::optional<double> aPerSecond) { mLimit = aPerSecond; }
  /// From now on it turns all requests away and asks for so much rest; 0: it
  /// does not ask for any.
  void RejectRequests(Millis aBackoff) { mBackoff = aBackoff; }
  /// It runs requests again.
  void AcceptRequests() { mBackoff.reset(); }
  /// From now on its answers say that it leaves.
  void AnnounceLeaving() { mLeaving = true; }
  /// The requests that came since.
  int ArrivalsSince(Millis aFrom) const;
  /// The most requests that came within such a time, of those since aFrom.
  int MaxArrivalsIn(Millis aWindow, Millis aFrom) const;
  /// The status of what fails.
  void SetFailureStatus(int aStatus) { mFailureStatus = aStatus; }
  const std::string& Address() const { return mAddress; }
  const std::string& Instance() const { return mInstance; }
  /// How often a request ran here.
  int Runs(const std::string& aRequest) const;
  int TotalRuns() const;
  /// Callers that closed before their answer's end.
  int Closed() const { return mClosedEarly; }

  static constexpr Millis kEventInterval = 50;
  static constexpr Millis kAnswerDelay = 2100;
  static constexpr int kEvents = 5;  ///< Of a stream, with ids from 1.

 private:
  void Handle(const std::shared_ptr<StreamExchange>& aExchange);
  /// Headers with what it says in all answers.
  HttpHeaders WithNotices(HttpHeaders aHeaders) const;
  void HandleRepath(StreamExchange& aOrder);
  void Stream(const std::shared_ptr<StreamExchange>& aStream,
              UpstreamAction aAction);
  /// Writes this event and, in time, those after it.
  void WriteSlowly(const std::shared_ptr<StreamExchange>& aExchange, int aId);

  EventLoop& mLoop;
  std::string mInstance;
  std::deque<UpstreamAction> mPendingActions;
  std::map<std::string, int> mRuns;
  std::vector<Millis> mArrivals;
  std::optional<double> mLimit;
  bool mLeaving = false;
  std::optional<Millis> mBackoff;  ///< That it asks for, while it turns away.
  int mClosedEarly = 0;
  std::size_t mBytes = 0;
  int mRejectedRepaths = 0;
  std::vector<std::string> mRepaths;
  int mFailureStatus;
  std::string mCrashTarget;
  bool mCrashed = false;
  std::vector<std::unique_ptr<Timer>> mTimers;
  std::unique_ptr<StreamServer> mServer;
  std::string mAddress;
};

}  // namespace spindleweir
