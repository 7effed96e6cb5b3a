#include "daemons/control/control_services.h"

#include "spindleweir/drivers/file_tools.h"

namespace spindleweir {

namespace {

/// Prepares the data folder before any service opens a file in it.
ControlOptions PrepareDataFolder(ControlOptions aOptions) {
  PrepareFolder(aOptions.mData);
  return aOptions;
}

}  // namespace

ControlServices::ControlServices(EventLoop& aLoop, ControlOptions aOptions,
                                 Counters& aCounters, StorageState& aStorage)
    : mContext(aLoop, PrepareDataFolder(std::move(aOptions)), aCounters,
               aStorage),
      mLog(mContext, OpenRaftLog(mContext.mOptions.mData + "/" + kRaftLogFile,
                                 mContext.mOptions.mInitialVoters)),
      mClaims(mContext),
      mReceipts(mContext),
      mInventory(mContext,
                 [this] { return mLog.Machine().Current().mVersion; }),
      mApi(mContext, mLog, mInventory, mReceipts, mClaims) {
  mContext.mEntryVms.Check();
}

}  // namespace spindleweir
