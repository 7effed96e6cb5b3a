#include "spindleweir/daemons/upstream_watcher.h"

#include "spindleweir/core/error.h"
#include "spindleweir/drivers/platform_list.h"

namespace spindleweir {

namespace {

constexpr Millis kReportTimeout = 1000;

}  // namespace

UpstreamWatcher::UpstreamWatcher(EventLoop& aLoop, HttpClient& aClient,
                                 UpstreamView& aView,
                                 UpstreamWatcherOptions aOptions)
    : mLoop(aLoop),
      mClient(aClient),
      mView(aView),
      mOptions(std::move(aOptions)),
      mEngines(aClient),
      mListTimer(aLoop.Every(mOptions.mListInterval, [this] { ReadList(); })),
      mReportTimer(
          aLoop.Every(mOptions.mReportInterval, [this] { PollReports(); })) {
  ReadList();
}

void UpstreamWatcher::ReadList() {
  ReadPlatformList(mClient, mOptions.mPlatform,
                   [this](const PlatformAnswer* aAnswer) {
                     if (aAnswer == nullptr) {
                       return;
                     }
                     for (const PlatformVm& vm : aAnswer->mVms) {
                       try {
                         mView.Listed(vm.mVm, vm.mZone, vm.mService,
                                      ParseEndpoint(vm.mAddress, vm.mVm),
                                      vm.mLeaving, mLoop.RunningNow());
                       } catch (const Error&) {
                         // A VM without a valid address cannot be an upstream.
                         continue;
                       }
                     }
                     mView.ListEnded(mLoop.RunningNow());
                   });
}

void UpstreamWatcher::PollReports() {
  for (const auto& [vm, upstream] : mView.All()) {
    if (!upstream.mService.empty() || mPending.contains(vm)) {
      continue;
    }
    const std::string name = vm;
    mPending.insert(name);
    mEngines.GetReport(upstream.mAddress, kReportTimeout,
                       [this, name](const EngineReport* aReport) {
                         mPending.erase(name);
                         if (aReport == nullptr || aReport->mEngine != name) {
                           return;
                         }
                         mView.Reported(*aReport, mLoop.RunningNow());
                         if (mOptions.mOnReport) {
                           mOptions.mOnReport(*aReport);
                         }
                       });
  }
}

}  // namespace spindleweir
