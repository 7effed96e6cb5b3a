/// The writes of a voter that its disk has not confirmed yet.
#pragma once

#include <cstdint>
#include <deque>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// Numbers the writes of a voter from 1, in the order in which they become
/// durable, and remembers how long the last ones took.
class PendingWrites {
 public:
  /// aLastIndex: index of the last log entry once the write is durable.
  void Begin(std::int64_t aLastIndex, Millis aNow);
  /// The log was truncated: of the writes that are pending, no entry after
  /// aLastIndex remains.
  void Truncate(std::int64_t aLastIndex);
  /// All writes up to aWrite are durable. Returns whether that is news.
  bool Finish(std::int64_t aWrite, Millis aNow);

  /// The number of the last write that was begun; 0: none.
  std::int64_t Newest() const { return mNewest; }
  bool IsPending(std::int64_t aWrite) const { return aWrite > mDurable; }
  bool Empty() const { return mWrites.empty(); }
  /// How long the oldest pending write has taken so far; 0: none is pending.
  Millis OldestAge(Millis aNow) const;
  /// Index of the last log entry that is durable.
  std::int64_t DurableIndex() const { return mDurableIndex; }
  void SetDurableIndex(std::int64_t aIndex) { mDurableIndex = aIndex; }
  /// The longest time that a write took of those that ended recently.
  Millis RecentDuration(Millis aNow) const;

 private:
  struct Write {
    std::int64_t mNumber;
    std::int64_t mLastIndex;
    Millis mSince;
  };
  struct Duration {
    Millis mTook;
    Millis mEndedAt;
  };

  std::deque<Write> mWrites;  ///< Oldest first.
  std::deque<Duration> mDurations;
  std::int64_t mNewest = 0;
  std::int64_t mDurable = 0;  ///< The number of the last durable write.
  std::int64_t mDurableIndex = 0;
};

}  // namespace spindleweir
