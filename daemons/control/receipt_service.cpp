#include "daemons/control/receipt_service.h"

#include <algorithm>
#include <iterator>
#include <utility>

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

std::vector<std::string> RecordsOf(const std::vector<Receipt>& aReceipts) {
  std::vector<std::string> records;
  records.reserve(aReceipts.size());
  for (const Receipt& receipt : aReceipts) {
    records.push_back(DumpJson(ToJson(receipt)));
  }
  return records;
}

}  // namespace

ReceiptService::ReceiptService(ControlContext& aContext)
    : mContext(aContext),
      mStore(aContext.mOptions.mReceipts),
      mLog(aContext,
           {.mFile = kReceiptLogFile,
            .mRestore = [this](std::string_view aRecord) { Restore(aRecord); },
            .mRecords = [this] { return AllRecords(); }}) {
  mContext.mDispatcher.OnDeferred(
      rpc_method::kStoreReceipts,
      [this](const Json::Value& aMessage, const RpcReplyHook& aReply) {
        Store(FromJson<ReceiptBatch>(aMessage), aReply);
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

std::vector<std::string> ReceiptService::AllRecords() {
  std::vector<std::string> records = RecordsOf(mStore.All());
  for (const ReceiptBatch& batch : mUnsynced) {
    std::vector<std::string> unsynced = RecordsOf(batch.mReceipts);
    std::move(unsynced.begin(), unsynced.end(), std::back_inserter(records));
  }
  mRecords = records.size();
  return records;
}

void ReceiptService::Store(ReceiptBatch aBatch, const RpcReplyHook& aReply) {
  std::vector<std::string> records = RecordsOf(aBatch.mReceipts);
  const std::size_t n = records.size();
  mLog.Write(std::move(records));
  mRecords += n;
  mUnsynced.push_back(std::move(aBatch));
  mLog.AfterWrites([this, aReply](const std::optional<Error>& aError) {
    OnStored(aError);
    aReply(aError.has_value() ? RpcAnswer(*aError)
                              : RpcAnswer(Json::Value(Json::objectValue)));
  });
  if (mRecords >= 2 * mContext.mOptions.mReceipts) {
    mLog.Compact();
  }
}

void ReceiptService::OnStored(const std::optional<Error>& aError) {
  const ReceiptBatch batch = std::move(mUnsynced.front());
  mUnsynced.pop_front();
  if (aError.has_value()) {
    // The router sends it again.
    return;
  }
  for (const Receipt& receipt : batch.mReceipts) {
    mStore.Add(receipt);
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
