/// Grants retries to routers that have spent their own allowance.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemons/control/control_context.h"
#include "daemons/control/retry_store.h"
#include "spindleweir/daemons/sync_messages.h"
#include "spindleweir/servers/limits/pool_share.h"
#include "spindleweir/servers/routing/retry_pool.h"

namespace spindleweir {

/// The state of other parts that a retry service reads.
struct RetryServiceHooks {
  std::function<VoterState()> mVoters;
  /// The services of the configuration in force.
  std::function<std::vector<std::string>()> mServices;
};

/// Answers control.retries on one control process, from a retry pool per
/// service, and keeps on disk what it grants. Grants nothing for a service that
/// is not known.
class RetryService {
 public:
  RetryService(ControlContext& aContext, RetryServiceHooks aHooks);

  /// Sets the gauges retry_share_thousandths, retries_outstanding and
  /// retries_grantable.
  void RefreshGauges();

 private:
  RetryCreditGrant Answer(const RetryCreditRequest& aRequest);
  /// This control's present share of each pool.
  double Share();
  PreviousGrants PreviousStart() const;
  const RetryStore::Numbers& InheritedNumbers() const;
  RetryPool& PoolOf(const std::string& aService);
  /// Adds pools of new services, and records what is to be granted.
  void Step();
  /// Writes the numbers of all pools if one of them needs it.
  void RecordIfDue();

  ControlContext& mContext;
  RetryServiceHooks mHooks;
  RetryStore mStore;
  /// What the process before has recorded; none: not known.
  std::optional<RetryStore::Content> mInherited;
  Millis mStartedAt;
  PoolShare mShare;
  std::map<std::string, RetryPool> mPools;  ///< By service.
  int mRecordedVoters = 0;                  ///< On disk, or being written.
  bool mIsRecording = false;
  Millis mWriteFailedAt = -1;  ///< -1: the last write succeeded.
  std::unique_ptr<Timer> mStepTimer;
};

}  // namespace spindleweir
