/// What a router knows of the upstreams: their aged reports, its own work in
/// flight, failures, and who is leaving.
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
  int mInFlight = 0;               ///< Dispatched here and not ended.
  std::deque<Millis> mDispatches;  ///< Since the last report.
  int mFailures = 0;               ///< In a row.
  Millis mEjectedUntil = 0;
  bool mListedLeaving = false;  ///< By the platform's list.
  bool mListed = true;          ///< Whether the last list named it.
};

/// How the view judges.
struct UpstreamViewOptions {
  Millis mReportLifetime = 3000;  ///< An older report is no report.
  int mFailuresToEject = 2;
  Millis mEjection = 2000;  ///< Doubled with each ejection in a row.
  Millis mMaxEjection = 15000;
  double mMaxEjectedShare = 0.5;  ///< Of a zone's upstreams of one kind.
};

/// The upstreams as one router sees them.
class UpstreamView {
 public:
  explicit UpstreamView(UpstreamViewOptions aOptions) : mOptions(aOptions) {}

  /// The platform named this VM.
  void Listed(const std::string& aVm, const std::string& aZone,
              const std::string& aService, const Endpoint& aAddress,
              bool aLeaving,
              Millis aNow);  /// Ends a reading of the platform's list: VMs not
                             /// named in it since the
  /// last call are kept while they report, and dropped else.
  void ListEnded(Millis aNow);
  /// An engine reported.
  void Reported(const EngineReport& aReport, Millis aNow);
  /// The VMs that are leaving by any other word: drain, peers.
  void SetLeaving(const std::set<std::string>& aVms) { mLeaving = aVms; }

  void Dispatched(const std::string& aVm, Millis aNow);
  void Ended(const std::string& aVm);
  void Succeeded(const std::string& aVm);
  /// Counts a failure and ejects where it is one too many. Failures of a VM
  /// known to be leaving are not counted.
  void Failed(const std::string& aVm, Millis aNow);

  bool IsLeaving(const std::string& aVm) const;
  /// Engines that the platform's list calls leaving since the last call. The
  /// word is about the incarnation of that moment: a list that lags goes on
  /// saying it after the VM has started again.
  std::vector<std::string> TakeNewlyLeaving();
  /// Every VM that leaves by the platform's or its own word.
  std::set<std::string> KnownLeaving() const;
  const Upstream* Find(const std::string& aVm) const;
  std::set<std::string> Names() const;
  const std::map<std::string, Upstream>& All() const { return mUpstreams; }

  /// Whether each engine of a zone (of all, where it is empty) has reported,
  /// or was silent long enough to count as gone: a plan made before that would
  /// be made for a part of them.
  bool Complete(const std::string& aZone, Millis aNow) const;
  /// The reports of engines that are alive: heard within aWithin.
  std::vector<EngineReport> LiveEngines(const std::string& aZone,
                                        Millis aWithin, Millis aNow) const;
  /// The engines as candidates for a chain.
  std::vector<ChainCandidate> Candidates(Millis aNow) const;
  /// The instances of a service that can take a call, least loaded first.
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
