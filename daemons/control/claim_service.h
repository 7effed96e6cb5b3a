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

/// Answers the claim messages of routers. Each record is synced to disk before
/// the answer that promises it is sent.
class ClaimService {
 public:
  explicit ClaimService(ControlContext& aContext);

  std::size_t Size() const { return mKeeper.Size(); }
  bool Abstains() const { return mKeeper.Abstains(); }

 private:
  void Restore(std::string_view aRecord);
  /// Adds all current claims to a log.
  void Fill(DiskLog& aLog) const;
  /// Removes expired records, and rewrites the file if it is large.
  void Compact();
  std::string MarkerPath() const;
  /// Writes the marker file: this keeper lacks no records. Throws as
  /// ReplaceFile().
  void MarkComplete();
  /// Requests the records of all other keepers; ends the abstention once each
  /// of them has been copied.
  void CopyFromPeers();
  /// Ends the abstention, once the disk accepts the marker file.
  void EndAbstention();
  /// Requests a page of a keeper's records after the key aAfter.
  void RequestPage(const std::string& aKeeper, const std::string& aAfter);

  ControlContext& mContext;
  ClaimKeeper mKeeper;
  RecoveringLog mLog;
  std::set<std::string> mCopiedKeepers;   ///< All records are copied.
  std::set<std::string> mPendingKeepers;  ///< A page is requested.
  std::unique_ptr<Timer> mCopyTimer;
  std::unique_ptr<Timer> mCompactTimer;
};

}  // namespace spindleweir
