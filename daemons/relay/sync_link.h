/// Keeps a router's knowledge new by asking some controls a few times a second.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "daemons/relay/relay_context.h"
#include "spindleweir/servers/membership/poll_schedule.h"
#include "spindleweir/servers/routing/reported_loads.h"

namespace spindleweir {

/// The asking side of control.sync.
class SyncLink {
 public:
  explicit SyncLink(RelayContext& aContext);

  /// The controls that are asked, the nearest first.
  const std::vector<Endpoint>& Controls() const { return mControls; }

 private:
  /// One control process, by address.
  struct Source {
    std::string mLife;
    std::int64_t mRevision = 0;
    std::int64_t mLoadsNumber = 0;  ///< Of the loads heard last.
    bool mAsking = false;
    Millis mAskedAt = 0;
    Millis mPeriod = 0;        ///< As it asks to be asked; 0: not said.
    int mFailures = 0;         ///< Without a word, since it answered last.
    bool mWasRefused = false;  ///< Nobody listened there at the last question.
    double mSpread = 1;        ///< Chance, of the newest question.
    std::int64_t mCrashRevision = 0;  ///< Of its crash ledger, known so far.
    std::int64_t mCrashesTold = 0;    ///< Of the own ledger, told to its life.
  };

  void Step();
  /// Whether nothing that is held may be acted on.
  bool LacksLease() const;
  void Ask(const Endpoint& aAddress);
  /// Adds the heartbeats taken here that the control asked has not been told.
  /// Returns their number.
  std::int64_t AddBeats(const Source& aSource, SyncQuestion& aQuestion);
  /// Adds what the own crash ledger has that the control asked has not been
  /// told. Returns the revision that it is up to.
  std::int64_t AddCrashes(const Source& aSource, SyncQuestion& aQuestion);
  void TakeCrashes(Source& aSource, const SyncAnswer& aAnswer);
  void Take(const Endpoint& aAddress, const SyncAnswer& aAnswer,
            Millis aAskedAt);
  /// Takes the work of other routers.
  void TakeLoads(Source& aSource, const SyncAnswer& aAnswer, Millis aAskedAt);
  /// aBy: the control that knows it.
  void TakeUpstream(const UpstreamRecord& aRecord, const std::string& aBy);
  void Failed(const Endpoint& aAddress, Millis aAskedAt);
  /// Whether the nearest control answers as often as it is asked.
  bool NearIsFresh() const;
  /// What decides when one is asked again.
  PolledControl Asked(const std::string& aAddress);

  RelayContext& mContext;
  std::string mProcess;
  std::map<std::string, Source> mSources;
  std::vector<Endpoint> mControls;
  std::string mNear;  ///< The address that loads are told to.
  ReportedLoads mTold;
  std::map<std::string, Millis> mFailedAt;  ///< By address.
  Millis mForgotAt = 0;  ///< When ended upstreams were looked for.
  Millis mNearAt = 0;    ///< When the control at mNear answered last.
  Millis mLoadsAt = 0;   ///< When loads of others were heard last.
  std::unique_ptr<Timer> mTimer;
};

}  // namespace spindleweir
