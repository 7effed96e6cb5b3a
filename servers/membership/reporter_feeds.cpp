#include "spindleweir/servers/membership/reporter_feeds.h"

#include <algorithm>
#include <iterator>

namespace spindleweir {

UpstreamFeed& ReporterFeeds::FeedOf(const std::string& aReporter) {
  const auto it = mFeeds.find(aReporter);
  if (it != mFeeds.end()) {
    return it->second;
  }
  return mFeeds
      .emplace(aReporter,
               UpstreamFeed(UpstreamFeedOptions{.mReporter = aReporter}))
      .first->second;
}

FeedUpdates ReporterFeeds::UpdatesSince(const UpstreamRegistry& aRegistry,
                                        std::int64_t aKnown,
                                        const std::set<std::string>& aAnswering,
                                        Millis aNow) {
  FeedUpdates all = FeedOf("").UpdatesSince(aRegistry, aKnown, aNow);
  for (const std::string& reporter : aRegistry.ChangeReporters(aKnown)) {
    if (reporter.empty() || aAnswering.contains(reporter)) {
      continue;
    }
    FeedUpdates updates =
        FeedOf(reporter).UpdatesSince(aRegistry, aKnown, aNow);
    // Each feed packs at its own times, so the poller knows for certain only
    // what all of them have packed.
    all.mRevision = std::min(all.mRevision, updates.mRevision);
    std::move(updates.mUpdates.begin(), updates.mUpdates.end(),
              std::back_inserter(all.mUpdates));
  }
  return all;
}

}  // namespace spindleweir
