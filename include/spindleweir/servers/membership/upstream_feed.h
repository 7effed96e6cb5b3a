/// The changes of a registry, packed once for all processes that poll.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "spindleweir/servers/membership/upstream_registry.h"

namespace spindleweir {

/// Records as they were some time ago. An update travels as one packed text.
struct UpstreamUpdate {
  std::string mText;  ///< See PackUpstreams.
  Millis mAge = 0;    ///< Time since the records were packed.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("text", mText);
    aCodec.Field("ago_ms", mAge);
  }
};

/// What one poller lacks.
struct FeedUpdates {
  std::vector<UpstreamUpdate> mUpdates;  ///< To be applied in order.
  std::int64_t mRevision = 0;            ///< Known after them.
};

/// How often a feed packs records.
struct UpstreamFeedOptions {
  /// Changes are packed at most this often; a poll in between returns none. The
  /// search for changes visits all rows: 0.03 ms for 3,000.
  Millis mBatchInterval = 20;
  int mRowsEachMilli = 30;  ///< Not read at present.
  /// The full list, for pollers that know nothing, is packed again at the
  /// earliest after this time and after one millisecond for each of its rows.
  Millis mFullListInterval = 500;
  /// Only the changes of this reporter; without one, all changes.
  std::optional<std::string> mReporter;
};

/// The feed of one control process. It packs each change once for all pollers:
/// when 3,000 engines are placed at a start, each changes three times while 160
/// routers poll, and packing for each poller took 30 s of a control's 0.15
/// cores.
class UpstreamFeed {
 public:
  explicit UpstreamFeed(UpstreamFeedOptions aOptions)
      : mOptions(std::move(aOptions)) {}

  /// What a poller that knows revision aKnown lacks; 0: it knows nothing.
  FeedUpdates UpdatesSince(const UpstreamRegistry& aRegistry,
                           std::int64_t aKnown, Millis aNow);

 private:
  /// Records that changed after the batch before, up to revision mTo.
  struct Batch {
    std::int64_t mTo = 0;
    Millis mPackedAt = -1;
    std::size_t mRows = 0;
    std::string mText;
  };

  bool IsDue(const UpstreamRegistry& aRegistry, Millis aNow) const;
  /// Packs the changes since the last batch, if one is due.
  void PackChanges(const UpstreamRegistry& aRegistry, Millis aNow);
  /// Packs the full list again if it is due.
  void PackFullList(const UpstreamRegistry& aRegistry, Millis aNow);
  /// Appends the batches after revision aKnown.
  void AppendBatches(std::int64_t aKnown, Millis aNow,
                     FeedUpdates& aUpdates) const;

  UpstreamFeedOptions mOptions;
  std::deque<Batch> mBatches;
  std::size_t mRows = 0;        ///< Of all batches.
  std::int64_t mRevision = 0;   ///< Up to which changes are packed.
  Millis mCheckedAt = -1;       ///< When changes were last searched; -1: never.
  std::int64_t mDroppedTo = 0;  ///< Batches up to this revision were dropped.
  Batch mFullList;
};

}  // namespace spindleweir
