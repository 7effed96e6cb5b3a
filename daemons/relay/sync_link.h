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
    std::string mIncarnation;
    std::int64_t mRevision = 0;
    std::int64_t mLoadsNumber = 0;  ///< Of the loads heard last.
    bool mPolling = false;
    Millis mPolledAt = 0;
    Millis mPollInterval = 0;  ///< As it asks to be asked; 0: not said.
    int mFailures = 0;         ///< Without a word, since it answered last.
    bool mWasRefused = false;  ///< Nobody listened there at the last request.
    double mJitter = 1;        ///< Chance, of the newest request.
    std::int64_t mCrashRevision = 0;  ///< Of its crash ledger, known so far.
    std::int64_t mAcknowledgedCrashes =
        0;  ///< Of the local ledger, told to its incarnation.
  };

  void Step();
  /// Whether nothing that is held may be acted on.
  bool LacksLease() const;
  void Poll(const Endpoint& aAddress);
  /// Adds the heartbeats taken here that the control asked has not been told.
  /// Returns their number.
  std::int64_t AddHeartbeats(const Source& aSource, SyncQuestion& aRequest);
  /// Adds what the local crash ledger has that the control asked has not been
  /// told. Returns the revision that it is up to.
  std::int64_t AddCrashes(const Source& aSource, SyncQuestion& aRequest);
  void ApplyCrashes(Source& aSource, const SyncAnswer& aAnswer);
  void ApplyAnswer(const Endpoint& aAddress, const SyncAnswer& aAnswer,
                   Millis aPolledAt);
  /// Takes the work of other routers.
  void ApplyLoads(Source& aSource, const SyncAnswer& aAnswer, Millis aPolledAt);
  /// aBy: the control that knows it.
  void ApplyUpstream(const UpstreamRecord& aRecord, const std::string& aBy);
  void OnPollFailed(const Endpoint& aAddress, Millis aPolledAt);
  /// Whether the nearest control answers as often as it is asked.
  bool IsNearestFresh() const;
  /// What decides when one is asked again.
  PolledControl PollInputOf(const std::string& aAddress);

  RelayContext& mContext;
  std::string mProcess;
  std::map<std::string, Source> mSources;
  std::vector<Endpoint> mControls;
  std::string mNearest;  ///< The address that loads are told to.
  ReportedLoads mReportedLoads;
  std::map<std::string, Millis> mFailedAt;  ///< By address.
  Millis mCleanedUpAt = 0;  ///< When ended upstreams were looked for.
  Millis mNearestAnsweredAt =
      0;                        ///< When the control at mNearest answered last.
  Millis mLoadsReceivedAt = 0;  ///< When loads of others were heard last.
  std::unique_ptr<Timer> mTimer;
};

}  // namespace spindleweir
