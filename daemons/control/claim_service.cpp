#include "daemons/control/claim_service.h"

#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/daemons/peer_messages.h"

namespace spindleweir {

namespace {

constexpr Millis kCompactPeriod = 60 * 1000;
/// The file is written anew once it is this large and mostly dead.
constexpr std::size_t kCompactBytes = 16 * 1024 * 1024;

}  // namespace

ClaimService::ClaimService(ControlContext& aContext)
    : mContext(aContext),
      mKeeper({.mPersist = [this](const ClaimRecord& aRecord) {
        mLog->Append(DumpJson(ToJson(aRecord)));
        mLog->Sync();
      }}) {
  mLog = std::make_unique<DiskLog>(
      mContext.mOptions.mData + "/claims.log",
      [this](std::string_view aRecord) {
        try {
          mKeeper.Restore(FromJson<ClaimRecord>(ParseJson(aRecord)));
        } catch (const Error& error) {
          throw Error(ResultCode::kDataCorrupt,
                      std::string("claims: ") + error.what());
        }
      });
  mContext.mDispatcher.On(rpc_method::kClaim, [this](
                                                  const Json::Value& aMessage) {
    mContext.mCounters.Add("claim_messages");
    return ToJson(mKeeper.Handle(FromJson<ClaimMessage>(aMessage), WallNow()));
  });
  mCompactTimer = mContext.mLoop.Every(kCompactPeriod, [this] { Compact(); });
}

void ClaimService::Compact() {
  try {
    mKeeper.Expire(WallNow());
    if (mLog->Bytes() < kCompactBytes) {
      return;
    }
    mLog->Rewrite([this](DiskLog& aLog) {
      for (const auto& [key, record] : mKeeper.Records()) {
        aLog.Append(DumpJson(ToJson(record)));
      }
    });
  } catch (const Error& error) {
    mContext.mCounters.Set("storage_failed", 1);
    LogLine(LogLevel::kError, "claims_not_compacted").Add("why", error.what());
  }
}

}  // namespace spindleweir
