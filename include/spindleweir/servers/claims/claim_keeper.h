/// A claim keeper: stores which request attempt may run a call that must not
/// run twice.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "spindleweir/servers/claims/claim_messages.h"

namespace spindleweir {

/// Options of a keeper.
struct ClaimKeeperOptions {
  Millis mLifetime = 24 * 60 * 60 * 1000;  ///< Retention of a claim.
  std::size_t mMaxClaims = 200000;
  std::size_t mMaximumAnswerBytes = 64 * 1024;
  /// Begins to write a record to durable storage; throws kStorageFailed if it
  /// is refused at once.
  std::function<void(const ClaimRecord&)> mPersist;
};

/// The records of one keeper. A key is granted to one owner only, until its
/// record expires. Restore() loads a record that was persisted before.
///
/// A reply or a page may rest on any record so far, so it must not be sent
/// before all of them are durable. If that fails, the sender must get an error;
/// the records remain, since a key that was claimed must not be granted to
/// another owner.
class ClaimKeeper {
 public:
  explicit ClaimKeeper(ClaimKeeperOptions aOptions);

  void Restore(const ClaimRecord& aRecord);
  /// Applies one message. Throws kStorageFailed if the record was refused; the
  /// stored claims are then unchanged. Throws kNotReady,
  /// kOverLimit or kBadField if the keeper abstains, is full or does not know
  /// the operation.
  ClaimReply Handle(const ClaimMessage& aMessage, Millis aWallNow);
  /// Stops granting new keys. A keeper that replaces a lost one starts empty
  /// and abstains until it has copied the records of the other keepers, which
  /// include every claim that the lost keeper helped to grant by majority.
  void Abstain() { mAbstains = true; }
  bool Abstains() const { return mAbstains; }
  /// Merges a record of another keeper: of two records of one key, the one
  /// with the greater ClaimState is stored.
  void MergeRecord(const ClaimRecord& aRecord);
  void EndAbstention() { mAbstains = false; }
  ClaimPage Page(const ClaimPageRequest& aRequest) const;
  /// Removes expired records.
  void Expire(Millis aWallNow);

  std::size_t Size() const { return mRecords.size(); }
  const std::map<std::string, ClaimRecord>& Records() const { return mRecords; }

 private:
  ClaimReply Acquire(const ClaimRecord& aRequested, Millis aWallNow);
  ClaimReply Release(const ClaimRecord& aRequested, Millis aWallNow);
  ClaimReply Finish(const ClaimRecord& aRequested, Millis aWallNow);
  void Store(const ClaimRecord& aRecord);

  ClaimKeeperOptions mOptions;
  bool mAbstains = false;
  std::map<std::string, ClaimRecord> mRecords;
  std::multimap<Millis, std::string> mByExpiry;
  /// Owners that released a key, with the time when the entry is dropped: a
  /// kAcquire of theirs that arrives late must not claim the key again.
  std::map<std::string, Millis> mReleasedOwners;
  Millis mNextSweepAt = 0;
};

}  // namespace spindleweir
