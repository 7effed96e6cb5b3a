/// Limits that upstreams name in their answers: so many requests a second from
/// all routers together, for as long as the answers say so.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/routing/load_aggregator.h"

namespace spindleweir {

/// Who may have requests for one upstream.
struct LimitDemand {
  double mLocal = 0;  ///< Requests a second that this router could send to it.
  double mPeers = 0;  ///< The same of all others, as they reported.
  bool mPeersKnown = false;
  int mRouters = 1;  ///< That there are, with this one.
};

/// How limits are kept to.
struct AdvertisedLimitsOptions {
  std::function<LimitDemand(const std::string& aInstance)> mDemandOf;
  std::function<double()> mRandom;  ///< From 0 to 1.
  /// The part of a limit that is used: what routers know of each other is old.
  double mUtilization = 0.8;
  /// So long after a limit is first known others have not reported their demand
  /// yet, and each router takes an equal part.
  Millis mPeerReportDelay = 1500;
  /// A request that might have been sent is no more after a time: what many
  /// routers leave unused must not come at once. All together they keep what
  /// the limit allows in this time, and so many requests besides, so that small
  /// limits are used at all by callers that come seldom.
  Millis mCreditRetention = 1000;
  double mExtraCredits = 1;
  /// Who saw a limit end tells so for this long, and word takes as long at
  /// max: what was named within both may have been named after the end.
  Millis mPeerReportAge = 2500;
  /// An upstream that takes nothing at all is asked this often, in requests a
  /// second of all routers: only an answer tells that its limit has ended.
  double mMinPerSecond = 0.1;
};

/// What one router knows of them, and its part of each, which follows its part
/// of the demand. Decisions only: the time comes with each call.
class AdvertisedLimits {
 public:
  explicit AdvertisedLimits(AdvertisedLimitsOptions aOptions);

  /// An answer of an upstream came, to an attempt begun at aBegunAt. It named
  /// this limit, in requests a second, or none. Returns whether that is news.
  bool OnAnswer(const std::string& aInstance, std::optional<double> aPerSecond,
                Millis aBegunAt, Millis aNow);
  /// What other routers tell.
  void ApplyPeerReports(const LoadShares& aPeers, Millis aNow);
  /// Adds what this router has to tell.
  void AddReport(LoadShares& aLoads, Millis aNow) const;
  /// Another incarnation, or nobody, is there now.
  void Forget(const std::string& aInstance);

  /// Forgets those of upstreams that are not known any more.
  void RetainKnown(
      const std::function<bool(const std::string& aInstance)>& aIsKnown);

  /// The limit that holds; none: there is none.
  std::optional<double> LimitOf(const std::string& aInstance) const;
  /// The upstreams that nothing may be sent to at present.
  std::set<std::string> HeldUpstreams(Millis aNow);
  /// A request goes to an upstream that was not held.
  void OnRequestSent(const std::string& aInstance);

 private:
  struct Limit {
    double mPerSecond = 0;
    Millis mAdvertisedAt =
        -1;  ///< By an answer to this router, last; -1: never.
    Millis mFirstKnownAt = 0;  ///< First.
    Millis mAccruedAt = 0;
    double mFraction = 0;        ///< LimitOf the next request that may be sent.
    int mCredits = 0;            ///< Requests that may be sent.
    Millis mNewestCreditAt = 0;  ///< Since when the newest may.
  };

  Limit& SetLimit(const std::string& aInstance, double aPerSecond, Millis aNow);
  /// The part of a limit that is this router's.
  double ShareOf(const std::string& aInstance, const Limit& aLimit,
                 Millis aNow) const;
  /// How long a request that might have been sent is kept.
  Millis CreditRetention(const Limit& aLimit) const;
  void AccrueCredits(const std::string& aInstance, Limit& aLimit,
                     Millis aNow) const;

  AdvertisedLimitsOptions mOptions;
  std::map<std::string, Limit> mLimits;    ///< By instance.
  std::map<std::string, Millis> mEndedAt;  ///< The same: seen to end here.
};

}  // namespace spindleweir
