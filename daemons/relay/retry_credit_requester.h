/// Asks control for retries that this router's own part does not pay.
#pragma once

#include <map>
#include <set>
#include <string>

#include "daemons/relay/relay_context.h"

namespace spindleweir {

class SyncLink;

/// The asking side of control.retries. What is granted is credited to the
/// allowance of the service; who wants one looks there again.
class RetryCreditRequester {
 public:
  RetryCreditRequester(RelayContext& aContext, SyncLink& aLink);

  /// aRequest, whatever it is, wants one; asked again while it waits it counts
  /// once.
  void Request(const std::string& aService, const void* aRequest);

 private:
  /// What is requested for one service.
  struct PendingRequests {
    std::set<const void*> mRequests;  ///< That no question has told yet.
    bool mPolling = false;
    Millis mNotBefore = 0;
  };

  void Send(const std::string& aService, PendingRequests& aPending);
  void ApplyGrant(const std::string& aService, int aRequested, int aGranted);

  RelayContext& mContext;
  SyncLink& mLink;
  std::map<std::string, PendingRequests> mPending;  ///< By service.
};

}  // namespace spindleweir
