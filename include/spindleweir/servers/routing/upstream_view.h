/// A router's view of the upstreams: their reports with age, the local requests
/// in flight, failures, and upstreams that are leaving.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"
#include "spindleweir/core/settings.h"
#include "spindleweir/servers/placement/engine_report.h"
#include "spindleweir/servers/routing/chain_chooser.h"

namespace spindleweir {

/// One upstream, an engine or a plain service.
struct Upstream {
  std::string mVm;
  std::string mZone;
  std::string mService;  ///< The service's name; empty for an engine.
  Endpoint mAddress;
  EngineReport mReport;  ///< Engines only.
  Millis mKnownSince = 0;
  Millis mReportedAt = -1;         ///< -1: never.
  int mInFlight = 0;               ///< Dispatched by this router and not ended.
  std::deque<Millis> mDispatches;  ///< Since the last report.
  int mFailures = 0;               ///< Consecutive.
  Millis mEjectedUntil = 0;
  bool mListedLeaving = false;  ///< According to the platform's list.
  bool mListed = true;          ///< Whether the last list includes it.
};

/// Timeouts and ejection limits of an UpstreamView.
struct UpstreamViewOptions {
  Millis mReportLifetime = 3000;  ///< Older reports are ignored.
  /// Without any report for this time the router's links are lost. Engines are
  /// asked for one four times in it.
  Millis mCutOffSilence = 1000;
  int mFailuresToEject = 2;
  Millis mEjection = 2000;  ///< Doubled with each further failure.
  Millis mMaxEjection = 15000;
  double mMaxEjectedShare = 0.5;  ///< Of the upstreams of one kind in a zone.
};

/// Tracks the upstreams that one router may use.
class UpstreamView {
 public:
  explicit UpstreamView(UpstreamViewOptions aOptions) : mOptions(aOptions) {}

  /// Adds or updates a VM of the platform's list.
  void Listed(const std::string& aVm, const std::string& aZone,
              const std::string& aService, const Endpoint& aAddress,
              bool aLeaving, Millis aNow);
  /// Ends a pass over the platform's list. VMs that were not listed since the
  /// last call are dropped unless they report or have requests in flight.
  void ListEnded(Millis aNow);
  /// Applies an engine's report.
  void Reported(const EngineReport& aReport, Millis aNow);
  /// Sets the VMs that are leaving according to other sources: drain, peers.
  void SetLeaving(const std::set<std::string>& aVms) { mLeaving = aVms; }

  void Dispatched(const std::string& aVm, Millis aNow);
  void Ended(const std::string& aVm);
  void Succeeded(const std::string& aVm);
  /// Counts a failure and ejects the VM if the limit is reached. Failures of a
  /// VM that is leaving are not counted.
  void Failed(const std::string& aVm, Millis aNow);

  bool IsLeaving(const std::string& aVm) const;
  /// Returns the engines that the platform's list marks as leaving since the
  /// last call. The mark applies to the incarnation at that time: a lagging
  /// list still has it after the VM has restarted.
  std::vector<std::string> TakeNewlyLeaving();
  /// All VMs that are leaving according to the platform's list or their own
  /// report.
  std::set<std::string> KnownLeaving() const;
  const Upstream* Find(const std::string& aVm) const;
  std::set<std::string> Names() const;
  const std::map<std::string, Upstream>& All() const { return mUpstreams; }

  /// Whether each engine of a zone (of all zones if aZone is empty) has
  /// reported, or was silent long enough to count as gone. A plan made earlier
  /// would cover only a part of the engines.
  bool Complete(const std::string& aZone, Millis aNow) const;
  /// Whether no engine reports any more, though several did: rather than all of
  /// them, the links of this router have failed.
  bool IsCutOff(Millis aNow) const;
  /// Returns the reports of engines that reported within aWithin.
  std::vector<EngineReport> LiveEngines(const std::string& aZone,
                                        Millis aWithin, Millis aNow) const;
  /// Returns the engines as candidates for a chain.
  std::vector<ChainCandidate> Candidates(Millis aNow) const;
  /// Returns the usable instances of a service, least loaded first.
  std::vector<const Upstream*> ServiceInstances(const std::string& aService,
                                                Millis aNow) const;

 private:
  bool MayEject(const Upstream& aUpstream, Millis aNow) const;
  bool Usable(const Upstream& aUpstream, Millis aNow) const;
  double WaitMillis(const Upstream& aUpstream) const;

  UpstreamViewOptions mOptions;
  std::map<std::string, Upstream> mUpstreams;
  std::set<std::string> mLeaving;
  std::set<std::string> mListedSinceEnd;
  std::vector<std::string> mNewlyLeaving;
};

}  // namespace spindleweir
