/// The operators' HTTP interface: intents, plans, confirm, configuration,
/// state, receipts, drain and voters.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "daemons/control/claim_service.h"
#include "daemons/control/inventory.h"
#include "daemons/control/receipt_service.h"
#include "daemons/control/replicated_configuration.h"
#include "spindleweir/drivers/http_server.h"

namespace spindleweir {

/// Handles every request to the operators' port. Changes and reads that must
/// be the newest are served by the leader only; other controls answer 307 with
/// the leader's address.
class OperatorApi {
 public:
  OperatorApi(ControlContext& aContext, ReplicatedConfiguration& aLog,
              Inventory& aInventory, ReceiptService& aReceipts,
              ClaimService& aClaims);

  void Handle(const std::shared_ptr<HttpExchange>& aExchange);

 private:
  using Exchange = std::shared_ptr<HttpExchange>;

  void Route(const Exchange& aExchange);
  /// Throws kStorageFailed while the disk accepts no writes.
  void RequireStorage() const;
  /// Throws kStorageFailed, kNoQuorum if no leader is known, or kNotLeader
  /// after adding a Location header with the leader's address.
  void RequireLeader(const Exchange& aExchange);
  void PlanIntent(const Exchange& aExchange);
  void ConfirmPlan(const Exchange& aExchange, const std::string& aPlanId);
  void ShowPlan(const Exchange& aExchange, const std::string& aPlanId);
  void ShowConfiguration(const Exchange& aExchange);
  void ShowLocalConfiguration(const Exchange& aExchange);
  void ShowState(const Exchange& aExchange);
  void ShowReceipt(const Exchange& aExchange, const std::string& aRequest);
  void DrainVm(const Exchange& aExchange, const std::string& aVm);
  void ChangeVoters(const Exchange& aExchange);
  void SubmitCommand(const Exchange& aExchange, const Command& aCommand);
  void ReplyResult(const Exchange& aExchange, const CommandResult& aResult);

  ControlContext& mContext;
  ReplicatedConfiguration& mLog;
  Inventory& mInventory;
  ReceiptService& mReceipts;
  ClaimService& mClaims;
};

}  // namespace spindleweir
