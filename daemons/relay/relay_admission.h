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
  RetryScheduleRequest mInput;
  AssignedRetry mAnswer;
  int mCallers = 0;  ///< Callers that were told to come, with this one.
};

/// Of one router. Single-threaded.
class RelayAdmission {
 public:
  explicit RelayAdmission(RelayContext& aContext) : mContext(aContext) {}

  /// Whether what other routers let in is not known yet.
  bool IsWarmingUp();
  /// Asks for a request of an engine service, again and again until it goes.
  WarmUpDecision TryAdmit(const void* aRequest, const TrafficService& aService,
                          const WarmUpRequest& aFacts);
  /// The request asks no more.
  void Withdraw(const void* aRequest);
  /// Requests that other routers may have begun in the opening and that are in
  /// no loads yet.
  double UnreportedRequests(const std::string& aService);
  /// Counts a request of a route that has so much time.
  void RecordDeadline(const std::string& aRoute, Millis aDeadline);
  /// Whether a request with so much time is most likely a caller's retry.
  bool IsLikelyRetry(const std::string& aRoute, Millis aDeadline) const;
  /// When a refused caller should come back. aService: nullptr where it is not
  /// known. aLeft: of the caller's time.
  ReturnAdvice AdviseReturn(const TrafficService* aService, ReturnCause aCause,
                            Millis aLeft);

 private:
  /// What a router's share of the prefill is made of.
  struct PrefillCapacity {
    double mTokensPerMilli = 0;  ///< Tokens that the engines read.
    double mZoneCount = 1;  ///< Zones that divide the routers; 1: none does.
    bool mLocalZoneOnly = false;  ///< Of the own zone's engines only.
    Millis mMeasuredAt = -1;
  };

  /// What is known of one service.
  struct ServiceState {
    PrefillCapacity mPrefill;
    WarmUpAdmission mWarmUp;
    std::set<const void*> mWaiting;
    int mAdmitted = 0;  ///< In the opening.
    RetrySchedule mRetrySchedule;
    double mPathRate = 0;     ///< Requests a millisecond that its zone carries.
    Millis mPathRateAt = -1;  ///< When that was found.
    Millis mPathLostAt = -1;  ///< Since when its zone has no whole path.
  };

  /// By the engines of this router's zone, or of all where these lack a layer.
  void MeasurePrefillCapacity(const TrafficService& aService,
                              ServiceState& aState);
  /// Routers that share what was measured.
  double SharingRouters(const ServiceState& aState) const;
  /// What the paths of the zone carry, or since when it has no whole one.
  void MeasurePathRate(const TrafficService& aService, ServiceState& aState);
  /// Until the layers that the zone lacks are most likely loaded.
  Millis LoadingTimeLeft(const TrafficService& aService, ServiceState& aState);

  RelayContext& mContext;
  std::map<std::string, ServiceState> mServices;         ///< By service.
  std::map<std::string, RetryDetector> mRetryDetectors;  ///< By route.
  Millis mWarmUpStartedAt = -1;  ///< When the first request could be let in.
  bool mWarmingUp = true;
};

}  // namespace spindleweir
