/// A claim keeper: remembers who may run a call that must not run twice.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "spindleweir/servers/claims/claim_messages.h"

namespace spindleweir {

/// How a keeper is set up.
struct ClaimKeeperOptions {
  Millis mLifetime = 24 * 60 * 60 * 1000;  ///< How long a claim is kept.
  std::size_t mMaxClaims = 200000;
  std::size_t mMaximumAnswerBytes = 64 * 1024;
  /// Makes a record last; throws kStorageFailed where it cannot.
  std::function<void(const ClaimRecord&)> mPersist;
};

/// One keeper's records. A key is granted to one owner only, for as long as
/// the record lives; what was persisted comes back by Restore().
class ClaimKeeper {
 public:
  explicit ClaimKeeper(ClaimKeeperOptions aOptions);

  void Restore(const ClaimRecord& aRecord);
  /// Answers one message. Throws kStorageFailed where nothing was promised.
  ClaimReply Handle(const ClaimMessage& aMessage, Millis aWallNow);
  /// A keeper that starts empty in the place of a lost one grants nothing
  /// until it has taken over the others' records: those of the lost keeper's
  /// majorities are among them.
  void Abstain() { mAbstains = true; }
  bool Abstains() const { return mAbstains; }
  /// Takes over a record of another keeper: the one that tells more stays.
  void MergeRecord(const ClaimRecord& aRecord);
  void EndAbstention() { mAbstains = false; }
  ClaimPage Page(const ClaimPageRequest& aRequest) const;
  /// Forgets what has expired.
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
  /// Owners that released, for a while: a late kAcquire of theirs must not
  /// take the key again.
  std::map<std::string, Millis> mReleasedOwners;
  Millis mNextSweepAt = 0;
};

}  // namespace spindleweir
