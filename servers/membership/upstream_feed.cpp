#include "spindleweir/servers/membership/upstream_feed.h"

#include <algorithm>

#include "spindleweir/servers/membership/upstream_table.h"

namespace spindleweir {

namespace {

/// Batches are kept until they have so many times the rows of all: whoever
/// lacks more is served better by the list of all.
constexpr std::size_t kRowsKept = 2;
constexpr std::size_t kLeastRowsKept = 200;

}  // namespace

void UpstreamFeed::Note(const UpstreamRegistry& aRegistry, Millis aNow) {
  const std::int64_t revision = aRegistry.Revision();
  if (revision == mAt ||
      (mNotedAt >= 0 && aNow - mNotedAt < mOptions.mBatchInterval)) {
    return;
  }
  const std::vector<UpstreamRecord> changed = aRegistry.ChangedSince(mAt, aNow);
  mAt = revision;
  mNotedAt = aNow;
  if (changed.empty()) {
    return;
  }
  mBatches.push_back({.mTo = revision,
                      .mMadeAt = aNow,
                      .mRows = changed.size(),
                      .mText = PackUpstreams(changed)});
  mRows += changed.size();
  const std::size_t most =
      std::max(kLeastRowsKept, kRowsKept * aRegistry.Size());
  while (mRows > most) {
    mDroppedTo = mBatches.front().mTo;
    mRows -= mBatches.front().mRows;
    mBatches.pop_front();
  }
}

void UpstreamFeed::PackAll(const UpstreamRegistry& aRegistry, Millis aNow) {
  const Millis kept =
      std::max(mOptions.mFullListInterval, static_cast<Millis>(mAll.mRows));
  const bool follows = mAll.mTo >= mDroppedTo;
  if (mAll.mMadeAt >= 0 && follows && aNow - mAll.mMadeAt < kept) {
    return;
  }
  const std::vector<UpstreamRecord> all = aRegistry.ChangedSince(0, aNow);
  mAll = {.mTo = mAt,
          .mMadeAt = aNow,
          .mRows = all.size(),
          .mText = PackUpstreams(all)};
}

void UpstreamFeed::Add(std::int64_t aKnown, Millis aNow,
                       FeedUpdates& aAnswer) const {
  for (const Batch& batch : mBatches) {
    if (batch.mTo > aKnown) {
      aAnswer.mUpdates.push_back({batch.mText, aNow - batch.mMadeAt});
    }
  }
}

FeedUpdates UpstreamFeed::UpdatesSince(const UpstreamRegistry& aRegistry,
                                       std::int64_t aKnown, Millis aNow) {
  Note(aRegistry, aNow);
  FeedUpdates answer;
  answer.mRevision = mAt;
  if (aKnown >= mAt) {
    return answer;
  }
  std::int64_t known = aKnown;
  if (known < mDroppedTo) {
    PackAll(aRegistry, aNow);
    answer.mUpdates.push_back({mAll.mText, aNow - mAll.mMadeAt});
    known = mAll.mTo;
  }
  Add(known, aNow, answer);
  return answer;
}

}  // namespace spindleweir
