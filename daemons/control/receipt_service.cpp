#include "daemons/control/receipt_service.h"

#include "spindleweir/core/json_codec.h"
#include "spindleweir/daemons/peer_messages.h"

namespace spindleweir {

namespace {

constexpr Millis kFindTimeout = 1000;

/// A search that waits for answers of other control processes.
struct PendingSearch {
  std::size_t mOutstanding;
  std::function<void(const Receipt*)> mDone;
};

}  // namespace

ReceiptService::ReceiptService(ControlContext& aContext)
    : mContext(aContext),
      mStore(aContext.mOptions.mReceipts),
      mLog(aContext,
           {.mFile = kReceiptLogFile,
            .mRestore = [this](std::string_view aRecord) { Restore(aRecord); },
            .mFill = [this](DiskLog& aLog) { Fill(aLog); }}) {
  mContext.mDispatcher.On(rpc_method::kStoreReceipts,
                          [this](const Json::Value& aMessage) {
                            Store(FromJson<ReceiptBatch>(aMessage));
                            return Json::Value(Json::objectValue);
                          });
  mContext.mDispatcher.On(
      rpc_method::kFindReceipt, [this](const Json::Value& aMessage) {
        const auto query = FromJson<ReceiptQuery>(aMessage);
        const Receipt* receipt = mStore.Find(query.mRequest);
        if (receipt == nullptr) {
          throw Error(ResultCode::kReceiptNotFound,
                      "this control has no such receipt");
        }
        return ToJson(*receipt);
      });
}

void ReceiptService::Restore(std::string_view aRecord) {
  try {
    mStore.Add(FromJson<Receipt>(ParseJson(aRecord)));
    mRecords++;
  } catch (const Error& error) {
    throw Error(ResultCode::kDataCorrupt,
                std::string("receipts: ") + error.what());
  }
}

void ReceiptService::Fill(DiskLog& aLog) {
  const std::vector<Receipt> receipts = mStore.All();
  for (const Receipt& receipt : receipts) {
    aLog.Append(DumpJson(ToJson(receipt)));
  }
  mRecords = receipts.size();
}

void ReceiptService::Store(const ReceiptBatch& aBatch) {
  std::vector<std::string> records;
  for (const Receipt& receipt : aBatch.mReceipts) {
    records.push_back(DumpJson(ToJson(receipt)));
  }
  mLog.Write(records);
  for (const Receipt& receipt : aBatch.mReceipts) {
    mStore.Add(receipt);
    mRecords++;
  }
  if (mRecords >= 2 * mContext.mOptions.mReceipts) {
    mLog.Compact();
  }
}

void ReceiptService::Find(const std::string& aRequest,
                          std::function<void(const Receipt*)> aDone) {
  if (const Receipt* receipt = mStore.Find(aRequest)) {
    aDone(receipt);
    return;
  }
  std::vector<EntryVm> others =
      mContext.mEntryVms.Current().OfRole(EntryRole::kControl);
  std::erase_if(others, [this](const EntryVm& aVm) {
    return aVm.mId == mContext.mOptions.mId;
  });
  if (others.empty()) {
    aDone(nullptr);
    return;
  }
  const auto search = std::make_shared<PendingSearch>(
      PendingSearch{others.size(), std::move(aDone)});
  for (const EntryVm& vm : others) {
    mContext.mRpc.Call(
        vm.mAddress, rpc_method::kFindReceipt, ToJson(ReceiptQuery{aRequest}),
        kFindTimeout, [search](const RpcResult& aResult) {
          search->mOutstanding--;
          if (!search->mDone) {
            return;
          }
          if (aResult.mOk) {
            const auto found = FromJson<Receipt>(aResult.mAnswer);
            const auto done = std::move(search->mDone);
            search->mDone = nullptr;
            done(&found);
          } else if (search->mOutstanding == 0) {
            search->mDone(nullptr);
          }
        });
  }
}

}  // namespace spindleweir
