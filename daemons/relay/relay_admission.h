/// Decides which requests a router admits while it warms up, and when refused
/// callers should return, from what the router knows.
#pragma once

#include <map>
#include <set>
#include <string>

#include "daemons/relay/relay_context.h"
#include "spindleweir/servers/limits/retry_detector.h"
#include "spindleweir/servers/limits/retry_schedule.h"
#include "spindleweir/servers/limits/warm_up_admission.h"

namespace spindleweir {

/// Why a caller should return later.
enum class ReturnCause {
  kFull,       ///< No capacity at the upstreams, or no upstream.
  kNoLease,    ///< This router has no valid lease or no configuration yet.
  kElsewhere,  ///< Return at once: another router accepts the request.
  kTrial,      ///< Once others with a part of its prompt were tried.
  kNever,      ///< Returning is of no use.
};

/// The assigned time to return, with the inputs it was computed from.
struct ReturnAdvice {
  RetryScheduleRequest mInput;
  AssignedRetry mAnswer;
  int mCallers = 0;  ///< Callers expected to return, including this one.
};

/// Of one router. Not thread-safe.
class RelayAdmission {
 public:
  explicit RelayAdmission(RelayContext& aContext) : mContext(aContext) {}

  /// Whether the work admitted by other routers is not known yet.
  bool IsWarmingUp();
  /// Tries to admit a request of an engine service. To be repeated until the
  /// request is admitted or refused.
  WarmUpDecision TryAdmit(const void* aRequest, const TrafficService& aService,
                          const WarmUpRequest& aFacts);
  /// The request no longer waits for admission.
  void Withdraw(const void* aRequest);
  /// Requests that other routers may have started during the warm-up and that
  /// no reported load includes yet.
  double UnreportedRequests(const std::string& aService);
  /// Records the deadline of a request of the route.
  void RecordDeadline(const std::string& aRoute, Millis aDeadline);
  /// Whether a request with this deadline is most likely a caller's retry.
  bool IsLikelyRetry(const std::string& aRoute, Millis aDeadline) const;
  /// When a refused caller should return. aService: nullptr if not known.
  /// aLeft: the time that the caller has left.
  ReturnAdvice AdviseReturn(const TrafficService* aService, ReturnCause aCause,
                            Millis aLeft);

 private:
  /// The prefill capacity that the routers share.
  struct PrefillCapacity {
    /// Tokens per millisecond that the engines prefill.
    double mTokensPerMilli = 0;
    /// Zones over which the routers are divided; 1 if they aren't.
    double mZoneCount = 1;
    /// Only engines of the local zone are counted.
    bool mLocalZoneOnly = false;
    Millis mMeasuredAt = -1;
  };

  /// State of one service.
  struct ServiceState {
    PrefillCapacity mPrefill;
    WarmUpAdmission mWarmUp;
    std::set<const void*> mWaiting;
    int mAdmitted = 0;  ///< Requests admitted during the warm-up.
    RetrySchedule mRetrySchedule;
    /// Requests per millisecond that the zone's paths can serve.
    double mPathRate = 0;
    Millis mPathRateAt = -1;  ///< When mPathRate was computed.
    /// Since when the zone has no complete path; -1: it has one.
    Millis mPathLostAt = -1;
  };

  /// Uses the engines of this router's zone, or all engines if those lack a
  /// layer.
  void MeasurePrefillCapacity(const TrafficService& aService,
                              ServiceState& aState);
  /// Number of routers that share the measured capacity.
  double SharingRouters(const ServiceState& aState) const;
  /// Computes the rate that the zone's paths can serve, or since when it has no
  /// complete path.
  void MeasurePathRate(const TrafficService& aService, ServiceState& aState);
  /// Estimated time until the layers that the zone lacks are loaded.
  Millis LoadingTimeLeft(const TrafficService& aService, ServiceState& aState);

  RelayContext& mContext;
  std::map<std::string, ServiceState> mServices;         ///< By service.
  std::map<std::string, RetryDetector> mRetryDetectors;  ///< By route.
  Millis mWarmUpStartedAt = -1;  ///< When the first request could be admitted.
  bool mWarmingUp = true;
};

}  // namespace spindleweir
