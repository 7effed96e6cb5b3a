/// The claim keeper of a control process, with its file.
#pragma once

#include <memory>

#include "daemons/control/control_context.h"
#include "spindleweir/drivers/disk_log.h"
#include "spindleweir/servers/claims/claim_keeper.h"

namespace spindleweir {

/// Answers routers' claim messages; each promise is synced before it is given.
class ClaimService {
 public:
  explicit ClaimService(ControlContext& aContext);

  std::size_t Size() const { return mKeeper.Size(); }

 private:
  void Compact();

  ControlContext& mContext;
  std::unique_ptr<DiskLog> mLog;
  ClaimKeeper mKeeper;
  std::unique_ptr<Timer> mCompactTimer;
};

}  // namespace spindleweir
