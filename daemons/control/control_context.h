/// The objects that the parts of a control process share.
#pragma once

#include "daemons/control/storage_state.h"
#include "daemons/invalid_messages.h"
#include "spindleweir/core/counters.h"
#include "spindleweir/daemons/control_daemon.h"
#include "spindleweir/daemons/entry_vms_file.h"
#include "spindleweir/drivers/disk_thread.h"
#include "spindleweir/drivers/file_replacement.h"
#include "spindleweir/drivers/rpc_channel.h"
#include "spindleweir/drivers/rpc_dispatcher.h"

namespace spindleweir {

/// Shared state of one control process. Single-threaded.
struct ControlContext {
  ControlContext(EventLoop& aLoop, ControlOptions aOptions, Counters& aCounters,
                 StorageState& aStorage)
      : mLoop(aLoop),
        mOptions(std::move(aOptions)),
        mCounters(aCounters),
        mStorage(aStorage),
        mFileThread(aLoop),
        mLeaveThread(aLoop),
        mClient(aLoop),
        mRpc(mClient, mOptions.mClusterKey),
        mDispatcher(mOptions.mClusterKey),
        mEntryVms(aLoop, mOptions.mEntryVms) {}

  /// Whether the other controls are found by seeds, not by a list of entry VMs.
  bool Joins() const { return !mOptions.mSeeds.empty(); }

  /// Replaces a file of the data folder without holding up the loop.
  ReplaceHook ReplaceInBackground() { return ReplaceBy(mFileThread); }
  /// The same for the file of leaves.
  ReplaceHook ReplaceLeaves() { return ReplaceBy(mLeaveThread); }

  EventLoop& mLoop;
  ControlOptions mOptions;
  Counters& mCounters;
  StorageState& mStorage;
  /// Replaces the small files of the data folder, whose loss costs time only.
  DiskThread mFileThread;
  /// Acknowledgements wait for the file of leaves, which therefore doesn't wait
  /// for the other files.
  DiskThread mLeaveThread;
  HttpClient mClient;
  RpcChannel mRpc;
  RpcDispatcher mDispatcher;
  InvalidMessages mInvalidMessages{mCounters};
  EntryVmsFile mEntryVms;

 private:
  ReplaceHook ReplaceBy(DiskThread& aThread) {
    return ReplaceOn(aThread, [this](const std::string& aPath, Millis aTook) {
      mStorage.OnSynced(aPath.substr(aPath.rfind('/') + 1), aTook);
    });
  }
};

}  // namespace spindleweir
