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
enum class UpstreamAct {
  kAnswer,  ///< Runs it and answers whole; a stream: its events to the end.
  kRefuse,  ///< Says that it did not run it.
  kCut,     ///< Runs it and breaks off: a stream after two events.
  kFail,    ///< Runs it and answers 500, or as FailWith() said.
  kSilent,  ///< Runs it and says nothing.
  kStall,   ///< Runs it; a stream: one event, and nothing more.
  kPaced,   ///< Runs it; a stream: its events kPaceBy apart.
  kLate,    ///< Runs it and answers whole after kLateBy.
};

/// One upstream on a port of its own.
class ScriptedUpstream {
 public:
  ScriptedUpstream(EventLoop& aLoop, std::string aInstance);

  /// The next requests are dealt with so; then all with kAnswer.
  void Next(std::vector<UpstreamAct> aActs);
  /// From now on whole answers have so many bytes: the request's id again and
  /// again.
  void SetBytes(std::size_t aBytes) { mBytes = aBytes; }
  /// The body that a request gets then.
  static std::string BodyOf(const std::string& aRequest, std::size_t aBytes);
  /// Whatever begins to run a request whose target ends so ends itself.
  void CrashOn(std::string aTargetEnd) { mCrashOn = std::move(aTargetEnd); }
  /// Ends it: all connections are lost, its port refuses.
  void Crash();
  bool Crashed() const { return mCrashed; }
  /// Of the next orders to move a request so many are refused, for lack of room
  /// somewhere.
  void RefuseMoves(int aCount) { mRefusedMoves = aCount; }
  /// The paths of all such orders, as instances with a space after each.
  const std::vector<std::string>& Moves() const { return mMoves; }
  /// From now on its answers name a limit, in requests a second; none: they
  /// name none.
  void NameLimit(std::optional<double> aPerSecond) { mLimit = aPerSecond; }
  /// From now on it turns all requests away and asks for so much rest; 0: it
  /// does not ask for any.
  void TurnAway(Millis aRest) { mRest = aRest; }
  /// It runs requests again.
  void TakeAgain() { mRest.reset(); }
  /// From now on its answers say that it leaves.
  void SayLeaving() { mLeaves = true; }
  /// The requests that came since.
  int ArrivalsSince(Millis aFrom) const;
  /// The most requests that came within such a time, of those since aFrom.
  int MostArrivalsIn(Millis aWindow, Millis aFrom) const;
  /// The status of what fails.
  void FailWith(int aStatus) { mFailure = aStatus; }
  const std::string& Address() const { return mAddress; }
  const std::string& Instance() const { return mInstance; }
  /// How often a request ran here.
  int Runs(const std::string& aRequest) const;
  int AllRuns() const;
  /// Callers that closed before their answer's end.
  int Closed() const { return mClosed; }

  static constexpr Millis kPaceBy = 50;
  static constexpr Millis kLateBy = 2100;
  static constexpr int kEvents = 5;  ///< Of a stream, with ids from 1.

 private:
  void Handle(const std::shared_ptr<StreamExchange>& aExchange);
  /// Headers with what it says in all answers.
  HttpHeaders Saying(HttpHeaders aHeaders) const;
  void Move(StreamExchange& aOrder);
  void Stream(const std::shared_ptr<StreamExchange>& aStream, UpstreamAct aAct);
  /// Writes this event and, in time, those after it.
  void Pace(const std::shared_ptr<StreamExchange>& aExchange, int aId);

  EventLoop& mLoop;
  std::string mInstance;
  std::deque<UpstreamAct> mActs;
  std::map<std::string, int> mRuns;
  std::vector<Millis> mArrivals;
  std::optional<double> mLimit;
  bool mLeaves = false;
  std::optional<Millis> mRest;  ///< That it asks for, while it turns away.
  int mClosed = 0;
  std::size_t mBytes = 0;
  int mRefusedMoves = 0;
  std::vector<std::string> mMoves;
  int mFailure;
  std::string mCrashOn;
  bool mCrashed = false;
  std::vector<std::unique_ptr<Timer>> mLate;
  std::unique_ptr<StreamServer> mServer;
  std::string mAddress;
};

}  // namespace spindleweir
