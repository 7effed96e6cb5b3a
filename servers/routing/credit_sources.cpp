#include "spindleweir/servers/routing/credit_sources.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// A request that has sent nothing to its caller waits for a few such times.
constexpr Millis kMinBackoff = 20;
constexpr Millis kMaxBackoff = 1600;

}  // namespace

std::optional<Endpoint> CreditSources::Next(
    const Endpoint& aNearest, std::vector<Endpoint> aControls, Millis aNow,
    const std::function<double()>& aRandom) const {
  std::erase_if(aControls, [this, aNow](const Endpoint& aControl) {
    const auto it = mBackoffs.find(aControl.Text());
    return it != mBackoffs.end() && aNow < it->second.mUntil;
  });
  if (aControls.empty()) {
    return std::nullopt;
  }
  if (std::find(aControls.begin(), aControls.end(), aNearest) !=
      aControls.end()) {
    return aNearest;
  }
  const auto size = static_cast<double>(aControls.size());
  const auto drawn = static_cast<std::size_t>(aRandom() * size);
  return aControls[std::min(drawn, aControls.size() - 1)];
}

void CreditSources::OnAnswer(const Endpoint& aControl, int aWanted,
                             int aGranted, Millis aNow) {
  if (aGranted >= aWanted) {
    mBackoffs.erase(aControl.Text());
    return;
  }
  Backoff& backoff = mBackoffs[aControl.Text()];
  // What is granted in part shows that the share is being refilled.
  backoff.mLength = backoff.mLength == 0 || aGranted > 0
                        ? kMinBackoff
                        : std::min(kMaxBackoff, 2 * backoff.mLength);
  backoff.mUntil = aNow + backoff.mLength;
}

}  // namespace spindleweir
