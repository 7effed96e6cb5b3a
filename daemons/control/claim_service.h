/// The claim keeper of a control process and its log file.
#pragma once

#include <memory>
#include <set>
#include <string>

#include "daemons/control/recovering_log.h"
#include "spindleweir/servers/claims/claim_keeper.h"

namespace spindleweir {

/// Name of the log of claims in the data folder.
inline constexpr const char* kClaimLogFile = "claims.log";

/// Answers the claim messages of routers. An answer is sent once all that was
/// written before it is durable; it is an error if that fails.
class ClaimService {
 public:
  explicit ClaimService(ControlContext& aContext);

  std::size_t Size() const { return mKeeper.Size(); }
  bool Abstains() const { return mKeeper.Abstains(); }

 private:
  void Restore(std::string_view aRecord);
  std::vector<std::string> AllRecords() const;
  /// Sends the answer once it rests on durable records only.
  void ReplyAfterWrites(const Json::Value& aAnswer, const RpcReplyHook& aReply);
  /// Removes expired records, and rewrites the file if it is large.
  void Compact();
  std::string MarkerPath() const;
  /// Requests the records of all other keepers; ends the abstention once each
  /// of them has been copied.
  void CopyFromPeers();
  /// Ends the abstention, once the copied records are durable and then the
  /// marker file, which tells that this keeper lacks none. A failure leaves the
  /// next attempt to CopyFromPeers().
  void EndAbstention();
  void WriteMarker();
  void OnMarked(const std::optional<Error>& aError);
  /// Requests a page of a keeper's records after the key aAfter.
  void RequestPage(const std::string& aKeeper, const std::string& aAfter);

  ControlContext& mContext;
  ClaimKeeper mKeeper;
  RecoveringLog mLog;
  std::set<std::string> mCopiedKeepers;   ///< All records are copied.
  std::set<std::string> mPendingKeepers;  ///< A page is requested.
  bool mIsEndingAbstention = false;       ///< It waits for the disk.
  std::unique_ptr<Timer> mCopyTimer;
  std::unique_ptr<Timer> mCompactTimer;
};

}  // namespace spindleweir
