#include "spindleweir/servers/membership/leaving_set.h"

#include <algorithm>

namespace spindleweir {

namespace {

constexpr Millis kForgetAfter = 10 * 60 * 1000;

}  // namespace

void LeavingSet::Retain(const std::set<std::string>& aKnown, Millis aNow) {
  for (const std::string& vm : aKnown) {
    mKnownAt[vm] = aNow;
  }
  std::erase_if(mKnownAt, [this, aNow](const auto& aItem) {
    const bool gone = aNow - aItem.second > kForgetAfter;
    if (gone) {
      mNotices.erase(aItem.first);
      mSeen.erase(aItem.first);
    }
    return gone;
  });
}

bool LeavingSet::Add(const LeaveNotice& aWord) {
  if (!mKnownAt.contains(aWord.mVm) && !mSeen.contains(aWord.mVm)) {
    return false;
  }
  const auto seen = mSeen.find(aWord.mVm);
  const std::int64_t newest = seen == mSeen.end() ? 0 : seen->second;
  // A word without an incarnation is about the one seen now.
  const std::int64_t incarnation =
      aWord.mIncarnation == 0 ? newest : aWord.mIncarnation;
  if (incarnation < newest) {
    return false;
  }
  const auto it = mNotices.find(aWord.mVm);
  if (it != mNotices.end() && it->second >= incarnation) {
    return false;
  }
  mNotices[aWord.mVm] = incarnation;
  return true;
}

void LeavingSet::OnSeen(const std::string& aVm, std::int64_t aIncarnation) {
  std::int64_t& newest = mSeen[aVm];
  newest = std::max(newest, aIncarnation);
  const auto it = mNotices.find(aVm);
  if (it == mNotices.end()) {
    return;
  }
  if (it->second == 0) {
    // The word came before any report: it is about the first one seen.
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
  std::vector<LeaveNotice> words;
  for (const auto& [vm, incarnation] : mNotices) {
    words.push_back({vm, incarnation});
  }
  return words;
}

}  // namespace spindleweir
