#include "spindleweir/servers/membership/control_directory.h"

#include <algorithm>

#include "spindleweir/core/error.h"

namespace spindleweir {

namespace {

/// A control not seen for this long is not polled any more.
constexpr Millis kPollRetention = 60000;

}  // namespace

std::string ControlId(const Endpoint& aAddress, const std::string& aDisk) {
  return aAddress.Text() + "#" + aDisk;
}

Endpoint AddressOfControl(const std::string& aId) {
  const std::size_t n = aId.find('#');
  if (n == std::string::npos) {
    throw Error(ResultCode::kBadField,
                "id of a control must be IP:PORT#DISK, not " + aId);
  }
  return ParseEndpoint(aId.substr(0, n), "id of a control");
}

void ControlDirectory::SetSeeds(std::vector<Endpoint> aSeeds) {
  mSeeds = std::move(aSeeds);
}

void ControlDirectory::SetVoters(const std::vector<std::string>& aIds) {
  mVoters.clear();
  for (const std::string& id : aIds) {
    mVoters.push_back(AddressOfControl(id));
  }
}

void ControlDirectory::OnSeen(const ControlInfo& aInfo, Millis aNow) {
  if (aInfo.mId.empty()) {
    return;
  }
  OnReported(aInfo, aNow);
  mItems.at(aInfo.mId).mInfo.mIsStopping = aInfo.mIsStopping;
}

void ControlDirectory::OnReported(const ControlInfo& aInfo, Millis aNow) {
  if (aInfo.mId.empty()) {
    return;
  }
  auto it = mItems.find(aInfo.mId);
  if (it == mItems.end()) {
    const Endpoint address = AddressOfControl(aInfo.mId);
    it = mItems.emplace(aInfo.mId, Item{.mAddress = address}).first;
  }
  Item& item = it->second;
  const Millis at = aNow - aInfo.mLastSeenAgo;
  if (item.mInfo.mId.empty() || at >= item.mLastSeenAt) {
    const bool isStopping = item.mInfo.mIsStopping;
    item.mInfo = aInfo;
    item.mInfo.mLastSeenAgo = 0;
    item.mInfo.mIsStopping = isStopping;
  }
  item.mLastSeenAt = std::max(item.mLastSeenAt, at);
}

std::vector<Endpoint> ControlDirectory::Addresses(Millis aNow) const {
  std::vector<Endpoint> addresses = mSeeds;
  const auto add = [&addresses](const Endpoint& aAddress) {
    if (std::find(addresses.begin(), addresses.end(), aAddress) ==
        addresses.end()) {
      addresses.push_back(aAddress);
    }
  };
  std::for_each(mVoters.begin(), mVoters.end(), add);
  for (const auto& [id, item] : mItems) {
    if (aNow - item.mLastSeenAt < kPollRetention) {
      add(item.mAddress);
    }
  }
  return addresses;
}

std::vector<ControlInfo> ControlDirectory::SeenWithin(Millis aWindow,
                                                      Millis aNow) const {
  std::vector<ControlInfo> controls;
  for (const auto& [id, item] : mItems) {
    if (aNow - item.mLastSeenAt <= aWindow) {
      controls.push_back(item.mInfo);
      controls.back().mLastSeenAgo = aNow - item.mLastSeenAt;
    }
  }
  return controls;
}

const ControlInfo* ControlDirectory::Find(const std::string& aId) const {
  const auto it = mItems.find(aId);
  return it == mItems.end() ? nullptr : &it->second.mInfo;
}

std::string ControlDirectory::ZoneAt(const Endpoint& aAddress) const {
  const Item* newest = nullptr;
  for (const auto& [id, item] : mItems) {
    const bool newer =
        newest == nullptr || item.mLastSeenAt > newest->mLastSeenAt;
    if (newer && item.mAddress == aAddress) {
      newest = &item;
    }
  }
  return newest == nullptr ? "" : newest->mInfo.mZone;
}

Millis ControlDirectory::TimeSinceSeen(const std::string& aId,
                                       Millis aNow) const {
  const auto it = mItems.find(aId);
  return it == mItems.end() ? -1 : aNow - it->second.mLastSeenAt;
}

bool ControlDirectory::IsStopping(const std::string& aId) const {
  const auto it = mItems.find(aId);
  return it != mItems.end() && it->second.mInfo.mIsStopping;
}

bool ControlDirectory::IsReplaced(const std::string& aId) const {
  const auto queried = mItems.find(aId);
  const Endpoint address = AddressOfControl(aId);
  return std::any_of(mItems.begin(), mItems.end(), [&](const auto& aItem) {
    const bool newer = queried == mItems.end() ||
                       aItem.second.mLastSeenAt > queried->second.mLastSeenAt;
    return aItem.first != aId && newer && aItem.second.mAddress == address;
  });
}

}  // namespace spindleweir
