/// The changes of a registry, packed once for all that ask.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "spindleweir/servers/membership/upstream_registry.h"

namespace spindleweir {

/// Records as they were some time ago.
struct UpstreamUpdate {
  std::string mText;  ///< See PackUpstreams.
  Millis mAge = 0;    ///< UpdatesSince it was true.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("text", mText);
    aCodec.Field("ago_ms", mAge);
  }
};

/// What one asker lacks.
struct FeedUpdates {
  std::vector<UpstreamUpdate> mUpdates;  ///< In order.
  std::int64_t mRevision = 0;            ///< That is known with them.
};

/// How often a feed writes.
struct UpstreamFeedOptions {
  /// Changes are packed at most this often, and in as many milliseconds as
  /// there are so many rows; an asker gets none in between. Looking for them
  /// goes through all rows: 0.03 ms for 3,000.
  Millis mBatchInterval = 20;
  int mRowsEachMilli = 30;
  /// The list of all is packed anew at most this often, and as many
  /// milliseconds as it has rows, for those that know nothing.
  Millis mFullListInterval = 500;
};

/// The feed of one control process. The load that it answers: 3,000 engines
/// that are placed at a start change thrice each while 160 routers ask; written
/// for each asker that took 30 s of a control's 0.15 cores.
class UpstreamFeed {
 public:
  explicit UpstreamFeed(UpstreamFeedOptions aOptions) : mOptions(aOptions) {}

  /// What an asker that knows revision aKnown lacks; 0: knows nothing.
  FeedUpdates UpdatesSince(const UpstreamRegistry& aRegistry,
                           std::int64_t aKnown, Millis aNow);

 private:
  /// Records that changed after mFrom, up to mTo.
  struct Batch {
    std::int64_t mTo = 0;
    Millis mMadeAt = -1;
    std::size_t mRows = 0;
    std::string mText;
  };

  bool IsDue(const UpstreamRegistry& aRegistry, Millis aNow) const;
  void Note(const UpstreamRegistry& aRegistry, Millis aNow);
  void PackAll(const UpstreamRegistry& aRegistry, Millis aNow);
  /// Adds what came after aKnown.
  void Add(std::int64_t aKnown, Millis aNow, FeedUpdates& aAnswer) const;

  UpstreamFeedOptions mOptions;
  std::deque<Batch> mBatches;
  std::size_t mRows = 0;        ///< Of all batches.
  std::int64_t mAt = 0;         ///< The revision noted last.
  Millis mNotedAt = -1;         ///< When that was.
  std::int64_t mDroppedTo = 0;  ///< Batches up to here are not kept any more.
  Batch mAll;                   ///< The list of all.
};

}  // namespace spindleweir
