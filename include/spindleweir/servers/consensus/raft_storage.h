/// Persistent storage of a voter. Writing may take as long as the disk does
/// without holding up the voter.
#pragma once

#include <cstdint>
#include <limits>
#include <span>
#include <vector>

#include "spindleweir/servers/consensus/raft_messages.h"

namespace spindleweir {

/// The persistent state that a voter loads when it starts.
struct DurableState {
  HardState mHardState;
  Snapshot mSnapshot;              ///< mIndex 0: no snapshot.
  std::vector<LogEntry> mEntries;  ///< Entries after the snapshot.
};

/// Each call begins a write. Writes become durable in the order of the calls,
/// and the voter promises nothing that rests on one before DurableWrites()
/// includes it. Any method throws kStorageFailed or kDataUnwritable once a
/// write has failed; the voter then stops taking part.
class RaftStorage {
 public:
  virtual ~RaftStorage() = default;
  virtual DurableState Load() = 0;
  virtual void SaveHardState(const HardState& aState) = 0;
  /// Appends entries. Replaces stored entries from the index of the first of
  /// aEntries on.
  virtual void Append(std::span<const LogEntry> aEntries) = 0;
  /// Saves a snapshot and the hard state; of the log entries only aRemaining
  /// are retained.
  virtual void SaveSnapshot(const Snapshot& aSnapshot,
                            std::span<const LogEntry> aRemaining,
                            const HardState& aState) = 0;
  /// How many of the writes begun so far are durable. A storage whose calls
  /// return once their data is durable needs not override this.
  virtual std::int64_t DurableWrites() {
    return std::numeric_limits<std::int64_t>::max();
  }
};

}  // namespace spindleweir
