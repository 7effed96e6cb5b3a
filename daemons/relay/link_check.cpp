#include "daemons/relay/link_check.h"

#include <algorithm>
#include <utility>

namespace spindleweir {

namespace {

/// Several round trips between zones.
constexpr Millis kLinkCheckTimeout = 40;

}  // namespace

bool LinkCheck::Start() {
  if (mContext.mLinks.IsCutOff(SteadyNow())) {
    return false;
  }
  std::vector<const UpstreamRecord*> others = mContext.mRegistry.OfService("");
  std::erase_if(others, [this](const UpstreamRecord* aRecord) {
    return aRecord->mState != UpstreamState::kReady ||
           aRecord->mInstance == mOptions.mInstance;
  });
  while (!others.empty() && mOthers.size() < mOptions.mMaxTried) {
    const auto index = static_cast<std::size_t>(
        mContext.Random() * static_cast<double>(others.size()));
    const auto it = others.begin() + static_cast<std::ptrdiff_t>(
                                         std::min(index, others.size() - 1));
    mOthers.push_back((*it)->mInstance);
    others.erase(it);
  }
  if (mOthers.empty()) {
    return false;
  }
  TryNext();
  return true;
}

void LinkCheck::TryNext() {
  const std::string instance = mOthers.back();
  mOthers.pop_back();
  const UpstreamRecord* record = mContext.mRegistry.Find(instance);
  if (record == nullptr) {
    TryEnded(instance, false);
    return;
  }
  const auto connected = std::make_shared<bool>(false);
  StreamCallOptions options;
  options.mServer = ParseEndpoint(record->mAddress, "address of an upstream");
  options.mConnectTimeout = kLinkCheckTimeout;
  options.mMaySend = [connected] {
    *connected = true;
    return false;
  };
  options.mOnEnd = [this, instance, connected](StreamEnd) {
    TryEnded(instance, *connected);
  };
  mCall = mContext.mOptions.mStartCall(mContext.mLoop, std::move(options));
}

void LinkCheck::TryEnded(const std::string& aInstance, bool aConnected) {
  // The call is on the stack: it is destroyed in the next turn of the loop.
  mContext.mLoop.Post(
      [ended = std::shared_ptr<StreamCall>(std::move(mCall))] {});
  if (aConnected) {
    mContext.mLinks.OnConnected(aInstance, SteadyNow());
  } else {
    mContext.mLinks.OnFailed(aInstance, SteadyNow());
  }
  if (!aConnected && !mOthers.empty()) {
    TryNext();
    return;
  }
  // The receiver may destroy this check.
  const std::function<void(bool)> call = std::move(mOptions.mOnEnd);
  call(aConnected);
}

}  // namespace spindleweir
