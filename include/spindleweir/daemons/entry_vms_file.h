/// Watches the file that lists the entry VMs and reads it when it changes.
#pragma once

#include <sigc++/signal.h>

#include <memory>
#include <string>

#include "spindleweir/drivers/event_loop.h"
#include "spindleweir/servers/membership/entry_vms.h"

namespace spindleweir {

/// The file and its last valid content. Invalid content is logged and ignored:
/// the last valid list stays in use.
class EntryVmsFile {
 public:
  EntryVmsFile(EventLoop& aLoop, std::string aPath);

  const EntryVms& Current() const { return mCurrent; }
  sigc::signal<void, const EntryVms&>& SignalChanged() {
    return mSignalChanged;
  }
  /// Reads the file and emits SignalChanged() if its content changed and is
  /// valid. Runs periodically.
  void Check();

 private:
  std::string mPath;
  std::string mText;
  EntryVms mCurrent;
  sigc::signal<void, const EntryVms&> mSignalChanged;
  std::unique_ptr<Timer> mTimer;
};

}  // namespace spindleweir
