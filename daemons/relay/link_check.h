/// Finds out whether a router has links of its own: whether it can connect to
/// another upstream than one that it does not reach.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "daemons/relay/relay_context.h"
#include "spindleweir/drivers/stream_client.h"

namespace spindleweir {

struct LinkCheckOptions {
  /// The upstream that is not reached.
  std::string mInstance;
  /// Ready upstreams that are tried one after the other, chosen by chance.
  std::size_t mMaxTried = 1;
  /// Called once, unless the check is destroyed before, which it may be by the
  /// call: whether another upstream was connected to. Not called if there is
  /// none that Start() could try.
  std::function<void(bool aHasLinks)> mOnEnd;
};

/// One check. What it finds is told to the context's UpstreamLinks. Not
/// thread-safe.
class LinkCheck {
 public:
  LinkCheck(RelayContext& aContext, LinkCheckOptions aOptions)
      : mContext(aContext), mOptions(std::move(aOptions)) {}

  /// Returns false if there is no other ready upstream, or this router counts
  /// as cut off already.
  bool Start();

 private:
  void TryNext();
  void TryEnded(const std::string& aInstance, bool aConnected);

  RelayContext& mContext;
  LinkCheckOptions mOptions;
  std::vector<std::string> mOthers;  ///< Instances to be tried.
  std::unique_ptr<StreamCall> mCall;
};

}  // namespace spindleweir
