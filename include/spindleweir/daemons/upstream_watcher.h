/// Keeps an UpstreamView up to date by polling the platform's list of VMs and
/// the engines' reports.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "spindleweir/drivers/engine_client.h"
#include "spindleweir/drivers/event_loop.h"
#include "spindleweir/servers/routing/upstream_view.h"

namespace spindleweir {

/// Settings of an UpstreamWatcher.
struct UpstreamWatcherOptions {
  Endpoint mPlatform;
  Millis mListInterval = 500;
  Millis mReportInterval = 250;
  /// Called with each report after the view has been updated; may be empty.
  std::function<void(const EngineReport&)> mOnReport;
};

/// Polls periodically; at most one request per engine is pending at a time.
class UpstreamWatcher {
 public:
  UpstreamWatcher(EventLoop& aLoop, HttpClient& aClient, UpstreamView& aView,
                  UpstreamWatcherOptions aOptions);

 private:
  void ReadList();
  void PollReports();

  EventLoop& mLoop;
  HttpClient& mClient;
  UpstreamView& mView;
  UpstreamWatcherOptions mOptions;
  EngineClient mEngines;
  std::set<std::string> mPending;  ///< Engines that have not answered yet.
  std::unique_ptr<Timer> mListTimer;
  std::unique_ptr<Timer> mReportTimer;
};

}  // namespace spindleweir
