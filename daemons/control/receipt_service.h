/// The store of receipts of a control process.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "daemons/control/control_context.h"
#include "spindleweir/drivers/disk_log.h"
#include "spindleweir/servers/receipts/receipt_store.h"

namespace spindleweir {

/// Takes routers' batches; a batch is acknowledged once it is synced.
class ReceiptService {
 public:
  explicit ReceiptService(ControlContext& aContext);

  /// Looks here, then asks the other control processes.
  void Find(const std::string& aRequest,
            std::function<void(const Receipt*)> aDone);
  std::size_t Size() const { return mStore.Size(); }

 private:
  void Store(const Receipt& aReceipt);
  void CompactIfLarge();

  ControlContext& mContext;
  ReceiptStore mStore;
  std::unique_ptr<DiskLog> mLog;
  std::size_t mRecords = 0;  ///< In the file, dead ones too.
};

}  // namespace spindleweir
