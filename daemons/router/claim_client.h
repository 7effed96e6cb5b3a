/// The router's client of the claim keepers: acquires claims and reports their
/// outcomes.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "daemons/router/router_context.h"
#include "spindleweir/servers/claims/claim_round.h"

namespace spindleweir {

/// The result of ClaimClient::Acquire().
struct ClaimOutcome {
  ClaimVerdict mVerdict = ClaimVerdict::kNoQuorum;
  ClaimRecord mRequested;  ///< To be passed to Release() or Finish().
  ClaimRecord mEarlier;    ///< With kDone: the earlier call's record.
};

/// Every control process is a claim keeper, because it has a disk.
class ClaimClient {
 public:
  explicit ClaimClient(RouterContext& aContext) : mContext(aContext) {}

  /// Claims the key for aOwner. A resend must have the same aBody.
  void Acquire(const std::string& aKey, const std::string& aOwner,
               const std::string& aBody,
               std::function<void(const ClaimOutcome&)> aDone);
  /// Frees the key: the call was not dispatched and will not be.
  void Release(const ClaimRecord& aRecord);
  /// Reports the outcome of an ended call to each keeper, and repeats it until
  /// the keeper answers. aOnStored (may be empty) is called once: when a
  /// majority of the keepers has the outcome, so that every later Acquire()
  /// gets it, or after one second.
  void Finish(ClaimRecord aRecord, ClaimState aState,
              const StoredAnswer& aAnswer,
              std::function<void()> aOnStored = nullptr);

 private:
  /// aOnAcknowledged (may be empty) is called once the keeper has answered.
  void SendUntilAcknowledged(const EntryVm& aKeeper,
                             const ClaimMessage& aMessage, int aAttemptsLeft,
                             const std::function<void()>& aOnAcknowledged);

  RouterContext& mContext;
  /// Reports that are due again; they end with the router.
  std::map<std::int64_t, std::unique_ptr<Timer>> mRetryTimers;
  std::int64_t mNextRetry = 0;
};

/// The result code for a verdict that rejects a call.
ResultCode CodeOf(ClaimVerdict aVerdict);

}  // namespace spindleweir
