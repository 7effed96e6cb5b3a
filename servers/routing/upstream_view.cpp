#include "spindleweir/servers/routing/upstream_view.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace spindleweir {

namespace {

constexpr double kMillisPerMicro = 1e-3;
constexpr std::size_t kMaxRememberedDispatches = 4096;

/// Time of a step: the measured value if there is one, otherwise the nominal
/// one.
double StepMillis(const EngineReport& aReport) {
  if (aReport.mStepMillis > 0) {
    return aReport.mStepMillis;
  }
  return aReport.mLayerMicros * (aReport.mLast - aReport.mFirst) *
         kMillisPerMicro;
}

}  // namespace

void UpstreamView::Listed(const std::string& aVm, const std::string& aZone,
                          const std::string& aService, const Endpoint& aAddress,
                          bool aLeaving, Millis aNow) {
  Upstream& upstream = mUpstreams[aVm];
  if (upstream.mVm.empty()) {
    upstream.mKnownSince = aNow;
  }
  upstream.mVm = aVm;
  upstream.mZone = aZone;
  upstream.mService = aService;
  if (!(upstream.mAddress == aAddress)) {
    // A different process with the same name: the state of the old one is void.
    upstream.mAddress = aAddress;
    upstream.mFailures = 0;
    upstream.mEjectedUntil = 0;
    upstream.mReportedAt = -1;
    upstream.mListedLeaving = false;
  }
  // A service reports no incarnation: at the same address it is the same
  // process, and stays leaving regardless of a lagging list.
  const bool staysLeaving = !aService.empty() && upstream.mListedLeaving;
  if (aLeaving && !upstream.mListedLeaving && aService.empty()) {
    mNewlyLeaving.push_back(aVm);
  }
  upstream.mListedLeaving = aLeaving || staysLeaving;
  upstream.mListed = true;
  mListedSinceEnd.insert(aVm);
}

bool UpstreamView::IsCutOff(Millis aNow) const {
  int reporters = 0;
  for (const auto& [vm, upstream] : mUpstreams) {
    if (!upstream.mService.empty() || upstream.mReportedAt < 0) {
      continue;
    }
    if (aNow - upstream.mReportedAt < mOptions.mCutOffSilence) {
      return false;
    }
    reporters++;
  }
  return reporters > 1;
}

void UpstreamView::ListEnded(Millis aNow) {
  for (auto it = mUpstreams.begin(); it != mUpstreams.end();) {
    Upstream& upstream = it->second;
    const bool seen = mListedSinceEnd.contains(it->first);
    const bool reports = upstream.mReportedAt >= 0 &&
                         aNow - upstream.mReportedAt < mOptions.mReportLifetime;
    upstream.mListed = seen;
    if (!seen && !reports && upstream.mInFlight == 0) {
      it = mUpstreams.erase(it);
    } else {
      ++it;
    }
  }
  mListedSinceEnd.clear();
}

void UpstreamView::Reported(const EngineReport& aReport, Millis aNow) {
  const auto it = mUpstreams.find(aReport.mEngine);
  if (it == mUpstreams.end()) {
    return;
  }
  Upstream& upstream = it->second;
  if (aReport.mIncarnation > upstream.mReport.mIncarnation) {
    upstream.mFailures = 0;
    upstream.mEjectedUntil = 0;
  }
  upstream.mReport = aReport;
  upstream.mReportedAt = aNow;
  upstream.mDispatches.clear();
}

void UpstreamView::Dispatched(const std::string& aVm, Millis aNow) {
  const auto it = mUpstreams.find(aVm);
  if (it == mUpstreams.end()) {
    return;
  }
  it->second.mInFlight++;
  if (it->second.mDispatches.size() < kMaxRememberedDispatches) {
    it->second.mDispatches.push_back(aNow);
  }
}

void UpstreamView::Ended(const std::string& aVm) {
  const auto it = mUpstreams.find(aVm);
  if (it != mUpstreams.end() && it->second.mInFlight > 0) {
    it->second.mInFlight--;
  }
}

void UpstreamView::Succeeded(const std::string& aVm) {
  const auto it = mUpstreams.find(aVm);
  if (it != mUpstreams.end()) {
    it->second.mFailures = 0;
  }
}

void UpstreamView::Failed(const std::string& aVm, Millis aNow) {
  const auto it = mUpstreams.find(aVm);
  if (it == mUpstreams.end() || IsLeaving(aVm)) {
    return;
  }
  Upstream& upstream = it->second;
  upstream.mFailures++;
  const int over = upstream.mFailures - mOptions.mFailuresToEject;
  if (over < 0 || !MayEject(upstream, aNow)) {
    return;
  }
  const auto length = static_cast<Millis>(
      static_cast<double>(mOptions.mEjection) * std::exp2(std::min(over, 8)));
  upstream.mEjectedUntil = aNow + std::min(length, mOptions.mMaxEjection);
}

bool UpstreamView::MayEject(const Upstream& aUpstream, Millis aNow) const {
  // Leaving upstreams do not count: otherwise the last remaining upstream of
  // its kind could be ejected, and callers would be refused until the ejection
  // ends.
  int sameKind = 0;
  int ejected = 0;
  for (const auto& [vm, other] : mUpstreams) {
    if (!IsLeaving(vm) && other.mZone == aUpstream.mZone &&
        other.mService == aUpstream.mService &&
        other.mReport.mModel == aUpstream.mReport.mModel &&
        other.mReport.mFirst == aUpstream.mReport.mFirst) {
      sameKind++;
      ejected += (vm != aUpstream.mVm && other.mEjectedUntil > aNow) ? 1 : 0;
    }
  }
  return ejected + 1 <= sameKind * mOptions.mMaxEjectedShare;
}

bool UpstreamView::IsLeaving(const std::string& aVm) const {
  if (mLeaving.contains(aVm)) {
    return true;
  }
  const auto it = mUpstreams.find(aVm);
  return it != mUpstreams.end() &&
         (it->second.mListedLeaving || it->second.mReport.mLeaving);
}

std::vector<std::string> UpstreamView::TakeNewlyLeaving() {
  return std::exchange(mNewlyLeaving, {});
}

std::set<std::string> UpstreamView::KnownLeaving() const {
  std::set<std::string> leaving;
  for (const auto& [vm, upstream] : mUpstreams) {
    if (upstream.mListedLeaving || upstream.mReport.mLeaving) {
      leaving.insert(vm);
    }
  }
  return leaving;
}

const Upstream* UpstreamView::Find(const std::string& aVm) const {
  const auto it = mUpstreams.find(aVm);
  return it == mUpstreams.end() ? nullptr : &it->second;
}

std::set<std::string> UpstreamView::Names() const {
  std::set<std::string> names;
  for (const auto& [vm, upstream] : mUpstreams) {
    names.insert(vm);
  }
  return names;
}

bool UpstreamView::Usable(const Upstream& aUpstream, Millis aNow) const {
  return !IsLeaving(aUpstream.mVm) && aUpstream.mEjectedUntil <= aNow;
}

double UpstreamView::WaitMillis(const Upstream& aUpstream) const {
  // The queue in the report includes the requests that this router dispatched
  // before the report; later ones are added. The local requests in flight are a
  // lower bound that holds even if the report lags.
  const auto since = static_cast<int>(aUpstream.mDispatches.size());
  const int queue =
      std::max(aUpstream.mReport.mQueue + since, aUpstream.mInFlight);
  const double rounds =
      static_cast<double>(queue) / std::max(1, aUpstream.mReport.mBatch);
  return rounds * StepMillis(aUpstream.mReport);
}

bool UpstreamView::Complete(const std::string& aZone, Millis aNow) const {
  bool complete = !mUpstreams.empty();
  for (const auto& [vm, upstream] : mUpstreams) {
    const bool isMatch =
        upstream.mService.empty() && (aZone.empty() || upstream.mZone == aZone);
    const bool isPending =
        upstream.mReportedAt < 0 &&
        aNow - upstream.mKnownSince < mOptions.mReportLifetime;
    complete = complete && !(isMatch && isPending);
  }
  return complete;
}

std::vector<EngineReport> UpstreamView::LiveEngines(const std::string& aZone,
                                                    Millis aWithin,
                                                    Millis aNow) const {
  std::vector<EngineReport> engines;
  for (const auto& [vm, upstream] : mUpstreams) {
    const bool isMatch =
        upstream.mService.empty() && (aZone.empty() || upstream.mZone == aZone);
    if (isMatch && upstream.mReportedAt >= 0 &&
        aNow - upstream.mReportedAt < aWithin) {
      engines.push_back(upstream.mReport);
      engines.back().mLeaving = engines.back().mLeaving || IsLeaving(vm);
    }
  }
  return engines;
}

std::vector<ChainCandidate> UpstreamView::Candidates(Millis aNow) const {
  std::vector<ChainCandidate> candidates;
  candidates.reserve(mUpstreams.size());
  for (const auto& [vm, upstream] : mUpstreams) {
    if (!upstream.mService.empty() || upstream.mReportedAt < 0) {
      continue;
    }
    const EngineReport& report = upstream.mReport;
    const bool fresh = aNow - upstream.mReportedAt < mOptions.mReportLifetime;
    candidates.push_back(
        {.mEngine = vm,
         .mZone = upstream.mZone,
         .mAccelerator = report.mAccelerator,
         .mModel = report.mModel,
         .mVersion = report.mVersion,
         .mFirst = report.mFirst,
         .mLast = report.mLast,
         .mWaitMillis = WaitMillis(upstream),
         .mStepMillis = StepMillis(report),
         .mUsable = fresh && !report.mLoading && Usable(upstream, aNow)});
  }
  return candidates;
}

std::vector<const Upstream*> UpstreamView::ServiceInstances(
    const std::string& aService, Millis aNow) const {
  std::vector<const Upstream*> instances;
  for (const auto& [vm, upstream] : mUpstreams) {
    if (upstream.mService == aService && Usable(upstream, aNow)) {
      instances.push_back(&upstream);
    }
  }
  std::stable_sort(instances.begin(), instances.end(),
                   [](const Upstream* aLeft, const Upstream* aRight) {
                     return aLeft->mInFlight < aRight->mInFlight;
                   });
  return instances;
}

}  // namespace spindleweir
