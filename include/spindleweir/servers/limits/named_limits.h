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
  double mOwn = 0;     ///< Requests a second that this router could send to it.
  double mOthers = 0;  ///< The same of all others, as they told.
  bool mOthersKnown = false;
  int mRouters = 1;  ///< That there are, with this one.
};

/// How limits are kept to.
struct NamedLimitsOptions {
  std::function<LimitDemand(const std::string& aInstance)> mDemandOf;
  std::function<double()> mRandom;  ///< From 0 to 1.
  /// The part of a limit that is used: what routers know of each other is old.
  double mUsed = 0.8;
  /// So long after a limit is first known others have not told their demand
  /// yet, and each router takes an equal part.
  Millis mNewsTakes = 1500;
  /// A request that might have been sent is no more after a time: what many
  /// routers leave unused must not come at once. All together they keep what
  /// the limit allows in this time, and so many requests besides, so that small
  /// limits are used at all by callers that come seldom.
  Millis mCreditHolds = 1000;
  double mKeptBesides = 1;
  /// Who saw a limit end tells so for this long, and word takes as long at
  /// most: what was named within both may have been named after the end.
  Millis mNewsAge = 2500;
  /// An upstream that takes nothing at all is asked this often, in requests a
  /// second of all routers: only an answer tells that its limit has ended.
  double mLeast = 0.1;
};

/// What one router knows of them, and its part of each, which follows its part
/// of the demand. Decisions only: the time comes with each call.
class NamedLimits {
 public:
  explicit NamedLimits(NamedLimitsOptions aOptions);

  /// An answer of an upstream came, to an attempt begun at aBegunAt. It named
  /// this limit, in requests a second, or none. Returns whether that is news.
  bool Answered(const std::string& aInstance, std::optional<double> aPerSecond,
                Millis aBegunAt, Millis aNow);
  /// What other routers tell.
  void TakeNews(const LoadShares& aOthers, Millis aNow);
  /// Adds what this router has to tell.
  void Tell(LoadShares& aLoads, Millis aNow) const;
  /// Another incarnation, or nobody, is there now.
  void Forget(const std::string& aInstance);

  /// Forgets those of upstreams that are not known any more.
  void Keep(const std::function<bool(const std::string& aInstance)>& aIsKnown);

  /// The limit that holds; none: there is none.
  std::optional<double> Of(const std::string& aInstance) const;
  /// The upstreams that nothing may be sent to at present.
  std::set<std::string> Held(Millis aNow);
  /// A request goes to an upstream that was not held.
  void Sent(const std::string& aInstance);

 private:
  struct Limit {
    double mPerSecond = 0;
    Millis mNamedAt = -1;  ///< By an answer to this router, last; -1: never.
    Millis mKnownAt = 0;   ///< First.
    Millis mCountedAt = 0;
    double mPart = 0;       ///< Of the next request that may be sent.
    int mCredits = 0;       ///< Requests that may be sent.
    Millis mCreditsAt = 0;  ///< Since when the newest may.
  };

  Limit& Know(const std::string& aInstance, double aPerSecond, Millis aNow);
  /// The part of a limit that is this router's.
  double ShareOf(const std::string& aInstance, const Limit& aLimit,
                 Millis aNow) const;
  /// How long a request that might have been sent is kept.
  Millis HoldsFor(const Limit& aLimit) const;
  void Count(const std::string& aInstance, Limit& aLimit, Millis aNow) const;

  NamedLimitsOptions mOptions;
  std::map<std::string, Limit> mLimits;    ///< By instance.
  std::map<std::string, Millis> mEndedAt;  ///< The same: seen to end here.
};

}  // namespace spindleweir
