#include "spindleweir/servers/routing/router_census.h"

#include <algorithm>
#include <set>
#include <utility>

#include "spindleweir/core/digest.h"

namespace spindleweir {

namespace {

constexpr std::uint64_t kRouterNumberMask = 0x7fffffff;
constexpr std::uint64_t kTagMask = 0x7fffffffffffffff;

}  // namespace

std::int64_t RouterNumber(std::string_view aRouter) {
  return static_cast<std::int64_t>(FastHash(aRouter) & kRouterNumberMask);
}

std::int64_t RouterListTag(const RouterNumbers& aRouters) {
  if (aRouters.empty()) {
    return 0;
  }
  const std::string_view bytes(reinterpret_cast<const char*>(aRouters.data()),
                               aRouters.size() * sizeof(aRouters.front()));
  return static_cast<std::int64_t>(FastHash(bytes) & kTagMask);
}

void RouterCensus::SetLocal(RouterNumbers aRouters) {
  mLocal = std::move(aRouters);
  mIsStale = true;
}

void RouterCensus::OnContact(const std::string& aControl, int aCount,
                             Millis aNow) {
  Control& control = mControls[aControl];
  mIsStale = mIsStale || control.mCount != aCount;
  control.mCount = aCount;
  control.mSeenAt = aNow;
}

void RouterCensus::OnList(const std::string& aControl, RouterNumbers aRouters) {
  mControls[aControl].mRouters = std::move(aRouters);
  mIsStale = true;
}

std::int64_t RouterCensus::TagOf(const std::string& aControl) const {
  const auto it = mControls.find(aControl);
  return it == mControls.end() ? 0 : RouterListTag(it->second.mRouters);
}

int RouterCensus::Total(Millis aNow) {
  const std::size_t dropped = std::erase_if(mControls, [&](const auto& aItem) {
    return aNow - aItem.second.mSeenAt > mRetention;
  });
  if (mIsStale || dropped > 0) {
    mTotal = CountAll();
    mIsStale = false;
  }
  return mTotal;
}

int RouterCensus::CountAll() const {
  std::set<std::int64_t> routers(mLocal.begin(), mLocal.end());
  int unlisted = 0;
  for (const auto& [address, control] : mControls) {
    if (control.mRouters.size() != static_cast<std::size_t>(control.mCount)) {
      unlisted += control.mCount;
      continue;
    }
    routers.insert(control.mRouters.begin(), control.mRouters.end());
  }
  return static_cast<int>(routers.size()) + unlisted;
}

}  // namespace spindleweir
