/// Persistent storage of a voter.
#pragma once

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

/// Each call returns once its data is durable. Throws kStorageFailed or
/// kDataUnwritable if that can't be guaranteed; the voter then stops taking
/// part.
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
};

}  // namespace spindleweir
