/// Where a voter keeps what it must not forget.
#pragma once

#include <span>
#include <vector>

#include "spindleweir/servers/consensus/raft_messages.h"

namespace spindleweir {

/// Everything a voter finds at its start.
struct DurableState {
  HardState mHardState;
  Snapshot mSnapshot;              ///< mIndex 0: none.
  std::vector<LogEntry> mEntries;  ///< Those after the snapshot.
};

/// Every call returns only when what it was given lasts, or throws
/// kStorageFailed, after which the voter promises nothing more.
class RaftStorage {
 public:
  virtual ~RaftStorage() = default;
  virtual DurableState Load() = 0;
  virtual void SaveHardState(const HardState& aState) = 0;
  /// Adds entries; those at and after the first one's index are replaced.
  virtual void Append(std::span<const LogEntry> aEntries) = 0;
  /// Puts a snapshot in place of all entries but aRest.
  virtual void SaveSnapshot(const Snapshot& aSnapshot,
                            std::span<const LogEntry> aRest,
                            const HardState& aState) = 0;
};

}  // namespace spindleweir
