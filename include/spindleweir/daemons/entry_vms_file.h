/// Reads the list of entry VMs from its file again whenever it changes.
#pragma once

#include <sigc++/signal.h>

#include <memory>
#include <string>

#include "spindleweir/drivers/event_loop.h"
#include "spindleweir/servers/membership/entry_vms.h"

namespace spindleweir {

/// The file and its last good content. A bad file after a good one is logged
/// and left unused.
class EntryVmsFile {
 public:
  EntryVmsFile(EventLoop& aLoop, std::string aPath);

  const EntryVms& Current() const { return mCurrent; }
  sigc::signal<void, const EntryVms&>& SignalChanged() {
    return mSignalChanged;
  }
  /// Reads the file if it changed.
  void Check();

 private:
  std::string mPath;
  std::string mText;
  EntryVms mCurrent;
  sigc::signal<void, const EntryVms&> mSignalChanged;
  std::unique_ptr<Timer> mTimer;
};

}  // namespace spindleweir
