#include "spindleweir/servers/membership/upstream_feed.h"

#include <algorithm>

#include "spindleweir/servers/membership/upstream_table.h"

namespace spindleweir {

namespace {

/// Batches are stored up to this many times the rows of the full list, but at
/// least kMinRetainedRows rows: a poller that lacks more than that is served
/// better by the full list.
constexpr std::size_t kRetainedRowsFactor = 2;
constexpr std::size_t kMinRetainedRows = 200;

}  // namespace

void UpstreamFeed::PackChanges(const UpstreamRegistry& aRegistry, Millis aNow) {
  const std::int64_t revision = aRegistry.Revision();
  if (revision == mRevision ||
      (mCheckedAt >= 0 && aNow - mCheckedAt < mOptions.mBatchInterval)) {
    return;
  }
  const std::vector<UpstreamRecord> changed =
      aRegistry.ChangedSince(mRevision, aNow, mOptions.mReporter);
  mRevision = revision;
  mCheckedAt = aNow;
  if (changed.empty()) {
    return;
  }
  mBatches.push_back({.mTo = revision,
                      .mPackedAt = aNow,
                      .mRows = changed.size(),
                      .mText = PackUpstreams(changed)});
  mRows += changed.size();
  const std::size_t maxRows =
      std::max(kMinRetainedRows, kRetainedRowsFactor * aRegistry.Size());
  while (mRows > maxRows) {
    mDroppedTo = mBatches.front().mTo;
    mRows -= mBatches.front().mRows;
    mBatches.pop_front();
  }
}

void UpstreamFeed::PackFullList(const UpstreamRegistry& aRegistry,
                                Millis aNow) {
  const Millis interval = std::max(mOptions.mFullListInterval,
                                   static_cast<Millis>(mFullList.mRows));
  const bool continues = mFullList.mTo >= mDroppedTo;
  if (mFullList.mPackedAt >= 0 && continues &&
      aNow - mFullList.mPackedAt < interval) {
    return;
  }
  const std::vector<UpstreamRecord> all =
      aRegistry.ChangedSince(0, aNow, mOptions.mReporter);
  mFullList = {.mTo = mRevision,
               .mPackedAt = aNow,
               .mRows = all.size(),
               .mText = PackUpstreams(all)};
}

void UpstreamFeed::AppendBatches(std::int64_t aKnown, Millis aNow,
                                 FeedUpdates& aUpdates) const {
  for (const Batch& batch : mBatches) {
    if (batch.mTo > aKnown) {
      aUpdates.mUpdates.push_back({batch.mText, aNow - batch.mPackedAt});
    }
  }
}

FeedUpdates UpstreamFeed::UpdatesSince(const UpstreamRegistry& aRegistry,
                                       std::int64_t aKnown, Millis aNow) {
  PackChanges(aRegistry, aNow);
  FeedUpdates updates;
  updates.mRevision = mRevision;
  if (aKnown >= mRevision) {
    return updates;
  }
  std::int64_t known = aKnown;
  if (known < mDroppedTo) {
    PackFullList(aRegistry, aNow);
    updates.mUpdates.push_back({mFullList.mText, aNow - mFullList.mPackedAt});
    known = mFullList.mTo;
  }
  AppendBatches(known, aNow, updates);
  return updates;
}

}  // namespace spindleweir
