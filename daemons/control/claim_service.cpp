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
constexpr const char* kMarkerText = "this keeper lacks no claims\n";

}  // namespace

ClaimService::ClaimService(ControlContext& aContext)
    : mContext(aContext),
      mKeeper({.mPersist =
                   [this](const ClaimRecord& aRecord) {
                     mLog.Write({DumpJson(ToJson(aRecord))});
                   }}),
      mLog(aContext,
           {.mFile = kClaimLogFile,
            .mRestore = [this](std::string_view aRecord) { Restore(aRecord); },
            .mRecords = [this] { return AllRecords(); }}) {
  mContext.mDispatcher.OnDeferred(
      rpc_method::kClaim,
      [this](const Json::Value& aMessage, const RpcReplyHook& aReply) {
        mContext.mCounters.Add("claim_messages");
        ReplyAfterWrites(
            ToJson(mKeeper.Handle(FromJson<ClaimMessage>(aMessage), WallNow())),
            aReply);
      });
  mContext.mDispatcher.OnDeferred(
      rpc_method::kClaimPage,
      [this](const Json::Value& aMessage, const RpcReplyHook& aReply) {
        ReplyAfterWrites(
            ToJson(mKeeper.Page(FromJson<ClaimPageRequest>(aMessage))), aReply);
      });
  // A marker file is needed because a complete keeper may have no claims yet.
  const bool first = !mContext.mOptions.mInitialVoters.empty();
  if (first && mLog.Bytes() == 0) {
    ReplaceFile(MarkerPath(), kMarkerText);
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

std::vector<std::string> ClaimService::AllRecords() const {
  std::vector<std::string> records;
  records.reserve(mKeeper.Size());
  for (const auto& [key, record] : mKeeper.Records()) {
    records.push_back(DumpJson(ToJson(record)));
  }
  return records;
}

void ClaimService::ReplyAfterWrites(const Json::Value& aAnswer,
                                    const RpcReplyHook& aReply) {
  mLog.AfterWrites([aAnswer, aReply](const std::optional<Error>& aError) {
    aReply(aError.has_value() ? RpcAnswer(*aError) : RpcAnswer(aAnswer));
  });
}

std::string ClaimService::MarkerPath() const {
  return mContext.mOptions.mData + "/" + kMarkerFile;
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
  if (all && !mCopiedKeepers.empty() && !mIsEndingAbstention) {
    EndAbstention();
  }
}

void ClaimService::EndAbstention() {
  mIsEndingAbstention = true;
  mLog.AfterWrites([this](const std::optional<Error>& aError) {
    if (aError.has_value()) {
      mIsEndingAbstention = false;
      return;
    }
    WriteMarker();
  });
}

void ClaimService::WriteMarker() {
  mContext.ReplaceInBackground()(
      MarkerPath(), kMarkerText,
      [this](const std::optional<Error>& aError) { OnMarked(aError); });
}

void ClaimService::OnMarked(const std::optional<Error>& aError) {
  mIsEndingAbstention = false;
  if (aError.has_value()) {
    // Without its marker on disk, a restart would abstain again.
    mContext.mStorage.OnFailed(kMarkerFile, aError->what());
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
