/// The receipt store of a control process and its log file.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "daemons/control/recovering_log.h"
#include "spindleweir/daemons/peer_messages.h"
#include "spindleweir/servers/receipts/receipt_store.h"

namespace spindleweir {

/// Name of the log of receipts in the data folder.
inline constexpr const char* kReceiptLogFile = "receipts.log";

/// Stores the receipt batches of routers. A batch is acknowledged once it is
/// synced to disk.
class ReceiptService {
 public:
  explicit ReceiptService(ControlContext& aContext);

  /// Searches the local store, then the other control processes. Calls aDone
  /// once, with nullptr if none of them returned the receipt in time.
  void Find(const std::string& aRequest,
            std::function<void(const Receipt*)> aDone);
  std::size_t Size() const { return mStore.Size(); }

 private:
  void Restore(std::string_view aRecord);
  /// All receipts as records, for a file that has no others.
  std::vector<std::string> AllRecords();
  /// Begins to store a batch; acknowledges it once it is durable. Throws
  /// kStorageFailed if the disk fails.
  void Store(ReceiptBatch aBatch, const RpcReplyHook& aReply);
  /// The oldest batch that was written is durable, or has failed.
  void OnStored(const std::optional<Error>& aError);

  ControlContext& mContext;
  ReceiptStore mStore;
  /// Batches that are written, oldest first: found by nobody until then.
  std::deque<ReceiptBatch> mUnsynced;
  std::size_t mRecords = 0;  ///< Records in the file, obsolete ones included.
  RecoveringLog mLog;
};

}  // namespace spindleweir
