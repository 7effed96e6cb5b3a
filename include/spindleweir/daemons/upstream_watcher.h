/// Keeps an UpstreamView up to date: polls the platform's list and the
/// engines' reports.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "spindleweir/drivers/engine_client.h"
#include "spindleweir/drivers/event_loop.h"
#include "spindleweir/servers/routing/upstream_view.h"

namespace spindleweir {

/// How often it asks, and whom.
struct UpstreamWatcherOptions {
  Endpoint mPlatform;
  Millis mListInterval = 500;
  Millis mReportInterval = 250;
  /// Told of each report, after the view.
  std::function<void(const EngineReport&)> mOnReport;
};

/// Polls; at most one question to each engine is open at a time.
class UpstreamWatcher {
 public:
  UpstreamWatcher(EventLoop& aLoop, HttpClient& aClient, UpstreamView& aView,
                  UpstreamWatcherOptions aOptions);

 private:
  void ReadList();
  void AskReports();

  EventLoop& mLoop;
  HttpClient& mClient;
  UpstreamView& mView;
  UpstreamWatcherOptions mOptions;
  EngineClient mEngines;
  std::set<std::string> mOpen;  ///< Engines asked and not yet heard.
  std::unique_ptr<Timer> mListTimer;
  std::unique_ptr<Timer> mReportTimer;
};

}  // namespace spindleweir
