/// Keeps a router's state current by polling some controls several times a
/// second.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "daemons/relay/relay_context.h"
#include "spindleweir/servers/membership/poll_schedule.h"
#include "spindleweir/servers/membership/source_lag.h"
#include "spindleweir/servers/membership/upstream_changes.h"
#include "spindleweir/servers/routing/reported_loads.h"

namespace spindleweir {

/// The polling side of control.sync.
class SyncLink {
 public:
  explicit SyncLink(RelayContext& aContext);
  ~SyncLink();
  SyncLink(const SyncLink&) = delete;
  SyncLink& operator=(const SyncLink&) = delete;

  /// The polled controls, the nearest first.
  const std::vector<Endpoint>& Controls() const { return mControls; }

 private:
  /// State of one polled control process, by address.
  struct Source {
    std::string mIncarnation;
    std::int64_t mRevision = 0;
    /// Number of the loads that were received last.
    std::int64_t mLoadsNumber = 0;
    bool mPolling = false;
    Millis mPolledAt = 0;
    /// Interval requested by the control; 0 if not reported.
    Millis mPollInterval = 0;
    /// Consecutive failures without a refusal since the last answer.
    int mFailures = 0;
    bool mWasRefused = false;  ///< The last connection was refused.
    double mJitter = 1;        ///< Random factor of the latest poll.
    /// Revision of its crash ledger known here.
    std::int64_t mCrashRevision = 0;
    /// Revision of the local ledger that its incarnation acknowledged.
    std::int64_t mAcknowledgedCrashes = 0;
  };

  void Step();
  /// Whether this router lacks a configuration or a valid lease, so that it
  /// must not act on what it has.
  bool LacksConfigurationOrLease() const;
  void Poll(const Endpoint& aAddress);
  /// Adds whether this router forwards calls, and whether it needs others that
  /// do.
  void AddForwarding(SyncRequest& aRequest);
  /// Adds collected heartbeats that the polled control has not acknowledged.
  /// Returns their number.
  std::int64_t AddHeartbeats(const Source& aSource, SyncRequest& aRequest);
  /// Adds records of the local crash ledger that the polled control has not
  /// acknowledged. Returns the revision up to which records are included.
  std::int64_t AddCrashes(const Source& aSource, SyncRequest& aRequest);
  void ApplyCrashes(Source& aSource, const SyncAnswer& aAnswer);
  /// Has TellOfCrashes() called soon, at most once in a poll interval.
  void ScheduleTelling();
  /// Polls all sources that don't have the newest crash records at once. Until
  /// they do, each other router may run a request that crashes upstreams.
  void TellOfCrashes();
  void ApplyAnswer(const Endpoint& aAddress, const SyncAnswer& aAnswer,
                   Millis aPolledAt);
  /// Applies the loads of peers.
  void ApplyLoads(Source& aSource, const SyncAnswer& aAnswer, Millis aPolledAt);
  void ApplyUpstreams(const SyncAnswer& aAnswer);
  /// aBy: the control that reported the record. aChanges: of its answer.
  void ApplyUpstream(const UpstreamRecord& aRecord, const std::string& aBy,
                     UpstreamChanges& aChanges);
  void OnPollFailed(const Endpoint& aAddress, Millis aPolledAt);
  /// Avoids a control that does not send a version which it knows of.
  void CheckLag(const Endpoint& aAddress, const SyncAnswer& aAnswer);
  /// Whether the nearest control has answered within its recent poll intervals.
  bool IsNearestFresh() const;
  /// Poll interval that the nearest control asks for; 0: not known yet.
  Millis NearestInterval() const;
  /// The inputs that decide when a control is polled again.
  PolledControl PollInputOf(const std::string& aAddress);

  RelayContext& mContext;
  std::string mProcess;
  std::map<std::string, Source> mSources;
  std::vector<Endpoint> mControls;
  /// Address of the control to which loads are reported.
  std::string mNearest;
  ReportedLoads mReportedLoads;
  /// Time of the latest failure, by address.
  std::map<std::string, Millis> mFailedAt;
  SourceLag mLag{SourceLagOptions{}};
  Millis mCleanedUpAt = 0;  ///< When ended upstreams were last removed.
  /// When the control at mNearest answered last.
  Millis mNearestAnsweredAt = 0;
  Millis mLoadsReceivedAt = 0;  ///< When loads of peers were received last.
  Millis mToldAt = 0;           ///< Last call of TellOfCrashes().
  std::unique_ptr<Timer> mTellTimer;
  std::unique_ptr<Timer> mTimer;
};

}  // namespace spindleweir
