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
class RetryWishes {
 public:
  RetryWishes(RelayContext& aContext, SyncLink& aLink);

  /// aRequest, whatever it is, wants one; asked again while it waits it counts
  /// once.
  void Want(const std::string& aService, const void* aRequest);

 private:
  /// What is wanted for one service.
  struct Wish {
    std::set<const void*> mRequests;  ///< That no question has told yet.
    bool mAsking = false;
    Millis mNotBefore = 0;
  };

  void Ask(const std::string& aService, Wish& aWish);
  void Take(const std::string& aService, int aWanted, int aGranted);

  RelayContext& mContext;
  SyncLink& mLink;
  std::map<std::string, Wish> mWishes;  ///< By service.
};

}  // namespace spindleweir
