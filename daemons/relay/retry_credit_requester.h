/// Requests retry credits from controls when this router's own allowance is
/// used up.
#pragma once

#include <map>
#include <set>
#include <string>

#include "daemons/relay/relay_context.h"
#include "spindleweir/servers/routing/credit_sources.h"

namespace spindleweir {

class SyncLink;

/// The calling side of control.retries. Granted credits are added to the
/// allowance of the service, where waiting requests check for them.
class RetryCreditRequester {
 public:
  RetryCreditRequester(RelayContext& aContext, SyncLink& aLink);

  /// Notes that aRequest, an opaque key, needs a credit. Repeated calls before
  /// the next message to control count once.
  void Request(const std::string& aService, const void* aRequest);
  /// Whether a control has not answered yet.
  bool IsAsking(const std::string& aService) const;

 private:
  /// Requests that need a credit for one service.
  struct PendingRequests {
    std::set<const void*> mRequests;  ///< Not yet reported to control.
    bool mPolling = false;
    CreditSources mSources;
  };

  /// One request to a control, for a number of credits.
  struct Question {
    std::string mService;
    Endpoint mControl;
    int mWanted = 0;
    Millis mSentAt = 0;
  };

  /// Asks the next control that may be asked now, if there is one.
  void Ask(const std::string& aService, PendingRequests& aPending, int aWanted);
  /// Adds what was granted; asks the next control for the rest.
  void ApplyGrant(const Question& aQuestion, int aGranted);

  RelayContext& mContext;
  SyncLink& mLink;
  std::map<std::string, PendingRequests> mPending;  ///< By service.
};

}  // namespace spindleweir
