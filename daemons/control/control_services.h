/// What a control process with a list of entry VMs runs once its disk has
/// accepted the files of its start: replicated log, claims, receipts,
/// operators' interface.
#pragma once

#include <cstdint>
#include <memory>

#include "daemons/control/claim_service.h"
#include "daemons/control/control_context.h"
#include "daemons/control/inventory.h"
#include "daemons/control/operator_api.h"
#include "daemons/control/receipt_service.h"
#include "daemons/control/replicated_configuration.h"

namespace spindleweir {

/// The services of one control process, in the order of their construction.
class ControlServices {
 public:
  /// Prepares the data folder. Throws kStorageFailed, kDataCorrupt or
  /// kDataUnwritable.
  ControlServices(EventLoop& aLoop, ControlOptions aOptions,
                  Counters& aCounters, StorageState& aStorage);

  /// The configuration's version, as far as it is known here.
  std::int64_t Version() const { return mLog.Machine().Current().mVersion; }
  /// Answers a message of a router or another control.
  void HandleRpc(const std::shared_ptr<HttpExchange>& aExchange) {
    mContext.mDispatcher.Handle(aExchange);
  }
  /// Answers an operator's request.
  void HandleOperator(const std::shared_ptr<HttpExchange>& aExchange) {
    mApi.Handle(aExchange);
  }

 private:
  ControlContext mContext;
  ReplicatedConfiguration mLog;
  ClaimService mClaims;
  ReceiptService mReceipts;
  Inventory mInventory;
  OperatorApi mApi;
};

}  // namespace spindleweir
