#include "spindleweir/servers/membership/leaving_set.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// How long a VM that is not known any more is stored.
constexpr Millis kRetention = 10 * 60 * 1000;

}  // namespace

void LeavingSet::Retain(const std::set<std::string>& aKnown, Millis aNow) {
  for (const std::string& vm : aKnown) {
    mLastKnownAt[vm] = aNow;
  }
  std::erase_if(mLastKnownAt, [this, aNow](const auto& aItem) {
    const bool gone = aNow - aItem.second > kRetention;
    if (gone) {
      mNotices.erase(aItem.first);
      mIncarnations.erase(aItem.first);
    }
    return gone;
  });
}

bool LeavingSet::Add(const LeaveNotice& aNotice) {
  if (!mLastKnownAt.contains(aNotice.mVm) &&
      !mIncarnations.contains(aNotice.mVm)) {
    return false;
  }
  const auto seen = mIncarnations.find(aNotice.mVm);
  const std::int64_t newest = seen == mIncarnations.end() ? 0 : seen->second;
  // A notice without an incarnation means the one seen last.
  const std::int64_t incarnation =
      aNotice.mIncarnation == 0 ? newest : aNotice.mIncarnation;
  if (incarnation < newest) {
    return false;
  }
  const auto it = mNotices.find(aNotice.mVm);
  if (it != mNotices.end() && it->second >= incarnation) {
    return false;
  }
  mNotices[aNotice.mVm] = incarnation;
  return true;
}

void LeavingSet::OnSeen(const std::string& aVm, std::int64_t aIncarnation) {
  std::int64_t& newest = mIncarnations[aVm];
  newest = std::max(newest, aIncarnation);
  const auto it = mNotices.find(aVm);
  if (it == mNotices.end()) {
    return;
  }
  if (it->second == 0) {
    // The notice came before any report: it means the first incarnation seen.
    it->second = newest;
  } else if (it->second < newest) {
    mNotices.erase(it);
  }
}

void LeavingSet::SetDrained(const std::vector<std::string>& aVms) {
  mDrained = std::set<std::string>(aVms.begin(), aVms.end());
}

bool LeavingSet::Contains(const std::string& aVm) const {
  return mDrained.contains(aVm) || mNotices.contains(aVm);
}

std::set<std::string> LeavingSet::Vms() const {
  std::set<std::string> vms = mDrained;
  for (const auto& [vm, incarnation] : mNotices) {
    vms.insert(vm);
  }
  return vms;
}

std::vector<LeaveNotice> LeavingSet::Notices() const {
  std::vector<LeaveNotice> notices;
  for (const auto& [vm, incarnation] : mNotices) {
    notices.push_back({vm, incarnation});
  }
  return notices;
}

}  // namespace spindleweir
