/// The claim keeper of a control process, with its file.
#pragma once

#include <memory>
#include <set>
#include <string>

#include "daemons/control/control_context.h"
#include "spindleweir/drivers/disk_log.h"
#include "spindleweir/servers/claims/claim_keeper.h"

namespace spindleweir {

/// Answers routers' claim messages; each promise is synced before it is given.
class ClaimService {
 public:
  explicit ClaimService(ControlContext& aContext);

  std::size_t Size() const { return mKeeper.Size(); }
  bool Abstains() const { return mKeeper.Abstains(); }

 private:
  void Compact();
  std::string MarkerPath() const;
  void MarkComplete();
  void CopyFromPeers();
  void RequestPage(const std::string& aKeeper, const std::string& aAfter);

  ControlContext& mContext;
  std::unique_ptr<DiskLog> mLog;
  ClaimKeeper mKeeper;
  std::set<std::string>
      mCopiedKeepers;  ///< Keepers whose records are all here.
  std::set<std::string> mPendingKeepers;
  std::unique_ptr<Timer> mCopyTimer;
  std::unique_ptr<Timer> mCompactTimer;
};

}  // namespace spindleweir
