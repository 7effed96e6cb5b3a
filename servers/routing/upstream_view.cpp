#include "spindleweir/servers/routing/upstream_view.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace spindleweir {

namespace {

constexpr double kMillisPerMicro = 1e-3;
constexpr std::size_t kMaxRememberedDispatches = 4096;

/// A step's time: measured where there is a measurement, else nominal.
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
    // Another process under the same name: nothing known of the old one holds.
    upstream.mAddress = aAddress;
    upstream.mFailures = 0;
    upstream.mEjectedUntil = 0;
    upstream.mReportedAt = -1;
    upstream.mListedLeaving = false;
  }
  // A service tells no incarnation: at the same address it is the same one,
  // and goes on leaving whatever a lagging list says.
  const bool sticky = !aService.empty() && upstream.mListedLeaving;
  if (aLeaving && !upstream.mListedLeaving && aService.empty()) {
    mNewlyLeaving.push_back(aVm);
  }
  upstream.mListedLeaving = aLeaving || sticky;
  upstream.mListed = true;
  mListedSinceEnd.insert(aVm);
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
  // One that leaves is no reserve: beside it the last of its kind would be
  // ejected, and callers refused until it is let in again.
  int alike = 0;
  int ejected = 0;
  for (const auto& [vm, other] : mUpstreams) {
    if (!IsLeaving(vm) && other.mZone == aUpstream.mZone &&
        other.mService == aUpstream.mService &&
        other.mReport.mModel == aUpstream.mReport.mModel &&
        other.mReport.mFirst == aUpstream.mReport.mFirst) {
      alike++;
      ejected += (vm != aUpstream.mVm && other.mEjectedUntil > aNow) ? 1 : 0;
    }
  }
  return ejected + 1 <= alike * mOptions.mMaxEjectedShare;
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
  // The report's queue holds what this router had dispatched when it was
  // made; what it dispatched since is added. Its own work in flight is a
  // lower bound that no lag can hide.
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
    const bool counts =
        upstream.mService.empty() && (aZone.empty() || upstream.mZone == aZone);
    const bool waits = upstream.mReportedAt < 0 &&
                       aNow - upstream.mKnownSince < mOptions.mReportLifetime;
    complete = complete && !(counts && waits);
  }
  return complete;
}

std::vector<EngineReport> UpstreamView::LiveEngines(const std::string& aZone,
                                                    Millis aWithin,
                                                    Millis aNow) const {
  std::vector<EngineReport> engines;
  for (const auto& [vm, upstream] : mUpstreams) {
    const bool counts =
        upstream.mService.empty() && (aZone.empty() || upstream.mZone == aZone);
    if (counts && upstream.mReportedAt >= 0 &&
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
