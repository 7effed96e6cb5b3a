/// A router's side of claims: asks the keepers, and tells them the outcome.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "daemons/router/router_context.h"
#include "spindleweir/servers/claims/claim_round.h"

namespace spindleweir {

/// What an requester is told.
struct ClaimOutcome {
  ClaimVerdict mVerdict = ClaimVerdict::kNoQuorum;
  ClaimRecord mRequested;  ///< To be given back with Release or Finish.
  ClaimRecord mEarlier;    ///< With kDone: the earlier call's.
};

/// Every control process is a claim keeper, since it has a disk.
class ClaimClient {
 public:
  explicit ClaimClient(RouterContext& aContext) : mContext(aContext) {}

  /// Takes the key for aOwner. The body is what a resend must equal.
  void Acquire(const std::string& aKey, const std::string& aOwner,
               const std::string& aBody,
               std::function<void(const ClaimOutcome&)> aDone);
  /// The call was not dispatched and will not be.
  void Release(const ClaimRecord& aRecord);
  /// The call ended; told again to each keeper until it has answered. aOnStored
  /// (it may be empty) is called once: when a majority of the keepers has the
  /// outcome, so that every later Acquire() learns it, or after a second.
  void Finish(ClaimRecord aRecord, ClaimState aState,
              const StoredAnswer& aAnswer,
              std::function<void()> aOnStored = nullptr);

 private:
  /// aOnAcknowledged (it may be empty) is called once the keeper has answered.
  void SendUntilAcknowledged(const EntryVm& aKeeper,
                             const ClaimMessage& aMessage, int aAttemptsLeft,
                             const std::function<void()>& aOnAcknowledged);

  RouterContext& mContext;
};

/// The result code of a verdict that refuses a call.
ResultCode CodeOf(ClaimVerdict aVerdict);

}  // namespace spindleweir
