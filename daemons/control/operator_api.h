/// The operators' interface: intents, plans, confirm, state, receipts, drain.
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

/// Takes every request of the operators' port. What changes or must be newest
/// goes to the leader: the others answer 307 with its address.
class OperatorApi {
 public:
  OperatorApi(ControlContext& aContext, ReplicatedConfiguration& aLog,
              Inventory& aInventory, ReceiptService& aReceipts,
              ClaimService& aClaims);

  void Handle(const std::shared_ptr<HttpExchange>& aExchange);

 private:
  using Exchange = std::shared_ptr<HttpExchange>;

  void Route(const Exchange& aExchange);
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
