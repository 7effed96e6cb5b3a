#include "daemons/control/claim_service.h"

#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/daemons/peer_messages.h"
#include "spindleweir/drivers/file_tools.h"

namespace spindleweir {

namespace {

constexpr Millis kCompactInterval = 60 * 1000;
constexpr Millis kCopyInterval = 500;
constexpr Millis kPageTimeout = 5000;
/// A file of at least this size is rewritten with the current records only.
constexpr std::size_t kCompactBytes = 16 * 1024 * 1024;
constexpr const char* kMarkerFile = "claims.whole";

}  // namespace

ClaimService::ClaimService(ControlContext& aContext)
    : mContext(aContext),
      mKeeper({.mPersist =
                   [this](const ClaimRecord& aRecord) {
                     const std::string record = DumpJson(ToJson(aRecord));
                     mLog.Write({&record, 1});
                   }}),
      mLog(aContext,
           {.mFile = kClaimLogFile,
            .mRestore = [this](std::string_view aRecord) { Restore(aRecord); },
            .mFill = [this](DiskLog& aLog) { Fill(aLog); }}) {
  mContext.mDispatcher.On(rpc_method::kClaim, [this](
                                                  const Json::Value& aMessage) {
    mContext.mCounters.Add("claim_messages");
    return ToJson(mKeeper.Handle(FromJson<ClaimMessage>(aMessage), WallNow()));
  });
  mContext.mDispatcher.On(
      rpc_method::kClaimPage, [this](const Json::Value& aMessage) {
        return ToJson(mKeeper.Page(FromJson<ClaimPageRequest>(aMessage)));
      });
  // A marker file is needed because a complete keeper may have no claims yet.
  const bool first = !mContext.mOptions.mInitialVoters.empty();
  if (first && mLog.Bytes() == 0) {
    MarkComplete();
  }
  if (!ReadFile(MarkerPath()).has_value()) {
    mKeeper.Abstain();
    LogLine(LogLevel::kWarning, "claims_abstain")
        .Add("why", "the data folder has no claims marker");
    mCopyTimer =
        mContext.mLoop.Every(kCopyInterval, [this] { CopyFromPeers(); });
  }
  mCompactTimer = mContext.mLoop.Every(kCompactInterval, [this] { Compact(); });
}

void ClaimService::Restore(std::string_view aRecord) {
  try {
    mKeeper.Restore(FromJson<ClaimRecord>(ParseJson(aRecord)));
  } catch (const Error& error) {
    throw Error(ResultCode::kDataCorrupt,
                std::string("claims: ") + error.what());
  }
}

void ClaimService::Fill(DiskLog& aLog) const {
  for (const auto& [key, record] : mKeeper.Records()) {
    aLog.Append(DumpJson(ToJson(record)));
  }
}

std::string ClaimService::MarkerPath() const {
  return mContext.mOptions.mData + "/" + kMarkerFile;
}

void ClaimService::MarkComplete() {
  ReplaceFile(MarkerPath(), "this keeper lacks no claims\n");
}

void ClaimService::CopyFromPeers() {
  bool all = true;
  for (const EntryVm& keeper :
       mContext.mEntryVms.Current().OfRole(EntryRole::kControl)) {
    if (keeper.mId == mContext.mOptions.mId ||
        mCopiedKeepers.contains(keeper.mId)) {
      continue;
    }
    all = false;
    if (mPendingKeepers.insert(keeper.mId).second) {
      RequestPage(keeper.mId, "");
    }
  }
  if (all && !mCopiedKeepers.empty()) {
    EndAbstention();
  }
}

void ClaimService::EndAbstention() {
  try {
    MarkComplete();
  } catch (const Error& error) {
    // Without its marker on disk, a restart would abstain again.
    mContext.mStorage.OnFailed(kMarkerFile, error.what());
    return;
  }
  mContext.mStorage.OnUsable(kMarkerFile);
  mKeeper.EndAbstention();
  mCopyTimer.reset();
  LogLine(LogLevel::kInfo, "claims_taken_over")
      .Add("claims", static_cast<int>(mKeeper.Size()));
}

void ClaimService::RequestPage(const std::string& aKeeper,
                               const std::string& aAfter) {
  const EntryVm* keeper = mContext.mEntryVms.Current().Find(aKeeper);
  if (keeper == nullptr) {
    mPendingKeepers.erase(aKeeper);
    return;
  }
  mContext.mRpc.Call(keeper->mAddress, rpc_method::kClaimPage,
                     ToJson(ClaimPageRequest{aAfter}), kPageTimeout,
                     [this, aKeeper](const RpcResult& aResult) {
                       // If the keeper failed or lacks records itself, the copy
                       // starts again from its first page.
                       mPendingKeepers.erase(aKeeper);
                       if (!aResult.mOk) {
                         return;
                       }
                       const auto page = FromJson<ClaimPage>(aResult.mAnswer);
                       if (!page.mIsComplete) {
                         return;
                       }
                       for (const ClaimRecord& record : page.mRecords) {
                         mKeeper.MergeRecord(record);
                       }
                       if (page.mIsLast) {
                         mCopiedKeepers.insert(aKeeper);
                         return;
                       }
                       mPendingKeepers.insert(aKeeper);
                       RequestPage(aKeeper, page.mRecords.back().mKey);
                     });
}

void ClaimService::Compact() {
  mKeeper.Expire(WallNow());
  if (mLog.Bytes() >= kCompactBytes) {
    mLog.Compact();
  }
}

}  // namespace spindleweir
