/// Limits that upstreams advertise in their answers: a number of requests per
/// second from all routers together, in force as long as answers state it.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/routing/load_share.h"

namespace spindleweir {

/// The demand for one upstream.
struct LimitDemand {
  double mLocal = 0;  ///< Requests per second that this router could send.
  double mPeers = 0;  ///< The same for all other routers, as they reported.
  bool mPeersKnown = false;
  int mRouters = 1;  ///< Number of routers, including this one.
};

/// How the limits are applied.
struct AdvertisedLimitsOptions {
  std::function<LimitDemand(const std::string& aInstance)> mDemandOf;
  std::function<double()> mRandom;  ///< From 0 to 1.
  /// The part of a limit that is used. The rest makes up for the age of what
  /// routers know of each other.
  double mUtilization = 0.8;
  /// Until a limit has been known for this long the peers' demand may not have
  /// been reported yet, and each router takes an equal part.
  Millis mPeerReportDelay = 1500;
  /// Unused credits expire, since credits that many routers have saved up must
  /// not be spent all at once. All routers together save what the limit allows
  /// in mCreditRetention, plus mExtraCredits requests, so that callers that
  /// send seldom can use small limits at all.
  Millis mCreditRetention = 1000;
  double mExtraCredits = 1;
  /// A router that saw a limit end reports it for this long, and a report takes
  /// up to this long to arrive. A limit that was advertised within twice this
  /// time may therefore have been advertised after the end.
  Millis mPeerReportAge = 2500;
  /// The least rate, in requests per second of all routers, at which an
  /// upstream is sent requests even if its limit is 0: only an answer shows
  /// that the limit has ended.
  double mMinPerSecond = 0.1;
};

/// The limits that one router knows and its part of each, which is proportional
/// to its part of the demand. The class only decides; the time is passed to
/// each call.
class AdvertisedLimits {
 public:
  explicit AdvertisedLimits(AdvertisedLimitsOptions aOptions);

  /// Applies an answer of an upstream to an attempt that began at aBegunAt.
  /// aPerSecond: the limit that the answer advertises, in requests per second;
  /// none: it advertises no limit. Returns whether this changes what is known.
  bool OnAnswer(const std::string& aInstance, std::optional<double> aPerSecond,
                Millis aBegunAt, Millis aNow);
  /// Applies the reports of all other routers.
  void ApplyPeerReports(const LoadShares& aPeers, Millis aNow);
  /// Adds this router's demand and its knowledge of limits to its report.
  void AddReport(LoadShares& aLoads, Millis aNow) const;
  /// The upstream is gone, or another incarnation has taken its place.
  void Forget(const std::string& aInstance);

  /// Forgets the limits of upstreams that aIsKnown does not accept.
  void RetainKnown(
      const std::function<bool(const std::string& aInstance)>& aIsKnown);

  /// The limit in force, in requests per second; none: there is no limit.
  std::optional<double> LimitOf(const std::string& aInstance) const;
  /// The upstreams that no request may be sent to at present.
  std::set<std::string> HeldUpstreams(Millis aNow);
  /// A request is sent to an upstream that was not held. Returns whether the
  /// upstream has a limit.
  bool OnRequestSent(const std::string& aInstance);
  /// Number of upstreams with a limit.
  std::size_t Count() const { return mLimits.size(); }
  /// Requests that may be sent now to upstreams with a limit.
  int Credits() const;

 private:
  struct Limit {
    double mPerSecond = 0;
    /// When an answer to this router last advertised the limit; -1: never.
    Millis mAdvertisedAt = -1;
    Millis mFirstKnownAt = 0;
    Millis mAccruedAt = 0;       ///< Up to when credits have been accrued.
    double mFraction = 0;        ///< Of the next credit.
    int mCredits = 0;            ///< Requests that may be sent.
    Millis mNewestCreditAt = 0;  ///< When the newest credit was complete.
  };

  Limit& SetLimit(const std::string& aInstance, double aPerSecond, Millis aNow);
  /// This router's part of a limit, from 0 to 1.
  double ShareOf(const std::string& aInstance, const Limit& aLimit,
                 Millis aNow) const;
  /// How long an unused credit is valid.
  Millis CreditRetention(const Limit& aLimit) const;
  void AccrueCredits(const std::string& aInstance, Limit& aLimit,
                     Millis aNow) const;

  AdvertisedLimitsOptions mOptions;
  std::map<std::string, Limit> mLimits;  ///< By instance.
  /// When an answer to this router showed that a limit had ended, by instance.
  std::map<std::string, Millis> mEndedAt;
};

}  // namespace spindleweir
