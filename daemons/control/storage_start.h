/// Starts what needs the data folder of a control, and tries again while the
/// disk fails.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "daemons/control/storage_state.h"
#include "spindleweir/drivers/event_loop.h"

namespace spindleweir {

/// Parameters of a start.
struct StorageStartOptions {
  std::vector<std::string> mLogs;  ///< Paths of the logs that it opens.
  /// Opens and writes all files; throws kStorageFailed if the disk fails, and
  /// has then started nothing.
  std::function<void()> mStart;
};

/// One start. The first attempt is made in the constructor, which throws all
/// errors but kStorageFailed: damaged data or a lack of rights does not pass by
/// itself. A later attempt throws them from the event loop.
class StorageStart {
 public:
  StorageStart(EventLoop& aLoop, StorageState& aState,
               StorageStartOptions aOptions);

 private:
  /// Makes one attempt; false if the disk failed.
  bool Try();
  /// Throws kDataCorrupt if a log is damaged: reading it needs no free space.
  void CheckLogs() const;

  StorageState& mState;
  StorageStartOptions mOptions;
  std::unique_ptr<Timer> mTimer;  ///< Set while the start waits for the disk.
};

}  // namespace spindleweir
