/// What a router lets in at its start, and when it asks callers to come back:
/// wires both decisions to what the router knows.
#pragma once

#include <map>
#include <set>
#include <string>

#include "daemons/relay/relay_context.h"
#include "spindleweir/servers/limits/retry_detector.h"
#include "spindleweir/servers/limits/retry_schedule.h"
#include "spindleweir/servers/limits/warm_up_admission.h"

namespace spindleweir {

/// Why a caller is to come back.
enum class ReturnCause {
  kFull,       ///< No room at the upstreams, or none there.
  kNoLease,    ///< This router may not act, or knows nothing yet.
  kElsewhere,  ///< At once: another router takes it.
  kNever,      ///< It need not come back.
};

/// A time to come back with what it was predicted from.
struct ReturnAdvice {
  RetryScheduleRequest mQuestion;
  AssignedRetry mAnswer;
  int mCallers = 0;  ///< Callers that were told to come, with this one.
};

/// Of one router. Single-threaded.
class RelayAdmission {
 public:
  explicit RelayAdmission(RelayContext& aContext) : mContext(aContext) {}

  /// Whether what other routers let in is not known yet.
  bool Opening();
  /// Asks for a request of an engine service, again and again until it goes.
  WarmUpDecision Ask(const void* aRequest, const TrafficService& aService,
                     const WarmUpRequest& aFacts);
  /// The request asks no more.
  void Leave(const void* aRequest);
  /// Requests that other routers may have begun in the opening and that are in
  /// no loads yet.
  double UnreportedRequests(const std::string& aService);
  /// Counts a request of a route that has so much time.
  void RecordDeadline(const std::string& aRoute, Millis aDeadline);
  /// Whether a request with so much time is most likely a caller's retry.
  bool IsLikelyRetry(const std::string& aRoute, Millis aDeadline) const;
  /// When a refused caller should come back. aService: nullptr where it is not
  /// known. aLeft: of the caller's time.
  ReturnAdvice Return(const TrafficService* aService, ReturnCause aCause,
                      Millis aLeft);

 private:
  /// What a router's share of the reading is made of.
  struct Reading {
    double mPerMilli = 0;   ///< Tokens that the engines read.
    double mParts = 1;      ///< Zones that divide the routers; 1: none does.
    bool mOwnZone = false;  ///< Of the own zone's engines only.
    Millis mMeasuredAt = -1;
  };

  /// What is known of one service.
  struct Gate {
    Reading mReading;
    WarmUpAdmission mStart;
    std::set<const void*> mWaiting;
    int mBegun = 0;  ///< In the opening.
    RetrySchedule mReturns;
    double mCarried = 0;     ///< Requests a millisecond that its zone carries.
    Millis mCarriedAt = -1;  ///< When that was found.
    Millis mLostAt = -1;     ///< Since when its zone has no whole path.
  };

  /// By the engines of this router's zone, or of all where these lack a layer.
  void MeasureReading(const TrafficService& aService, Gate& aGate);
  /// Routers that share what was measured.
  double Sharers(const Gate& aGate) const;
  /// What the paths of the zone carry, or since when it has no whole one.
  void MeasureCarried(const TrafficService& aService, Gate& aGate);
  /// Until the layers that the zone lacks are most likely loaded.
  Millis LoadingTimeLeft(const TrafficService& aService, Gate& aGate);

  RelayContext& mContext;
  std::map<std::string, Gate> mGates;                    ///< By service.
  std::map<std::string, RetryDetector> mFirstDeadlines;  ///< By route.
  Millis mOpenedAt = -1;  ///< When the first request could be let in.
  bool mOpening = true;
};

}  // namespace spindleweir
