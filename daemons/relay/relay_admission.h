/// What a router lets in at its start, and when it asks callers to come back:
/// wires both decisions to what the router knows.
#pragma once

#include <map>
#include <set>
#include <string>

#include "daemons/relay/relay_context.h"
#include "spindleweir/servers/limits/first_deadline.h"
#include "spindleweir/servers/limits/return_time.h"
#include "spindleweir/servers/limits/start_admission.h"

namespace spindleweir {

/// Why a caller is to come back.
enum class ReturnCause {
  kFull,     ///< No room at the upstreams, or none there.
  kNoLease,  ///< This router may not act, or knows nothing yet.
  kNever,    ///< It need not come back.
};

/// A time to come back with what it was predicted from.
struct ReturnAdvice {
  ReturnQuestion mQuestion;
  ReturnAnswer mAnswer;
  int mExpected = 0;  ///< Callers that were told to come, with this one.
};

/// Of one router. Single-threaded.
class RelayAdmission {
 public:
  explicit RelayAdmission(RelayContext& aContext) : mContext(aContext) {}

  /// Whether what other routers let in is not known yet.
  bool Opening();
  /// Asks for a request of an engine service, again and again until it goes.
  StartDecision Ask(const void* aRequest, const TrafficService& aService,
                    const StartRequest& aFacts);
  void Leave(const void* aRequest);
  /// Requests that other routers may have begun unseen in the opening.
  double Unseen(const std::string& aService);
  /// A request of a route came that has so much time.
  void Came(const std::string& aRoute, Millis aDeadline);
  /// Whether one with so much time has most likely been tried before.
  bool HasComeBack(const std::string& aRoute, Millis aDeadline) const;
  /// aService: nullptr where it is not known. aLeft: of the caller's time.
  ReturnAdvice Return(const TrafficService* aService, ReturnCause aCause,
                      Millis aLeft);

 private:
  /// What is known of one service.
  struct Gate {
    StartAdmission mStart;
    std::set<const void*> mWaiting;
    int mBegun = 0;  ///< In the opening.
    ReturnTimes mReturns;
    double mCarried = 0;  ///< Requests a millisecond that its zone carries.
    std::int64_t mCarriedOf = -1;  ///< The change of the registry.
    Millis mLostAt = -1;           ///< Since when its zone has no whole path.
  };

  /// The engines of this router's zone, or of all where these lack a layer.
  std::vector<const UpstreamRecord*> Engines(const TrafficService& aService,
                                             bool& aOwnZone);
  /// Routers that share these engines.
  double Sharers(const TrafficService& aService, bool aOwnZone);
  void Measure(const TrafficService& aService, Gate& aGate);
  Millis LoadLeft(const TrafficService& aService, Gate& aGate);

  RelayContext& mContext;
  std::map<std::string, Gate> mGates;                    ///< By service.
  std::map<std::string, FirstDeadline> mFirstDeadlines;  ///< By route.
  Millis mOpenedAt = -1;  ///< When the first request could be let in.
  bool mOpening = true;
};

}  // namespace spindleweir
